#include <cyclamendrift/proxy/transaction_handle.h>

#include <forward.pb.h>

#include <sodium.h>

#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t keyBytes = crypto_generichash_KEYBYTES;
constexpr std::size_t codeBytes = crypto_generichash_BYTES_MIN;
constexpr std::string_view purpose = "cyclamendrift transaction handle";

const unsigned char* bytes(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string hash(std::string_view text, std::string_view key, std::size_t length)
{
    std::string result(length, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(result.data()), result.size(), bytes(text),
        text.size(), key.empty() ? nullptr : bytes(key), key.size());
    return result;
}

std::string encode(std::string_view text)
{
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::string result(sodium_base64_encoded_len(text.size(), variant), '\0');
    sodium_bin2base64(result.data(), result.size(), bytes(text), text.size(), variant);
    result.pop_back(); // the terminating zero
    return result;
}

std::optional<std::string> decode(std::string_view text)
{
    std::string result(text.size(), '\0');
    std::size_t length = 0;
    const char* end = nullptr;
    const auto status = sodium_base642bin(reinterpret_cast<unsigned char*>(result.data()), result.size(),
        text.data(), text.size(), nullptr, &length, &end, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    if (status != 0 || end != text.data() + text.size())
        return std::nullopt;
    result.resize(length);
    return result;
}

TransactionHandle convert(const wire::TransactionHandle& message)
{
    return { .home = { .vm = VmName { message.vm() },
                 .host = message.host(),
                 .port = static_cast<std::uint16_t>(message.port()) },
        .database = { ServiceName { message.service() }, message.database() },
        .transaction = TransactionId { message.transaction_id() } };
}

} // namespace

// A key of its own: the siblings' secret itself then never goes into anything that callers see.
TransactionHandleCodec::TransactionHandleCodec(std::string_view secret)
    : key(hash(std::string { purpose } + std::string { secret }, {}, keyBytes))
{
}

std::string TransactionHandleCodec::seal(const TransactionHandle& handle) const
{
    wire::TransactionHandle message;
    message.set_vm(handle.home.vm.string());
    message.set_host(handle.home.host);
    message.set_port(handle.home.port);
    message.set_service(handle.database.service.string());
    message.set_database(handle.database.name);
    message.set_transaction_id(handle.transaction.string());
    const auto body = message.SerializeAsString();
    return encode(hash(body, this->key, codeBytes) + body);
}

// Without the code a caller could name any address, and this proxy would send it the siblings' secret.
std::optional<TransactionHandle> TransactionHandleCodec::open(std::string_view id) const
{
    const auto decoded = decode(id);
    if (!decoded || decoded->size() < codeBytes)
        return std::nullopt;
    const std::string_view code { decoded->data(), codeBytes };
    const std::string_view body { decoded->data() + codeBytes, decoded->size() - codeBytes };
    const auto expected = hash(body, this->key, codeBytes);
    if (sodium_memcmp(code.data(), expected.data(), codeBytes) != 0)
        return std::nullopt;
    wire::TransactionHandle message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return std::nullopt;
    return convert(message);
}

} // namespace cyclamendrift

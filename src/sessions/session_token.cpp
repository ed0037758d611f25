#include <cyclamendrift/sessions/session_token.h>

#include <cyclamendrift/sessions/session_error.h>

#include <session.pb.h>

#include <sodium.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

constexpr int base64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

std::string toBase64(const std::string& bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(bytes.size(), base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size(), base64Variant);
    text.pop_back(); // the terminating zero that libsodium writes
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    const char* end = nullptr;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
        text.data(), text.size(), nullptr, &length, &end, base64Variant);
    if (failed != 0 || end != text.data() + text.size())
        throw SessionError { "the session token is not base64" };
    bytes.resize(length);
    return bytes;
}

} // namespace

SessionToken SessionToken::decode(std::string_view text)
{
    if (text.size() > SessionToken::maxTextLength)
        throw SessionError { "the session token is too long" };
    wire::SessionToken message;
    if (!message.ParseFromString(fromBase64(text)))
        throw SessionError { "the session token cannot be read" };
    SessionToken token;
    for (const auto& entry : message.entries()) {
        if (entry.service().empty() || entry.database().empty())
            throw SessionError { "the session token names no database" };
        token.observe({ ServiceName { entry.service() }, entry.database() },
            { Term { entry.term() }, LogPosition { entry.position() } });
    }
    return token;
}

std::string SessionToken::encode() const
{
    wire::SessionToken message;
    for (const auto& [database, progress] : this->seen) {
        auto& entry = *message.add_entries();
        entry.set_service(database.service.string());
        entry.set_database(database.name);
        entry.set_term(static_cast<std::uint64_t>(progress.term));
        entry.set_position(static_cast<std::uint64_t>(progress.position));
    }
    return toBase64(message.SerializeAsString());
}

Progress SessionToken::progressOf(const DatabaseName& database) const noexcept
{
    const auto entry = this->seen.find(database);
    return entry == this->seen.end() ? Progress {} : entry->second;
}

bool SessionToken::hasRoomFor(const DatabaseName& database) const noexcept
{
    return this->seen.size() < SessionToken::maxDatabases || this->seen.contains(database);
}

void SessionToken::observe(const DatabaseName& database, Progress progress)
{
    if (!this->hasRoomFor(database))
        throw SessionError { "the session names too many databases" };
    auto& known = this->seen[database];
    known = std::max(known, progress);
}

void SessionToken::merge(const SessionToken& other)
{
    for (const auto& [database, progress] : other.seen)
        this->observe(database, progress);
}

} // namespace cyclamendrift

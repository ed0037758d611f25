#include <cyclamendrift/commits/ledger.h>

#include <ledger.pb.h>

#include <sodium.h>

#include <array>
#include <string_view>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr auto base64Variant = sodium_base64_VARIANT_ORIGINAL;

/// Hashes each part with its length before it, so that different lists of parts never hash the same text.
class LengthPrefixedHash {
public:
    LengthPrefixedHash() { crypto_generichash_init(&this->state, nullptr, 0, crypto_generichash_BYTES); }

    void add(std::string_view part)
    {
        const auto size = std::to_string(part.size()) + ':';
        this->update(size);
        this->update(part);
    }

    [[nodiscard]] std::string finishAsHex()
    {
        std::array<unsigned char, crypto_generichash_BYTES> digest {};
        crypto_generichash_final(&this->state, digest.data(), digest.size());
        std::array<char, crypto_generichash_BYTES * 2 + 1> text {};
        sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
        return std::string { text.data() };
    }

private:
    void update(std::string_view bytes)
    {
        crypto_generichash_update(
            &this->state, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    }

    crypto_generichash_state state {};
};

std::string rowIdOf(const LedgerKey& key)
{
    LengthPrefixedHash hash;
    hash.add(key.team.view());
    hash.add(key.request.view());
    return hash.finishAsHex();
}

std::string millisecondsOf(WallClockTime time) { return std::to_string(time.time_since_epoch().count()); }

wire::LedgerAnswer messageFrom(const RowSet& answer)
{
    wire::LedgerAnswer message;
    message.set_affected_rows(answer.affectedRows);
    for (const auto& column : answer.columns)
        message.add_columns(column);
    for (const auto& row : answer.rows) {
        auto& values = *message.add_rows();
        for (const auto& value : row) {
            auto& field = *values.add_values();
            if (value)
                field.set_text(*value);
        }
    }
    return message;
}

RowSet answerFrom(const wire::LedgerAnswer& message)
{
    RowSet answer;
    answer.affectedRows = message.affected_rows();
    answer.columns.assign(message.columns().begin(), message.columns().end());
    for (const auto& row : message.rows()) {
        auto& values = answer.rows.emplace_back();
        for (const auto& value : row.values())
            values.push_back(value.has_text() ? Value { value.text() } : Value {});
    }
    return answer;
}

std::string encodeBase64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size(), base64Variant);
    text.pop_back();
    return text;
}

std::string decodeBase64(const std::string& text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
        text.data(), text.size(), nullptr, &size, nullptr, base64Variant);
    bytes.resize(failed == 0 ? size : 0);
    return bytes;
}

} // namespace

Ledger::Ledger(Options options)
    : options(std::move(options))
{
}

std::string Ledger::hashStatement(const Statement& statement)
{
    LengthPrefixedHash hash;
    hash.add(statement.text);
    for (const auto& parameter : statement.parameters) {
        hash.add(parameter ? "value" : "null");
        hash.add(parameter.value_or(std::string {}));
    }
    return hash.finishAsHex();
}

Statement Ledger::createTable() const
{
    return { .text = "CREATE TABLE IF NOT EXISTS " + this->options.table
            + " (id text PRIMARY KEY, statement_hash text NOT NULL, answer text, recorded_at bigint NOT "
              "NULL)",
        .parameters = {} };
}

Statement Ledger::insert(const LedgerKey& key, WallClockTime now) const
{
    return { .text
        = "INSERT INTO " + this->options.table + " (id, statement_hash, recorded_at) VALUES ($1, $2, $3)",
        .parameters = { rowIdOf(key), key.statementHash, millisecondsOf(now) } };
}

Statement Ledger::recordAnswer(const LedgerKey& key, const RowSet& answer) const
{
    auto bytes = messageFrom(answer).SerializeAsString();
    if (bytes.size() > this->options.maxAnswerBytes)
        bytes = messageFrom(RowSet { .affectedRows = answer.affectedRows }).SerializeAsString();
    return { .text = "UPDATE " + this->options.table + " SET answer = $2 WHERE id = $1",
        .parameters = { rowIdOf(key), encodeBase64(bytes) } };
}

Statement Ledger::claim(const LedgerKey& key, WallClockTime now) const
{
    auto statement = this->insert(key, now);
    statement.text += " ON CONFLICT DO NOTHING";
    return statement;
}

Statement Ledger::lookUp(const LedgerKey& key) const
{
    return { .text = "SELECT statement_hash, answer FROM " + this->options.table + " WHERE id = $1",
        .parameters = { rowIdOf(key) } };
}

LedgerLookupResult Ledger::parseLookupAnswer(const RowSet& lookUpAnswer, const LedgerKey& key)
{
    if (lookUpAnswer.rows.empty())
        return NotInLedger {};
    const auto& row = lookUpAnswer.rows.front();
    if (row.at(0).value_or(std::string {}) != key.statementHash)
        return StatementMismatch {};
    wire::LedgerAnswer message;
    if (!message.ParseFromString(decodeBase64(row.at(1).value_or(std::string {}))))
        message.Clear();
    return AlreadyCommitted { answerFrom(message) };
}

Statement Ledger::deleteExpiredRows(WallClockTime now) const
{
    return { .text = "DELETE FROM " + this->options.table + " WHERE recorded_at < $1",
        .parameters = { millisecondsOf(now - this->options.retention) } };
}

} // namespace cyclamendrift

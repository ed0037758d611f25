#include <cyclamendrift/upstreams/slot_control.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <charconv>
#include <cstddef>
#include <string>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t statusColumns = 4;

/// An answer in another form means that the options name the wrong SQL; taken for a status it could confirm a
/// commit that nothing confirmed.
[[noreturn]] void refuseStatus()
{
    throw UpstreamError { UpstreamError::Kind::StatementFailed,
        "the slot's status has another form than expected" };
}

std::uint64_t parseNumber(const Value& value)
{
    if (!value)
        refuseStatus();
    std::uint64_t number = 0;
    const char* end = value->data() + value->size();
    const auto [rest, error] = std::from_chars(value->data(), end, number);
    if (error != std::errc {} || rest != end)
        refuseStatus();
    return number;
}

bool parseFlag(const Value& value)
{
    if (value == "t" || value == "true")
        return true;
    if (value == "f" || value == "false")
        return false;
    refuseStatus();
}

Value textOf(Term term) { return std::to_string(static_cast<std::uint64_t>(term)); }

asio::awaitable<SlotStatus> run(Connection& connection, Statement statement, Instant deadline)
{
    const auto answers = co_await connection.execute({ &statement, 1 }, deadline);
    co_return SlotControl::parse(answers.at(0));
}

} // namespace

SlotControl::SlotControl(Options options)
    : options(std::move(options))
{
}

Statement SlotControl::statusStatement() const
{
    return { .text = this->options.statusSql, .parameters = {} };
}

SlotStatus SlotControl::parse(const RowSet& answer)
{
    if (answer.rows.size() != 1 || answer.rows.front().size() != statusColumns)
        refuseStatus();
    const auto& row = answer.rows.front();
    const Term term { parseNumber(row[0]) };
    const LogPosition position { parseNumber(row[1]) };
    return {
        .progress = { .term = term, .position = position },
        .fenced = Term { parseNumber(row[2]) },
        .primary = parseFlag(row[3]),
    };
}

asio::awaitable<SlotStatus> SlotControl::status(Connection& connection, Instant deadline) const
{
    return run(connection, this->statusStatement(), deadline);
}

asio::awaitable<SlotStatus> SlotControl::fence(Connection& connection, Term term, Instant deadline) const
{
    Statement statement { .text = this->options.fenceSql, .parameters = { textOf(term) } };
    return run(connection, std::move(statement), deadline);
}

asio::awaitable<SlotStatus> SlotControl::promote(Connection& connection, Term term, Instant deadline) const
{
    Statement statement { .text = this->options.promoteSql, .parameters = { textOf(term) } };
    return run(connection, std::move(statement), deadline);
}

asio::awaitable<SlotStatus> SlotControl::follow(
    Connection& connection, Term term, const SlotName& primary, Instant deadline) const
{
    Statement statement { .text = this->options.followSql, .parameters = { textOf(term), primary.string() } };
    return run(connection, std::move(statement), deadline);
}

} // namespace cyclamendrift

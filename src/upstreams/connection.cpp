#include "pq_link.h"

#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::string_view tooManyConnectionsState = "53300";
constexpr std::string_view failedTransactionState = "25P02";
constexpr std::string_view invalidTextState = "22021";

[[noreturn]] void fail(UpstreamError::Kind kind, const std::string& message, std::string sqlState = {})
{
    throw UpstreamError { kind, message, std::move(sqlState) };
}

/// libpq gives no SQLSTATE for a refused connection; with verbose errors the message holds it, before a
/// colon.
UpstreamError connectError(PGconn* connection)
{
    const std::string message = PQerrorMessage(connection);
    const bool tooMany = message.find(std::string { tooManyConnectionsState } + ": ") != std::string::npos;
    const auto kind = tooMany ? UpstreamError::Kind::TooManyConnections : UpstreamError::Kind::ConnectFailed;
    return { kind, message, tooMany ? std::string { tooManyConnectionsState } : std::string {} };
}

PGconn* startConnecting(const Connection::Options& options)
{
    const std::string port = std::to_string(options.port);
    const std::array keywords { "hostaddr", "port", "user", "password", "dbname", "client_encoding",
        "sslmode", "gssencmode", "application_name", "tcp_user_timeout", "options",
        static_cast<const char*>(nullptr) };
    const std::array values { options.host.c_str(), port.c_str(), options.user.c_str(),
        options.password.c_str(), options.databaseName.c_str(), "UTF8", options.sslMode.c_str(), "disable",
        "cyclamendrift", "10000", options.startupOptions.c_str(), static_cast<const char*>(nullptr) };
    constexpr int expandNoNames = 0;
    return PQconnectStartParams(keywords.data(), values.data(), expandNoNames);
}

bool equalIgnoringCase(char left, char right) noexcept
{
    return std::toupper(static_cast<unsigned char>(left)) == std::toupper(static_cast<unsigned char>(right));
}

bool endsTransaction(std::string_view text) noexcept
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t\r\n"), text.size()));
    const auto startsWith = [text](std::string_view word) {
        const auto start = text.substr(0, word.size());
        return std::equal(start.begin(), start.end(), word.begin(), word.end(), equalIgnoringCase);
    };
    return startsWith("COMMIT") || startsWith("END");
}

/// libpq takes text that ends at a zero byte. One within a statement or parameter would cut it short, and
/// another statement than the caller's would run.
void refuseZeroBytes(const Statement& statement)
{
    bool found = statement.text.find('\0') != std::string::npos;
    for (const auto& parameter : statement.parameters)
        found = found || (parameter && parameter->find('\0') != std::string::npos);
    if (found) {
        fail(UpstreamError::Kind::StatementFailed, "a statement and its parameters must not hold zero bytes",
            std::string { invalidTextState });
    }
}

RowSet rowsOf(const PGresult* result)
{
    RowSet answer;
    const int columnCount = PQnfields(result);
    const int rowCount = PQntuples(result);
    for (int column = 0; column < columnCount; ++column)
        answer.columns.emplace_back(PQfname(result, column));
    answer.rows.reserve(static_cast<std::size_t>(rowCount));
    for (int row = 0; row < rowCount; ++row) {
        auto& values = answer.rows.emplace_back();
        for (int column = 0; column < columnCount; ++column) {
            if (PQgetisnull(result, row, column) != 0) {
                values.emplace_back(std::nullopt);
                continue;
            }
            const auto length = static_cast<std::size_t>(PQgetlength(result, row, column));
            values.emplace_back(std::string { PQgetvalue(result, row, column), length });
        }
    }
    return answer;
}

std::uint64_t affectedRowsOf(PGresult* result)
{
    const std::string_view text = PQcmdTuples(result);
    std::uint64_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

/// What has come back of one pipeline so far.
struct PipelineAnswers {
    std::vector<RowSet> answers;
    std::optional<UpstreamError> failure;
    bool synced = false;
};

class PqConnection final : public Connection {
public:
    PqConnection(std::shared_ptr<PqLink> link, Duration idleTimeout) noexcept
        : link(std::move(link))
        , idleTimeout(idleTimeout)
    {
        this->watchIdle();
    }
    ~PqConnection() override { this->link->close(); }
    PqConnection(const PqConnection&) = delete;
    PqConnection& operator=(const PqConnection&) = delete;

    [[nodiscard]] asio::awaitable<std::vector<RowSet>> execute(
        std::span<const Statement> statements, Instant deadline) override;

    [[nodiscard]] bool isClean() const noexcept override
    {
        return !this->link->isClosed() && !this->busy
            && PQtransactionStatus(this->link->get()) == PQTRANS_IDLE;
    }

    void close() noexcept override { this->link->close(); }

private:
    /// Ends the use of the link by one execute. When that did not come to the end of its pipeline, answers to
    /// it may still arrive and would be taken for those to the next one; so the link is closed then.
    class InFlight;

    void watchIdle();
    void send(std::span<const Statement> statements);
    [[nodiscard]] asio::awaitable<void> exchange(
        std::span<const Statement> statements, PipelineAnswers& received, Instant deadline);
    void readAvailable(std::span<const Statement> statements, PipelineAnswers& received);
    void take(PGresult* result, std::span<const Statement> statements, PipelineAnswers& received);

    std::shared_ptr<PqLink> link;
    Duration idleTimeout;
    bool busy = false;
};

class PqConnection::InFlight {
public:
    explicit InFlight(PqConnection& connection) noexcept
        : connection(connection)
        , link(connection.link)
    {
        connection.busy = true;
        this->link->endIdle();
    }
    ~InFlight()
    {
        if (!this->finished)
            this->link->close();
    }
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;

    void finish()
    {
        this->finished = true;
        this->connection.busy = false;
        this->connection.watchIdle();
    }

private:
    PqConnection& connection;
    std::shared_ptr<PqLink> link;
    bool finished = false;
};

void PqConnection::watchIdle()
{
    const bool forever = this->idleTimeout == Duration::zero();
    this->link->watchIdle(forever ? Instant::max() : std::chrono::steady_clock::now() + this->idleTimeout);
}

asio::awaitable<std::vector<RowSet>> PqConnection::execute(
    std::span<const Statement> statements, Instant deadline)
{
    for (const auto& statement : statements)
        refuseZeroBytes(statement);
    if (this->link->isClosed() || this->busy)
        fail(UpstreamError::Kind::ConnectFailed, "the connection is closed or in use; nothing was sent");
    if (deadline <= std::chrono::steady_clock::now())
        fail(UpstreamError::Kind::ConnectFailed, "the deadline had passed; nothing was sent");
    InFlight inFlight { *this };
    PipelineAnswers received;
    this->send(statements);
    co_await this->exchange(statements, received, deadline);
    inFlight.finish();
    if (received.failure)
        throw UpstreamError { *received.failure };
    co_return std::move(received.answers);
}

void PqConnection::send(std::span<const Statement> statements)
{
    PGconn* connection = this->link->get();
    std::vector<const char*> values;
    for (const auto& statement : statements) {
        values.clear();
        for (const auto& parameter : statement.parameters)
            values.push_back(parameter ? parameter->c_str() : nullptr);
        const int sent = PQsendQueryParams(connection, statement.text.c_str(),
            static_cast<int>(values.size()), nullptr, values.data(), nullptr, nullptr, 0);
        if (sent != 1)
            fail(UpstreamError::Kind::ConnectionLost, PQerrorMessage(connection));
    }
    if (PQpipelineSync(connection) != 1)
        fail(UpstreamError::Kind::ConnectionLost, PQerrorMessage(connection));
}

asio::awaitable<void> PqConnection::exchange(
    std::span<const Statement> statements, PipelineAnswers& received, Instant deadline)
{
    const auto link = this->link;
    while (true) {
        const int unsent = PQflush(link->get());
        if (unsent < 0 || PQconsumeInput(link->get()) != 1)
            fail(UpstreamError::Kind::ConnectionLost, PQerrorMessage(link->get()));
        this->readAvailable(statements, received);
        if (received.synced)
            co_return;
        const auto readiness = unsent > 0 ? Readiness::ReadOrWrite : Readiness::Read;
        const auto result = co_await link->wait(readiness, deadline);
        if (result == WaitResult::DeadlinePassed)
            fail(UpstreamError::Kind::TimedOut, "the upstream did not answer in time");
        if (result == WaitResult::Closed)
            fail(UpstreamError::Kind::ConnectionLost, "the connection was closed while a statement ran");
    }
}

void PqConnection::readAvailable(std::span<const Statement> statements, PipelineAnswers& received)
{
    PGconn* connection = this->link->get();
    // A null result only parts the answers of two statements; the sync at the end parts this pipeline from
    // the next.
    while (!received.synced && PQisBusy(connection) == 0) {
        const PqResult result { PQgetResult(connection) };
        if (result)
            this->take(result.get(), statements, received);
        else if (PQstatus(connection) != CONNECTION_OK)
            fail(UpstreamError::Kind::ConnectionLost, PQerrorMessage(connection));
    }
}

void PqConnection::take(PGresult* result, std::span<const Statement> statements, PipelineAnswers& received)
{
    switch (PQresultStatus(result)) {
    case PGRES_PIPELINE_SYNC:
        received.synced = true;
        if (!received.failure && received.answers.size() != statements.size())
            fail(UpstreamError::Kind::ConnectionLost, "the upstream left a statement unanswered");
        return;
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY: {
        if (received.answers.size() == statements.size())
            fail(UpstreamError::Kind::ConnectionLost, "the upstream sent more answers than statements");
        const auto& statement = statements[received.answers.size()];
        auto answer = rowsOf(result);
        answer.affectedRows = affectedRowsOf(result);
        received.answers.push_back(std::move(answer));
        // COMMIT of a transaction that failed before is answered with success and the tag ROLLBACK. Passed on
        // as it is, a caller would take writes for committed that were undone.
        if (std::string_view { PQcmdStatus(result) } == "ROLLBACK" && endsTransaction(statement.text)
            && !received.failure) {
            received.failure.emplace(UpstreamError::Kind::StatementFailed,
                "the transaction had failed and was rolled back", std::string { failedTransactionState });
        }
        return;
    }
    case PGRES_PIPELINE_ABORTED:
        return;
    case PGRES_FATAL_ERROR: {
        const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        if (state == nullptr || PQstatus(this->link->get()) != CONNECTION_OK)
            fail(UpstreamError::Kind::ConnectionLost, PQresultErrorMessage(result));
        const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        if (!received.failure)
            received.failure.emplace(UpstreamError::Kind::StatementFailed, message ? message : "", state);
        return;
    }
    default:
        fail(UpstreamError::Kind::ConnectionLost,
            "the upstream answered in a form that a pipeline cannot hold");
    }
}

[[nodiscard]] asio::awaitable<void> finishConnecting(std::shared_ptr<PqLink> link, Instant deadline)
{
    auto readiness = Readiness::Write;
    while (true) {
        link->attach();
        const auto result = co_await link->wait(readiness, deadline);
        if (result != WaitResult::Ready)
            fail(UpstreamError::Kind::ConnectFailed, "the upstream did not accept the connection in time");
        const auto state = PQconnectPoll(link->get());
        if (state == PGRES_POLLING_OK)
            break;
        if (state == PGRES_POLLING_FAILED)
            throw connectError(link->get());
        readiness = state == PGRES_POLLING_READING ? Readiness::Read : Readiness::Write;
    }
    link->attach();
}

} // namespace

asio::awaitable<std::unique_ptr<Connection>> Connection::open(
    asio::any_io_executor executor, Options options, Instant deadline)
{
    auto link = std::make_shared<PqLink>(executor, startConnecting(options));
    if (link->get() == nullptr || PQstatus(link->get()) == CONNECTION_BAD)
        throw connectError(link->get());
    PQsetErrorVerbosity(link->get(), PQERRORS_VERBOSE);
    co_await finishConnecting(link, deadline);
    if (PQsetnonblocking(link->get(), 1) != 0 || PQenterPipelineMode(link->get()) != 1)
        fail(UpstreamError::Kind::ConnectFailed, PQerrorMessage(link->get()));
    co_return std::make_unique<PqConnection>(std::move(link), options.idleTimeout);
}

} // namespace cyclamendrift

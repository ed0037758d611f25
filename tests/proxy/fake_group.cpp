#include <proxy/fake_group.h>

#include <cyclamendrift/proxy/one_shot.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace cyclamendrift::testing {

using namespace standins;

namespace {

constexpr Duration lockCheck = std::chrono::milliseconds { 1 };

enum class State : std::uint8_t { None, Implicit, Open, Failed };

RowSet statusRows(const SlotStatus& status)
{
    const auto number = [](auto value) { return std::to_string(static_cast<std::uint64_t>(value)); };
    return { .columns = { "term", "position", "fenced", "is_primary" },
        .rows = { { number(status.progress.term), number(status.progress.position), number(status.fenced),
            status.primary ? "t" : "f" } } };
}

std::uint64_t affectedIn(const std::string& tag)
{
    const auto last = tag.find_last_of(' ');
    const bool counts
        = last != std::string::npos && tag.find_first_not_of("0123456789", last + 1) == std::string::npos;
    return counts ? std::stoull(tag.substr(last + 1)) : 0;
}

} // namespace

/// A session of a slot and the connection to it in one.
class FakeConnection final : public Connection {
public:
    FakeConnection(FakeGroup& group, std::string slot)
        : group(group)
        , slot(std::move(slot))
        , number(++group.lastSession)
        , epoch(group.silencedEpoch)
    {
        this->group.mostSessions[this->slot]
            = std::max(this->group.mostSessions[this->slot], ++this->group.sessions[this->slot]);
    }
    ~FakeConnection() override { this->close(); }
    FakeConnection(const FakeConnection&) = delete;
    FakeConnection& operator=(const FakeConnection&) = delete;

    [[nodiscard]] asio::awaitable<std::vector<RowSet>> execute(
        std::span<const Statement> statements, Instant deadline) override
    {
        if (this->closed || this->broken || this->busy)
            throw UpstreamError { UpstreamError::Kind::ConnectFailed, "closed; nothing was sent" };
        this->busy = true;
        auto fault = this->group.faultOf ? this->group.faultOf(this->slot, statements) : PipelineFault::None;
        if (this->epoch != this->group.silencedEpoch)
            fault = PipelineFault::SilentBefore;
        co_await this->wait(this->group.options.oneWay, deadline);
        if (fault == PipelineFault::LostBefore)
            this->lose();
        if (fault == PipelineFault::SilentBefore)
            co_await this->waitForEver(deadline);
        co_await this->wait(this->group.slowness[this->slot], deadline);
        std::vector<RowSet> answers;
        std::optional<UpstreamError> failure;
        for (const auto& statement : statements) {
            try {
                answers.push_back(co_await this->run(statement, deadline));
            } catch (const SqlError& error) {
                this->fail();
                failure.emplace(UpstreamError::Kind::StatementFailed, error.what(), error.sqlState());
                break;
            }
        }
        if (!failure && this->state == State::Implicit)
            this->commit();
        if (fault == PipelineFault::LostAfter)
            this->lose();
        if (fault == PipelineFault::SilentAfter)
            co_await this->waitForEver(deadline);
        co_await this->wait(this->group.options.oneWay, deadline);
        this->busy = false;
        if (failure)
            throw UpstreamError { *failure };
        co_return answers;
    }

    [[nodiscard]] bool isClean() const noexcept override
    {
        return !this->closed && !this->broken && !this->busy && this->state == State::None;
    }

    void close() noexcept override
    {
        if (std::exchange(this->closed, true))
            return;
        this->rollBack();
        --this->group.sessions[this->slot];
        if (this->wake)
            this->wake->set(false);
    }

private:
    [[noreturn]] void lose()
    {
        this->broken = true;
        this->rollBack();
        throw UpstreamError { UpstreamError::Kind::ConnectionLost, "the connection was lost" };
    }

    asio::awaitable<void> wait(Duration duration, Instant deadline)
    {
        auto& time = this->group.time;
        const auto wake = std::make_shared<OneShot<bool>>(this->group.context.get_executor());
        this->wake = wake;
        const auto until = std::min(time.now() + duration, deadline);
        const auto timer = time.after(until - time.now(), [wake](Instant) { wake->set(true); });
        const bool elapsed = co_await OneShot<bool>::take(wake);
        if (!elapsed || this->closed)
            this->lose();
        if (time.now() < deadline)
            co_return;
        this->broken = true;
        this->rollBack();
        throw UpstreamError { UpstreamError::Kind::TimedOut, "no answer in time" };
    }

    asio::awaitable<void> waitForEver(Instant deadline)
    {
        co_await this->wait(std::chrono::hours { 24 }, deadline);
        this->lose();
    }

    asio::awaitable<RowSet> run(const Statement& statement, Instant deadline)
    {
        for (;;) {
            if (!this->group.model.slot(this->slot).alive)
                co_await this->waitForEver(deadline);
            bool locked = false;
            try {
                co_return this->runOnce(statement);
            } catch (const LockBusy&) {
                locked = true;
            }
            if (locked)
                co_await this->wait(lockCheck, deadline);
        }
    }

    RowSet runOnce(const Statement& statement)
    {
        this->group.replicate();
        auto& model = this->group.model.slot(this->slot);
        const auto parsed = parseSql(statement.text);
        if (std::holds_alternative<ControlCall>(parsed))
            return statusRows(model.status());
        if (std::holds_alternative<Commit>(parsed)) {
            if (this->state == State::Failed)
                throw SqlError { "25P02", "the transaction had failed" };
            this->commit();
            return {};
        }
        if (std::holds_alternative<Rollback>(parsed)) {
            this->rollBack();
            return {};
        }
        if (this->state == State::Failed)
            throw SqlError { "25P02", "current transaction is aborted" };
        if (this->state == State::None) {
            this->state = State::Implicit;
            this->begunIn = model.progress().term;
        }
        if (const auto* begin = std::get_if<Begin>(&parsed)) {
            this->state = State::Open;
            this->readOnly = begin->readOnly;
            return {};
        }
        Execution execution { { .tables = model.tables,
            .buffer = this->buffer,
            .locks = model.locks,
            .owner = this->number,
            .parameters = statement.parameters,
            .checkWritable = [&] {
                if (this->readOnly || !model.writable())
                    throw SqlError { "25006", "cannot execute this in a read-only transaction" };
            } } };
        const auto result = std::visit(
            [&](const auto& form) -> StatementResult {
                if constexpr (requires { execution(form); })
                    return execution(form);
                else
                    throw SqlError { "0A000", "not a statement on tables" };
            },
            parsed);
        if (this->group.onRun)
            this->group.onRun(this->number, statement);
        auto rows = result.rows;
        rows.affectedRows = affectedIn(result.tag);
        return rows;
    }

    void fail()
    {
        const bool open = this->state == State::Open || this->state == State::Failed;
        this->rollBack();
        this->state = open ? State::Failed : State::None;
    }

    void commit()
    {
        const auto changes = std::move(this->buffer);
        this->rollBack();
        auto& model = this->group.model;
        model.commit(model.slot(this->slot), changes, this->begunIn, this->group.time.now());
    }

    void rollBack()
    {
        this->buffer = {};
        this->state = State::None;
        this->readOnly = false;
        this->group.model.slot(this->slot).locks.release(this->number);
    }

    FakeGroup& group;
    std::string slot;
    std::uint64_t number;
    std::uint64_t epoch;
    State state = State::None;
    TransactionBuffer buffer;
    Term begunIn {};
    bool readOnly = false;
    bool closed = false;
    bool broken = false;
    bool busy = false;
    std::shared_ptr<OneShot<bool>> wake;
};

FakeGroup::FakeGroup(asio::io_context& context, VirtualTime& time, Options options)
    : model(options.slots, options.lag, time.now())
    , context(context)
    , time(time)
    , options(std::move(options))
{
}

asio::awaitable<std::unique_ptr<Connection>> FakeGroup::open(
    asio::any_io_executor executor, Connection::Options target, Instant deadline)
{
    ++this->opens;
    const auto slot = this->options.slots.at(target.port - 1U);
    const bool dead = this->unreachable.contains(slot) || !this->model.slot(slot).alive;
    const auto arrival = dead ? deadline : this->time.now() + this->options.connectTime;
    co_await sleepFor(executor, this->time, arrival - this->time.now());
    if (dead)
        throw UpstreamError { UpstreamError::Kind::ConnectFailed, "out of reach" };
    if (this->sessions[slot] >= this->options.cap) {
        ++this->refusedOpens;
        throw UpstreamError { UpstreamError::Kind::TooManyConnections, "too many connections", "53300" };
    }
    co_return std::make_unique<FakeConnection>(*this, slot);
}

RowSet FakeGroup::query(const std::string& slot, const std::string& sql)
{
    this->replicate();
    auto& state = this->model.slot(slot);
    TransactionBuffer buffer;
    constexpr std::uint64_t nobody = 0;
    Execution execution { { .tables = state.tables,
        .buffer = buffer,
        .locks = state.locks,
        .owner = nobody,
        .parameters = {},
        .checkWritable = [] {} } };
    const auto result = std::visit(
        [&](const auto& form) -> StatementResult {
            if constexpr (requires { execution(form); })
                return execution(form);
            else
                return {};
        },
        parseSql(sql));
    state.locks.release(nobody);
    if (!buffer.changes.empty())
        this->model.commit(state, buffer, state.progress().term, this->time.now());
    return result.rows;
}

void FakeGroup::replicate() { (void)this->model.replicate(this->time.now()); }

} // namespace cyclamendrift::testing

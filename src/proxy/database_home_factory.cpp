#include <cyclamendrift/proxy/database_home_factory.h>

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <asio/co_spawn.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace cyclamendrift {

namespace {

RequestError refusalFrom(const UpstreamError& error)
{
    switch (error.kind()) {
    case UpstreamError::Kind::ConnectFailed:
        return RequestError { { Outcome::NotRun, RefusalReason::NoPrimary, error.what() } };
    case UpstreamError::Kind::TooManyConnections:
        return RequestError { { Outcome::NotRun, RefusalReason::Overloaded, error.what() } };
    case UpstreamError::Kind::StatementFailed:
        return RequestError { { Outcome::RanAndFailed, RefusalReason::StatementFailed, error.what() } };
    case UpstreamError::Kind::TimedOut:
        return RequestError { { Outcome::Unknown, RefusalReason::DeadlineExceeded, error.what() } };
    case UpstreamError::Kind::ConnectionLost:
        break;
    }
    return RequestError { { Outcome::Unknown, RefusalReason::UpstreamLost, error.what() } };
}

/// Sends every statement to the first slot on a connection of its own.
class SingleSlotHome final : public DatabaseHome, public std::enable_shared_from_this<SingleSlotHome> {
public:
    explicit SingleSlotHome(DatabaseHomeOptions options)
        : options(std::move(options))
    {
    }

    asio::awaitable<HomeAnswer> execute(HomeRequest request) override
    {
        co_return co_await asio::co_spawn(
            this->options.executor, this->executeHere(std::move(request)), asio::use_awaitable);
    }

    asio::awaitable<TransactionId> begin(BeginHomeRequest) override
    {
        throw RequestError { { Outcome::NotRun, RefusalReason::Internal, "transactions are not served" } };
        co_return TransactionId {};
    }

    asio::awaitable<Progress> end(EndHomeRequest) override
    {
        throw RequestError { { Outcome::NotRun, RefusalReason::UnknownTransaction, "no such transaction" } };
        co_return Progress {};
    }

    void withdrawKey(const KeyId&) override { }

    asio::awaitable<void> drain() override { co_return; }

    HomeStatus status() const override
    {
        return { .primary = SlotName { this->options.description.slots(0).name() }, .state = "serving" };
    }

private:
    asio::awaitable<HomeAnswer> executeHere(HomeRequest request)
    {
        const auto self = this->shared_from_this();
        const auto& slot = this->options.description.slots(0);
        auto target = this->options.credentials;
        target.host = slot.address();
        target.port = static_cast<std::uint16_t>(slot.port());
        target.databaseName = this->options.description.name();
        try {
            const auto connection
                = co_await this->options.connector(this->options.executor, target, request.deadline);
            auto answers = co_await connection->execute({ &request.statement, 1 }, request.deadline);
            co_return HomeAnswer {
                .rows = std::move(answers.at(0)), .seen = request.seen, .slot = SlotName { slot.name() }
            };
        } catch (const UpstreamError& error) {
            throw refusalFrom(error);
        }
    }

    DatabaseHomeOptions options;
};

} // namespace

std::shared_ptr<DatabaseHome> makeDatabaseHome(DatabaseHomeOptions options)
{
    return std::make_shared<SingleSlotHome>(std::move(options));
}

} // namespace cyclamendrift

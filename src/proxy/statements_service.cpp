#include <cyclamendrift/proxy/statements_service.h>

#include "forward_codec.h"

#include <cyclamendrift/callers/request_checks.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/sessions/session_error.h>
#include <cyclamendrift/sessions/session_token.h>

#include <utility>

namespace cyclamendrift {

namespace {

/// The balancer needs about this long to see that a VM is not ready.
constexpr auto comeBackElsewhere = std::chrono::milliseconds { 100 };
constexpr auto comeBackForConfiguration = std::chrono::milliseconds { 500 };

RequestError badRequest(std::string message)
{
    return RequestError {
        { .outcome = Outcome::NotRun, .reason = RefusalReason::BadRequest, .message = std::move(message) }
    };
}

SessionToken tokenFrom(const std::string& text)
{
    try {
        return SessionToken::decode(text);
    } catch (const SessionError& error) {
        throw badRequest(std::string { "session_token: " } + error.what());
    }
}

/// Refuses before anything ran when the answer could not be put into the session's token afterwards.
SessionToken tokenFrom(const std::string& text, const DatabaseName& database)
{
    auto token = tokenFrom(text);
    if (!token.hasRoomFor(database))
        throw badRequest("session_token names as many databases as it can; begin a new session");
    return token;
}

template <class Request> DatabaseName databaseOf(const Request& request)
{
    return { ServiceName { request.service() }, request.database() };
}

const google::protobuf::MethodDescriptor& method(const char* name)
{
    return *api::Statements::descriptor()->FindMethodByName(name);
}

} // namespace

StatementsService::StatementsService(Options options)
    : options(std::move(options))
{
}

void StatementsService::addTo(RpcDispatcher& dispatcher)
{
    dispatcher.add<api::ExecuteRequest, api::ExecuteResponse>(
        method("Execute"), [this](RpcContext context, api::ExecuteRequest request) {
            return this->execute(std::move(context), std::move(request));
        });
    dispatcher.add<api::BeginRequest, api::BeginResponse>(
        method("Begin"), [this](RpcContext context, api::BeginRequest request) {
            return this->begin(std::move(context), std::move(request));
        });
    dispatcher.add<api::EndRequest, api::EndResponse>(
        method("Commit"), [this](RpcContext context, api::EndRequest request) {
            return this->end(std::move(context), std::move(request), true);
        });
    dispatcher.add<api::EndRequest, api::EndResponse>(
        method("Rollback"), [this](RpcContext context, api::EndRequest request) {
            return this->end(std::move(context), std::move(request), false);
        });
}

asio::awaitable<api::ExecuteResponse> StatementsService::execute(
    RpcContext context, api::ExecuteRequest request)
{
    const auto caller = this->options.fleet->authenticate(context.bearer);
    check(request);
    if (request.transaction_id().empty())
        this->refuseWhenDraining();
    const auto database = databaseOf(request);
    auto token = tokenFrom(request.session_token(), database);
    this->checkAccess(caller, database);
    const auto deadline = deadlineOf(context.received, request.timeout_ms(), this->options.requestTimeout);
    const auto handle = this->handleOf(request, database);
    co_await this->options.fleet->admit(caller.team, deadline);

    HomeRequest home { .id = RequestId { request.request_id() },
        .team = caller.team,
        .key = caller.key,
        .database = database,
        .statement = statementFrom(request),
        .access = accessOf(request),
        .priority = priorityOf(request.priority()),
        .seen = token.progressOf(database),
        .deadline = deadline,
        .traceparent = std::move(context.traceparent) };
    const auto answer = co_await this->route(std::move(home), handle);
    token.observe(database, answer.seen);
    api::ExecuteResponse response;
    response.set_request_id(request.request_id());
    response.set_session_token(token.encode());
    fillResponse(answer, response);
    co_return response;
}

asio::awaitable<api::BeginResponse> StatementsService::begin(RpcContext context, api::BeginRequest request)
{
    const auto caller = this->options.fleet->authenticate(context.bearer);
    check(request);
    this->refuseWhenDraining();
    const auto database = databaseOf(request);
    const auto token = tokenFrom(request.session_token(), database);
    this->checkAccess(caller, database);
    const auto deadline = deadlineOf(context.received, request.timeout_ms(), this->options.requestTimeout);
    co_await this->options.fleet->admit(caller.team, deadline);
    BeginHomeRequest home { .id = RequestId { request.request_id() },
        .team = caller.team,
        .key = caller.key,
        .database = database,
        .priority = priorityOf(request.priority()),
        .seen = token.progressOf(database),
        .deadline = deadline,
        .traceparent = std::move(context.traceparent) };
    api::BeginResponse response;
    response.set_request_id(request.request_id());
    response.set_transaction_id(co_await this->options.router->begin(std::move(home)));
    co_return response;
}

// The end of a transaction takes nothing out of the team's rate: refusing it would hold its connection
// longer.
asio::awaitable<api::EndResponse> StatementsService::end(
    RpcContext context, api::EndRequest request, bool commit)
{
    const auto caller = this->options.fleet->authenticate(context.bearer);
    check(request);
    const auto handle = this->options.router->open(request.transaction_id());
    auto token = tokenFrom(request.session_token(), handle.database);
    EndHomeRequest home { .id = RequestId { request.request_id() },
        .team = caller.team,
        .key = caller.key,
        .transaction = handle.transaction,
        .commit = commit,
        .deadline = deadlineOf(context.received, request.timeout_ms(), this->options.requestTimeout),
        .traceparent = std::move(context.traceparent) };
    const auto seen = co_await this->options.router->end(std::move(home), handle);
    token.observe(handle.database, seen);
    api::EndResponse response;
    response.set_request_id(request.request_id());
    response.set_outcome(api::OUTCOME_DONE);
    response.set_session_token(token.encode());
    co_return response;
}

std::optional<TransactionHandle> StatementsService::handleOf(
    const api::ExecuteRequest& request, const DatabaseName& database) const
{
    if (request.transaction_id().empty())
        return std::nullopt;
    auto handle = this->options.router->open(request.transaction_id());
    if (handle.database != database)
        throw badRequest("the transaction belongs to database " + handle.database.path());
    return handle;
}

asio::awaitable<HomeAnswer> StatementsService::route(
    HomeRequest request, std::optional<TransactionHandle> handle) const
{
    if (handle)
        return this->options.router->execute(std::move(request), std::move(*handle));
    return this->options.router->execute(std::move(request));
}

void StatementsService::checkAccess(const CallerIdentity& caller, const DatabaseName& database)
{
    const auto snapshot = this->options.fleet->configuration();
    if (!snapshot)
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::StoreUnavailable,
            .message = "this proxy has no configuration yet",
            .retryAfter = comeBackForConfiguration } };
    this->index.indexOf(*snapshot)->checkAccess(caller.team, database);
}

void StatementsService::refuseWhenDraining() const
{
    if (this->draining)
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::ShuttingDown,
            .message = "this proxy is shutting down",
            .retryAfter = comeBackElsewhere } };
}

} // namespace cyclamendrift

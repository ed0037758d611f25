#include "forward_codec.h"

#include <cyclamendrift/callers/request_checks.h>

#include <utility>

namespace cyclamendrift {

namespace {

void setValue(const Value& value, api::Value& message)
{
    if (value)
        message.set_text(*value);
    else
        message.set_null(true);
}

Value valueFrom(const api::Value& message)
{
    return message.kind_case() == api::Value::kText ? Value { message.text() } : std::nullopt;
}

/// Puts an access into the fields of a request.
struct AccessWriter {
    api::ExecuteRequest& request;

    void operator()(PrimaryRead) const { this->request.mutable_read()->set_primary(true); }
    void operator()(SessionRead) const { this->request.mutable_read()->set_session(true); }
    void operator()(const BoundedRead& read) const
    {
        const std::chrono::duration<double> bound { read.maxStaleness };
        this->request.mutable_read()->set_max_staleness_seconds(bound.count());
    }
    void operator()(const Write& write) const
    {
        this->request.mutable_write()->set_idempotent(write.idempotent);
    }
};

api::Priority wirePriority(Priority priority) noexcept
{
    return priority == Priority::High ? api::PRIORITY_HIGH : api::PRIORITY_NORMAL;
}

template <class Request> wire::ForwardedCaller callerOf(const Request& request)
{
    wire::ForwardedCaller caller;
    caller.set_team(request.team.string());
    caller.set_key_id(request.key.string());
    return caller;
}

template <class Message> DatabaseName databaseOf(const Message& message)
{
    return { ServiceName { message.service() }, message.database() };
}

RowSet rowsFrom(const api::ExecuteResponse& response)
{
    RowSet rows { .columns = { response.columns().begin(), response.columns().end() },
        .affectedRows = response.affected_rows() };
    for (const auto& row : response.rows()) {
        auto& values = rows.rows.emplace_back();
        for (const auto& value : row.values())
            values.push_back(valueFrom(value));
    }
    return rows;
}

} // namespace

wire::ForwardedExecute forwardedFrom(const HomeRequest& request)
{
    wire::ForwardedExecute message;
    *message.mutable_caller() = callerOf(request);
    *message.mutable_seen() = wireProgress(request.seen);
    auto& inner = *message.mutable_request();
    inner.set_request_id(request.id.string());
    inner.set_service(request.database.service.string());
    inner.set_database(request.database.name);
    inner.set_statement(request.statement.text);
    for (const auto& parameter : request.statement.parameters)
        setValue(parameter, *inner.add_parameters());
    std::visit(AccessWriter { inner }, request.access);
    inner.set_priority(wirePriority(request.priority));
    if (request.transaction)
        inner.set_transaction_id(request.transaction->string());
    return message;
}

wire::ForwardedBegin forwardedFrom(const BeginHomeRequest& request)
{
    wire::ForwardedBegin message;
    *message.mutable_caller() = callerOf(request);
    *message.mutable_seen() = wireProgress(request.seen);
    auto& inner = *message.mutable_request();
    inner.set_request_id(request.id.string());
    inner.set_service(request.database.service.string());
    inner.set_database(request.database.name);
    inner.set_priority(wirePriority(request.priority));
    return message;
}

wire::ForwardedEnd forwardedFrom(const EndHomeRequest& request, const DatabaseName& database)
{
    wire::ForwardedEnd message;
    *message.mutable_caller() = callerOf(request);
    message.set_request_id(request.id.string());
    message.set_service(database.service.string());
    message.set_database(database.name);
    message.set_transaction_id(request.transaction.string());
    message.set_commit(request.commit);
    return message;
}

HomeRequest homeRequestFrom(const wire::ForwardedExecute& message, CallContext context)
{
    const auto& inner = message.request();
    HomeRequest request { .id = RequestId { inner.request_id() },
        .team = TeamName { message.caller().team() },
        .key = KeyId { message.caller().key_id() },
        .database = databaseOf(inner),
        .statement = statementFrom(inner),
        .access = accessOf(inner),
        .priority = priorityOf(inner.priority()),
        .seen = progressFrom(message.seen()),
        .deadline = context.deadline,
        .traceparent = std::move(context.traceparent) };
    if (!inner.transaction_id().empty())
        request.transaction = TransactionId { inner.transaction_id() };
    return request;
}

BeginHomeRequest homeRequestFrom(const wire::ForwardedBegin& message, CallContext context)
{
    return { .id = RequestId { message.request().request_id() },
        .team = TeamName { message.caller().team() },
        .key = KeyId { message.caller().key_id() },
        .database = databaseOf(message.request()),
        .priority = priorityOf(message.request().priority()),
        .seen = progressFrom(message.seen()),
        .deadline = context.deadline,
        .traceparent = std::move(context.traceparent) };
}

EndHomeRequest homeRequestFrom(const wire::ForwardedEnd& message, CallContext context)
{
    return { .id = RequestId { message.request_id() },
        .team = TeamName { message.caller().team() },
        .key = KeyId { message.caller().key_id() },
        .transaction = TransactionId { message.transaction_id() },
        .commit = message.commit(),
        .deadline = context.deadline,
        .traceparent = std::move(context.traceparent) };
}

wire::ForwardedExecuteAnswer forwardedFrom(const HomeAnswer& answer)
{
    wire::ForwardedExecuteAnswer message;
    fillResponse(answer, *message.mutable_response());
    *message.mutable_seen() = wireProgress(answer.seen);
    return message;
}

HomeAnswer homeAnswerFrom(const wire::ForwardedExecuteAnswer& message)
{
    return { .rows = rowsFrom(message.response()),
        .seen = progressFrom(message.seen()),
        .replayed = message.response().replayed(),
        .slot = SlotName { message.response().slot() } };
}

Statement statementFrom(const api::ExecuteRequest& request)
{
    Statement statement { .text = request.statement() };
    for (const auto& parameter : request.parameters())
        statement.parameters.push_back(valueFrom(parameter));
    return statement;
}

void fillResponse(const HomeAnswer& answer, api::ExecuteResponse& response)
{
    response.set_outcome(api::OUTCOME_DONE);
    response.set_affected_rows(answer.rows.affectedRows);
    response.set_replayed(answer.replayed);
    response.set_slot(answer.slot.string());
    for (const auto& column : answer.rows.columns)
        response.add_columns(column);
    for (const auto& row : answer.rows.rows) {
        auto& message = *response.add_rows();
        for (const auto& value : row)
            setValue(value, *message.add_values());
    }
}

void fillStatus(const HomeStatus& status, api::DatabaseStatus& message)
{
    message.set_term(static_cast<std::uint64_t>(status.term));
    message.set_primary(status.primary.string());
    message.set_state(status.state);
}

} // namespace cyclamendrift

#include <cyclamendrift/proxy/forward_service.h>

#include "forward_codec.h"
#include "group_service.h"

#include <cyclamendrift/core/request_error.h>

#include <utility>

namespace cyclamendrift {

namespace {

/// Counts a call for as long as it lives.
class CallCount {
public:
    explicit CallCount(std::atomic<std::size_t>& count) noexcept
        : count(count)
    {
        ++this->count;
    }
    CallCount(const CallCount&) = delete;
    CallCount& operator=(const CallCount&) = delete;
    ~CallCount() { --this->count; }

private:
    std::atomic<std::size_t>& count;
};

RequestError badRequest(std::string message)
{
    return RequestError {
        { .outcome = Outcome::NotRun, .reason = RefusalReason::BadRequest, .message = std::move(message) }
    };
}

template <class Message> Message parsed(const std::string& body)
{
    Message message;
    if (!message.ParseFromString(body))
        throw badRequest("the body is not a valid " + message.GetTypeName());
    return message;
}

CallContext contextOf(IncomingSiblingCall& call)
{
    return { .deadline = call.deadline, .traceparent = std::move(call.traceparent) };
}

} // namespace

ForwardService::ForwardService(Options options)
    : options(std::move(options))
{
}

asio::awaitable<std::string> ForwardService::handle(IncomingSiblingCall call)
{
    const CallCount counted { this->calls };
    if (call.method == forward_method::execute)
        co_return co_await this->execute(std::move(call));
    if (call.method == forward_method::begin)
        co_return co_await this->begin(std::move(call));
    if (call.method == forward_method::end)
        co_return co_await this->end(std::move(call));
    if (call.method == forward_method::homeStatus)
        co_return this->homeStatus(call);
    if (call.method == slotOpinionMethod)
        co_return co_await this->options.slotOpinion(std::move(call));
    auto answer = co_await this->options.fleet->handle(call.from, call.method, std::move(call.body));
    if (!answer)
        throw badRequest("siblings have no method " + call.method);
    co_return std::move(*answer);
}

asio::awaitable<std::string> ForwardService::execute(IncomingSiblingCall call)
{
    const auto message = parsed<wire::ForwardedExecute>(call.body);
    const auto answer = co_await this->options.homes->execute(homeRequestFrom(message, contextOf(call)));
    co_return forwardedFrom(answer).SerializeAsString();
}

asio::awaitable<std::string> ForwardService::begin(IncomingSiblingCall call)
{
    const auto message = parsed<wire::ForwardedBegin>(call.body);
    const auto transaction = co_await this->options.homes->begin(homeRequestFrom(message, contextOf(call)));
    wire::ForwardedBeginAnswer answer;
    answer.set_transaction_id(transaction.string());
    co_return answer.SerializeAsString();
}

asio::awaitable<std::string> ForwardService::end(IncomingSiblingCall call)
{
    const auto message = parsed<wire::ForwardedEnd>(call.body);
    const DatabaseName database { ServiceName { message.service() }, message.database() };
    const auto seen = co_await this->options.homes->end(database, homeRequestFrom(message, contextOf(call)));
    wire::ForwardedEndAnswer answer;
    *answer.mutable_seen() = wireProgress(seen);
    co_return answer.SerializeAsString();
}

std::string ForwardService::homeStatus(const IncomingSiblingCall& call) const
{
    auto message = parsed<api::DatabaseStatus>(call.body);
    const DatabaseName database { ServiceName { message.service() }, message.database() };
    if (const auto status = this->options.homes->statusOf(database))
        fillStatus(*status, message);
    return message.SerializeAsString();
}

} // namespace cyclamendrift

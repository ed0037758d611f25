#include <cyclamendrift/proxy/home_router.h>

#include "forward_codec.h"

#include <cyclamendrift/siblings/sibling_error.h>

#include <exception>
#include <optional>
#include <utility>
#include <variant>

namespace cyclamendrift {

namespace {

constexpr auto comeBackForHome = std::chrono::milliseconds { 300 };

/// What running a request a second time at another home would do.
enum class Repetition : std::uint8_t {
    /// Nothing, as it changes nothing.
    Read,
    /// No harm, as its caller said.
    Idempotent,
    /// It might take effect twice.
    Forbidden,
};

/// Why a home gave no answer, and whether another one may be asked.
struct Failure {
    RequestError refusal;
    bool tryNext = false;
};

Repetition repetitionOf(const Access& access) noexcept
{
    const auto* write = std::get_if<Write>(&access);
    if (write == nullptr)
        return Repetition::Read;
    return write->idempotent ? Repetition::Idempotent : Repetition::Forbidden;
}

RequestError unreachable(const std::string& what)
{
    return RequestError { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::UpstreamLost,
        .message = "the home proxy can't be reached: " + what,
        .retryAfter = comeBackForHome } };
}

/// The stream ended with the request in flight. The home may have run it, may still run it, or never saw it.
RequestError lost(const std::string& what, Repetition repetition, Instant deadline)
{
    const bool late = std::chrono::steady_clock::now() >= deadline;
    return RequestError { { .outcome = repetition == Repetition::Read ? Outcome::NotRun : Outcome::Unknown,
        .reason = late ? RefusalReason::DeadlineExceeded : RefusalReason::UpstreamLost,
        .message = "the home proxy did not answer: " + what,
        .retryAfter = comeBackForHome } };
}

Failure failureFrom(const SiblingError& error, Repetition repetition, Instant deadline)
{
    switch (error.kind()) {
    case SiblingError::Kind::Unreachable:
    case SiblingError::Kind::NotAuthenticated:
        return { unreachable(error.what()), true };
    case SiblingError::Kind::OutcomeUnknown:
    case SiblingError::Kind::BadAnswer:
        break;
    }
    // Asking the second home to run a reservation whose first run was lost could give one bed to two
    // patients. The caller may ask again with the same request id, which the ledger of the database
    // recognises.
    return { lost(error.what(), repetition, deadline), repetition != Repetition::Forbidden };
}

/// A home that is stopping has not run the request and another may; any other refusal is meant for the
/// caller.
Failure failureFrom(const RequestError& error)
{
    return { error, error.outcome() == Outcome::NotRun && error.reason() == RefusalReason::ShuttingDown };
}

template <class Answer> using Attempt = std::variant<Answer, Failure>;

/// Awaits an answer and turns what it throws into a Failure.
template <class Answer>
asio::awaitable<Attempt<Answer>> attempt(
    asio::awaitable<Answer> answer, Repetition repetition, Instant deadline)
{
    try {
        co_return co_await std::move(answer);
    } catch (const SiblingError& error) {
        co_return failureFrom(error, repetition, deadline);
    } catch (const RequestError& error) {
        co_return failureFrom(error);
    }
}

template <class Message> Message parsed(const std::string& body)
{
    Message message;
    if (!message.ParseFromString(body))
        throw SiblingError(
            SiblingError::Kind::BadAnswer, "the answer is not a valid " + message.GetTypeName());
    return message;
}

} // namespace

HomeRouter::HomeRouter(Options options)
    : options(std::move(options))
    , codec(this->options.secret)
{
}

asio::awaitable<HomeAnswer> HomeRouter::execute(HomeRequest request) const
{
    const auto repetition = repetitionOf(request.access);
    auto refusal = unreachable("none is known");
    for (auto& home : this->options.fleet->homesOf(request.database)) {
        auto result = co_await attempt(this->executeAt(home, request), repetition, request.deadline);
        if (auto* answer = std::get_if<HomeAnswer>(&result))
            co_return std::move(*answer);
        const auto& failure = std::get<Failure>(result);
        refusal = failure.refusal;
        if (!failure.tryNext || std::chrono::steady_clock::now() >= request.deadline)
            break;
    }
    throw RequestError { refusal };
}

asio::awaitable<HomeAnswer> HomeRouter::execute(HomeRequest request, TransactionHandle handle) const
{
    const auto repetition = repetitionOf(request.access);
    const auto deadline = request.deadline;
    request.transaction = handle.transaction;
    auto result = co_await attempt(this->executeAt(handle.home, std::move(request)), repetition, deadline);
    if (auto* answer = std::get_if<HomeAnswer>(&result))
        co_return std::move(*answer);
    throw RequestError { std::get<Failure>(result).refusal };
}

asio::awaitable<std::string> HomeRouter::begin(BeginHomeRequest request) const
{
    auto refusal = unreachable("none is known");
    for (auto& home : this->options.fleet->homesOf(request.database)) {
        // An opened transaction that its caller never hears of is rolled back by its home: repeating is safe.
        auto result = co_await attempt(this->beginAt(home, request), Repetition::Read, request.deadline);
        if (auto* transaction = std::get_if<TransactionId>(&result))
            co_return this->codec.seal(
                { .home = home, .database = request.database, .transaction = std::move(*transaction) });
        const auto& failure = std::get<Failure>(result);
        refusal = failure.refusal;
        if (!failure.tryNext || std::chrono::steady_clock::now() >= request.deadline)
            break;
    }
    throw RequestError { refusal };
}

asio::awaitable<Progress> HomeRouter::end(EndHomeRequest request, TransactionHandle handle) const
{
    if (this->isLocal(handle.home))
        co_return co_await this->options.homes->end(handle.database, std::move(request));
    const auto deadline = request.deadline;
    const SiblingCall call { .method = forward_method::end,
        .body = forwardedFrom(request, handle.database).SerializeAsString(),
        .deadline = deadline,
        .traceparent = request.traceparent };
    // A rollback that was lost changes nothing: without its commit the transaction never takes effect.
    const auto repetition = request.commit ? Repetition::Forbidden : Repetition::Read;
    auto result = co_await attempt(this->options.callSibling(handle.home, call), repetition, deadline);
    if (const auto* body = std::get_if<std::string>(&result))
        co_return progressFrom(parsed<wire::ForwardedEndAnswer>(*body).seen());
    throw RequestError { std::get<Failure>(result).refusal };
}

TransactionHandle HomeRouter::open(std::string_view transactionId) const
{
    auto handle = this->codec.open(transactionId);
    if (!handle)
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::UnknownTransaction,
            .message = "transaction_id is not one that Begin returned" } };
    return std::move(*handle);
}

asio::awaitable<HomeAnswer> HomeRouter::executeAt(SiblingAddress home, HomeRequest request) const
{
    if (this->isLocal(home))
        co_return co_await this->options.homes->execute(std::move(request));
    SiblingCall call { .method = forward_method::execute,
        .body = forwardedFrom(request).SerializeAsString(),
        .deadline = request.deadline,
        .traceparent = std::move(request.traceparent) };
    const auto body = co_await this->options.callSibling(std::move(home), std::move(call));
    co_return homeAnswerFrom(parsed<wire::ForwardedExecuteAnswer>(body));
}

asio::awaitable<TransactionId> HomeRouter::beginAt(SiblingAddress home, BeginHomeRequest request) const
{
    if (this->isLocal(home))
        co_return co_await this->options.homes->begin(std::move(request));
    SiblingCall call { .method = forward_method::begin,
        .body = forwardedFrom(request).SerializeAsString(),
        .deadline = request.deadline,
        .traceparent = std::move(request.traceparent) };
    const auto body = co_await this->options.callSibling(std::move(home), std::move(call));
    co_return TransactionId { parsed<wire::ForwardedBeginAnswer>(body).transaction_id() };
}

} // namespace cyclamendrift

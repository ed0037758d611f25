// How a change by an operator, or of the fleet's own, goes through the store.

#include "fleet_configuration.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/platform/store_error.h>

#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration changeTimeout = std::chrono::seconds { 10 };
constexpr Duration retryPause = std::chrono::milliseconds { 200 };
/// When an operator should come back.
constexpr Duration retryUnconfirmed = std::chrono::seconds { 1 };
constexpr Duration retryUnavailable = std::chrono::seconds { 8 };

} // namespace

asio::awaitable<WriterAction> FleetConfiguration::swapStore(ConfigurationWriter& writer, SwapDocument swap)
{
    SwapOptions options { .key = configurationKey,
        .expectedRevision = swap.expectedStoreRevision,
        .value = swap.document->SerializeAsString() };
    const auto outcome = co_await this->context->options.store.compareAndSwap(std::move(options));
    this->noteStore(true);
    const auto* conflict = std::get_if<SwapConflict>(&outcome);
    if (!conflict)
        co_return writer.onSwapped();
    std::optional<StoredDocument> stored;
    if (conflict->current) {
        const auto& current = *conflict->current;
        stored
            = StoredDocument { .storeRevision = current.revision, .document = parseDocument(current.value) };
        this->adopt(stored->document);
    }
    co_return writer.onRead(stored);
}

// Here and elsewhere nothing but plain locals is passed into co_await: g++ 12 destroys temporaries made from
// braces there twice.
asio::awaitable<WriterAction> FleetConfiguration::perform(
    ConfigurationWriter& writer, WriterAction action, Instant deadline)
{
    const bool mayRetry = this->context->now() < deadline;
    const auto* swap = std::get_if<SwapDocument>(&action);
    WriterAction next = ReadDocument {};
    try {
        if (swap) {
            next = co_await this->swapStore(writer, *swap);
        } else {
            const auto stored = co_await this->readStore();
            next = writer.onRead(stored);
        }
    } catch (const StoreError& error) {
        this->noteStore(error.kind() == StoreError::Kind::BadAnswer);
        next = writer.onStoreFailure(error.kind() != StoreError::Kind::Unreachable, mayRetry);
    }
    co_return next;
}

asio::awaitable<api::ApplyResponse> FleetConfiguration::change(std::string changeId, ConfigurationEdit edit)
{
    const auto deadline = this->context->now() + changeTimeout;
    ConfigurationWriter writer { { .changeId = std::move(changeId),
        .author = this->context->options.self.vm.string(),
        .edit = std::move(edit),
        .finish = this->callbacks.finish } };
    auto action = writer.start();
    bool failedBefore = false;
    while (!std::holds_alternative<ChangeDone>(action)) {
        if (const auto* failed = std::get_if<ChangeFailed>(&action)) {
            const auto reason = failed->kind == ChangeFailed::Kind::Conflict ? RefusalReason::Conflict
                : failed->kind == ChangeFailed::Kind::Invalid                ? RefusalReason::BadRequest
                                                              : RefusalReason::StoreUnavailable;
            const auto retryAfter
                = reason == RefusalReason::StoreUnavailable ? retryUnavailable : Duration {};
            throw RequestError { { .outcome = failed->outcome,
                .reason = reason,
                .message = failed->message,
                .retryAfter = retryAfter } };
        }
        const bool retrying = failedBefore && std::holds_alternative<ReadDocument>(action);
        if (retrying)
            co_await this->context->sleep(this->context->jittered(retryPause));
        failedBefore = true;
        action = co_await this->perform(writer, std::move(action), deadline);
    }
    const auto done = std::get<ChangeDone>(std::move(action));
    this->adopt(done.document);
    const bool accepted = co_await this->awaitAcceptance(done.document, deadline);
    if (!accepted) {
        // In the store, so it comes into force wherever it is learned; but a part of the fleet that is cut
        // off could still act on the older document, and saying "accepted" would be untrue.
        throw RequestError { { .outcome = Outcome::Unknown,
            .reason = RefusalReason::NotConfirmed,
            .message = "revision " + std::to_string(done.revision)
                + " is stored, but too few VMs have confirmed it; repeat with the same change id",
            .retryAfter = retryUnconfirmed } };
    }
    api::ApplyResponse response;
    response.set_revision(done.revision);
    response.set_already_applied(done.alreadyApplied);
    co_return response;
}

} // namespace cyclamendrift

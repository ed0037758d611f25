#include "fleet_configuration.h"

#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/schema/duration_codec.h>

#include <asio/bind_cancellation_slot.hpp>

#include <random>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration firstBackoff = std::chrono::seconds { 1 };
constexpr Duration longestBackoff = std::chrono::seconds { 8 };
/// A process without a document asks its siblings for so long before it asks the store.
constexpr Duration siblingsFirst = std::chrono::milliseconds { 1200 };
/// Processes that start together ask the store spread over a time in which no more than these ask in a
/// second.
constexpr double startersPerSecond = 50;
/// How often a witness reads the store although it watches it: a watch that went silent shows no error.
constexpr Duration witnessReadInterval = std::chrono::seconds { 10 };
/// How often any other process does, at least; all of them together read a few times per second at most.
constexpr Duration readInterval = std::chrono::seconds { 60 };
constexpr std::size_t readersPerSecond = 2;
/// The store is asked when trust lasts no longer than this.
constexpr Duration trustReserve = std::chrono::seconds { 3 };
constexpr Duration acceptancePause = std::chrono::milliseconds { 200 };
constexpr Duration acceptanceLook = std::chrono::milliseconds { 10 };

} // namespace

DocumentPointer FleetConfiguration::parseDocument(const std::string& value)
{
    auto document = std::make_shared<wire::ConfigurationDocument>();
    if (!document->ParseFromString(value))
        throw StoreError { StoreError::Kind::BadAnswer, "the configuration document cannot be parsed" };
    return document;
}

FleetConfiguration::FleetConfiguration(std::shared_ptr<FleetContext> context, Callbacks callbacks)
    : context(std::move(context))
    , callbacks(std::move(callbacks))
    , startedAt(this->context->now())
    , backoff(firstBackoff)
{
    this->startShare = std::uniform_real_distribution<double> {}(this->context->random);
    this->nextPeriodicRead = this->startedAt + this->context->jittered(readInterval);
}

std::shared_ptr<const PublishedConfiguration> FleetConfiguration::published() const
{
    return this->visible.load();
}

bool FleetConfiguration::isTrusted(Instant now) const noexcept { return now < this->trustedUntil.load(); }

void FleetConfiguration::setListed(std::span<const VmName> listed)
{
    this->listedCount = listed.size();
    this->trust.setWitnesses(selectWitnesses(listed));
    if (!this->listKnown)
        this->nextPeriodicRead = this->context->now() + this->context->jittered(this->periodicInterval());
    this->listKnown = true;
    this->updateTrust();
}

void FleetConfiguration::adoptInitial(DocumentPointer document)
{
    this->hasInitial = true;
    this->adopt(std::move(document));
}

void FleetConfiguration::adopt(DocumentPointer document)
{
    const auto before = this->state.document();
    if (!this->state.offer(std::move(document)))
        return;
    const auto& after = this->state.document();
    auto next = std::make_shared<PublishedConfiguration>();
    next->snapshot = std::make_shared<const ConfigurationSnapshot>(
        ConfigurationSnapshot { .revision = after->revision(), .schema = after->schema() });
    next->keys = KeyRing { after->schema() };
    this->visible.store(std::move(next));
    this->updateTrust();
    this->callbacks.onDocument(before, after);
    this->callbacks.announce();
}

void FleetConfiguration::updateTrust()
{
    const auto now = this->context->now();
    const auto& self = this->context->options.self.vm;
    if (this->storeConfirmed && this->trust.isWitness(self))
        this->trust.onStatement({ .witness = self, .sequence = this->sequence(), .madeAt = now });
    // Also without a document: a quorum that says "there is none yet" spares the store the question.
    this->confirmedUntil = this->trust.trustedUntil(this->sequence());
    auto until = this->state.document() ? this->confirmedUntil : Instant::min();
    if (this->hasInitial && !this->storeConfirmed)
        until = Instant::max();
    this->trustedUntil.store(until);
}

void FleetConfiguration::tick(Instant now)
{
    this->updateTrust();
    this->readStoreIfDue(now);
    this->watchIfDue(now);
}

bool FleetConfiguration::isWitness() const { return this->trust.isWitness(this->context->options.self.vm); }

void FleetConfiguration::readStoreIfDue(Instant now)
{
    if (this->reading || now < this->nextRead)
        return;
    // Siblings are asked first: thousands of processes that start together must not all ask the store.
    const std::chrono::duration<double> spread { this->startShare * static_cast<double>(this->listedCount)
        / startersPerSecond };
    const bool siblingsHadTime = now - this->startedAt > siblingsFirst + spread;
    const bool alone = this->listedCount < 2 && (this->listKnown || siblingsHadTime);
    const bool first = !this->storeConfirmed && (alone || this->isWitness());
    const bool lapsing = (alone || siblingsHadTime) && this->confirmedUntil < now + trustReserve;
    const bool periodic = now >= this->nextPeriodicRead;
    if (!first && !lapsing && !periodic)
        return;
    this->reading = true;
    this->context->spawn(readOnce(this->context->hold(this)));
}

Duration FleetConfiguration::periodicInterval() const
{
    const Duration crowd = std::chrono::seconds { this->listedCount / readersPerSecond };
    return this->isWitness() ? witnessReadInterval : std::max(readInterval, crowd);
}

asio::awaitable<void> FleetConfiguration::readOnce(std::shared_ptr<FleetConfiguration> self)
{
    try {
        const auto stored = co_await self->readStore();
        static_cast<void>(stored);
        self->nextRead = self->context->now() + self->context->jittered(trustReserve / 2);
        self->nextPeriodicRead = self->context->now() + self->context->jittered(self->periodicInterval());
    } catch (const std::exception&) {
        // Who can wait is not among those who ask a store that comes back.
        self->nextRead = self->context->now() + self->context->jittered(self->backoff);
        self->nextPeriodicRead = self->context->now() + self->context->jittered(self->periodicInterval());
    }
    self->reading = false;
}

void FleetConfiguration::noteStore(bool answered)
{
    this->storeReachable = answered;
    // When the store comes back after an outage every process wants it at once; doubling, jittered pauses
    // keep the first seconds of its life bearable.
    this->backoff = answered ? firstBackoff : std::min(this->backoff * 2, longestBackoff);
}

asio::awaitable<std::optional<StoredDocument>> FleetConfiguration::readStore()
{
    const auto asked = this->context->now();
    std::optional<StoreEntry> entry;
    try {
        entry = co_await this->context->options.store.get(configurationKey);
    } catch (const StoreError&) {
        this->noteStore(false);
        throw;
    }
    this->noteStore(true);
    std::optional<StoredDocument> stored;
    if (entry) {
        stored = { .storeRevision = entry->revision, .document = parseDocument(entry->value) };
        this->storeRevision = entry->revision;
    }
    this->storeConfirmed = true;
    this->trust.onStoreRead(stored ? stored->document->sequence() : 0, asked);
    if (stored)
        this->adopt(stored->document);
    this->updateTrust();
    co_return stored;
}

void FleetConfiguration::watchIfDue(Instant now)
{
    const bool witness = this->isWitness() || !this->listKnown;
    if (this->watching && !witness) {
        this->watchCancel.emit(asio::cancellation_type::all);
        return;
    }
    if (this->watching || !witness || !this->storeConfirmed || now < this->nextWatch)
        return;
    this->watching = true;
    asio::co_spawn(this->context->options.executor, watch(this->context->hold(this)),
        asio::bind_cancellation_slot(this->watchCancel.slot(), asio::detached));
}

asio::awaitable<void> FleetConfiguration::watch(std::shared_ptr<FleetConfiguration> self)
{
    std::weak_ptr<FleetConfiguration> weak = self;
    const auto onChange = [weak](const StoreChange& change) {
        const auto alive = weak.lock();
        if (!alive || change.key != configurationKey || !change.value)
            return;
        alive->storeRevision = std::max(alive->storeRevision, change.revision);
        alive->noteStore(true);
        alive->adopt(parseDocument(*change.value));
    };
    try {
        co_await self->context->options.store.watch(configurationKey, self->storeRevision + 1, onChange);
    } catch (const std::exception&) {
        // What was missed is read again before the next watch, whatever the reason for the break.
        self->nextPeriodicRead = self->context->now();
    }
    self->watching = false;
    self->nextWatch = self->context->now() + self->context->jittered(self->backoff);
}

void FleetConfiguration::stop() { this->watchCancel.emit(asio::cancellation_type::all); }

void FleetConfiguration::onPeerSequence(const SiblingAddress& peer, std::uint64_t sequence)
{
    if (this->pulling || sequence <= this->sequence())
        return;
    this->pulling = true;
    this->context->spawn(pull(this->context->hold(this), peer));
}

asio::awaitable<void> FleetConfiguration::pull(std::shared_ptr<FleetConfiguration> self, SiblingAddress peer)
{
    try {
        wire::ConfigurationPull request;
        request.set_sequence(self->sequence());
        auto answer = co_await self->context->call<wire::ConfigurationPullAnswer>(
            peer, fleet_method::pull, request, documentTimeout);
        if (answer.has_document())
            self->adopt(std::make_shared<wire::ConfigurationDocument>(std::move(*answer.mutable_document())));
    } catch (const std::exception&) {
        // The next heartbeat with anybody who has it starts another pull.
    }
    self->pulling = false;
}

wire::ConfigurationPullAnswer FleetConfiguration::handlePull(const wire::ConfigurationPull& request) const
{
    wire::ConfigurationPullAnswer answer;
    if (this->sequence() > request.sequence())
        *answer.mutable_document() = *this->document();
    return answer;
}

wire::ConfigurationPushAnswer FleetConfiguration::handlePush(const wire::ConfigurationPush& request)
{
    this->adopt(std::make_shared<wire::ConfigurationDocument>(request.document()));
    wire::ConfigurationPushAnswer answer;
    answer.set_witness(this->storeConfirmed);
    answer.set_sequence(this->sequence());
    return answer;
}

void FleetConfiguration::onStatements(
    const google::protobuf::RepeatedPtrField<wire::WitnessStatement>& statements, Instant askedAt)
{
    for (const auto& statement : statements) {
        const VmName witness { statement.witness() };
        // Only this process speaks for itself: an echo of an earlier process of this VM says nothing about
        // now.
        if (witness == this->context->options.self.vm)
            continue;
        this->trust.onStatement({ .witness = witness,
            .sequence = statement.sequence(),
            .madeAt = askedAt - durationFrom(statement.age_us()) });
    }
    this->updateTrust();
}

void FleetConfiguration::writeStatements(wire::HeartbeatAnswer& answer)
{
    this->updateTrust();
    const auto now = this->context->now();
    for (const auto& known : this->trust.statements()) {
        auto& statement = *answer.add_statements();
        statement.set_witness(known.witness.string());
        statement.set_sequence(known.sequence);
        statement.set_age_us(wireMicroseconds(now - known.madeAt));
    }
}

void FleetConfiguration::pushToWitnesses(const DocumentPointer& document)
{
    for (const auto& witness : this->trust.witnesses()) {
        if (witness == this->context->options.self.vm)
            continue;
        if (auto address = this->callbacks.findAddress(witness))
            this->context->spawn(push(this->context->hold(this), *std::move(address), document));
    }
}

asio::awaitable<void> FleetConfiguration::push(
    std::shared_ptr<FleetConfiguration> self, SiblingAddress peer, DocumentPointer document)
{
    try {
        wire::ConfigurationPush request;
        *request.mutable_document() = *document;
        const auto asked = self->context->now();
        const auto answer = co_await self->context->call<wire::ConfigurationPushAnswer>(
            peer, fleet_method::push, request, documentTimeout);
        if (answer.witness())
            self->trust.onStatement({ .witness = peer.vm, .sequence = answer.sequence(), .madeAt = asked });
        self->updateTrust();
    } catch (const std::exception&) {
        // Acceptance waits for a quorum; one witness that cannot be reached does not matter.
    }
}

asio::awaitable<bool> FleetConfiguration::awaitAcceptance(DocumentPointer document, Instant deadline)
{
    Instant nextPush;
    // A platform that gives no list has nobody else who could act on an older document.
    while (!this->trust.witnesses().empty() && !this->trust.isAccepted(document->sequence())) {
        const auto now = this->context->now();
        if (now >= deadline)
            co_return false;
        if (now >= nextPush) {
            this->pushToWitnesses(this->document());
            nextPush = now + acceptancePause;
        }
        co_await this->context->sleep(acceptanceLook);
    }
    co_return true;
}

} // namespace cyclamendrift

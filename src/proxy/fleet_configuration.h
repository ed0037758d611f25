#pragma once

#include "fleet_context.h"

#include <cyclamendrift/configuration/configuration_state.h>
#include <cyclamendrift/configuration/configuration_trust.h>
#include <cyclamendrift/configuration/configuration_writer.h>
#include <cyclamendrift/configuration/key_ring.h>

#include <asio/cancellation_signal.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamendrift {

/// What the hot path reads of the configuration; replaced as a whole.
struct PublishedConfiguration {
    std::shared_ptr<const ConfigurationSnapshot> snapshot;
    KeyRing keys;
};

/// The store key that holds the configuration document.
inline constexpr auto configurationKey = "cyclamendrift/schema";

/// Reads, watches, spreads and changes the configuration document. On the control thread, but for the two
/// functions marked otherwise.
class FleetConfiguration {
public:
    struct Callbacks {
        /// A new document is in force here; the first argument is null for the first.
        std::function<void(const DocumentPointer& before, const DocumentPointer& after)> onDocument;
        /// Tells a few siblings of it.
        std::function<void()> announce;
        /// Where a VM listens, if it is known.
        std::function<std::optional<SiblingAddress>(const VmName&)> findAddress;
        /// Completes a document before it is written.
        std::function<void(wire::ConfigurationDocument&)> finish;
    };

    FleetConfiguration(std::shared_ptr<FleetContext> context, Callbacks callbacks);

    void tick(Instant now);
    /// Ends the watch of the store.
    void stop();

    /// Any thread: the configuration in force; null before the first.
    [[nodiscard]] std::shared_ptr<const PublishedConfiguration> published() const;
    /// Any thread: true while this process may act on the configuration.
    [[nodiscard]] bool isTrusted(Instant now) const noexcept;

    [[nodiscard]] const DocumentPointer& document() const noexcept { return this->state.document(); }
    [[nodiscard]] std::uint64_t sequence() const noexcept { return this->state.sequence(); }
    [[nodiscard]] bool isAccepted(std::uint64_t sequence) const { return this->trust.isAccepted(sequence); }
    [[nodiscard]] bool isStoreReachable() const noexcept { return this->storeReachable; }

    /// The VMs of the platform's list, as the witnesses are chosen from.
    void setListed(std::span<const VmName> listed);

    /// A sibling holds this sequence.
    void onPeerSequence(const SiblingAddress& peer, std::uint64_t sequence);
    /// What a sibling passed on in answer to a question asked at `askedAt`.
    void onStatements(
        const google::protobuf::RepeatedPtrField<wire::WitnessStatement>& statements, Instant askedAt);
    /// What is known of the witnesses, for an answer.
    void writeStatements(wire::HeartbeatAnswer& answer);

    [[nodiscard]] wire::ConfigurationPullAnswer handlePull(const wire::ConfigurationPull& request) const;
    [[nodiscard]] wire::ConfigurationPushAnswer handlePush(const wire::ConfigurationPush& request);

    /// Makes a change and returns once it is accepted; throws RequestError.
    [[nodiscard]] asio::awaitable<api::ApplyResponse> change(std::string changeId, ConfigurationEdit edit);

    /// Takes a document in force that did not come from the store, for tests without one.
    void adoptInitial(DocumentPointer document);

private:
    /// Throws StoreError when the store holds something else.
    [[nodiscard]] static DocumentPointer parseDocument(const std::string& value);
    void adopt(DocumentPointer document);
    void updateTrust();
    void readStoreIfDue(Instant now);
    [[nodiscard]] bool isWitness() const;
    [[nodiscard]] Duration periodicInterval() const;
    void watchIfDue(Instant now);
    void noteStore(bool answered);
    [[nodiscard]] asio::awaitable<std::optional<StoredDocument>> readStore();
    [[nodiscard]] asio::awaitable<WriterAction> swapStore(ConfigurationWriter& writer, SwapDocument swap);
    [[nodiscard]] asio::awaitable<WriterAction> perform(
        ConfigurationWriter& writer, WriterAction action, Instant deadline);
    [[nodiscard]] asio::awaitable<bool> awaitAcceptance(DocumentPointer document, Instant deadline);
    void pushToWitnesses(const DocumentPointer& document);

    static asio::awaitable<void> readOnce(std::shared_ptr<FleetConfiguration> self);
    static asio::awaitable<void> watch(std::shared_ptr<FleetConfiguration> self);
    static asio::awaitable<void> pull(std::shared_ptr<FleetConfiguration> self, SiblingAddress peer);
    static asio::awaitable<void> push(
        std::shared_ptr<FleetConfiguration> self, SiblingAddress peer, DocumentPointer document);

    std::shared_ptr<FleetContext> context;
    Callbacks callbacks;
    ConfigurationState state;
    ConfigurationTrust trust { {} };
    std::atomic<std::shared_ptr<const PublishedConfiguration>> visible;
    std::atomic<Instant> trustedUntil { Instant::min() };
    /// Until when this process can be sure that there is nothing newer than what it has.
    Instant confirmedUntil = Instant::min();
    Instant startedAt;
    /// This process's place, 0 to 1, among those that start together.
    double startShare = 0;
    /// True once this process has read the store itself: only then may it be a witness.
    bool storeConfirmed = false;
    bool storeReachable = false;
    bool reading = false;
    bool watching = false;
    bool pulling = false;
    bool hasInitial = false;
    std::uint64_t storeRevision = 0;
    /// Not before this time, after a failure or a read.
    Instant nextRead;
    Instant nextPeriodicRead;
    Instant nextWatch;
    Duration backoff;
    std::size_t listedCount = 0;
    bool listKnown = false;
    asio::cancellation_signal watchCancel;
};

} // namespace cyclamendrift

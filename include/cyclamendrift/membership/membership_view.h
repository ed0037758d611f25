#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/membership/owner_selection.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// State of a VM as others see it. At the same incarnation a later state overrides an earlier one.
enum class MemberState : std::uint8_t { Live, Suspect, Leaving, Dead };

/// The name of a state in the output of `status`.
[[nodiscard]] std::string_view nameOf(MemberState state) noexcept;

/// State of a VM as one process reports it, about itself or another VM.
struct MemberRecord {
    VmName vm;
    ZoneName zone;
    std::string host;
    std::uint16_t port = 0;
    /// Random number drawn when the VM's process started.
    std::uint64_t process = 0;
    /// Raised by the VM itself to refute an update about it.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Live;
};

/// One entry of the platform's VM list that is a VM of this system.
struct ListedVm {
    VmName vm;
    ZoneName zone;
    std::string host;
    std::uint16_t port = 0;
    bool leaving = false;
};

/// The members of the fleet as one process sees them, after the SWIM protocol: from the platform's VM list,
/// which lags, from heartbeats to a few peers per interval and from gossip updates in these messages. A VM
/// that does not answer is probed through other VMs, then suspected, and declared dead only when no VM
/// refutes the suspicion in time. The cost of an interval does not depend on the number of members.
///
///     for (const auto& vm : view.selectProbeTargets()) heartbeat(vm);
///     view.onContact(answer.sender, answer.gossipUpdates, now);
///     view.onUnreachable(vm, now); // neither direct nor indirect probes reached it
class MembershipView {
public:
    struct Options {
        MemberRecord self;
        /// Number of peers that receive a heartbeat in each interval.
        std::size_t fanout = 2;
        /// Time within which a suspicion can be refuted.
        Duration suspicionTime = std::chrono::seconds { 2 };
        /// Most gossip updates in one message, besides one about its receiver.
        std::size_t gossipUpdatesPerMessage = 8;
        std::uint64_t randomSeed = 0;
    };

    explicit MembershipView(Options options);

    /// Applies the platform's VM list.
    void onList(std::span<const ListedVm> listed);

    /// Applies a message of another VM: its sender's record and its gossip updates.
    void onContact(const MemberRecord& sender, std::span<const MemberRecord> gossipUpdates, Instant now);

    /// Suspects a VM that neither direct nor indirect probes reached.
    void onUnreachable(const VmName& vm, Instant now);

    /// Records whether this process can reach a VM directly; other processes may see it otherwise.
    void setLinkWorking(const VmName& vm, bool works);

    /// Declares VMs dead whose suspicion no VM refuted in time.
    void tick(Instant now);

    /// Declares that this VM is leaving; from now on it is no candidate.
    void leave();

    /// Selects the peers to send a heartbeat to in this interval.
    [[nodiscard]] std::vector<MemberRecord> selectProbeTargets();

    /// Selects up to `count` members for an indirect probe of `target`.
    [[nodiscard]] std::vector<MemberRecord> selectIndirectProbers(const VmName& target, std::size_t count);

    /// Returns the gossip updates for a message to a VM and counts them as sent. Any state of the receiver
    /// other than live is always included, or the receiver could not refute it.
    [[nodiscard]] std::vector<MemberRecord> nextGossipUpdates(const VmName& receiver);

    /// The record of this VM.
    [[nodiscard]] const MemberRecord& self() const noexcept { return this->options.self; }

    /// The record of a VM, if it is known.
    [[nodiscard]] std::optional<MemberRecord> find(const VmName& vm) const;

    /// The records of all known VMs, including this one.
    [[nodiscard]] std::vector<MemberRecord> members() const;

    /// The VMs that may be owners: neither dead nor leaving.
    [[nodiscard]] std::vector<OwnerCandidate> candidates() const;

    /// True when this process failed to reach a VM and has had no contact with it since.
    [[nodiscard]] bool linkBroken(const VmName& vm) const;

    /// Incremented whenever the candidates, their addresses or the links to them change.
    [[nodiscard]] std::uint64_t version() const noexcept { return this->currentVersion; }

private:
    struct Entry {
        MemberRecord record;
        bool listed = false;
        bool listedLeaving = false;
        bool linkBroken = false;
        std::optional<Instant> suspectedAt;
    };

    void applyListed(const ListedVm& listedVm);
    void applyUpdate(const MemberRecord& record, Instant now);
    void refute(const MemberRecord& update);
    void setState(Entry& entry, MemberState state, Instant now);
    void disseminate(const VmName& vm);
    [[nodiscard]] bool isCandidate(const Entry& entry) const noexcept;
    [[nodiscard]] std::size_t sendsPerUpdate() const noexcept;

    Options options;
    RandomSource random;
    std::map<VmName, Entry> entries;
    /// VMs with a gossip update to send, the next one first.
    std::deque<VmName> gossipUpdates;
    std::map<VmName, std::size_t> remainingSends;
    std::vector<VmName> probeOrder;
    std::vector<VmName> suspects;
    std::optional<Instant> lastTick;
    std::uint64_t currentVersion = 1;
};

} // namespace cyclamendrift

#pragma once

#include "virtual_clock.h"
#include "virtual_platform.h"

#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/proxy/fleet_factory.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamendrift::standins {

/// A fleet in one process and in virtual time: the product's own fleet code over a network, a store and a
/// list whose faults a test chooses.
///
///     VirtualFleet world { { .vmCount = 9, .zoneCount = 3, .seed = 1 } };
///     world.runFor(std::chrono::seconds { 5 });
///     world.cut(0, 1);
class VirtualFleet {
public:
    struct Options {
        std::size_t vmCount = 9;
        std::size_t zoneCount = 3;
        std::uint64_t seed = 1;
        /// Clocks run at up to this much off true time.
        double clockDrift = 0;
        Duration latency = std::chrono::milliseconds { 1 };
        /// Bandwidth between siblings; 0 for one that delays nothing.
        double linkBytesPerSecond = 0;
        /// Part of messages between siblings that are lost.
        double messageLoss = 0;
        /// Processes start spread over this time.
        Duration startWithin {};
    };

    explicit VirtualFleet(Options options);
    ~VirtualFleet();
    VirtualFleet(const VirtualFleet&) = delete;
    VirtualFleet& operator=(const VirtualFleet&) = delete;

    /// Lets virtual time pass.
    void runFor(Duration duration) { this->clock.runFor(duration); }
    /// True time.
    [[nodiscard]] Instant now() const noexcept { return this->clock.now(); }

    [[nodiscard]] std::size_t size() const noexcept { return this->vms.size(); }
    [[nodiscard]] Fleet& fleet(std::size_t vm) { return *this->vms[vm]->fleet; }
    [[nodiscard]] std::shared_ptr<VirtualProcess> process(std::size_t vm) { return this->vms[vm]->process; }
    [[nodiscard]] VirtualPlatform& platform() noexcept { return this->world; }
    [[nodiscard]] static VmName nameOf(std::size_t vm) { return VmName { "vm" + std::to_string(vm) }; }

    /// Cuts or heals the link between two VMs, both ways.
    void cut(std::size_t left, std::size_t right);
    void heal(std::size_t left, std::size_t right);
    /// Cuts a group of VMs off from all others, and from the store as well if `store` is set.
    void isolate(const std::set<std::size_t>& group, bool store);
    /// Heals every link and the store.
    void healAll();
    void setStoreDown(bool down);
    void cutStore(std::size_t vm, bool cut) { this->vms[vm]->link->cut = cut; }

    /// Ends a process at once; the platform's list keeps its VM.
    void kill(std::size_t vm);
    /// Starts a new process on a VM.
    void restart(std::size_t vm);

    /// Starts a coroutine of a VM and reports its end; nothing is reported for a process that died.
    void spawn(asio::awaitable<void> work);

    /// Admits one request; calls back with the outcome.
    void admit(std::size_t vm, const TeamName& team, Duration patience, std::function<void(bool)> onVerdict);

    /// Messages between siblings and their bytes, both ways.
    [[nodiscard]] std::uint64_t messages() const noexcept { return this->messageCount; }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return this->byteCount; }

private:
    struct Vm {
        std::shared_ptr<VirtualProcess> process;
        std::unique_ptr<VirtualTimers> timers;
        std::shared_ptr<VirtualPlatform::Link> link;
        std::unique_ptr<VirtualStore> store;
        std::unique_ptr<VirtualVmList> list;
        std::shared_ptr<Fleet> fleet;
    };

    [[nodiscard]] std::unique_ptr<Vm> makeVm(std::size_t index);
    [[nodiscard]] std::size_t indexOf(const VmName& vm) const;
    [[nodiscard]] bool arrives(std::size_t from, std::size_t to);
    /// Time that a message of that size takes to a sibling.
    [[nodiscard]] Duration travelTime(std::size_t bytes) const;
    [[nodiscard]] asio::awaitable<std::string> call(
        std::size_t from, std::shared_ptr<VirtualProcess> sender, SiblingAddress to, SiblingCall message);
    asio::awaitable<void> serve(std::size_t from, std::size_t to, std::shared_ptr<VirtualProcess> sender,
        SiblingCall message, std::shared_ptr<VirtualReply<std::string>> reply);

    Options options;
    RandomSource random;
    /// Before the clock, whose context drops coroutines that still refer to it.
    VirtualPlatform world;
    VirtualClock clock;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<std::unique_ptr<Vm>> vms;
    /// Processes that are gone, until their last coroutine has ended.
    std::vector<std::unique_ptr<Vm>> graveyard;
    std::uint64_t messageCount = 0;
    std::uint64_t byteCount = 0;
    std::uint64_t incarnations = 0;
};

} // namespace cyclamendrift::standins

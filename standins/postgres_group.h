#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/upstreams/slot_control.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift::standins {

/// Stands in for one database group: each slot speaks PostgreSQL's wire protocol on a loopback port of its
/// own. It runs on a thread of its own; every method may be called from any thread and returns when it is
/// done.
///
///     PostgresGroup group { { .slots = { { .name = "a" }, { .name = "b" } } } };
///     group.kill("a");
class PostgresGroup {
public:
    struct Slot {
        std::string name;
        /// 0 for any free port.
        std::uint16_t port = 0;
    };
    struct Options {
        /// The first is primary of term 1.
        std::vector<Slot> slots;
        std::size_t maxConnections = 20;
        Duration connectDelay {};
        /// How long a commit takes to reach the replicas.
        Duration lag {};
        /// Keeps every byte that clients send.
        bool recordReceived = true;
    };

    explicit PostgresGroup(const Options& options);
    ~PostgresGroup();
    PostgresGroup(const PostgresGroup&) = delete;
    PostgresGroup& operator=(const PostgresGroup&) = delete;

    [[nodiscard]] std::uint16_t port(std::string_view slot) const;
    [[nodiscard]] SlotStatus status(std::string_view slot) const;
    [[nodiscard]] std::size_t connections(std::string_view slot) const;
    /// All that clients have sent to any slot.
    [[nodiscard]] std::string received() const;

    /// Ends the slot's process; its log stays.
    void kill(std::string_view slot);
    /// Starts a killed slot again, or takes back refuse().
    void revive(std::string_view slot);
    /// Nothing is replicated to or from the slot; clients still reach it.
    void cut(std::string_view slot);
    /// Takes back cut().
    void join(std::string_view slot);
    /// Connections that are open now go silent for good; new ones work.
    void silence(std::string_view slot);
    /// Refuses new connections; those open work on.
    void refuse(std::string_view slot);
    /// Sets the replication lag to this slot.
    void lag(std::string_view slot, Duration lag);
    /// Makes each statement take longer.
    void slow(std::string_view slot, Duration delay);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift::standins

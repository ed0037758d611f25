#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/pooling/engine_actions.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cyclamendrift {

/// What the indexes record of a connection.
struct ConnectionStatus {
    /// True while it is opened, or while something that was sent on it has not been answered.
    bool running = false;
    bool opening = false;
    bool idle = false;
    /// True while it runs something whose answer makes it idle.
    bool freedByAnswer = false;
    /// Since when it holds a transaction in which nothing runs; Instant::max() when it holds none.
    Instant transactionIdleSince = Instant::max();
    Instant idleSince = Instant::min();
    /// Deadline of what it waits for; Instant::max() when it waits for nothing.
    Instant answerBy = Instant::max();

    friend bool operator==(const ConnectionStatus&, const ConnectionStatus&) = default;
};

/// The connections to one upstream, counted and ordered, so that no event has to visit all of them.
class UpstreamConnections {
public:
    using IdleSet = std::set<std::pair<Instant, ConnectionId>>;

    void add(ConnectionId id, const TeamName& team, const ConnectionStatus& status);
    void update(
        ConnectionId id, const TeamName& team, const ConnectionStatus& before, const ConnectionStatus& after);
    void remove(ConnectionId id, const TeamName& team, const ConnectionStatus& status);

    [[nodiscard]] std::size_t size() const noexcept { return this->all.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->all.empty(); }
    [[nodiscard]] std::size_t running() const noexcept { return this->runningCount; }
    [[nodiscard]] std::size_t opening() const noexcept { return this->openingCount; }
    /// Connections that are being opened, run a statement or hold a transaction.
    [[nodiscard]] std::size_t inUse() const noexcept { return this->all.size() - this->idleByTime.size(); }
    [[nodiscard]] bool hasIdle() const noexcept { return !this->idleByTime.empty(); }
    [[nodiscard]] const std::set<ConnectionId>& ids() const noexcept { return this->all; }
    /// The idle connections by the time since when they are idle, the longest first.
    [[nodiscard]] const IdleSet& idle() const noexcept { return this->idleByTime; }
    /// The connections whose transaction is idle, the longest first.
    [[nodiscard]] const IdleSet& idleTransactions() const noexcept { return this->transactions; }
    /// The oldest idle connection of a team.
    [[nodiscard]] std::optional<ConnectionId> idleOf(const TeamName& team) const;
    /// True when an awaited answer makes a connection of the team idle.
    [[nodiscard]] bool willBeFreedFor(const TeamName& team) const
    {
        return this->freedByAnswer.contains(team);
    }

private:
    void count(ConnectionId id, const TeamName& team, const ConnectionStatus& status);
    void uncount(ConnectionId id, const TeamName& team, const ConnectionStatus& status);

    std::set<ConnectionId> all;
    std::size_t runningCount = 0;
    std::size_t openingCount = 0;
    IdleSet idleByTime;
    IdleSet transactions;
    std::set<std::pair<TeamName, ConnectionId>> idleByTeam;
    std::map<TeamName, std::size_t> freedByAnswer;
};

} // namespace cyclamendrift

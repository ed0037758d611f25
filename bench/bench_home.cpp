// How teams fare that share the scarce connections of one home, beside a queue that serves first come first
// served. One of two large teams sends five times its rate. Prints site,fault,policy,measure,value,unit.
#include <cyclamendrift/connections/connection_budget.h>
#include <cyclamendrift/connections/fair_queue.h>
#include <cyclamendrift/core/random_source.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace {

using namespace cyclamendrift;
using namespace std::chrono_literals;

constexpr Duration runTime = 30s;
constexpr Duration faultAt = 10s;
constexpr Duration meanHold = 4ms;
constexpr Duration lookupDeadline = 1s;
constexpr Duration orderDeadline = 10s;
constexpr double orderShare = 0.3;
/// Of the capacity, when every team keeps to its rate.
constexpr double plannedLoad = 0.7;
constexpr double floodFactor = 5;
constexpr std::size_t floodingTeam = 0;
constexpr std::array<std::uint32_t, 8> weights { 4, 4, 1, 1, 1, 1, 1, 1 };
constexpr std::uint64_t seeds = 5;
constexpr std::size_t maxQueued = 4096;

enum class Fault { Healthy, SlowSlot, SilentWave, Failover };

struct Site {
    std::string_view name;
    std::size_t cap;
};

struct Arrival {
    Instant at;
    std::size_t team = 0;
    Priority priority = Priority::Normal;
    Duration hold {};
    Duration timeout {};
};

struct TeamResult {
    std::size_t asked = 0;
    std::size_t servedInTime = 0;
    std::size_t refused = 0;
    std::vector<double> waits;
};

TeamName teamName(std::size_t team) { return TeamName { "team" + std::to_string(team) }; }

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::vector<Arrival> arrivalsFor(std::size_t connections, std::uint64_t seed)
{
    RandomSource random { seed };
    double totalWeight = 0;
    for (const auto weight : weights)
        totalWeight += weight;
    const double capacity = static_cast<double>(connections) / seconds(meanHold);
    std::vector<Arrival> arrivals;
    for (std::size_t team = 0; team < weights.size(); ++team) {
        const double share = weights.at(team) / totalWeight;
        const double rate = capacity * plannedLoad * share * (team == floodingTeam ? floodFactor : 1);
        std::exponential_distribution<double> gap { rate };
        std::exponential_distribution<double> hold { 1 / seconds(meanHold) };
        std::bernoulli_distribution isOrder { orderShare };
        for (double at = gap(random); at < seconds(runTime); at += gap(random)) {
            const bool order = isOrder(random);
            arrivals.push_back(
                { .at = Instant { std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)) },
                    .team = team,
                    .priority = order ? Priority::High : Priority::Normal,
                    .hold = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(hold(random))),
                    .timeout = order ? orderDeadline : lookupDeadline });
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
        [](const auto& left, const auto& right) { return left.at < right.at; });
    return arrivals;
}

/// The queue of this project.
class FairPolicy {
public:
    static constexpr std::string_view name = "ours";

    explicit FairPolicy(std::size_t connections)
        : queue({ .connections = connections,
            .maxQueued = maxQueued,
            .maxQueuedPerTeam = maxQueued / 4,
            .expectedHold = meanHold })
    {
    }

    /// Tickets that were refused by this arrival.
    std::vector<std::size_t> push(std::size_t ticket, const Arrival& arrival, Instant now)
    {
        const auto admission = this->queue.push({ .ticket = QueueTicket { ticket },
                                                    .team = teamName(arrival.team),
                                                    .weight = weights.at(arrival.team),
                                                    .priority = arrival.priority,
                                                    .deadline = now + arrival.timeout },
            now);
        if (std::holds_alternative<QueueRefusal>(admission))
            return { ticket };
        if (const auto& evicted = std::get<Queued>(admission).evicted)
            return { static_cast<std::size_t>(evicted->ticket) };
        return {};
    }
    std::vector<std::size_t> expire(Instant now)
    {
        std::vector<std::size_t> expired;
        for (const auto& request : this->queue.expire(now))
            expired.push_back(static_cast<std::size_t>(request.ticket));
        return expired;
    }
    [[nodiscard]] bool empty() const { return this->queue.size() == 0; }
    std::size_t pop()
    {
        const auto request = this->queue.pop();
        if (!request.has_value())
            return 0;
        const auto ticket = static_cast<std::size_t>(request->ticket);
        this->served.emplace(ticket, *request);
        return ticket;
    }
    void finished(std::size_t ticket, Duration held)
    {
        this->queue.finished(this->served.at(ticket), held);
        this->served.erase(ticket);
    }
    void outage(Instant until) { this->queue.setAvailableFrom(until, RefusalReason::NoPrimary); }

private:
    FairQueue queue;
    std::map<std::size_t, QueuedRequest> served;
};

/// First come, first served, with the same bound on its length; what is late is refused at its deadline.
class FirstComePolicy {
public:
    static constexpr std::string_view name = "fifo";

    explicit FirstComePolicy(std::size_t) { }

    std::vector<std::size_t> push(std::size_t ticket, const Arrival& arrival, Instant now)
    {
        if (this->queue.size() >= maxQueued)
            return { ticket };
        this->queue.push_back({ ticket, now + arrival.timeout });
        return {};
    }
    std::vector<std::size_t> expire(Instant now)
    {
        std::vector<std::size_t> expired;
        std::erase_if(this->queue, [&](const Entry& entry) {
            if (entry.deadline > now)
                return false;
            expired.push_back(entry.ticket);
            return true;
        });
        return expired;
    }
    [[nodiscard]] bool empty() const { return this->queue.empty(); }
    std::size_t pop()
    {
        const auto ticket = this->queue.front().ticket;
        this->queue.pop_front();
        return ticket;
    }
    void finished(std::size_t, Duration) { }
    void outage(Instant) { }

private:
    struct Entry {
        std::size_t ticket;
        Instant deadline;
    };
    std::deque<Entry> queue;
};

/// Connections that work at a time.
std::size_t workingConnections(Fault fault, std::size_t connections, Instant now)
{
    const auto since = now - Instant { faultAt };
    if (since < Duration {})
        return connections;
    // A wave of silence is noticed after 1.5 s, and connections come back one by one then.
    if (fault == Fault::SilentWave && since < 1500ms)
        return 0;
    if (fault == Fault::SilentWave)
        return std::min<std::size_t>(connections, 1 + static_cast<std::size_t>((since - 1500ms) / 250ms));
    if (fault == Fault::Failover && since < 3s)
        return 0;
    return connections;
}

Duration holdUnder(Fault fault, Duration hold, Instant now)
{
    constexpr int slowFactor = 8;
    const auto since = now - Instant { faultAt };
    const bool slow = fault == Fault::SlowSlot && since >= Duration {} && since < 5s;
    return slow ? hold * slowFactor : hold;
}

template <class Policy>
std::vector<TeamResult> simulate(Fault fault, std::size_t connections, std::uint64_t seed)
{
    struct Finish {
        Instant at;
        std::size_t ticket;
        Duration held;
        bool operator<(const Finish& other) const { return this->at > other.at; }
    };
    constexpr Duration step = 1ms;
    const auto arrivals = arrivalsFor(connections, seed);
    std::vector<TeamResult> results(weights.size());
    Policy policy { connections };
    std::priority_queue<Finish> running;
    std::size_t next = 0;
    const auto refuse = [&](const std::vector<std::size_t>& tickets) {
        for (const auto ticket : tickets)
            ++results.at(arrivals.at(ticket).team).refused;
    };
    for (Instant now {}; now < Instant { runTime + orderDeadline }; now += step) {
        while (!running.empty() && running.top().at <= now) {
            policy.finished(running.top().ticket, running.top().held);
            running.pop();
        }
        const bool outage = fault == Fault::Failover && workingConnections(fault, connections, now) == 0;
        policy.outage(outage ? std::max(Instant { faultAt + 4s }, now + 1s) : Instant {});
        for (; next < arrivals.size() && arrivals.at(next).at <= now; ++next) {
            ++results.at(arrivals.at(next).team).asked;
            refuse(policy.push(next, arrivals.at(next), now));
        }
        refuse(policy.expire(now));
        while (!policy.empty() && running.size() < workingConnections(fault, connections, now)) {
            const auto ticket = policy.pop();
            const auto& arrival = arrivals.at(ticket);
            const auto held = holdUnder(fault, arrival.hold, now);
            running.push({ now + held, ticket, held });
            auto& result = results.at(arrival.team);
            ++result.servedInTime;
            result.waits.push_back(seconds(now - arrival.at) * 1000);
        }
    }
    return results;
}

double percentile99(std::vector<double>& values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values.at(values.size() * 99 / 100);
}

struct Figures {
    double worstShare = 100;
    double worstWait = 0;
    double wrongfulRefusals = 0;
};

template <class Policy> Figures measure(Fault fault, std::size_t connections)
{
    Figures figures;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto results = simulate<Policy>(fault, connections, seed);
        double asked = 0;
        double refused = 0;
        for (std::size_t team = 0; team < results.size(); ++team) {
            auto& result = results.at(team);
            // The flooding team is entitled to what it would send at its rate.
            const double entitled
                = static_cast<double>(result.asked) / (team == floodingTeam ? floodFactor : 1);
            const double share = std::min(1.0, static_cast<double>(result.servedInTime) / entitled);
            figures.worstShare = std::min(figures.worstShare, 100 * share);
            if (team == floodingTeam)
                continue;
            figures.worstWait = std::max(figures.worstWait, percentile99(result.waits));
            asked += static_cast<double>(result.asked);
            refused += static_cast<double>(result.refused);
        }
        figures.wrongfulRefusals = std::max(figures.wrongfulRefusals, 100 * refused / asked);
    }
    return figures;
}

template <class Policy> void report(const Site& site, Fault fault, std::string_view faultName)
{
    const auto figures = measure<Policy>(fault, connectionBudget(site.cap).traffic);
    const auto line = [&](const char* what, double value, const char* unit) {
        std::printf("%s,%s,%s,%s,%.3f,%s\n", std::string { site.name }.c_str(),
            std::string { faultName }.c_str(), std::string { Policy::name }.c_str(), what, value, unit);
    };
    line("worst_team_share", figures.worstShare, "percent");
    line("worst_team_p99_wait", figures.worstWait, "ms");
    line("queue_wrongful_refusals", figures.wrongfulRefusals, "percent");
}

} // namespace

int main()
{
    constexpr std::array sites { Site { "agenzia", 20 }, Site { "hamutenya", 35 } };
    struct NamedFault {
        Fault fault;
        std::string_view name;
    };
    constexpr std::array faults { NamedFault { Fault::Healthy, "healthy" },
        NamedFault { Fault::SlowSlot, "slow_slot" }, NamedFault { Fault::SilentWave, "silent_connections" },
        NamedFault { Fault::Failover, "failover" } };
    for (const auto& site : sites) {
        for (const auto& [fault, name] : faults) {
            report<FairPolicy>(site, fault, name);
            report<FirstComePolicy>(site, fault, name);
        }
    }
    return 0;
}

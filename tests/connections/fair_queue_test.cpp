#include <cyclamendrift/connections/fair_queue.h>

#include <property.h>

#include <algorithm>
#include <map>
#include <set>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const TeamName small { "small" };
const TeamName large { "large" };

/// Creates requests with unique tickets.
class RequestFactory {
public:
    QueuedRequest next(TeamName team, Instant deadline, Priority priority = Priority::Normal)
    {
        return { .ticket = QueueTicket { ++this->lastTicket },
            .team = std::move(team),
            .priority = priority,
            .deadline = deadline };
    }

private:
    std::uint64_t lastTicket = 0;
};

bool isQueued(const Admission& admission) { return std::holds_alternative<Queued>(admission); }

/// Returns the share of served requests that team `small` gets while both teams always have waiting requests.
double servedShareOfSmall(std::uint32_t weight, int perRound, int rounds)
{
    FairQueue queue { { .connections = 4, .expectedHold = 1ms } };
    RequestFactory requests;
    const Instant start {};
    int servedOfSmall = 0;
    for (int round = 0; round < rounds; ++round) {
        auto own = requests.next(small, start + 1h);
        own.weight = weight;
        (void)queue.push(own, start);
        for (int copy = 0; copy < perRound; ++copy)
            (void)queue.push(requests.next(large, start + 1h), start);
        const auto served = queue.pop();
        servedOfSmall += served->team == small ? 1 : 0;
        queue.finished(*served, 1ms);
    }
    return static_cast<double>(servedOfSmall) / rounds;
}

} // namespace

TEST_SUITE("fair queue")
{
    TEST_CASE("a flooding team does not reduce another team below its share")
    {
        // Guards against one team filling the queue at several times its rate, so that the requests of
        // another team wait behind all of its own.
        CHECK(servedShareOfSmall(1, 5, 400) == doctest::Approx(0.5).epsilon(0.02));
        CHECK(servedShareOfSmall(3, 8, 100) == doctest::Approx(0.75).epsilon(0.05));
    }

    TEST_CASE("every team gets its share of connection time whatever the others send")
    {
        checkProperty("share of connection time by weight", []() {
            constexpr int teamCount = 4;
            constexpr int rounds = 600;
            FairQueue queue { { .connections = 1, .expectedHold = 2ms } };
            RequestFactory requests;
            const Instant start {};
            std::map<TeamName, std::uint32_t> weights;
            std::map<TeamName, Duration> holds;
            std::map<TeamName, Duration> used;
            for (int index = 0; index < teamCount; ++index) {
                const TeamName team { "team" + std::to_string(index) };
                weights[team] = *rc::gen::inRange<std::uint32_t>(1, 5);
                holds[team] = std::chrono::milliseconds { *rc::gen::inRange(1, 9) };
            }
            double totalWeight = 0;
            for (const auto& [team, weight] : weights)
                totalWeight += weight;
            Duration total {};
            for (int round = 0; round < rounds; ++round) {
                // Every team always has a waiting request; the length of its queue does not matter.
                for (const auto& [team, weight] : weights) {
                    auto request = requests.next(team, start + 10h);
                    request.weight = weight;
                    (void)queue.push(request, start);
                }
                const auto served = queue.pop();
                used[served->team] += holds[served->team];
                total += holds[served->team];
                queue.finished(*served, holds[served->team]);
            }
            for (const auto& [team, weight] : weights) {
                const double share
                    = std::chrono::duration<double>(used[team]) / std::chrono::duration<double>(total);
                RC_ASSERT(share > 0.9 * weight / totalWeight);
            }
        });
    }

    TEST_CASE("a request waits for at most one request of each other team")
    {
        checkProperty("number of requests served before it", []() {
            const int others = *rc::gen::inRange(1, 8);
            const int backlog = *rc::gen::inRange(1, 60);
            FairQueue queue { { .connections = 1, .expectedHold = 1ms } };
            RequestFactory requests;
            const Instant start {};
            for (int index = 0; index < others; ++index) {
                for (int copy = 0; copy < backlog; ++copy)
                    (void)queue.push(
                        requests.next(TeamName { "other" + std::to_string(index) }, start + 1h), start);
            }
            const int servedBefore = *rc::gen::inRange(0, others * backlog);
            for (int index = 0; index < servedBefore; ++index)
                queue.finished(*queue.pop(), 1ms);
            (void)queue.push(requests.next(small, start + 1h), start);
            int waited = 0;
            while (queue.pop()->team != small)
                ++waited;
            RC_ASSERT(waited <= others);
        });
    }

    TEST_CASE("high priority goes before normal priority within a team")
    {
        FairQueue queue { { .connections = 1 } };
        RequestFactory requests;
        const Instant start {};
        CHECK(isQueued(queue.push(requests.next(small, start + 1s), start)));
        CHECK(isQueued(queue.push(requests.next(small, start + 1s, Priority::High), start)));
        CHECK(queue.pop()->priority == Priority::High);
        CHECK(queue.pop()->priority == Priority::Normal);
    }

    TEST_CASE("high priority of one team does not starve normal priority of another")
    {
        // Guards against a team that marks all its requests as high priority: without a limit on its lead,
        // the other team's requests would never be served.
        FairQueue queue { { .connections = 1, .priorityLead = 20ms, .expectedHold = 2ms } };
        RequestFactory requests;
        const Instant start {};
        constexpr int served = 400;
        int servedNormalRequests = 0;
        for (int round = 0; round < served; ++round) {
            (void)queue.push(requests.next(large, start + 1h, Priority::High), start);
            (void)queue.push(requests.next(small, start + 1h), start);
            const auto next = queue.pop();
            servedNormalRequests += next->team == small ? 1 : 0;
            CHECK((round >= 8 || next->priority == Priority::High));
            queue.finished(*next, 2ms);
        }
        CHECK(servedNormalRequests > served * 45 / 100);
    }

    TEST_CASE("a request that cannot be served before its deadline is refused at once")
    {
        // Guards against a caller that learns only at its deadline that its request could not be served in
        // time, because the upstream has become slow and the queue is too long.
        FairQueue queue { { .connections = 2, .expectedHold = 10ms } };
        RequestFactory requests;
        const Instant start {};
        for (int index = 0; index < 20; ++index)
            REQUIRE(isQueued(queue.push(requests.next(large, start + 1s), start)));
        const auto refused = queue.push(requests.next(large, start + 50ms), start);
        REQUIRE(std::holds_alternative<QueueRefusal>(refused));
        const auto& refusal = std::get<QueueRefusal>(refused);
        CHECK(refusal.reason == RefusalReason::Overloaded);
        CHECK(refusal.retryAfter == 60ms);
        CHECK(isQueued(queue.push(requests.next(large, start + 111ms), start)));
        CHECK(isQueued(queue.push(requests.next(small, start + 50ms), start)));
    }

    TEST_CASE("queued requests are served in time at a constant service rate")
    {
        checkProperty("no queued request is late without requests of higher priority", [] {
            FairQueue queue { { .connections = 1, .expectedHold = 2ms } };
            RequestFactory requests;
            Instant now {};
            const auto pushes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 120));
            for (const auto milliseconds : pushes)
                (void)queue.push(requests.next(small, now + std::chrono::milliseconds { milliseconds }), now);
            std::size_t late = 0;
            while (auto next = queue.pop()) {
                now += 2ms;
                late += now > next->deadline ? 1 : 0;
                queue.finished(*next, 2ms);
            }
            RC_ASSERT(late == 0U);
        });
    }

    TEST_CASE("during an outage requests that can wait are queued and others refused")
    {
        FairQueue queue { { .connections = 1 } };
        RequestFactory requests;
        const Instant start {};
        queue.setAvailableFrom(start + 3s, RefusalReason::NoPrimary);
        CHECK(isQueued(queue.push(requests.next(small, start + 5s), start)));
        const auto refused = queue.push(requests.next(small, start + 1s), start);
        REQUIRE(std::holds_alternative<QueueRefusal>(refused));
        CHECK(std::get<QueueRefusal>(refused).reason == RefusalReason::NoPrimary);
        CHECK(std::get<QueueRefusal>(refused).retryAfter >= 2s);
    }

    TEST_CASE("a full queue evicts a request to make room for a team below its share")
    {
        // Guards against a flooding team keeping all places of a full queue: without eviction, the next
        // request would be refused whichever team sends it.
        FairQueue queue { { .connections = 100, .maxQueued = 10, .maxQueuedPerTeam = 10 } };
        RequestFactory requests;
        const Instant start {};
        for (int index = 0; index < 10; ++index)
            REQUIRE(isQueued(queue.push(requests.next(large, start + 1h), start)));
        CHECK_FALSE(isQueued(queue.push(requests.next(large, start + 1h), start)));
        const auto admission = queue.push(requests.next(small, start + 1h), start);
        REQUIRE(isQueued(admission));
        CHECK(std::get<Queued>(admission).evicted->ticket == QueueTicket { 10 });
        CHECK(queue.size() == 10);
        CHECK(queue.pop()->team == large);
    }

    TEST_CASE("every request leaves the queue exactly once")
    {
        checkProperty("a request is popped, evicted, expired or still queued", [] {
            FairQueue queue { { .connections = 2, .maxQueued = 8, .maxQueuedPerTeam = 6 } };
            RequestFactory requests;
            Instant now {};
            std::set<QueueTicket> waiting;
            const auto removeWaiting
                = [&](const QueuedRequest& request) { RC_ASSERT(waiting.erase(request.ticket) == 1U); };
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
            for (const auto step : steps) {
                now += 1ms;
                if (step < 5) {
                    const auto priority = step == 4 ? Priority::High : Priority::Normal;
                    const auto request = requests.next(step < 3 ? large : small, now + 20ms, priority);
                    const auto admission = queue.push(request, now);
                    if (!isQueued(admission))
                        continue;
                    waiting.insert(request.ticket);
                    if (const auto& evicted = std::get<Queued>(admission).evicted)
                        removeWaiting(*evicted);
                } else if (step == 5) {
                    for (const auto& request : queue.expire(now)) {
                        RC_ASSERT(request.deadline <= now);
                        removeWaiting(request);
                    }
                } else if (const auto request = queue.pop()) {
                    removeWaiting(*request);
                    queue.finished(*request, 3ms);
                }
                RC_ASSERT(queue.size() == waiting.size());
            }
        });
    }
}

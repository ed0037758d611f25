#include <cyclamendrift/pooling/session_engine.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const ServiceName service { "register" };
constexpr Duration openingTime = 12ms;
constexpr Duration roundTrip = 1ms;

/// A VM with one upstream that runs a few things at a time for it. An opening takes one of the places for
/// 12 ms and waits for one; a statement that finds none is answered Busy.
class SaturatedService {
public:
    struct Options {
        std::size_t places = 2;
        Duration statementTime = 14ms;
        Duration targetLatency = 150ms;
        std::size_t teams = 20;
        /// The VM is one of the owners of the service, in place of one that reaches none of them.
        bool isOwner = true;
        /// The upstream counts all its connections as taken and refuses each opening.
        bool refusesOpenings = false;
    };

    explicit SaturatedService(Options options)
        : options(options)
    {
        RouteTable routes;
        routes.version = 1;
        routes.routes["beds"] = { .service = service,
            .freshness = PrimaryRoute {},
            .statementTimeout = 2s,
            .targetLatency = options.targetLatency };
        for (std::size_t team = 0; team < options.teams; ++team)
            routes.keys["key-" + std::to_string(team)] = TeamName { "team-" + std::to_string(team) };
        routes.connectionCaps[service] = 56;
        this->engine.setRoutes(std::make_shared<RouteTable>(routes), this->now);
        std::map<VmName, VmCapacity> listed { { VmName { "a" }, {} }, { VmName { "b" }, {} } };
        const auto owners
            = std::make_shared<ServiceOwners>(VmName { options.isOwner ? "a" : "entry" }, listed);
        this->engine.setPlace({ .vms = 75, .rank = 0, .owners = owners }, this->now);
        this->engine.setDirectory({ { .name = UpstreamName { "primary" },
                                      .service = service,
                                      .zone = ZoneName { "palermo" },
                                      .maxConcurrency = 4 } },
            this->now);
        this->tick();
    }

    /// A statement of each team arrives every `interval`, the teams one after the other.
    void run(Duration duration, Duration interval)
    {
        const auto end = this->now + duration;
        const auto step = interval / static_cast<int>(this->options.teams);
        for (auto at = this->now; at < end; at += step)
            this->events.emplace(at, [this] { this->submit(); });
        this->runUntil(end);
    }

    void runUntil(Instant end)
    {
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto event = this->events.extract(this->events.begin());
            this->now = std::max(this->now, event.key());
            event.mapped()();
            this->perform();
        }
        this->now = end;
    }

    void submit()
    {
        const CallerId caller { ++this->lastCaller };
        this->engine.callerConnected(caller, this->now);
        this->engine.callerStartedSession(caller,
            { .database = "beds", .key = "key-" + std::to_string(this->lastCaller % this->options.teams) },
            this->now);
        this->submittedAt[caller] = this->now;
        this->engine.callerSentStatement(
            caller, { .id = "id", .text = "READ 1", .statement = ReadItem {} }, this->now);
        this->perform();
    }

    std::size_t openings = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t refusedAtOnce = 0;
    std::size_t mostConnections = 0;
    std::vector<std::string> refusals;
    Instant now { 100s };
    SessionEngine engine { { .zone = ZoneName { "palermo" } } };
    Options options;

private:
    void tick()
    {
        this->engine.setLeader(service,
            { .phase = LeaderView::Phase::Settled,
                .primary = UpstreamName { "primary" },
                .term = Term { 1 },
                .expiresAt = this->now + 1s },
            this->now);
        this->engine.tick(this->now);
        this->events.emplace(this->now + 20ms, [this] { this->tick(); });
    }

    void perform()
    {
        for (auto actions = this->engine.takeActions(); !actions.empty();
             actions = this->engine.takeActions()) {
            for (const auto& action : actions)
                this->performAction(action);
        }
        this->mostConnections = std::max(this->mostConnections, this->engine.connections());
    }

    void performAction(const EngineAction& action)
    {
        if (const auto* open = std::get_if<OpenConnection>(&action)) {
            ++this->openings;
            this->queuedOpenings.push_back(open->connection);
            this->startOpenings();
        } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
            std::erase(this->queuedOpenings, close->connection);
        } else if (const auto* send = std::get_if<SendStatement>(&action)) {
            this->runStatement(*send);
        } else if (const auto* forward = std::get_if<ForwardStatement>(&action)) {
            this->engine.forwardingFailed(
                forward->caller, forward->work.remoteSession, ForwardFailure::NotAccepted, this->now);
        } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
            this->recordAnswer(*answer);
        }
    }

    void startOpenings()
    {
        while (this->busyPlaces < this->options.places && !this->queuedOpenings.empty()) {
            const auto id = this->queuedOpenings.front();
            this->queuedOpenings.pop_front();
            ++this->busyPlaces;
            this->events.emplace(this->now + openingTime, [this, id] {
                this->freePlace();
                if (this->options.refusesOpenings)
                    this->engine.connectionRefused(id, StatementError::TooManyConnections, this->now);
                else
                    this->engine.connectionOpened(id, this->progress(), this->now);
            });
        }
    }

    void runStatement(const SendStatement& send)
    {
        Reply reply { .proof = "proof" };
        reply.progress = this->progress();
        const bool isSetup = !std::holds_alternative<RelayStatement>(send.statement);
        const bool isFull = this->busyPlaces >= this->options.places;
        if (!isSetup && isFull)
            reply.failure = StatementFailure { .error = StatementError::Busy, .text = "full" };
        const bool runs = !isSetup && !isFull;
        this->busyPlaces += runs ? 1 : 0;
        const auto duration = runs ? this->options.statementTime : roundTrip;
        this->events.emplace(this->now + duration, [this, reply, runs, id = send.connection] {
            if (runs)
                this->freePlace();
            this->engine.upstreamReplied(id, reply, this->now);
        });
    }

    void freePlace()
    {
        --this->busyPlaces;
        this->startOpenings();
    }

    void recordAnswer(const AnswerCaller& answer)
    {
        if (answer.reply.failure) {
            ++this->refused;
            this->refusals.push_back(answer.reply.failure->text);
            this->refusedAtOnce += this->now == this->submittedAt.at(answer.caller) ? 1 : 0;
        } else {
            ++this->served;
        }
        this->submittedAt.erase(answer.caller);
        this->engine.callerDisconnected(answer.caller, this->now);
    }

    [[nodiscard]] Progress progress()
    {
        return { .term = Term { 1 }, .position = LogPosition { ++this->position } };
    }

    std::multimap<Instant, std::function<void()>> events;
    std::deque<ConnectionId> queuedOpenings;
    std::map<CallerId, Instant> submittedAt;
    std::size_t busyPlaces = 0;
    std::uint64_t position = 0;
    std::uint64_t lastCaller = 0;
};

/// The milliseconds of "retry after 70 ms".
long retryAfterOf(const std::string& refusal)
{
    const std::string prefix { "retry after " };
    const auto at = refusal.find(prefix);
    REQUIRE(at != std::string::npos);
    return std::stol(refusal.substr(at + prefix.size()));
}

} // namespace

TEST_SUITE("saturated upstream")
{
    TEST_CASE("an owner whose connections suffice for its teams opens none again at a saturated upstream")
    {
        // A burst of all teams at 1.4 times what the upstream can run. 299 VMs opened 371,354 connections in
        // 60 s in such a burst, while half of the operations were refused. This owner may have 24 connections
        // for its 20 teams.
        SaturatedService saturated { { .places = 4 } };
        saturated.run(10s, 50ms);
        CHECK(saturated.openings <= 2 * saturated.options.teams);
        CHECK(saturated.served >= 2500);
    }

    TEST_CASE("openings leave most of a saturated upstream's places to the statements of many teams")
    {
        // A burst at 2.8 times what the upstream can run, of 60 teams over 24 connections. Its two places run
        // at most 1,428 statements of 14 ms in 10 s; two thirds of that are required.
        SaturatedService saturated { { .teams = 60 } };
        saturated.run(10s, 150ms);
        CHECK(saturated.served >= 952);
    }

    TEST_CASE("a VM without a share that reaches no owner opens one connection and refuses the rest at once")
    {
        // Owners that do not answer make each of 299 VMs run its callers' statements itself. One connection
        // serves fewer than 10 of them in one and a half times the target latency.
        SaturatedService alone { { .isOwner = false } };
        alone.run(2s, 50ms);
        CHECK(alone.mostConnections == 1);
        CHECK(alone.served >= 50);
        CHECK(alone.refusedAtOnce >= alone.refused * 3 / 4);
        for (const auto& refusal : alone.refusals)
            CHECK(retryAfterOf(refusal) >= 50);
    }

    TEST_CASE("statements are refused at once when an upstream becomes eight times slower")
    {
        // Statements that cannot be served in one and a half times their target latency would only be refused
        // later, with less time left for a retry. The advice follows the drain, between 50 ms and 1 s.
        SaturatedService slow { {} };
        slow.run(2s, 400ms);
        CHECK(slow.refused == 0);
        slow.options.statementTime = 112ms;
        slow.run(2s, 400ms);
        const auto before = slow.refusals.size();
        const auto atOnce = slow.refusedAtOnce;
        slow.run(4s, 400ms);
        const auto refused = slow.refusals.size() - before;
        REQUIRE(refused > 0);
        CHECK(slow.refusedAtOnce - atOnce >= refused / 2);
        std::set<long> advice;
        for (const auto& refusal : slow.refusals)
            advice.insert(retryAfterOf(refusal));
        CHECK(*advice.begin() >= 50);
        CHECK(*advice.rbegin() <= 1000);
        CHECK(advice.size() > 3);
    }

    TEST_CASE("the expected wait of a service follows its waiting statements and their duration")
    {
        // Other VMs choose an owner by this figure. It must not be zero while a burst waits, nor stay above
        // zero after it.
        SaturatedService saturated { { .targetLatency = 2s } };
        saturated.run(1s, 400ms);
        CHECK(saturated.engine.expectedWait(service) == Duration {});
        saturated.run(1s, 50ms);
        CHECK(saturated.engine.expectedWait(service) >= 100ms);
        saturated.runUntil(saturated.now + 5s);
        CHECK(saturated.engine.expectedWait(service) == Duration {});
        CHECK(saturated.engine.expectedWait(ServiceName { "unknown" }) == Duration {});
    }

    TEST_CASE("a VM opens one connection at a time at an upstream that has none left")
    {
        // A burst of all teams at an upstream that refuses connections because VMs that lost power still
        // count. Each refusal takes the upstream as long as an opening.
        SaturatedService full { { .refusesOpenings = true } };
        full.run(2s, 50ms);
        CHECK(full.openings <= 16);
        CHECK(full.mostConnections <= 8);
    }
}

#include "pool_simulation.h"
#include "random_choices.h"

#include <cyclamendrift/pooling/own_writes.h>

#include <property.h>

#include <array>
#include <variant>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const RouteFreshness ownWrites = ReadOwnWritesRoute { 2500ms };

/// The end of a log that has a service's initial content and so many commits.
constexpr std::uint64_t positionAfter(std::uint64_t commits) { return 100 + commits; }

/// One caller whose route changes, at a VM that runs its statements or forwards them to the owner.
class RoutedSession {
public:
    explicit RoutedSession(
        bool forwardToOwner, RouteFreshness freshness = ownWrites, std::size_t services = 2)
        : simulation(
            { .freshness = std::move(freshness), .forwardToOwner = forwardToOwner, .services = services })
        , caller(this->simulation.connect())
    {
    }

    Reply run(const std::string& text) { return this->simulation.run(this->caller, this->nextId(), text); }
    void write() { CHECK_FALSE(this->run("WRITE 1 x").failure); }
    void readOnce() { CHECK_FALSE(this->run("READ 1").failure); }
    void setFreshness(const RouteFreshness& freshness)
    {
        this->simulation.routes->routes["beds"].freshness = freshness;
        this->simulation.publishRoutes();
    }

    /// Checks that the session's next reads run at the service, on logs with at least so many commits.
    void checkReads(std::size_t serviceIndex, std::uint64_t commits)
    {
        for (int read = 0; read < 4; ++read) {
            this->simulation.advanceTime(60ms);
            this->readOnce();
            const auto& last = this->simulation.executed().back();
            CHECK(last.service == PoolSimulation::serviceName(serviceIndex));
            CHECK(last.logPosition >= positionAfter(commits));
        }
    }

    /// Reads where the route leads now, moves it to the first service and checks the reads there.
    void returnAndCheckReads(std::uint64_t commits)
    {
        this->readOnce();
        this->simulation.moveRoute(0);
        this->checkReads(0, commits);
    }

    std::string nextId() { return "c/" + std::to_string(++this->statements); }

    PoolSimulation simulation;
    CallerId caller;
    int statements = 0;
};

/// Runs a case at a VM that runs its callers' statements, and at one that forwards them to the owner.
template <class Case> void atEachVm(Case&& check, std::size_t services = 2)
{
    for (const bool forwardToOwner : { false, true }) {
        CAPTURE(forwardToOwner);
        RoutedSession session { forwardToOwner, ownWrites, services };
        check(session);
    }
}

/// Random sessions on a route that is moved, changed, dropped and restored while statements are under way.
class MovedRouteScenario : RandomChoices {
public:
    MovedRouteScenario(std::uint64_t seed, const PoolSimulation::Options& options)
        : RandomChoices(seed)
        , services(options.services)
        , replicas(options.replicas)
        , simulation(options)
        , route(this->simulation.routes->routes.at("beds"))
    {
        this->simulation.shouldLoseReply = [this](const UpstreamStatement&) { return this->chance(40); };
        for (int index = 0; index < 3; ++index)
            this->sessions.push_back({ .id = this->simulation.connect() });
    }

    void run()
    {
        for (int step = 0; step < 200; ++step) {
            this->submitNext(this->sessions[this->randomBelow(this->sessions.size())]);
            if (this->chance(4))
                this->changeRoute();
            if (this->chance(3))
                this->advanceReplica();
            if (this->chance(10))
                this->simulation.holdUpstreamActions = true;
            else if (this->chance(3))
                this->deliver();
            if (this->chance(4))
                this->simulation.advanceTime(20ms * static_cast<int>(this->randomBelow(8)));
        }
        this->deliver();
        this->simulation.advanceTime(5s);
        for (auto& session : this->sessions)
            this->checkReplies(session);
    }

private:
    struct Session {
        CallerId id {};
        SessionPhase phase = SessionPhase::Idle;
        bool awaitsReply = false;
        std::string statementId;
        std::string text;
        bool wroteInTransaction = false;
        /// The service of the current operation, and the position that its reads require of the log.
        ServiceName service;
        std::uint64_t required = 0;
        /// The position that covers this session's acknowledged writes, by service.
        std::map<ServiceName, std::uint64_t> acknowledged;
    };

    void deliver()
    {
        this->simulation.holdUpstreamActions = false;
        this->simulation.deliverHeldActions();
    }

    void changeRoute()
    {
        static const std::array<RouteFreshness, 4> kinds { ownWrites, ownWrites,
            BoundedStalenessRoute { 1500ms }, PrimaryRoute {} };
        auto& routes = this->simulation.routes->routes;
        routes.erase("beds");
        if (!this->chance(6)) {
            if (this->chance(3))
                this->route.freshness = kinds.at(this->randomBelow(kinds.size()));
            this->route.service = PoolSimulation::serviceName(this->randomBelow(this->services));
            routes["beds"] = this->route;
        }
        if (this->chance(2))
            this->simulation.publishRoutes();
        else
            this->simulation.publishRoutesToCallersVm();
    }

    void advanceReplica()
    {
        const auto service = this->randomBelow(this->services);
        const auto& primary = this->simulation.upstream(PoolSimulation::upstreamName(service, 0));
        auto& replica = this->simulation.upstream(
            PoolSimulation::upstreamName(service, 1 + this->randomBelow(this->replicas)));
        replica.logPosition += this->randomBelow(primary.logPosition - replica.logPosition + 1);
    }

    void submitNext(Session& session)
    {
        this->checkReplies(session);
        if (session.awaitsReply || this->simulation.isClosed(session.id))
            return;
        const bool idle = session.phase == SessionPhase::Idle;
        if (idle)
            this->startOperation(session);
        session.text = this->nextText(session.phase);
        session.statementId = "c/" + std::to_string(++this->statements);
        session.awaitsReply = true;
        this->simulation.submit(session.id, session.statementId, session.text);
        this->checkReplies(session);
    }

    void startOperation(Session& session)
    {
        session.wroteInTransaction = false;
        session.required = 0;
        const auto* current = this->simulation.routes->findRoute("beds");
        if (current == nullptr)
            return;
        session.service = current->service;
        if (std::holds_alternative<ReadOwnWritesRoute>(current->freshness))
            session.required = session.acknowledged[current->service];
    }

    std::string nextText(SessionPhase phase)
    {
        if (phase == SessionPhase::FailedTransaction)
            return "ROLLBACK";
        if (phase == SessionPhase::InTransaction && this->chance(3))
            return this->chance(4) ? "ROLLBACK" : "COMMIT";
        if (phase == SessionPhase::Idle && this->chance(4))
            return this->chance(3) ? "BEGIN READ" : "BEGIN";
        return this->chance(3) ? "WRITE 1 x" : "READ 1";
    }

    void checkReplies(Session& session)
    {
        for (const auto& reply : this->simulation.takeReplies(session.id)) {
            session.awaitsReply = false;
            session.phase = reply.phase;
            const auto* last = this->simulation.lastExecution(session.statementId);
            if (reply.failure || last == nullptr)
                continue;
            RC_ASSERT(last->service == session.service);
            const bool writes = session.text.starts_with("WRITE");
            session.wroteInTransaction = session.wroteInTransaction || writes;
            if (session.text.starts_with("READ"))
                RC_ASSERT(last->logPosition >= session.required);
            else if (reply.phase == SessionPhase::Idle && session.wroteInTransaction)
                session.acknowledged[session.service] = last->logPosition + 1;
        }
    }

    std::size_t services;
    std::size_t replicas;
    PoolSimulation simulation;
    Route route;
    std::vector<Session> sessions;
    int statements = 0;
};

} // namespace

TEST_SUITE("own writes on a route that changes")
{
    TEST_CASE("a session reads its own write after its route was moved to another service and back")
    {
        // Guards against a stale read at a replica, as the position of the write was kept for one service.
        atEachVm([](RoutedSession& session) {
            session.write();
            session.simulation.moveRoute(1);
            session.returnAndCheckReads(1);
        });
    }

    TEST_CASE("a session that writes to two services in turn reads its writes to both")
    {
        // Guards against a write to one service that replaces the position of the write to another.
        atEachVm([](RoutedSession& session) {
            session.write();
            session.simulation.moveRoute(1);
            session.write();
            session.simulation.moveRoute(0);
            session.checkReads(0, 1);
            session.simulation.moveRoute(1);
            session.checkReads(1, 1);
        });
    }

    TEST_CASE("a write belongs to the service that ran it although its route is moved before its answer")
    {
        // Guards against a position that is recorded for the service that the route names when the answer
        // arrives.
        atEachVm([](RoutedSession& session) {
            session.simulation.holdUpstreamActions = true;
            session.simulation.submit(session.caller, session.nextId(), "WRITE 1 x");
            session.simulation.moveRoute(1);
            session.simulation.holdUpstreamActions = false;
            session.simulation.deliverHeldActions();
            CHECK_FALSE(session.simulation.takeReply(session.caller).failure);
            session.returnAndCheckReads(1);
        });
    }

    TEST_CASE("a withheld write belongs to the service that ran it although its route is moved meanwhile")
    {
        // Guards against a write that is confirmed by the view of another service's primary.
        atEachVm([](RoutedSession& session) {
            session.readOnce();
            session.simulation.holdUpstreamActions = true;
            session.simulation.submit(session.caller, session.nextId(), "WRITE 1 x");
            session.simulation.now += 1010ms;
            session.simulation.holdUpstreamActions = false;
            session.simulation.deliverHeldActions();
            session.simulation.moveRoute(1);
            CHECK(session.simulation.takeReplies(session.caller).empty());
            session.simulation.renewView();
            CHECK_FALSE(session.simulation.takeReply(session.caller).failure);
            session.returnAndCheckReads(1);
        });
    }

    TEST_CASE("a transaction belongs to the service that it began at although its route is moved meanwhile")
    {
        // Guards against a commit whose position is recorded for another service.
        atEachVm([](RoutedSession& session) {
            CHECK_FALSE(session.run("BEGIN").failure);
            session.write();
            session.simulation.moveRoute(1);
            CHECK_FALSE(session.run("COMMIT").failure);
            session.returnAndCheckReads(1);
        });
    }

    TEST_CASE("values and prepared statements stay when the route is moved")
    {
        // Guards against session state that is kept for one service.
        atEachVm([](RoutedSession& session) {
            CHECK_FALSE(session.run("SET zone palermo").failure);
            CHECK_FALSE(session.run("PREPARE s1 READ shape").failure);
            for (const std::size_t service : { 0, 1, 0 }) {
                session.simulation.moveRoute(service);
                CHECK_FALSE(session.run("EXECUTE s1 item").failure);
                const auto& last = session.simulation.executed().back();
                CHECK(last.service == PoolSimulation::serviceName(service));
                CHECK(last.values == std::map<std::string, std::string> { { "zone", "palermo" } });
                CHECK(last.shape == PreparedShape { false, "shape" });
            }
        });
    }

    TEST_CASE("a session reads its own write after its route was dropped and restored")
    {
        // Guards against a position that is forgotten when the session's next operation is refused.
        RoutedSession session { false };
        session.write();
        const auto route = session.simulation.routes->routes.at("beds");
        session.simulation.routes->routes.erase("beds");
        session.simulation.publishRoutes();
        CHECK(errorOf(session.run("READ 1")) == StatementError::UnknownDatabase);
        session.simulation.routes->routes["beds"] = route;
        session.simulation.publishRoutes();
        session.checkReads(0, 1);
    }

    TEST_CASE("a session reads what it wrote while its route was of another kind")
    {
        // Guards against positions that are recorded on read_own_writes routes alone.
        const std::array<RouteFreshness, 2> kinds { PrimaryRoute {}, BoundedStalenessRoute { 1500ms } };
        for (const auto& kind : kinds) {
            RoutedSession session { false, kind };
            session.write();
            session.setFreshness(ownWrites);
            session.checkReads(0, 1);
        }
    }

    TEST_CASE("an owner VM with another version in force is told what the session wrote")
    {
        // Guards against an owner VM that takes the service or the own write from its own configuration.
        RoutedSession session { true };
        session.write();
        session.simulation.routes->routes["beds"].service = PoolSimulation::serviceName(1);
        session.simulation.publishRoutesToCallersVm();
        session.readOnce();
        CHECK(session.simulation.executed().back().service == PoolSimulation::serviceName(1));
        session.simulation.routes->routes["beds"].service = PoolSimulation::serviceName(0);
        session.simulation.publishRoutesToCallersVm();
        session.checkReads(0, 1);
    }

    TEST_CASE("a session that writes to more services than are kept still reads its own writes")
    {
        // Guards against a bound on the services of a session that lets a replica without the write serve it.
        constexpr auto services = OwnWrites::maxServices + 2;
        atEachVm(
            [](RoutedSession& session) {
                for (std::size_t service = 0; service < services; ++service) {
                    session.simulation.moveRoute(service);
                    session.write();
                }
                for (std::size_t service = 0; service < services; ++service) {
                    session.simulation.moveRoute(service);
                    session.checkReads(service, 1);
                }
            },
            services);
    }

    TEST_CASE("a session reads its own write although the answer to it reported no position")
    {
        // Guards against a stale read at a replica after an answer without a position, and against the
        // position of an earlier write that stands in for it.
        atEachVm([](RoutedSession& session) {
            session.write();
            session.simulation.interceptStatement
                = [&session](const ModelConnection&, const UpstreamStatement& statement) {
                      const auto* relayed = std::get_if<RelayStatement>(&statement);
                      if (relayed == nullptr || !relayed->text.starts_with("WRITE"))
                          return std::optional<Reply> {};
                      ++session.simulation.upstream("primary").logPosition;
                      return std::optional { Reply { .proof = "proof" } };
                  };
            session.write();
            for (const auto* replica : { "replica-1", "replica-2" })
                session.simulation.upstream(replica).logPosition = positionAfter(1);
            session.checkReads(0, 2);
        });
    }

    TEST_CASE("reads of a service whose write is not kept return to replicas once they cover it")
    {
        // Guards against a session whose reads all run at the primary from its ninth service on.
        constexpr auto services = OwnWrites::maxServices + 1;
        RoutedSession session { false, ownWrites, services };
        for (std::size_t service = 0; service < services; ++service) {
            session.simulation.moveRoute(service);
            session.write();
        }
        session.simulation.moveRoute(0);
        for (const std::size_t replica : { 1, 2 })
            session.simulation.upstream(PoolSimulation::upstreamName(0, replica)).logPosition
                = positionAfter(1);
        session.simulation.advanceTime(3s);
        session.readOnce();
        session.readOnce();
        CHECK_FALSE(session.simulation.executed().back().atPrimary);
    }

    TEST_CASE("sessions read their own writes while their route changes at random")
    {
        // Guards against an order of writes, reads and versions that the cases above do not have.
        checkProperty("sessions on a route that changes", [](std::uint64_t seed) {
            MovedRouteScenario { seed, { .freshness = ownWrites, .services = 3 } }.run();
        });
        checkProperty("forwarded sessions on a route that changes", [](std::uint64_t seed) {
            MovedRouteScenario {
                seed, { .freshness = ownWrites, .forwardToOwner = true, .services = 3 }
            }.run();
        });
        checkProperty("sessions on a route that is moved to many services", [](std::uint64_t seed) {
            MovedRouteScenario {
                seed, { .freshness = ownWrites, .services = OwnWrites::maxServices + 4 }
            }.run();
        });
    }
}

#include "pool_simulation.h"
#include "random_choices.h"

#include <property.h>

#include <algorithm>
#include <array>
#include <map>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// A caller with the session state that it has set and the session phase that it was last told.
struct TestCaller {
    CallerId id {};
    std::string name;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    int statements = 0;
    SessionPhase phase = SessionPhase::Idle;
    std::string lastId;
    /// Ids of the writes of the current transaction or statement. They are kept until the next one starts, so
    /// that a failure that promises no effect can be checked against them.
    std::vector<std::string> attemptWrites;
};

/// Submits random statements of several callers to the simulation, with random faults.
class RandomizedScenario : RandomChoices {
public:
    struct Options {
        bool forwardToOwner = false;
        /// Promotes upstreams while the view of the VMs names the former primary for a while.
        bool promotions = false;
        /// Cuts the link to the owner for a while; statements forwarded meanwhile arrive late.
        bool partitions = false;
        RouteFreshness freshness = ReadOwnWritesRoute { 2500ms };
    };

    explicit RandomizedScenario(std::uint64_t seed, const Options& options)
        : RandomChoices(seed)
        , options(options)
        , simulation({ .connectionCap = 4,
              .freshness = options.freshness,
              .forwardToOwner = options.forwardToOwner })
    {
        this->simulation.failForwarding = [this](const ForwardStatement&) -> std::optional<ForwardFailure> {
            if (this->chance(20))
                return ForwardFailure::NotAccepted;
            return this->chance(20) ? std::optional { ForwardFailure::Lost } : std::nullopt;
        };
        this->simulation.interceptStatement
            = [this](const ModelConnection& connection, const UpstreamStatement& statement) {
                  return this->injectFailure(connection, statement);
              };
        this->simulation.shouldLoseReply = [this](const UpstreamStatement&) { return this->chance(40); };
        for (const auto* name : { "ada", "bea", "cai", "dan" })
            this->testCallers.push_back(
                { .id = this->simulation.connect(this->chance(2) ? "key-a" : "key-b"), .name = name });
    }

    void run()
    {
        for (int step = 0; step < 150; ++step) {
            auto& testCaller = this->testCallers[this->randomBelow(this->testCallers.size())];
            if (!this->simulation.isClosed(testCaller.id))
                this->submitRandomStatement(testCaller);
            if (this->chance(5))
                this->simulation.advanceTime(
                    std::chrono::milliseconds { 20 * static_cast<int>(this->randomBelow(5)) });
            if (this->options.promotions)
                this->changePrimary();
            if (this->options.partitions && this->chance(12))
                this->toggleOwnerReachability();
        }
        if (this->simulation.ownerUnreachable)
            this->simulation.restoreOwnerLink();
        if (this->options.promotions)
            this->publishPrimary();
        this->simulation.advanceTime(5s);
        for (auto& testCaller : this->testCallers)
            this->checkReplies(testCaller);
        if (this->options.promotions)
            this->checkServiceRestored();
    }

private:
    void changePrimary()
    {
        this->checkAllReplies();
        if (this->chance(12)) {
            static const std::array names { "primary", "replica-1", "replica-2" };
            this->leader = names.at(this->randomBelow(names.size()));
            this->simulation.promote(this->leader);
        }
        if (this->chance(12)) {
            this->publishPrimary();
            this->checkAllReplies();
        }
    }

    void toggleOwnerReachability()
    {
        if (this->simulation.ownerUnreachable)
            this->simulation.restoreOwnerLink();
        else
            this->simulation.ownerUnreachable = true;
    }

    void publishPrimary()
    {
        this->simulation.setPrimary(this->leader, this->simulation.upstream(this->leader).term);
    }

    void checkAllReplies()
    {
        for (auto& testCaller : this->testCallers)
            this->checkReplies(testCaller);
    }

    /// Checks that a write succeeds once the view is up to date and no more faults occur.
    void checkServiceRestored()
    {
        this->simulation.interceptStatement = nullptr;
        this->simulation.shouldLoseReply = nullptr;
        this->simulation.failForwarding = nullptr;
        const auto caller = this->simulation.connect();
        this->simulation.submit(caller, "eve/1", "WRITE 1 x");
        this->simulation.advanceTime(500ms);
        RC_ASSERT(!this->simulation.takeReply(caller).failure.has_value());
    }

    /// Checks that a success that depends on the view of the primary comes from the primary of that view.
    void checkSuccess(const TestCaller& testCaller, const Reply& reply)
    {
        const auto* execution = this->simulation.lastExecution(testCaller.lastId);
        if (reply.failure || reply.proof != "proof" || execution == nullptr)
            return;
        const bool isCommit = execution->text == "COMMIT";
        const bool writes
            = std::find(testCaller.attemptWrites.begin(), testCaller.attemptWrites.end(), execution->id)
            != testCaller.attemptWrites.end();
        if (!isCommit && !writes && execution->dependsOnView)
            RC_ASSERT(execution->atPrimary);
        const bool keepsWrites
            = reply.phase == SessionPhase::Idle && (isCommit ? !testCaller.attemptWrites.empty() : writes);
        if (!keepsWrites)
            return;
        RC_ASSERT(execution->upstream == this->simulation.leader().primary);
        RC_ASSERT(Term { execution->term } == this->simulation.leader().term);
    }

    std::optional<Reply> injectFailure(const ModelConnection& connection, const UpstreamStatement& statement)
    {
        const auto* callerStatement = std::get_if<RelayStatement>(&statement);
        if (callerStatement == nullptr)
            return std::nullopt;
        this->checkSessionState(connection, *callerStatement);
        if (!this->chance(12) || callerStatement->text == "COMMIT")
            return std::nullopt;
        Reply reply { .failure = StatementFailure { StatementError::Busy, "full" } };
        reply.phase = connection.inTransaction ? SessionPhase::InTransaction : SessionPhase::Idle;
        return reply;
    }

    /// Checks that the connection has exactly the values of the statement's session, and the prepared
    /// statement that it executes.
    void checkSessionState(const ModelConnection& connection, const RelayStatement& statement)
    {
        const auto name = statement.id.substr(0, statement.id.find('/'));
        const auto testCaller = std::find_if(this->testCallers.begin(), this->testCallers.end(),
            [&name](const TestCaller& one) { return one.name == name; });
        RC_ASSERT(testCaller != this->testCallers.end());
        RC_ASSERT(connection.values == testCaller->values);
        if (statement.execute) {
            const auto preparedName = statement.text.substr(8, 2);
            RC_ASSERT(
                connection.prepared.at(statement.execute->name) == testCaller->prepared.at(preparedName));
        }
    }

    void submitRandomStatement(TestCaller& testCaller)
    {
        this->checkReplies(testCaller);
        if (this->awaitsReply[testCaller.name])
            return;
        const auto id = testCaller.name + '/' + std::to_string(++testCaller.statements);
        const auto text = this->selectStatement(testCaller, id);
        testCaller.lastId = id;
        this->awaitsReply[testCaller.name] = true;
        this->simulation.submit(testCaller.id, id, text);
        this->checkReplies(testCaller);
    }

    std::string selectStatement(TestCaller& testCaller, const std::string& id)
    {
        if (testCaller.phase == SessionPhase::FailedTransaction)
            return "ROLLBACK";
        const auto letter = std::string { static_cast<char>('a' + this->randomBelow(3)) };
        switch (this->randomBelow(8)) {
        case 0:
            testCaller.values[letter] = id;
            return "SET " + letter + ' ' + id;
        case 1:
            testCaller.prepared["s" + letter]
                = { .writes = this->chance(2), .text = "shape" + std::to_string(this->randomBelow(4)) };
            return "PREPARE s" + letter + (testCaller.prepared["s" + letter].writes ? " WRITE " : " READ ")
                + testCaller.prepared["s" + letter].text;
        case 2:
            if (testCaller.phase == SessionPhase::Idle) {
                testCaller.attemptWrites.clear();
                return this->chance(4) ? "BEGIN READ" : "BEGIN";
            }
            return this->chance(2) ? "COMMIT" : "ROLLBACK";
        case 3:
        case 4:
            this->startAttempt(testCaller);
            testCaller.attemptWrites.push_back(id);
            return "WRITE 1 " + id;
        case 5:
            this->startAttempt(testCaller);
            if (testCaller.prepared.contains("s" + letter)) {
                if (testCaller.prepared["s" + letter].writes)
                    testCaller.attemptWrites.push_back(id);
                return "EXECUTE s" + letter + " item";
            }
            return "READ 1";
        default:
            this->startAttempt(testCaller);
            return "READ 1";
        }
    }

    void startAttempt(TestCaller& testCaller)
    {
        if (testCaller.phase == SessionPhase::Idle)
            testCaller.attemptWrites.clear();
    }

    void checkReplies(TestCaller& testCaller)
    {
        for (const auto& reply : this->simulation.takeReplies(testCaller.id)) {
            this->awaitsReply[testCaller.name] = false;
            testCaller.phase = reply.phase;
            this->checkSuccess(testCaller, reply);
            const bool promisesNoEffect = reply.failure
                && (meansNotRun(reply.failure->error) || reply.failure->error == StatementError::Aborted);
            if (!promisesNoEffect)
                continue;
            for (const auto& id : testCaller.attemptWrites)
                RC_ASSERT(!this->simulation.committed(id));
        }
        for (const auto& id : testCaller.attemptWrites)
            RC_ASSERT(this->simulation.executionCount(id) <= 1);
    }

    Options options;
    PoolSimulation simulation;
    std::string leader = "primary";
    std::vector<TestCaller> testCallers;
    std::map<std::string, bool> awaitsReply;
};

} // namespace

TEST_SUITE("sessions under faults")
{
    TEST_CASE("sessions stay isolated, no write runs twice and reported outcomes are true")
    {
        // Sessions of two teams share a few connections while upstreams are full now and then and replies get
        // lost. A user would notice a mistake as another user's data, an order placed twice, or an order that
        // was reported as refused and yet placed.
        checkProperty("sessions", [](std::uint64_t seed) { RandomizedScenario { seed, {} }.run(); });
    }

    TEST_CASE("the same holds when statements are forwarded to an owner that may not reply")
    {
        // Callers connect to one VM and their statements run at another, which is unreachable now and then,
        // or runs a statement whose reply gets lost. What the first VM reports must be true of what the
        // second one did.
        checkProperty("sessions forwarded to a service owner", [](std::uint64_t seed) {
            RandomizedScenario { seed, { .forwardToOwner = true } }.run();
        });
    }

    TEST_CASE("the same holds while the owner is cut off and statements arrive there late")
    {
        // Guards against a statement that runs twice, or gets another statement's rows, because its owner was
        // given up as unreachable and ran it all the same.
        checkProperty("sessions forwarded to a partitioned service owner", [](std::uint64_t seed) {
            RandomizedScenario { seed, { .forwardToOwner = true, .partitions = true } }.run();
        });
        checkProperty("sessions forwarded to a partitioned service owner under an outdated view",
            [](std::uint64_t seed) {
                RandomizedScenario {
                    seed, { .forwardToOwner = true, .promotions = true, .partitions = true }
                }.run();
            });
    }

    TEST_CASE("a success that depends on the view of the primary comes from the view's primary")
    {
        // Guards against stale reads and lost commits while the view still names a former primary.
        checkProperty("sessions under an outdated view", [](std::uint64_t seed) {
            RandomizedScenario { seed, { .promotions = true } }.run();
        });
        checkProperty("sessions of a primary route under an outdated view", [](std::uint64_t seed) {
            RandomizedScenario { seed, { .promotions = true, .freshness = PrimaryRoute {} } }.run();
        });
        checkProperty("sessions forwarded to a service owner under an outdated view", [](std::uint64_t seed) {
            RandomizedScenario { seed, { .forwardToOwner = true, .promotions = true } }.run();
        });
    }
}

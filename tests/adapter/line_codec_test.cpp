#include <platform/line_codec.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace cyclamendrift::platform;

namespace {

CallerQuery queryOf(const std::string& line) { return std::get<CallerQuery>(readCallerMessage(line)); }

template <class Statement> bool isStatement(const std::string& line)
{
    return std::holds_alternative<Statement>(queryOf(line).statement);
}

} // namespace

TEST_SUITE("messages of callers")
{
    TEST_CASE("the last field extends to the end of the line, including blanks")
    {
        const auto value = std::get<SetSessionValue>(queryOf("QUERY 7 SET note a b  c").statement);
        CHECK(value.name == "note");
        CHECK(value.value == "a b  c");
        const auto start = std::get<SessionStart>(readCallerMessage("START beds key one"));
        CHECK(start.database == "beds");
        CHECK(start.key == "key one");
    }

    TEST_CASE("each kind of statement is recognized, and its id and text are kept unchanged")
    {
        CHECK(isStatement<BeginTransaction>("QUERY 1 BEGIN"));
        CHECK(std::get<BeginTransaction>(queryOf("QUERY 1 BEGIN READ").statement).readOnly);
        CHECK(isStatement<CommitTransaction>("QUERY 1 COMMIT"));
        CHECK(isStatement<RollbackTransaction>("QUERY 1 ROLLBACK"));
        CHECK(isStatement<ReadItem>("QUERY 1 READ 1a4"));
        CHECK(isStatement<WriteItem>("QUERY 1 WRITE 1a4 x y"));
        CHECK(isStatement<DeallocateStatement>("QUERY 1 DEALLOCATE s1"));
        const auto query = queryOf("QUERY 5c0e EXECUTE s1 1a4 some data");
        CHECK(query.id == "5c0e");
        CHECK(query.text == "EXECUTE s1 1a4 some data");
        CHECK(std::get<ExecutePrepared>(query.statement).arguments == "1a4 some data");
        const auto prepare = std::get<PrepareStatement>(queryOf("QUERY 1 PREPARE s1 WRITE q 2 c").statement);
        CHECK(prepare.shape == PreparedShape { true, "q 2 c" });
    }

    TEST_CASE("malformed statements and malformed messages are reported")
    {
        for (const auto* text : { "GRANT", "READ", "WRITE item", "PREPARE s1", "PREPARE s1 LOOK x",
                 "EXECUTE s1", "BEGIN NOW", "AFTER 1.2 READ x", "SET" })
            CHECK(isStatement<MalformedStatement>("QUERY 1 " + std::string { text }));
        for (const auto* line : { "", "HELLO", "QUERY", "QUERY 1", "START", "GET / HTTP/1.1" })
            CHECK(std::holds_alternative<BadMessage>(readCallerMessage(line)));
        CHECK(std::holds_alternative<SessionEnd>(readCallerMessage("TERMINATE")));
    }

    TEST_CASE("answers contain the error, the state and the position")
    {
        Reply reply { .rows = { "one", "two" }, .proof = "7.1f3" };
        reply.phase = SessionPhase::InTransaction;
        reply.progress = Progress { Term { 3 }, LogPosition { 1209 } };
        CHECK(writeReply(reply) == "ROW one\r\nROW two\r\nDONE 7.1f3\r\nREADY T 3.1209\r\n");
        Reply failed;
        failed.failure = StatementFailure { StatementError::InDoubt, "the commit may have taken effect" };
        CHECK(writeReply(failed) == "ERROR INDOUBT the commit may have taken effect\r\nREADY I -\r\n");
    }
}

TEST_SUITE("messages of upstreams")
{
    TEST_CASE("statements are written with the position they require, and with the connection's name of a "
              "prepared one")
    {
        const Progress after { Term { 3 }, LogPosition { 1207 } };
        CHECK(writeStatement(RelayStatement { .id = "5c", .text = "READ 1a4", .after = after })
            == "QUERY 5c AFTER 3.1207 READ 1a4\r\n");
        CHECK(writeStatement(RelayStatement { .id = "5c",
                  .text = "EXECUTE s1 1a4 x",
                  .execute = ExecutePrepared { .name = "p2", .arguments = "1a4 x" } })
            == "QUERY 5c EXECUTE p2 1a4 x\r\n");
        CHECK(writeStatement(OpenTransaction { .readOnly = true, .after = after })
            == "QUERY - AFTER 3.1207 BEGIN READ\r\n");
        CHECK(writeStatement(ApplyPrepared { .name = "p2", .shape = { true, "q2c" } })
            == "QUERY - PREPARE p2 WRITE q2c\r\n");
        CHECK(writeOrder(PauseReplication { Term { 4 } }) == "QUERY - PAUSE 4\r\n");
    }

    TEST_CASE("a reply is complete only with its last line")
    {
        ReplyReader reader;
        CHECK(reader.take("ROW a b") == ReplyReader::Progress::Incomplete);
        CHECK(reader.take("DONE 7.1") == ReplyReader::Progress::Incomplete);
        REQUIRE(reader.take("READY I 3.1209") == ReplyReader::Progress::Whole);
        const auto reply = reader.takeReply();
        CHECK(reply.rows == std::vector<std::string> { "a b" });
        CHECK(reply.proof == "7.1");
        CHECK(reply.progress == Progress { Term { 3 }, LogPosition { 1209 } });
        CHECK(reader.take("ERROR LAGGING 3.1200") == ReplyReader::Progress::Incomplete);
        REQUIRE(reader.take("READY E -") == ReplyReader::Progress::Whole);
        const auto refused = reader.takeReply();
        CHECK(refused.failure->error == StatementError::Lagging);
        CHECK(refused.phase == SessionPhase::FailedTransaction);
        CHECK_FALSE(refused.progress);
    }

    TEST_CASE("rows after the end, invalid states and unknown words end the connection")
    {
        // Guards against lines of another answer that are taken for this statement's, which would show a
        // caller another caller's rows.
        for (const auto* line : { "HELLO", "READY X 1.2", "READY" }) {
            ReplyReader reader;
            CHECK(reader.take(line) == ReplyReader::Progress::Broken);
        }
        ReplyReader reader;
        CHECK(reader.take("DONE x") == ReplyReader::Progress::Incomplete);
        CHECK(reader.take("ROW late") == ReplyReader::Progress::Broken);
    }

    TEST_CASE("an unknown error code guarantees nothing")
    {
        ReplyReader reader;
        CHECK(reader.take("ERROR NEWCODE what") == ReplyReader::Progress::Incomplete);
        REQUIRE(reader.take("READY I -") == ReplyReader::Progress::Whole);
        CHECK_FALSE(meansNotRun(reader.takeReply().failure->error));
    }

    TEST_CASE("a status that lacks a field is rejected")
    {
        Reply reply { .rows = { "replica 3 3.1209 4 12 2 17" } };
        const auto status = readStatus(reply);
        REQUIRE(status);
        CHECK_FALSE(status->isPrimary);
        CHECK(status->received == Progress { Term { 3 }, LogPosition { 1209 } });
        CHECK(status->pausedBelowTerm == Term { 4 });
        for (const auto* row :
            { "", "leader 3 3.1 0", "replica x 3.1 0", "replica 3 - 0", "replica 3 3.1" }) {
            reply.rows = { row };
            CHECK_FALSE(readStatus(reply));
        }
    }
}

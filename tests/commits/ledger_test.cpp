#include <cyclamendrift/commits/ledger.h>

#include <property.h>

using namespace cyclamendrift;

namespace {

LedgerKey keyFor(const Statement& statement, const char* request = "r1")
{
    return { .team = TeamName { "hospitals" },
        .request = RequestId { request },
        .statementHash = Ledger::hashStatement(statement) };
}

RowSet lookUpAnswer(const LedgerKey& key, Value answer)
{
    return { .columns = { "statement_hash", "answer" },
        .rows = { { key.statementHash, std::move(answer) } } };
}

} // namespace

TEST_SUITE("ledger")
{
    TEST_CASE("a recorded answer is read back unchanged")
    {
        checkProperty("a recorded answer equals the answer read back",
            [](const std::vector<std::string>& columns, const std::vector<std::string>& texts,
                std::uint64_t affected) {
                RowSet answer { .columns = columns, .rows = {}, .affectedRows = affected };
                for (const auto& text : texts)
                    answer.rows.push_back({ text, std::nullopt });
                const Ledger ledger { {} };
                const auto key = keyFor({ .text = "UPDATE beds", .parameters = {} });
                const auto recorded = ledger.recordAnswer(key, answer).parameters.at(1);
                const auto finding = Ledger::parseLookupAnswer(lookUpAnswer(key, recorded), key);
                const auto& found = std::get<AlreadyCommitted>(finding).answer;
                RC_ASSERT(found.columns == answer.columns);
                RC_ASSERT(found.rows == answer.rows);
                RC_ASSERT(found.affectedRows == affected);
            });
    }

    TEST_CASE("a request id reused for another statement is a mismatch")
    {
        const auto first = keyFor({ .text = "UPDATE beds SET free = $1", .parameters = { "a" } });
        const auto second = keyFor({ .text = "UPDATE beds SET free = $1", .parameters = { "b" } });
        const auto finding = Ledger::parseLookupAnswer(lookUpAnswer(first, {}), second);
        CHECK(std::holds_alternative<StatementMismatch>(finding));
        CHECK(std::holds_alternative<NotInLedger>(Ledger::parseLookupAnswer({}, first)));
    }

    TEST_CASE("parameter lists with the same concatenation have different hashes")
    {
        const auto hash = [](std::vector<Value> parameters) {
            return Ledger::hashStatement({ .text = "s", .parameters = parameters });
        };
        CHECK(hash({ "ab", "c" }) != hash({ "a", "bc" }));
        CHECK(hash({ std::nullopt }) != hash({ "" }));
        CHECK(hash({ "a" }) == hash({ "a" }));
    }

    TEST_CASE("the same request id of two teams refers to two rows")
    {
        const Ledger ledger { {} };
        auto other = keyFor({ .text = "s", .parameters = {} });
        const auto own = ledger.lookUp(other).parameters;
        other.team = TeamName { "families" };
        CHECK(ledger.lookUp(other).parameters != own);
    }

    TEST_CASE("an answer over the size limit keeps only its affected row count")
    {
        const Ledger ledger { { .maxAnswerBytes = 10 } };
        const auto key = keyFor({ .text = "s", .parameters = {} });
        const RowSet answer { .columns = { "c" }, .rows = { { std::string(100, 'x') } }, .affectedRows = 1 };
        const auto recorded = ledger.recordAnswer(key, answer).parameters.at(1);
        const auto finding = Ledger::parseLookupAnswer(lookUpAnswer(key, recorded), key);
        CHECK(std::get<AlreadyCommitted>(finding).answer.affectedRows == 1);
        CHECK(std::get<AlreadyCommitted>(finding).answer.rows.empty());
    }
}

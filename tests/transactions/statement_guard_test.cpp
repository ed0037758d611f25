#include <cyclamendrift/transactions/statement_guard.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;

TEST_SUITE("statement guard")
{
    TEST_CASE("a caller cannot end the transaction around its statement or leave a setting behind")
    {
        // A caller sends COMMIT or SET as its statement. The first would commit a write without its row in
        // the ledger, the second would change what the next team's statements on the connection mean.
        for (const auto* sql : { "COMMIT", "  commit;", "/* a /* b */ */ COMMIT", "-- x\nROLLBACK",
                 "set role x", ";; SET search_path TO x", "END", "prepare transaction 'x'" })
            CHECK_MESSAGE(isSessionControlStatement(sql), sql);
        for (const auto* sql : { "SELECT 1", "UPDATE beds SET free = 1", "settle", "/* COMMIT */ SELECT 1",
                 "WITH x AS (SELECT 1) SELECT * FROM x", "", "/*", "--" })
            CHECK_FALSE_MESSAGE(isSessionControlStatement(sql), sql);
    }
}

#include <cyclamendrift/transactions/statement_guard.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;

TEST_SUITE("statement guard")
{
    TEST_CASE("transaction and session control statements are recognized")
    {
        // A caller sends COMMIT or SET as its statement. COMMIT would commit a write without its row in the
        // ledger; SET would change how later statements of other teams on the connection behave.
        for (const auto* sql : { "COMMIT", "  commit;", "/* a /* b */ */ COMMIT", "-- x\nROLLBACK",
                 "set role x", ";; SET search_path TO x", "END", "prepare transaction 'x'" })
            CHECK_MESSAGE(isSessionControlStatement(sql), sql);
        for (const auto* sql : { "SELECT 1", "UPDATE beds SET free = 1", "settle", "/* COMMIT */ SELECT 1",
                 "WITH x AS (SELECT 1) SELECT * FROM x", "", "/*", "--" })
            CHECK_FALSE_MESSAGE(isSessionControlStatement(sql), sql);
    }
}

#include <cyclamendrift/sessions/session_error.h>
#include <cyclamendrift/sessions/session_token.h>

#include <property.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

using namespace cyclamendrift;

namespace {

DatabaseName makeDatabase(std::uint8_t number)
{
    return { ServiceName { number % 2 == 0 ? "register" : "orders" }, "d" + std::to_string(number % 8) };
}

using Observations = std::vector<std::tuple<std::uint8_t, std::uint32_t, std::uint64_t>>;

SessionToken makeToken(const Observations& observations)
{
    SessionToken token;
    for (const auto& [database, term, position] : observations)
        token.observe(makeDatabase(database), { Term { term }, LogPosition { position } });
    return token;
}

SessionToken merged(SessionToken left, const SessionToken& right)
{
    left.merge(right);
    return left;
}

} // namespace

TEST_SUITE("session token")
{
    TEST_CASE("decoding an encoded token gives the same token")
    {
        checkProperty("decode(encode(token)) equals token", [](const Observations& observations) {
            const auto token = makeToken(observations);
            RC_ASSERT(SessionToken::decode(token.encode()) == token);
        });
    }

    TEST_CASE("merging takes the maximum in any order and never lowers progress")
    {
        checkProperty("commutative, associative, idempotent, monotonic",
            [](const Observations& a, const Observations& b, const Observations& c) {
                const auto x = makeToken(a);
                const auto y = makeToken(b);
                const auto z = makeToken(c);
                RC_ASSERT(merged(x, y) == merged(y, x));
                RC_ASSERT(merged(merged(x, y), z) == merged(x, merged(y, z)));
                RC_ASSERT(merged(x, x) == x);
                for (std::uint8_t number = 0; number < 8; ++number) {
                    const auto name = makeDatabase(number);
                    RC_ASSERT(merged(x, y).progressOf(name) >= x.progressOf(name));
                    RC_ASSERT(
                        merged(x, y).progressOf(name) == std::max(x.progressOf(name), y.progressOf(name)));
                }
            });
    }

    // Guards against a truncated, mistyped or forged token being taken as an empty session, which would
    // silently lose read-your-writes.
    TEST_CASE("a text that is not a valid token is rejected")
    {
        CHECK(SessionToken::decode("") == SessionToken {});
        CHECK_THROWS_AS(std::ignore = SessionToken::decode("!!"), SessionError);
        CHECK_THROWS_AS(std::ignore = SessionToken::decode("AAAA"), SessionError);
        CHECK_THROWS_AS(std::ignore = SessionToken::decode(std::string(20000, 'A')), SessionError);
        checkProperty("an arbitrary text throws SessionError or decodes", [](const std::string& text) {
            try {
                const auto token = SessionToken::decode(text);
                RC_ASSERT(SessionToken::decode(token.encode()) == token);
            } catch (const SessionError&) {
            }
        });
    }

    // Guards against tokens that grow without bound, and against a full token losing its entries.
    TEST_CASE("a full token rejects a further database and keeps its entries")
    {
        SessionToken token;
        const Progress progress { Term { 1 }, LogPosition { 1 } };
        for (std::size_t number = 0; number < SessionToken::maxDatabases; ++number)
            token.observe({ ServiceName { "s" }, std::to_string(number) }, progress);
        const DatabaseName another { ServiceName { "s" }, "another" };
        CHECK_FALSE(token.hasRoomFor(another));
        CHECK(token.hasRoomFor({ ServiceName { "s" }, "0" }));
        CHECK_THROWS_AS(token.observe(another, progress), SessionError);
        CHECK(SessionToken::decode(token.encode()) == token);
    }
}

#include <cyclamendrift/limits/limit_client.h>
#include <cyclamendrift/limits/limit_shard_home.h>
#include <cyclamendrift/limits/tokens.h>

#include <property.h>

#include <array>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const Instant start { 100s };

LimitRule rule(std::int64_t rate, std::int64_t burst)
{
    return { .ratePerSecond = { rate * oneRequest.millionths }, .burst = { burst * oneRequest.millionths } };
}

Tokens requests(std::int64_t count) { return { count * oneRequest.millionths }; }

} // namespace

TEST_SUITE("limit shards")
{
    // Guards against a remainder that is lost or added when a limit is split.
    TEST_CASE("the shards add up to the whole limit")
    {
        checkProperty("sum of shards", [](std::uint32_t rate, std::uint32_t burst) {
            const auto count = *rc::gen::inRange<std::uint32_t>(1, 4);
            const LimitRule whole { { rate }, { burst } };
            LimitRule sum;
            for (std::uint32_t index = 0; index < count; ++index) {
                const auto part = shardOf(whole, index, count);
                sum.ratePerSecond += part.ratePerSecond;
                sum.burst += part.burst;
            }
            RC_ASSERT(sum == whole);
        });
    }

    // Guards against a shard that refills tokens that can still be spent: a proxy keeps its grants until they
    // expire and returns some late, twice, or with more tokens than granted.
    TEST_CASE("the bucket and the valid grants together stay within the burst")
    {
        checkProperty("potential", [] {
            LimitShardHome shard { { .rule = rule(20, 10), .level = requests(10), .now = start } };
            struct Held {
                std::uint64_t id;
                Tokens amount;
                Instant until;
            };
            std::vector<Held> held;
            auto now = start;
            for (int step = 0; step < 60; ++step) {
                now += std::chrono::milliseconds { *rc::gen::inRange(0, 400) };
                std::erase_if(held, [now](const Held& grant) { return grant.until <= now; });
                if (*rc::gen::inRange(0, 3) == 0 && !held.empty()) {
                    shard.settle(held.back().id, held.back().amount + requests(*rc::gen::inRange(0, 3)), now);
                    shard.settle(held.back().id, held.back().amount, now);
                    held.pop_back();
                } else {
                    const auto grant = shard.grant(requests(*rc::gen::inRange(1, 8)), now);
                    held.push_back({ grant.id, grant.amount, now + grantLifetime });
                }
                auto potential = shard.level(now);
                for (const auto& grant : held)
                    potential += grant.amount;
                RC_ASSERT(potential <= requests(10));
            }
        });
    }

    // Guards against exceeding the limit after a proxy was paused for longer than the lifetime of its grants:
    // the owner has counted them as expired and granted the same tokens again.
    TEST_CASE("a proxy spends nothing of an expired grant after a pause")
    {
        LimitClient client { {} };
        const std::array shardRefs { ShardRef { .index = 0, .epoch = 1 } };
        client.setShards(rule(10, 100), shardRefs);
        CHECK(!client.tryAcquire(start));
        client.onAnswer(
            { .shard = shardRefs[0], .grant = { .id = 1, .amount = requests(5) }, .askedAt = start }, start);
        CHECK(client.tryAcquire(start + 900ms));
        CHECK(!client.tryAcquire(start + 1000ms));
        CHECK(!client.tryAcquire(start + 30s));
    }

    // Guards against granting another burst with each change of a limit.
    TEST_CASE("a change of the rule adds no tokens")
    {
        LimitShardHome shard { { .rule = rule(1, 10), .level = requests(10), .now = start } };
        CHECK(shard.grant(requests(10), start).amount == requests(10));
        shard.setRule(rule(1, 20), start);
        CHECK(shard.grant(requests(10), start).amount == Tokens {});
    }

    // Guards against a request that waits in vain for as long as it may.
    TEST_CASE("a waiting request is refused at once when no grant can come in time")
    {
        LimitClient client { {} };
        const std::array shardRefs { ShardRef { .index = 0, .epoch = 1 } };
        client.setShards(rule(1, 4), shardRefs);
        CHECK(!client.tryAcquire(start));
        static_cast<void>(client.wait(start, start + 10s));
        REQUIRE(client.createRequests(start).size() == 1);
        CHECK(client.results(start).empty());
        client.onAnswer(
            { .shard = shardRefs[0], .grant = { .retryAfter = 900ms }, .askedAt = start }, start + 2ms);
        const auto results = client.results(start + 2ms);
        REQUIRE(results.size() == 1);
        CHECK(!results[0].admitted);
        CHECK(results[0].retryAfter >= 800ms);
    }
}

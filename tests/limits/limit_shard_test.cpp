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
    TEST_CASE("shards add up to the whole")
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

    // A proxy keeps its grants to the last moment and returns some late, twice, or with more than it was
    // given. Whatever it does, the shard must not refill what can still be spent.
    TEST_CASE("level and grants that can still be spent stay within the burst")
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

    // A proxy is paused for longer than its grants last. The owner has counted them as over and granted the
    // same tokens again; spending them now would pass the limit.
    TEST_CASE("a paused proxy spends nothing of a grant that is over")
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

    TEST_CASE("a change of the rule fills nothing")
    {
        LimitShardHome shard { { .rule = rule(1, 10), .level = requests(10), .now = start } };
        CHECK(shard.grant(requests(10), start).amount == requests(10));
        shard.setRule(rule(1, 20), start);
        CHECK(shard.grant(requests(10), start).amount == Tokens {});
    }

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

#include <cyclamendrift/membership/configuration_validity.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1h };
constexpr ConfigurationValidity::Options limits { .applyLimit = 3s, .outageExtension = 12s };

} // namespace

TEST_SUITE("validity of the configuration")
{
    TEST_CASE("a configuration that was never confirmed is not valid, whatever is reported of the store")
    {
        // Guards against a VM that starts during an outage and serves what it has not been told.
        ConfigurationValidity validity { limits };
        CHECK(validity.validUntil() == Instant::min());
        validity.storeUnavailable(start, start);
        CHECK(validity.validUntil() == Instant::min());
    }

    TEST_CASE("each confirmation extends the validity to less than the time that a change may take")
    {
        // Guards against a VM that nobody answers and that acts on a replaced configuration beyond the limit.
        ConfigurationValidity validity { limits };
        validity.confirmed(start, start + 100ms);
        CHECK(validity.validUntil() > start + 2s);
        CHECK(validity.validUntil() < start + 3s);
        const auto before = validity.validUntil();
        validity.confirmed(start + 1s, start + 1s);
        CHECK(validity.validUntil() == before + 1s);
        CHECK(validity.confirmedAt() == start + 1s);
    }

    TEST_CASE("confirmations from the future, before the clock's start or older than a known one are ignored")
    {
        // Guards against a sibling with a broken clock, and against an age that exceeds the time since boot.
        ConfigurationValidity validity { limits };
        validity.confirmed(start, start);
        const auto before = validity.validUntil();
        validity.confirmed(start + 1s, start + 500ms);
        validity.confirmed(start - 1s, start + 500ms);
        validity.confirmed(Instant::min(), start);
        CHECK(validity.validUntil() == before);
        validity.storeUnavailable(start + 10s, start + 500ms);
        CHECK(validity.validUntil() == before);
        ConfigurationValidity fresh { limits };
        fresh.confirmed(Instant { -1h }, start);
        CHECK(fresh.validUntil() == Instant::min());
    }

    TEST_CASE("while the store serves nobody the validity goes on, up to the extension")
    {
        // Guards against a fleet that refuses operations in an outage of the store of some seconds.
        ConfigurationValidity validity { limits };
        validity.confirmed(start, start);
        const auto before = validity.validUntil();
        for (auto at = start; at < start + 10s; at += 500ms) {
            validity.storeUnavailable(at, at);
            CHECK(at < validity.validUntil());
        }
        validity.storeUnavailable(start + 1min, start + 1min);
        CHECK(validity.validUntil() == before + 12s);
    }

    TEST_CASE("after the end of an outage the validity ends within the time that a change may take")
    {
        // Guards against a configuration that is written once the store is back, while a VM still relies on
        // the extension.
        ConfigurationValidity validity { limits };
        validity.confirmed(start, start);
        validity.storeUnavailable(start + 4s, start + 4s);
        CHECK(validity.validUntil() < start + 4s + 3s);
        validity.storeUnavailable(start + 1s, start + 5s);
        CHECK(validity.validUntil() > start + 4s + 2s);
        validity.confirmed(start + 5s, start + 5s);
        CHECK(validity.validUntil() < start + 5s + 3s);
    }
}

#include <cyclamendrift/configuration/configuration_edit.h>
#include <cyclamendrift/configuration/configuration_state.h>
#include <cyclamendrift/configuration/configuration_trust.h>
#include <cyclamendrift/configuration/configuration_writer.h>

#include <property.h>

#include <algorithm>
#include <set>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const Instant start { 100s };

std::vector<VmName> makeVms(std::size_t count)
{
    std::vector<VmName> vms;
    for (std::size_t i = 0; i < count; ++i)
        vms.emplace_back("vm" + std::to_string(i));
    return vms;
}

DocumentPointer makeDocument(std::uint64_t sequence)
{
    auto document = std::make_shared<wire::ConfigurationDocument>();
    document->set_sequence(sequence);
    return document;
}

} // namespace

TEST_SUITE("configuration trust")
{
    // The lists of two VMs can differ by one VM because the platform's list lags. If their quorums had no
    // witness in common, one VM could regard the withdrawal of a key as accepted while the other still trusts
    // the key.
    TEST_CASE("quorums over lists that differ by one VM have a witness in common")
    {
        checkProperty("quorums of lists that differ by one VM intersect", [] {
            const auto count = *rc::gen::inRange<std::size_t>(4, 40);
            const auto vms = makeVms(count);
            const auto left = selectWitnesses(std::span { vms }.first(count - 1));
            const auto right = selectWitnesses(vms);
            std::set<VmName> all { left.begin(), left.end() };
            all.insert(right.begin(), right.end());
            RC_ASSERT(quorumOf(left.size()) + quorumOf(right.size()) > all.size());
        });
    }

    // Counting from the latest statement would trust a configuration after the quorum has expired.
    TEST_CASE("trust expires one window after the oldest statement of the latest quorum")
    {
        ConfigurationTrust trust { {} };
        const auto vms = makeVms(5);
        trust.setWitnesses(vms);
        for (std::size_t i = 0; i < 3; ++i)
            trust.onStatement(
                { .witness = vms[i], .sequence = 7, .madeAt = start + std::chrono::seconds { i } });
        CHECK(trust.trustedUntil(7) == Instant::min());
        trust.onStatement({ .witness = vms[3], .sequence = 7, .madeAt = start + 9s });
        CHECK(trust.trustedUntil(7) == start + 6s);
    }

    // A forwarded statement with an earlier time but a higher sequence must still end the trust in the old
    // one.
    TEST_CASE("a witness that holds a higher sequence does not confirm a lower one")
    {
        ConfigurationTrust trust { {} };
        const auto vms = makeVms(3);
        trust.setWitnesses(vms);
        trust.onStatement({ .witness = vms[0], .sequence = 8, .madeAt = start });
        trust.onStatement({ .witness = vms[1], .sequence = 7, .madeAt = start });
        trust.onStatement({ .witness = vms[1], .sequence = 8, .madeAt = start - 2s });
        CHECK(trust.trustedUntil(7) == Instant::min());
        CHECK(trust.isAccepted(8));
        CHECK(!trust.isAccepted(9));
    }

    // A replayed document would make withdrawn keys valid again.
    TEST_CASE("a document with a lower or equal sequence is not accepted")
    {
        ConfigurationState state;
        CHECK(state.offer(makeDocument(5)));
        CHECK(!state.offer(makeDocument(5)));
        CHECK(!state.offer(makeDocument(4)));
        CHECK(state.sequence() == 5);
    }
}

TEST_SUITE("configuration writer")
{
    // The lost swap may have taken effect, so reporting NotRun would invite a second application.
    TEST_CASE("giving up after a lost swap answer reports an unknown outcome")
    {
        ConfigurationEdit edit = MoveShards { .shards = { wire::LimitShard {} } };
        ConfigurationWriter mover { { .changeId = "c", .edit = std::move(edit) } };
        CHECK(std::holds_alternative<ReadDocument>(mover.start()));
        CHECK(std::holds_alternative<SwapDocument>(mover.onRead(std::nullopt)));
        CHECK(std::holds_alternative<ReadDocument>(mover.onStoreFailure(true, true)));
        const auto last = mover.onStoreFailure(false, false);
        REQUIRE(std::holds_alternative<ChangeFailed>(last));
        CHECK(std::get<ChangeFailed>(last).outcome == Outcome::Unknown);
    }

    // Reporting Unknown before any swap would leave the operator in doubt for no reason.
    TEST_CASE("a change that was never sent is reported as not run")
    {
        ConfigurationWriter writer { { .changeId = "c", .edit = RevokeKey { "k" } } };
        const auto last = writer.onStoreFailure(true, false);
        REQUIRE(std::holds_alternative<ChangeFailed>(last));
        CHECK(std::get<ChangeFailed>(last).outcome == Outcome::NotRun);
    }

    // Without the bound the document would grow with every change.
    TEST_CASE("a document keeps at most maxRecentChanges change ids")
    {
        DocumentPointer document = makeDocument(1);
        for (int i = 0; i < maxRecentChanges + 10; ++i) {
            api::Schema schema;
            auto& team = *schema.add_teams();
            team.set_name("t");
            team.set_rate_per_second(1 + i);
            team.set_burst(1);
            ConfigurationWriter writer { { .changeId = std::to_string(i),
                .edit = ReplaceSchema { .expectedRevision = document->revision(), .schema = schema } } };
            const auto action = writer.onRead(StoredDocument { .storeRevision = 1, .document = document });
            REQUIRE(std::holds_alternative<SwapDocument>(action));
            document = std::get<SwapDocument>(action).document;
        }
        CHECK(document->recent_changes_size() == maxRecentChanges);
    }
}

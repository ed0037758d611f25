#include <cyclamendrift/proxy/transaction_handle.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;

TEST_SUITE("transaction ids")
{
    const TransactionHandle handle { .home = { VmName { "palermo-1" }, "10.0.0.1", 7003 },
        .database = { ServiceName { "register" }, "beds" },
        .transaction = TransactionId { "palermo-1.17" } };

    TEST_CASE("an id comes back as the handle that it was made from, at any proxy of the fleet")
    {
        const TransactionHandleCodec entry { "the siblings' secret" };
        const TransactionHandleCodec other { "the siblings' secret" };
        const auto opened = other.open(entry.seal(handle));
        REQUIRE(opened);
        CHECK(*opened == handle);
    }

    // A caller changes its transaction id so that it names another address. A proxy that believed it would
    // call that address and show it the siblings' secret.
    TEST_CASE("an id that no proxy of this fleet made is refused")
    {
        const TransactionHandleCodec codec { "the siblings' secret" };
        const auto id = codec.seal(handle);
        CHECK_FALSE(TransactionHandleCodec { "another secret" }.open(id));
        CHECK_FALSE(codec.open(""));
        CHECK_FALSE(codec.open("!!"));
        CHECK_FALSE(codec.open(id.substr(0, id.size() - 2)));
        for (std::size_t place = 0; place < id.size(); ++place) {
            auto changed = id;
            changed[place] = changed[place] == 'A' ? 'B' : 'A';
            const auto opened = codec.open(changed);
            // The last letter may carry bits that are not part of the text.
            CHECK((!opened || *opened == handle));
        }
    }
}

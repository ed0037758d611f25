#include <cyclamendrift/session_proxy/packing.h>

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;

namespace {

/// A document with many teams and their keys, as operators write it.
std::string configuration()
{
    std::string document = "{\"tenants\":[";
    for (int team = 0; team < 140; ++team)
        document += "{\"name\":\"team-" + std::to_string(team) + "\",\"apiKeys\":[\"key-"
            + std::to_string(team * 7919) + "\"],\"ratePerS\":12.5,\"burst\":12.5},";
    return document + "{}]}";
}

} // namespace

TEST_SUITE("packed documents")
{
    TEST_CASE("a configuration is unpacked unchanged and is much smaller when packed")
    {
        const auto document = configuration();
        const auto packed = pack(document);
        CHECK(packed.size() < document.size() / 4);
        CHECK(unpack(packed) == document);
        CHECK(unpack(pack("")).empty());
    }

    TEST_CASE("bytes that are truncated or were not packed are refused")
    {
        const auto packed = pack(configuration());
        CHECK_THROWS_AS(static_cast<void>(unpack(packed.substr(0, packed.size() / 2))), PackingError);
        CHECK_THROWS_AS(static_cast<void>(unpack("not packed at all")), PackingError);
        CHECK_THROWS_AS(static_cast<void>(unpack("")), PackingError);
    }

    TEST_CASE("a document that unpacks to more than the maximum size is refused")
    {
        const auto packed = pack(std::string(std::size_t { 20 } << 20U, 'a'));
        CHECK_THROWS_AS(static_cast<void>(unpack(packed)), PackingError);
    }
}

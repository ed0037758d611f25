#include <platform/contracts.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;

TEST_SUITE("the platform's contracts in the settings")
{
    TEST_CASE("the contract of pressure turns on the order by priority, no other one does")
    {
        // Guards against a deployment that is measured by its urgent callers and admits in order of arrival,
        // and against a change of behaviour in all others.
        CHECK(platform::translateContracts("[admission]\ncontracts = [\"spread\", \"pressure\"]\n")
            == "[admission]\nurgent_first = true\n");
        CHECK(platform::translateContracts("[admission]\ncontracts = []\n")
            == "[admission]\nurgent_first = false\n");
    }

    TEST_CASE("the lines after a list over several lines keep their numbers")
    {
        // Guards against error messages that name the wrong line of the operators' file.
        CHECK(platform::translateContracts("[admission]\ncontracts = [\n \"pressure\"\n]\n[log]\n")
            == "[admission]\nurgent_first = true\n\n\n[log]\n");
    }

    TEST_CASE("a text without contracts, or that is no TOML, stays as it is")
    {
        for (const auto* text : { "[admission]\nurgent_first = true\n", "[admission\n", "" })
            CHECK(platform::translateContracts(text) == text);
    }
}

#include <platform/json_text.h>

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift::platform;

TEST_SUITE("JSON of the platform")
{
    TEST_CASE("a key that is not UTF-8 does not make the other entries unreadable")
    {
        // Guards against a single foreign key under the operators' prefix that blocks all changes of the
        // configuration.
        const std::string text = "{\"items\":[{\"key\":\"op/evacuate/\xff\xfe\",\"rev\":4},"
                                 "{\"key\":\"op/evacuate/m\xc3\xa9ssina\",\"rev\":5}]}";
        const auto parsed = parseJsonText(text);
        REQUIRE(parsed.at("items").size() == 2);
        CHECK(parsed.at("items").at(0).at("key") == "op/evacuate/\xef\xbf\xbd\xef\xbf\xbd");
        CHECK(parsed.at("items").at(1).at("key") == "op/evacuate/m\xc3\xa9ssina");
    }

    TEST_CASE("a text that is not JSON is refused")
    {
        for (const auto* text : { "", "{", "\xff", "{\"key\":" })
            CHECK_THROWS_AS(static_cast<void>(parseJsonText(text)), nlohmann::json::exception);
    }
}

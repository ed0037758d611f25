#include <cyclamendrift/core/base64.h>

#include <property.h>

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;

TEST_SUITE("base64")
{
    TEST_CASE("any bytes come back from either form")
    {
        checkProperty("base64 round trip", [](const std::string& bytes) {
            for (const auto form : { Base64Form::Standard, Base64Form::UrlSafe })
                RC_ASSERT(fromBase64(toBase64(bytes, form), form) == bytes);
        });
    }

    TEST_CASE("the two forms differ in alphabet and padding, and one is not taken for the other")
    {
        const std::string bytes = "\xfb\xff";
        CHECK(toBase64(bytes, Base64Form::Standard) == "+/8=");
        CHECK(toBase64(bytes, Base64Form::UrlSafe) == "-_8");
        CHECK_FALSE(fromBase64("-_8", Base64Form::Standard));
        CHECK_FALSE(fromBase64("+/8=", Base64Form::UrlSafe));
        CHECK_FALSE(fromBase64("bm9kZS0x!", Base64Form::Standard));
    }
}

// Guards against values of the store that change on their way.
#include "turmericwing/base/base64.h"

#include <doctest/doctest.h>

using namespace turmericwing;

TEST_CASE("bytes of any length survive")
{
    std::string bytes;
    for (int i = 0; i < 300; ++i) {
        const auto decoded = fromBase64(toBase64(bytes));
        REQUIRE(decoded);
        CHECK(decoded.value() == bytes);
        bytes += static_cast<char>(i * 7);
    }
    CHECK(toBase64("node-1") == "bm9kZS0x");
}

TEST_CASE("other text is an error")
{
    CHECK_FALSE(fromBase64("bm9k*S0x"));
    CHECK_FALSE(fromBase64("abc"));
    CHECK(fromBase64("").value().empty());
}

// Tests of base64. They guard against corruption of stored values that are transferred as base64.
#include "turmericwing/base/base64.h"

#include <doctest/doctest.h>

using namespace turmericwing;

TEST_CASE("decoding restores bytes of any length")
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

TEST_CASE("invalid base64 is rejected")
{
    CHECK_FALSE(fromBase64("bm9k*S0x"));
    CHECK_FALSE(fromBase64("abc"));
    CHECK(fromBase64("").value().empty());
}

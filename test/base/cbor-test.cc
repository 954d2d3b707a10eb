// Tests of the structural check of CBOR. They guard against input that a recursive decoder follows until its
// stack overflows.
#include "turmericwing/base/cbor.h"

#include <doctest/doctest.h>

#include <string>

using namespace turmericwing;

namespace {

/// An empty array inside `levels - 1` arrays.
std::string nestedArrays(size_t levels) { return std::string(levels - 1, '\x81') + '\x80'; }

} // namespace

TEST_CASE("the nesting of arrays and maps is limited")
{
    CHECK_FALSE(checkCborStructure(nestedArrays(4), 4));
    CHECK(checkCborStructure(nestedArrays(5), 4) == CborFault::TooDeep);
    CHECK(checkCborStructure(nestedArrays(1'000'000), 4) == CborFault::TooDeep);
    CHECK(checkCborStructure(std::string(1'000'000, '\xa1'), 4) == CborFault::TooDeep);
}

TEST_CASE("only one complete item of definite length is accepted")
{
    using namespace std::string_literals;
    CHECK_FALSE(checkCborStructure("\x83\x01\x62xy\x41z"s, 4));
    CHECK_FALSE(checkCborStructure("\xa1\x61k\x1a\xff\xff\xff\xff"s, 4));
    for (const auto& bytes :
        { ""s, "\x01\x02"s, "\x82\x01"s, "\x62x"s, "\x9f\xff"s, "\x7f\x7f\x7f"s, "\xc0\x01"s, "\x1b\xff"s,
            "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"s, "\x7b\xff\xff\xff\xff\xff\xff\xff\xff"s })
        CHECK(checkCborStructure(bytes, 4) == CborFault::Malformed);
}

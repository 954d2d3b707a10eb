// Tests of hash functions, digests and random ids.
#include "turmericwing/base/hash.h"
#include "turmericwing/base/random.h"

#include <doctest/doctest.h>

using namespace turmericwing;

TEST_CASE("digests match published test vectors")
{
    // Guards against a digest that other programs cannot verify.
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(hmacSha256Hex("Jefe", "what do ya want for nothing?")
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("placement hash is stable across releases")
{
    // Guards against hosts of different releases that place a share on different owners.
    CHECK(hash64("") == 0x2d06800538d394c2ull);
    CHECK(rendezvousWeight("a", "b") != rendezvousWeight("b", "a"));
}

TEST_CASE("constant-time comparison rejects prefixes")
{
    // Guards against accepting a truncated key.
    CHECK(constantTimeEqual("secret", "secret"));
    CHECK_FALSE(constantTimeEqual("secret", "secre"));
    CHECK_FALSE(constantTimeEqual("secret", "secreT"));
}

TEST_CASE("random ids are reproducible from the seed")
{
    // Guards against test scenarios that cannot be reproduced.
    Random a(1);
    Random b(1);
    CHECK(randomId(a) == randomId(b));
    CHECK(randomId(a).size() == 32);
}

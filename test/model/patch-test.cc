// Tests of configuration patches.
#include "turmericwing/model/patch.h"

#include "turmericwing/base/random.h"

#include <doctest/doctest.h>

#include <vector>

using namespace turmericwing;
using namespace turmericwing::model;

TEST_CASE("a patch yields the next text from its base")
{
    // Guards against a host that applies a configuration other than the published one.
    const std::vector<std::string> texts { "", "a\n", "a\nb\nc\n", "c\nb\na", "b\nb\na\nb\n", "\n\n", "x" };
    for (const std::string& base : texts) {
        for (const std::string& next : texts)
            CHECK(applyPatch(base, makePatch(base, next)).value() == next);
    }
    Random random(7);
    for (int round = 0; round < 200; ++round) {
        std::string base;
        std::string next;
        for (int i = 0; i < 60; ++i) {
            const std::string line = "line " + std::to_string(random() % 40) + "\n";
            base += random() % 4 > 0 ? line : "";
            next += random() % 4 > 0 ? line : "";
        }
        CHECK(applyPatch(base, makePatch(base, next)).value() == next);
    }
}

TEST_CASE("a change of one object in 140,000 is a small patch")
{
    // Guards against publications that send the complete configuration to every host.
    std::string base = "[key a]\nworkspace = w\n[client-blocks b]\n";
    for (int i = 0; i < 140000; ++i)
        base += "block = 10." + std::to_string(i >> 8) + "." + std::to_string(i & 255) + ".0/24\n";
    std::string next = base;
    next.insert(8, "withdrawn = true\n");
    next.insert(next.size() / 2, "");
    next.resize(next.size() - 5);
    const std::string patch = makePatch(base, next);
    CHECK(patch.size() < 512);
    CHECK((applyPatch(base, patch).value() == next));
}

TEST_CASE("a patch for another base or a damaged one is refused")
{
    // Guards against a result that was never published, and against a patch that exhausts the memory.
    const std::string base = "a\nb\n";
    const std::string patch = makePatch(base, "a\nc\n");
    CHECK((applyPatch("a\n", patch).error().code_ == ErrorCode::Conflict));
    for (size_t i = 0; i < patch.size(); ++i) {
        std::string damaged = patch;
        damaged[i] ^= 1;
        CHECK(applyPatch(base, damaged).has_error());
        CHECK(applyPatch(base, patch.substr(0, i)).has_error());
    }
    CHECK(applyPatch(base, patch, 3).has_error());
    CHECK(applyPatch(base, patch + "c 0 18446744073709551615\n").has_error());
    CHECK(applyPatch(base, patch + "c 18446744073709551615 2\n").has_error());
}

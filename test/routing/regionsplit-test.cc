// Tests of the regional split. Guards against moving a large part of a region's traffic at once, and against
// overloading a region while others have spare capacity.
#include "turmericwing/routing/regionsplit.h"

#include "turmericwing/base/hash.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace turmericwing;
using namespace turmericwing::routing;

namespace {

double shareOf(const RegionSplit& split, const std::string& region)
{
    for (const RegionShare& entry : split) {
        if (entry.region_ == region)
            return entry.share_;
    }
    return 0;
}

} // namespace

TEST_CASE("a region with spare capacity keeps its requests")
{
    const auto split = targetSplit({}, "b", { { "a", 18, 10 }, { "b", 72, 20 }, { "c", 72, 20 } });
    CHECK(split.front() == RegionShare { "b", 1 });
    CHECK(shareOf(split, "a") == 0);
}

TEST_CASE("the excess of a small region goes to regions with spare capacity")
{
    // A third of the callers connect to a region that has a ninth of the capacity.
    const std::vector<RegionLoad> loads { { "a", 18, 40 }, { "b", 72, 40 }, { "c", 72, 20 } };
    const auto split = targetSplit({}, "a", loads);
    CHECK(shareOf(split, "a") == doctest::Approx(18 * 0.75 / 40));
    CHECK(shareOf(split, "c") > shareOf(split, "b"));
    // No region exceeds the target utilisation.
    CHECK(40 * shareOf(split, "b") + 40 <= 72 * 0.75 + 0.001);
    CHECK(40 * shareOf(split, "c") + 20 <= 72 * 0.75 + 0.001);
}

TEST_CASE("under overload all regions have the same utilisation")
{
    const std::vector<RegionLoad> loads { { "a", 18, 100 }, { "b", 72, 100 }, { "c", 72, 100 } };
    double used = 100 * shareOf(targetSplit({}, "a", loads), "a");
    CHECK(used == doctest::Approx(18 * 300.0 / 162));
}

TEST_CASE("the split changes by at most one step per second")
{
    const RegionSplitOptions options;
    RegionSplit split { { "a", 1 }, { "b", 0 }, { "c", 0 } };
    const RegionSplit target { { "a", 0.2 }, { "b", 0.4 }, { "c", 0.4 } };
    for (int tick = 0; tick < 10; ++tick)
        split = stepSplitTowards(options, split, target, {}, 0.1);
    CHECK(shareOf(split, "a") == doctest::Approx(1 - options.stepPerSecond_));
    for (int tick = 0; tick < 1000; ++tick)
        split = stepSplitTowards(options, split, target, {}, 0.1);
    CHECK(shareOf(split, "a") == doctest::Approx(0.2));
}

TEST_CASE("requests leave a region without upstreams immediately")
{
    const RegionSplit split { { "a", 0.8 }, { "b", 0.1 }, { "c", 0.1 } };
    const RegionSplit target { { "a", 0 }, { "b", 0.5 }, { "c", 0.5 } };
    const auto moved = stepSplitTowards({}, split, target, { "a" }, 0.1);
    CHECK(shareOf(moved, "a") == 0);
    CHECK(shareOf(moved, "b") == doctest::Approx(0.5));
    CHECK(stepSplitTowards({}, { { "a", 1 } }, target, { "a" }, 0.1) == target);
}

TEST_CASE("most objects keep their region while the shares change")
{
    const RegionSplit before { { "a", 0.5 }, { "b", 0.25 }, { "c", 0.25 } };
    const RegionSplit after { { "a", 0.54 }, { "b", 0.23 }, { "c", 0.23 } };
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const double point = splitPosition(hash64(std::to_string(i)));
        moved += regionAtPosition(before, {}, point) != regionAtPosition(after, {}, point) ? 1 : 0;
    }
    CHECK(moved < 80);
}

TEST_CASE("objects keep their region while the share of another one changes")
{
    // Demand that rises and falls in a small region moved objects between the large ones, where each move
    // makes an upstream repeat the whole work.
    const RegionSplit before { { "a", 0.5 }, { "b", 0.25 }, { "c", 0.25 } };
    const RegionSplit after { { "a", 0.3 }, { "b", 0.35 }, { "c", 0.35 } };
    for (int i = 0; i < 1000; ++i) {
        const double point = splitPosition(hash64(std::to_string(i)));
        const std::string from = regionAtPosition(before, {}, point);
        CHECK((from == "a" || regionAtPosition(after, {}, point) == from));
    }
}

TEST_CASE("a region keeps fewer requests if they would wait for longer than the way to another region takes")
{
    // A third of the callers connect to a region with a tenth of the capacity. At 0.75 of upstreams with
    // three slots a request waits for most of the time that it holds one, while other regions have idle
    // slots.
    const auto kept = [](double slots, double wait) {
        const RegionSplitOptions options { .maxExtraWait_ = wait };
        const std::vector<RegionLoad> loads { { "a", 100, 200, slots }, { "b", 1900, 200, slots } };
        return 200 * shareOf(targetSplit(options, "a", loads), "a");
    };
    CHECK(kept(3, 0.2) == doctest::Approx(50));
    CHECK(kept(9, 0.2) == doctest::Approx(75));
    CHECK(kept(3, 0.01) == doctest::Approx(30));
    CHECK(kept(3, 10) == doctest::Approx(75));
    CHECK(kept(0, 0.01) == doctest::Approx(75));
}

TEST_CASE("a large region keeps its peak while the others are nearly as busy")
{
    // Requests that leave wait as long elsewhere, and find their objects not cached.
    const RegionSplitOptions options { .maxExtraWait_ = 0.05 };
    const auto split = targetSplit(options, "a", { { "a", 300, 132, 3 }, { "b", 300, 110, 3 } });
    CHECK(shareOf(split, "a") == 1);
}

TEST_CASE("a restriction to home regions excludes the others")
{
    const RegionSplit split { { "a", 0.5 }, { "b", 0.5 }, { "c", 0 } };
    for (const double point : { 0.0, 0.3, 0.7, 0.999 })
        CHECK(regionAtPosition(split, { "b" }, point) == "b");
    CHECK(regionAtPosition(split, { "d" }, 0.5).empty());
    CHECK(regionAtPosition({}, {}, 0.5).empty());
    CHECK(regionAtPosition(split, {}, 0.999999) == "b");
}

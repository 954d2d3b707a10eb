// Tests of the assignment of client blocks to sites.
#include "turmericwing/steering/assign.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace turmericwing;
using namespace turmericwing::steering;

namespace {

TimePoint at(int ms) { return TimePoint {} + std::chrono::milliseconds(ms); }

/// Three regions with `perRegion` sites each; region 0 has `skew` times the blocks of the others.
model::ObjectSet sampleSet(size_t perRegion, uint32_t blocks, uint32_t skew = 1)
{
    model::ObjectSet set;
    for (size_t r = 0; r < 3; ++r) {
        const std::string region = "r" + std::to_string(r);
        set.regions_.push_back({ region });
        set.failureDomains_.push_back({ region + "-a", region });
        for (size_t s = 0; s < perRegion; ++s)
            set.sites_.push_back(
                { region + "-s" + std::to_string(s), region + "-a", 1 + static_cast<uint32_t>(s % 2) });
    }
    for (uint32_t i = 0; i < blocks; ++i) {
        const uint32_t slot = i % (skew + 2);
        set.clientBlocks_.push_back(
            { i << 12, 20, static_cast<uint16_t>(slot < skew ? 0 : slot - skew + 1) });
    }
    return set;
}

std::vector<size_t> loadsOf(const model::ObjectSet& set, const std::vector<SiteIndex>& assignment)
{
    std::vector<size_t> loads(set.sites_.size());
    for (const SiteIndex site : assignment)
        ++loads.at(site);
    return loads;
}

size_t changes(const std::vector<SiteIndex>& a, const std::vector<SiteIndex>& b, SiteIndex except)
{
    size_t out = 0;
    for (size_t i = 0; i < a.size(); ++i)
        out += a[i] != b[i] && a[i] != except ? 1 : 0;
    return out;
}

} // namespace

TEST_CASE("loads follow capacity within the limit, and blocks stay in their own regions")
{
    // Guards against overloaded sites, and against sending clients to another region unnecessarily.
    for (const uint32_t skew : { 1, 6 }) {
        const model::ObjectSet set = sampleSet(6, 20000, skew);
        const auto assignment = assignBlocks(set, {}, std::vector<bool>(18, true));
        const auto loads = loadsOf(set, assignment);
        for (size_t i = 0; i < loads.size(); ++i)
            CHECK(loads[i] <= std::ceil(1.25 * 20000 * set.sites_[i].capacity_ / 27.0));
        for (size_t i = 0; i < assignment.size(); ++i) {
            const uint16_t region = set.clientBlocks_[i].region_;
            if (skew == 1 || region != 0)
                REQUIRE(assignment[i] / 6 == region);
        }
        if (skew == 1)
            CHECK(static_cast<double>(loads[1]) > 1.7 * static_cast<double>(loads[0]));
    }
}

TEST_CASE("the loss of a site moves only its own blocks")
{
    // Guards against reassigning unaffected clients, who would then meet cold caches everywhere.
    const model::ObjectSet set = sampleSet(6, 20000, 6);
    const std::vector<bool> all(18, true);
    std::vector<bool> up = all;
    up[2] = false;
    const auto base = assignBlocks(set, {}, all);
    const auto target = assignBlocks(set, {}, up);
    CHECK(changes(base, target, 2) == 0);
    CHECK(loadsOf(set, target)[2] == 0);
    CHECK(assignBlocks(set, {}, up) == target);
    // Placing all blocks anew also moves others when a load limit is reached.
    const AssignOptions naive { .keepHealthyBlocks_ = false };
    CHECK(changes(assignBlocks(set, naive, all), assignBlocks(set, naive, up), 2) > 0);
    CHECK(assignBlocks(set, {}, std::vector<bool>(18, false))[0] == noSite);
}

TEST_CASE("blocks move after the hold time, in limited steps, and return later")
{
    // Guards against moving clients back and forth with a flapping site, and against moves without a limit.
    const model::ObjectSet set = sampleSet(2, 3000);
    SteeringState state = startSteering(set, {});
    const auto base = state.current_;
    const std::vector<bool> up(6, true);
    std::vector<bool> down = up;
    down[1] = false;
    const auto advance = [&](const std::vector<bool>& seen, int ms) {
        return advanceSteering(state, set, {}, seen, at(ms));
    };
    CHECK(advance(down, 1000) == 0);
    CHECK(advance(up, 3500) == 0);
    CHECK(advance(down, 3600) == 0);
    CHECK(advance(down, 6599) == 0);
    CHECK(advance(down, 6600) == 60);
    CHECK(advance(down, 6700) == 0);
    int now = 7600;
    for (; now < 60000; now += 1000)
        REQUIRE(advance(down, now) <= 60);
    CHECK(loadsOf(set, state.current_)[1] == 0);
    advance(up, now);
    CHECK(advance(up, now + 59999) == 0);
    for (int ms = 60000; ms < 120000; ms += 1000)
        REQUIRE(advance(up, now + ms) <= 60);
    CHECK(state.current_ == base);
}

TEST_CASE("a new configuration keeps blocks where they are")
{
    // Guards against moving all clients at once when a configuration is published.
    const model::ObjectSet before = sampleSet(2, 3000);
    model::ObjectSet after = before;
    after.sites_.insert(after.sites_.begin(), { "a-new", "r0-a", 4 });
    after.clientBlocks_.erase(after.clientBlocks_.begin());
    const SteeringState old = startSteering(before, {});
    SteeringState state = changeConfiguration(old, before, after, {});
    for (size_t i = 0; i < state.current_.size(); ++i)
        REQUIRE(state.current_[i] == old.current_[i + 1] + 1);
    CHECK(advanceSteering(state, after, {}, std::vector<bool>(7, true), at(0)) == 59);
}

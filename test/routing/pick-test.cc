// Tests of upstream selection. Guards against using a full, cold or distant upstream while a better one has
// free capacity.
#include "turmericwing/routing/pick.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/routing/objectmemory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace turmericwing;
using namespace turmericwing::routing;

namespace {

const TimePoint start { std::chrono::seconds(100) };

Target makeTarget(const std::string& id, const std::string& region, uint32_t slots = 3)
{
    return { .id_ = id, .hash_ = hash64(id), .region_ = region, .slots_ = slots, .slownessAt_ = start };
}

std::vector<Target> makeTargets(size_t count, const std::string& region, uint32_t slots = 3)
{
    std::vector<Target> targets;
    for (size_t i = 0; i < count; ++i)
        targets.push_back(makeTarget(region + std::to_string(i), region, slots));
    return targets;
}

const auto anyTarget = [](const Target&) { return Permission::Now; };
const auto noDistance = [](const Target&) { return 0.001; };

/// Total work of the upstreams, in seconds, for 4000 requests over `objects` objects. A request takes 0.48 s,
/// or 0.15 s if its object is among the `kept` most recent ones of its upstream.
double totalWork(const PickOptions& options, size_t objects, size_t kept)
{
    auto targets = makeTargets(8, "a", 9);
    std::map<std::string, std::vector<uint64_t>> known;
    Random random(7);
    double work = 0;
    for (int i = 0; i < 4000; ++i) {
        const uint64_t object = hash64("object-" + std::to_string(random() % objects));
        const auto result = pickTarget(
            targets, options, { .region_ = "a", .object_ = object }, start, anyTarget, noDistance);
        REQUIRE(result.pick_);
        auto& cached = known[targets[result.pick_->index_].id_];
        const auto found = std::find(cached.begin(), cached.end(), object);
        work += found == cached.end() ? 0.48 : 0.15;
        if (found != cached.end())
            cached.erase(found);
        cached.push_back(object);
        if (cached.size() > kept)
            cached.erase(cached.begin());
        // Varies the loads slightly, as overlapping requests do.
        for (Target& target : targets)
            target.inFlight_ = static_cast<uint32_t>(random() % 6);
    }
    return work;
}

} // namespace

TEST_CASE("affinity keeps objects at the upstreams that have them cached")
{
    // Each upstream caches only part of many objects, and loads vary briefly. Without affinity most requests
    // reach an upstream that has evicted their object.
    const double with = totalWork({}, 105, 20);
    const double without = totalWork({ .affinity_ = false }, 105, 20);
    CHECK(with < 0.6 * without);
}

TEST_CASE("all hosts select the same upstream for an object")
{
    // Guards against a selection that depends on the order in which the upstreams were listed.
    auto targets = makeTargets(10, "a");
    auto reversed = targets;
    std::reverse(reversed.begin(), reversed.end());
    for (uint64_t object = 1; object < 50; ++object) {
        const PickRequest request { .region_ = "a", .object_ = hash64(std::to_string(object)) };
        const auto one = pickTarget(targets, {}, request, start, anyTarget, noDistance);
        const auto other = pickTarget(reversed, {}, request, start, anyTarget, noDistance);
        REQUIRE(one.pick_);
        REQUIRE(other.pick_);
        CHECK(targets[one.pick_->index_].id_ == reversed[other.pick_->index_].id_);
    }
}

TEST_CASE("a full upstream gets no request, and NoneAvailable differs from NoneUsable")
{
    auto targets = makeTargets(2, "a");
    targets[0].inFlight_ = 2;
    targets[0].peerInFlight_ = 2;
    const auto one = pickTarget(targets, {}, { .region_ = "a" }, start, anyTarget, noDistance);
    REQUIRE(one.pick_);
    CHECK(one.pick_->index_ == 1);
    targets[1].inFlight_ = 4;
    CHECK(pickTarget(targets, {}, { .region_ = "a" }, start, anyTarget, noDistance).failure_
        == PickFailure::NoneAvailable);
    for (Target& target : targets)
        target.usable_ = false;
    CHECK(pickTarget(targets, {}, { .region_ = "a" }, start, anyTarget, noDistance).failure_
        == PickFailure::NoneUsable);
}

TEST_CASE("a request waits for a preferred upstream rather than evict other objects elsewhere")
{
    auto targets = makeTargets(6, "a");
    const uint64_t object = hash64("object");
    PickRequest request { .region_ = "a", .object_ = object };
    for (int i = 0; i < 3; ++i) {
        const auto result = pickTarget(targets, {}, request, start, anyTarget, noDistance);
        REQUIRE(result.pick_);
        CHECK(result.pick_->isPreferred_);
        Target& target = targets[result.pick_->index_];
        target.inFlight_ = i == 0 ? preferredMaxLoad(target, {}) : maxLoad(target, {});
    }
    CHECK(pickTarget(targets, {}, request, start, anyTarget, noDistance).failure_
        == PickFailure::NoneAvailable);
    request.allowNonPreferred_ = true;
    const auto nonPreferred = pickTarget(targets, {}, request, start, anyTarget, noDistance);
    REQUIRE(nonPreferred.pick_);
    CHECK_FALSE(nonPreferred.pick_->isPreferred_);
    for (Target& target : targets)
        target.inFlight_ = std::max<uint32_t>(target.inFlight_, 2);
    CHECK(pickTarget(targets, {}, request, start, anyTarget, noDistance).failure_
        == PickFailure::NoneAvailable);
}

TEST_CASE("an object that moved from a busy upstream is cached at the next one")
{
    // Two objects share a busy first upstream. Once one of them has been sent to its second upstream, that
    // one serves it as well as the first.
    auto targets = makeTargets(6, "a");
    ObjectUseHistory history;
    const uint64_t object = hash64("object");
    const auto pick = [&] {
        const auto known = recentUpstreams(history, start, object);
        const PickRequest request { .region_ = "a", .object_ = object, .known_ = &known };
        return pickTarget(targets, {}, request, start, anyTarget, noDistance).pick_->index_;
    };
    const size_t first = pick();
    // A short queue costs less than the whole work at an upstream without the object in its cache.
    targets[first].inFlight_ = 5;
    CHECK(pick() == first);
    targets[first].inFlight_ = preferredMaxLoad(targets[first], {});
    const size_t second = pick();
    CHECK(second != first);
    recordUse(history, start, object, targets[second].hash_);
    targets[first].inFlight_ = 2;
    CHECK(pick() == second);
    CHECK(recentUpstreams(history, start + std::chrono::minutes(1), object).empty());
}

TEST_CASE("a target that is never permitted does not count as full")
{
    auto targets = makeTargets(2, "a");
    const auto never = [](const Target&) { return Permission::Never; };
    const auto later = [](const Target&) { return Permission::Later; };
    CHECK(pickTarget(targets, {}, { .region_ = "a" }, start, never, noDistance).failure_
        == PickFailure::NoneUsable);
    CHECK(pickTarget(targets, {}, { .region_ = "a" }, start, later, noDistance).failure_
        == PickFailure::NoneAvailable);
}

TEST_CASE("requests stay in their home regions, and upstreams that were tried are excluded")
{
    auto targets = makeTargets(1, "a");
    targets.push_back(makeTarget("b0", "b"));
    const std::vector<std::string> homes { "b" };
    const auto home
        = pickTarget(targets, {}, { .region_ = "a", .homeRegions_ = &homes }, start, anyTarget, noDistance);
    REQUIRE(home.pick_);
    CHECK(targets[home.pick_->index_].id_ == "b0");
    const std::vector<std::string> tried { "b0" };
    const PickRequest again { .region_ = "a", .homeRegions_ = &homes, .except_ = &tried };
    CHECK(pickTarget(targets, {}, again, start, anyTarget, noDistance).failure_ == PickFailure::NoneUsable);
}

namespace {

/// Peak number of requests in flight at one upstream with 9 slots, when each of `hosts` hosts has requests
/// waiting and sees the loads of the others 100 ms late.
uint32_t worstLoad(size_t hosts, bool withAllowance)
{
    const PickOptions options;
    Random random(3);
    std::vector<Target> views(hosts, makeTarget("u", "a", 9));
    std::vector<std::vector<int>> ends(hosts); // Ticks of 10 ms at which requests end.
    uint32_t worst = 0;
    for (int tick = 0; tick < 3000; ++tick) {
        if (tick % 10 == 0) {
            std::vector<uint32_t> loads;
            for (const Target& view : views)
                loads.push_back(view.inFlight_);
            for (size_t i = 0; i < hosts; ++i) {
                views[i].peerInFlight_ = 0;
                uint32_t peers = 0;
                for (size_t j = 0; j < hosts; ++j) {
                    views[i].peerInFlight_ += j == i ? 0 : loads[j];
                    peers += j != i && loads[j] > 0 ? 1 : 0;
                }
                if (withAllowance)
                    renewAllowance(views[i], options, peers, random);
            }
        }
        uint32_t total = 0;
        for (size_t i = 0; i < hosts; ++i) {
            for (size_t done = std::erase(ends[i], tick); done > 0; --done)
                recordEnded(views[i]);
            while (
                pickTarget({ views[i] }, options, { .region_ = "a" }, start, anyTarget, noDistance).pick_) {
                recordSent(views[i]);
                ends[i].push_back(tick + 15 + static_cast<int>(random() % 20));
            }
            total += views[i].inFlight_;
        }
        if (tick > 200)
            worst = std::max(worst, total);
    }
    return worst;
}

} // namespace

TEST_CASE("hosts with stale reports do not overfill an upstream together")
{
    // Ten hosts have requests waiting for one upstream. 20 to 37 requests were sent to upstreams with 9
    // slots, which queue 27 more and then refuse.
    CHECK(worstLoad(10, true) <= 27);
    CHECK(worstLoad(10, false) > 36);
    CHECK(worstLoad(1, true) == 12);
}

TEST_CASE("a slow upstream is avoided and tried again later")
{
    auto targets = makeTargets(2, "a");
    for (int i = 0; i < 20; ++i)
        recordAnswer(targets[0], {}, start, 4, 0.4, false);
    const auto at = [&](TimePoint now) {
        return pickTarget(targets, {}, { .region_ = "a" }, now, anyTarget, noDistance).pick_->index_;
    };
    CHECK(at(start) == 1);
    targets[1].inFlight_ = 1;
    CHECK(at(start + std::chrono::seconds(60)) == 0);
}

TEST_CASE("broken connections cause exponential backoff")
{
    Target target = makeTarget("a0", "a");
    const PickOptions options;
    recordConnectionFailure(target, options, start);
    CHECK(target.pausedUntil_ == start + options.initialBackoff_);
    for (int i = 0; i < 20; ++i)
        recordConnectionFailure(target, options, start);
    CHECK(target.pausedUntil_ == start + options.maxBackoff_);
    recordAnswer(target, options, start, 0.1, 0.1, false);
    CHECK(target.consecutiveFailures_ == 0);
}

TEST_CASE("targets that announced leaving or a pause are not selected, and a pause ends")
{
    // Paused targets must not look like full ones, for whose slots requests wait.
    auto targets = makeTargets(2, "a");
    targets[0].announced_.leaving_ = true;
    targets[1].announced_.pausedUntil_ = start + std::chrono::seconds(2);
    PickRequest request { .region_ = "a" };
    for (const auto& object : { std::optional<uint64_t>(), std::optional(hash64("object")) }) {
        request.object_ = object;
        CHECK(pickTarget(targets, {}, request, start, anyTarget, noDistance).failure_
            == PickFailure::NoneUsable);
        const auto after
            = pickTarget(targets, {}, request, start + std::chrono::seconds(2), anyTarget, noDistance);
        REQUIRE(after.pick_);
        CHECK(after.pick_->index_ == 1);
    }
}

TEST_CASE("the earliest end of pauses is known only while no target serves")
{
    const auto any = [](const Target&) { return true; };
    auto targets = makeTargets(3, "a");
    targets[0].announced_.pausedUntil_ = start + std::chrono::seconds(5);
    targets[1].announced_.pausedUntil_ = start + std::chrono::seconds(3);
    CHECK_FALSE(earliestPauseEnd(targets, start, any));
    targets[2].announced_.leaving_ = true;
    CHECK(earliestPauseEnd(targets, start, any).value_or(start) == start + std::chrono::seconds(3));
    const auto first = [&](const Target& target) { return &target == &targets[0]; };
    CHECK(earliestPauseEnd(targets, start, first).value_or(start) == start + std::chrono::seconds(5));
    targets[0].usable_ = targets[1].usable_ = false;
    CHECK_FALSE(earliestPauseEnd(targets, start, any));
}

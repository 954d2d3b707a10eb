// Tests of load balancing, slow start, outlier ejection and link budgets.
#include "turmericwing/routing/choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace turmericwing;
using namespace turmericwing::routing;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

ChoiceTable tableOf(size_t count, ChoiceOptions options = {})
{
    ChoiceTable table { .host_ = "h", .options_ = options };
    for (size_t i = 0; i < count; ++i)
        addUpstream(table, start, "u" + std::to_string(i), "s", "r", false);
    return table;
}

std::optional<std::string> choose(const ChoiceTable& table, TimePoint now, uint64_t seed = 1,
    uint32_t held = 3, const std::map<std::string, LinkBudget>& links = {}, const std::string& except = "")
{
    Random random(seed);
    std::vector<SlotCount> slots;
    for (const auto& [name, upstream] : table.upstreams_)
        slots.push_back({ name, held, held - std::min(held, upstream.inFlight_) });
    return chooseUpstream(table, now, { "s", "r", 100, except }, slots, links, random);
}

/// Names of the upstreams chosen with 200 different seeds.
std::set<std::string> chosen(const ChoiceTable& table, TimePoint now)
{
    std::set<std::string> names;
    for (uint64_t seed = 0; seed < 200; ++seed) {
        if (const auto name = choose(table, now, seed))
            names.insert(*name);
    }
    return names;
}

void fail(ChoiceTable& table, TimePoint now, const std::string& name, int times)
{
    for (int i = 0; i < times; ++i)
        endRequest(table, now, name, Outcome::Error, 1ms);
}

void succeed(ChoiceTable& table, TimePoint now, const std::string& name, Duration latency, int times)
{
    for (int i = 0; i < times; ++i)
        endRequest(table, now, name, Outcome::Success, latency);
}

} // namespace

TEST_CASE("a retry can wait for a slot of another upstream than that of the failed attempt")
{
    // A request that crashes upstreams went back to the first one, whose lent slot arrived first, and ran a
    // third time before it was quarantined.
    ChoiceTable table = tableOf(2);
    const auto retry = [&](uint32_t freeElsewhere, bool waitForOther) {
        Random random(1);
        return chooseUpstream(table, start,
            { .service_ = "s", .region_ = "r", .except_ = "u0", .waitForOther_ = waitForOther },
            { { "u0", 3, 3 }, { "u1", 3, freeElsewhere } }, {}, random);
    };
    CHECK(retry(1, true) == "u1");
    CHECK(retry(0, true) == std::nullopt);
    CHECK(retry(0, false) == "u0");
    // An upstream that takes no requests is not waited for.
    auto drain = table.upstreams_.at("u1").drain_;
    drain.list_ = true;
    setDrain(table, start, "u1", drain);
    CHECK(retry(0, true) == "u0");
}

TEST_CASE("the least loaded upstream with a free slot is chosen")
{
    // Guards against sending all requests to one upstream while others are idle.
    for (const bool useLoad : { true, false }) {
        CAPTURE(useLoad);
        ChoiceTable table = tableOf(3, { .useLoad_ = useLoad });
        beginRequest(table, "u0");
        beginRequest(table, "u1");
        CHECK((chosen(table, start) == std::set<std::string> { "u2" }) == useLoad);
    }
    ChoiceTable table = tableOf(1);
    CHECK(choose(table, start, 1, 1));
    beginRequest(table, "u0");
    CHECK_FALSE(choose(table, start, 1, 1));
    endRequest(table, start, "u0", Outcome::Success, 1ms);
    CHECK(choose(table, start, 1, 1));
}

TEST_CASE("measured latency and errors affect the choice and decay")
{
    // Guards against preferring a slow or failing upstream, and against avoiding it forever.
    ChoiceTable table = tableOf(2);
    succeed(table, start, "u0", 10ms, 10);
    succeed(table, start, "u1", 20ms, 10);
    CHECK(chosen(table, start) == std::set<std::string> { "u0" });
    fail(table, start, "u0", 3);
    CHECK(chosen(table, start) == std::set<std::string> { "u1" });
    CHECK(chosen(table, start + 60s).size() == 2);
}

TEST_CASE("load reports lower the bound, never raise it, and expire")
{
    // Guards against trusting stale or wrong reports.
    for (const Duration life : { Duration(3s), Duration(0s) }) {
        ChoiceTable table = tableOf(1, { .reportTtl_ = life });
        UpstreamState& upstream = table.upstreams_.at("u0");
        recordUsableFraction(table, start, "u0", 0.5);
        CHECK((effectiveBound(table, upstream, start, 10) < 7) == (life > 0s));
        CHECK(effectiveBound(table, upstream, start + 3s, 10) == 10);
        recordUsableFraction(table, start, "u0", 7);
        CHECK(effectiveBound(table, upstream, start, 10) == 10);
        for (const double usable : { 0.0, -1.0 }) {
            recordUsableFraction(table, start, "u0", usable);
            CHECK(effectiveBound(table, upstream, start, 10) >= 2);
            CHECK((effectiveBound(table, upstream, start, 10) < 7) == (life > 0s));
        }
    }
    uint32_t sum = 0;
    for (int i = 0; i < 1000; ++i) {
        ChoiceTable table = tableOf(1);
        table.host_ = "h" + std::to_string(i);
        recordUsableFraction(table, start, "u0", 0.5);
        sum += effectiveBound(table, table.upstreams_.at("u0"), start, 1);
    }
    CHECK(sum > 450);
    CHECK(sum < 550);
}

TEST_CASE("a cold upstream goes through slow start")
{
    // Guards against sending its full share at once to an upstream with cold caches.
    for (const Duration slowStart : { Duration(10s), Duration(0s) }) {
        ChoiceTable table = tableOf(0, { .slowStartDuration_ = slowStart });
        addUpstream(table, start, "cold", "s", "r", true);
        const UpstreamState& upstream = table.upstreams_.at("cold");
        CHECK((effectiveBound(table, upstream, start, 100) <= 11) == (slowStart > 0s));
        CHECK(effectiveBound(table, upstream, start + 10s, 100) == 100);
        setDrain(table, start + 20s, "cold", { .list_ = true });
        setDrain(table, start + 30s, "cold", {});
        CHECK((effectiveBound(table, upstream, start + 31s, 100) <= 11) == (slowStart > 0s));
    }
}

TEST_CASE("draining, leaving and overloaded upstreams get no new requests")
{
    // Guards against using a draining upstream because another source still lists it as available.
    for (const DrainReasons reasons : { DrainReasons { .head_ = true }, DrainReasons { .response_ = true },
             DrainReasons { .list_ = true } }) {
        ChoiceTable table = tableOf(2);
        setDrain(table, start, "u0", reasons);
        CHECK(chosen(table, start) == std::set<std::string> { "u1" });
    }
    ChoiceTable table = tableOf(2);
    endRequest(table, start, "u0", Outcome::Overload, 1ms);
    CHECK(chosen(table, start) == std::set<std::string> { "u1" });
    CHECK(chosen(table, start + 250ms).contains("u0"));
    for (int i = 0; i < 20; ++i)
        endRequest(table, start, "u0", Outcome::Overload, 1ms);
    CHECK_FALSE(isEjected(table.upstreams_.at("u0"), start));
}

TEST_CASE("consecutive errors eject at most half of a service's upstreams")
{
    // Guards against a failing upstream that keeps its share, and against ejecting all upstreams of a
    // service.
    for (const uint32_t errors : { 5u, 0u }) {
        ChoiceTable table = tableOf(4, { .ejectAfterErrors_ = errors });
        fail(table, start, "u0", 5);
        CHECK(isEjected(table.upstreams_.at("u0"), start) == (errors > 0));
        CHECK(chosen(table, start + 60s).contains("u0"));
    }
    for (const double most : { 0.5, 1.0 }) {
        ChoiceTable table = tableOf(4, { .maxEjectedFraction_ = most });
        for (const char* name : { "u0", "u1", "u2", "u3" })
            fail(table, start, name, 20);
        const auto ejected = std::count_if(table.upstreams_.begin(), table.upstreams_.end(),
            [](const auto& entry) { return isEjected(entry.second, start); });
        CHECK(chosen(table, start).empty() == (ejected == 4));
        CHECK((ejected <= 2) == (most < 1));
    }
    ChoiceTable table = tableOf(4);
    fail(table, start, "u0", 5);
    fail(table, start, "u1", 5);
    // Once u2 is gone, half of the three others may be ejected, which is one, so the earliest ejection ends.
    removeUpstream(table, start, "u2");
    CHECK_FALSE(isEjected(table.upstreams_.at("u0"), start));
    CHECK(isEjected(table.upstreams_.at("u1"), start));
    fail(table, start + 6s, "u1", 1);
    CHECK(isEjected(table.upstreams_.at("u1"), start + 15s));
    CHECK_FALSE(isEjected(table.upstreams_.at("u1"), start + 16s));
    succeed(table, start + 16s, "u1", 1ms, 1);
    fail(table, start + 16s, "u1", 4);
    CHECK_FALSE(isEjected(table.upstreams_.at("u1"), start + 16s));
}

TEST_CASE("a crash attributed to a quarantined request does not eject")
{
    // Guards against a single crashing request that gets half of the upstreams ejected.
    ChoiceTable table = tableOf(2);
    for (int i = 0; i < 20; ++i)
        endRequest(table, start, "u0", Outcome::Ignored, 1ms);
    CHECK_FALSE(isEjected(table.upstreams_.at("u0"), start));
    fail(table, start, "u0", 5);
    CHECK(isEjected(table.upstreams_.at("u0"), start));
    revertError(table, "u0");
    CHECK_FALSE(isEjected(table.upstreams_.at("u0"), start));
}

TEST_CASE("latency far above the median ejects")
{
    // Guards against an upstream that delays requests without failing them.
    for (const double factor : { 3.0, 0.0 }) {
        ChoiceTable table = tableOf(4, { .ejectLatencyRatio_ = factor });
        for (const char* name : { "u1", "u2", "u3" })
            succeed(table, start, name, 30ms, 30);
        succeed(table, start, "u0", 200ms, 30);
        CHECK(isEjected(table.upstreams_.at("u0"), start) == (factor > 0));
        CHECK_FALSE(isEjected(table.upstreams_.at("u1"), start));
    }
    // Nothing is ejected if all upstreams of the service are equally slow.
    ChoiceTable table = tableOf(4);
    for (const char* name : { "u0", "u1", "u2", "u3" })
        succeed(table, start, name, 400ms, 30);
    CHECK(chosen(table, start).size() == 4);
}

TEST_CASE("other regions are used within the link budget only")
{
    // Guards against overloading an inter-region link.
    ChoiceTable table = tableOf(1);
    addUpstream(table, start, "far", "s", "q", false);
    std::map<std::string, LinkBudget> links { { "q", { 1000, 500, 0, start } } };
    CHECK(choose(table, start + 10s, 1, 3, links) == "u0");
    CHECK(choose(table, start + 10s, 1, 3, links, "u0") == "far");
    CHECK(choose(table, start, 1, 3, links, "u0") == "u0");
    setDrain(table, start, "u0", { .head_ = true });
    CHECK_FALSE(choose(table, start + 10s));
    CHECK_FALSE(choose(table, start + 99ms, 1, 3, links));
    CHECK(choose(table, start + 100ms, 1, 3, links) == "far");
    double sent = 0;
    for (TimePoint now = start; now < start + 10s; now += 1ms) {
        for (; linkAllows(links.at("q"), now, 100); sent += 150)
            chargeLink(links.at("q"), now, 150);
    }
    CHECK(sent <= 1000 * 10 + 500 + 150);
    CHECK(sent > 9000);
}

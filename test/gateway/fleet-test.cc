// Tests of fleet membership, lookups, quotas and splits. They guard against lookups and shares that count
// dead hosts or omit live ones.
#include "turmericwing/gateway/fleet.h"

#include "turmericwing/gateway/lookupchoice.h"
#include "turmericwing/gateway/quotas.h"
#include "turmericwing/gateway/state.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start { std::chrono::seconds(100) };

HostReport makeReport(const std::string& name, uint64_t sequence, const std::string& region = "a")
{
    return { .name_ = name,
        .incarnation_ = 1,
        .sequence_ = sequence,
        .callerAddress_ = { "10.0.0." + name.substr(1), 80 },
        .peerAddress_ = { "10.0.0." + name.substr(1), 81 },
        .region_ = region,
        .ready_ = true,
        .reachesStore_ = true };
}

} // namespace

TEST_CASE("a host counts as alive while its reports arrive")
{
    Fleet fleet { .self_ = "h1" };
    registerPeer(fleet, start, "h2", { "10.0.0.2", 81 });
    CHECK(activeReports(fleet, start).empty());
    CHECK(deadPeerCount(fleet, start) == 1);
    CHECK(receiveReport(fleet, start, makeReport("h2", 1)));
    CHECK_FALSE(receiveReport(fleet, start, makeReport("h2", 1)));
    CHECK_FALSE(receiveReport(fleet, start, makeReport("h1", 9)));
    CHECK(activeReports(fleet, start).size() == 1);
    CHECK(activeReports(fleet, start + fleet.options_.reportLifetime_).empty());
    CHECK(expiredPeers(fleet, start + std::chrono::seconds(20)) == std::vector<std::string> { "h2" });
}

TEST_CASE("reports of a restarted host are accepted although its sequence number starts again")
{
    Fleet fleet { .self_ = "h1" };
    receiveReport(fleet, start, makeReport("h2", 50));
    HostReport again = makeReport("h2", 1);
    again.incarnation_ = 2;
    CHECK(receiveReport(fleet, start, again));
}

TEST_CASE("the first host by name that reaches the store is responsible for shared writes")
{
    Fleet fleet { .self_ = "h2" };
    CHECK(isDesignatedWriter(fleet, start));
    HostReport lower = makeReport("h1", 1);
    lower.reachesStore_ = false;
    receiveReport(fleet, start, lower);
    CHECK(isDesignatedWriter(fleet, start));
    receiveReport(fleet, start, makeReport("h1", 2));
    CHECK_FALSE(isDesignatedWriter(fleet, start));
    CHECK(isDesignatedWriter(fleet, start + fleet.options_.reportLifetime_));
}

TEST_CASE("lookups return live hosts near the caller, and others only if there are none")
{
    State state;
    state.settings_.name_ = "h1";
    state.settings_.region_ = "a";
    state.settings_.failureDomain_ = "a1";
    state.settings_.callerAddress_ = { "10.0.0.1", 80 };
    state.fleet_.self_ = "h1";
    state.catalog_ = std::make_shared<const Catalog>(Configuration());
    state.directory_.loaded_ = true;
    const auto report
        = [](const std::string& name, uint64_t sequence, const char* region, const char* domain) {
              HostReport made = makeReport(name, sequence, region);
              made.failureDomain_ = domain;
              return made;
          };
    receiveReport(state.fleet_, start, report("h2", 1, "a", "a1"));
    receiveReport(state.fleet_, start, report("h3", 1, "a", "a2"));
    receiveReport(state.fleet_, start, report("h4", 1, "b", "b1"));
    using Addresses = std::vector<std::string>;
    // Two hosts in the caller's failure domain suffice; a single one leaves no alternative if it fails.
    CHECK(lookupAddresses(state, start, { "a", "a1" }) == Addresses { "10.0.0.1:80", "10.0.0.2:80" });
    CHECK(lookupAddresses(state, start, { "a", "a2" })
        == Addresses { "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80" });
    CHECK(lookupAddresses(state, start, { "b", "b1" }) == Addresses { "10.0.0.4:80" });
    CHECK(lookupAddresses(state, start, { "c", "c1" }).size() == 4);
    HostReport leaving = report("h2", 2, "a", "a1");
    leaving.leaving_ = true;
    receiveReport(state.fleet_, start, leaving);
    CHECK(lookupAddresses(state, start, { "a", "a1" }) == Addresses { "10.0.0.1:80", "10.0.0.3:80" });
    state.drain_ = DrainSchedule {};
    CHECK(lookupAddresses(state, start, { "a", "a1" }) == Addresses { "10.0.0.3:80" });
}

TEST_CASE("a short interruption of one connection to the store is no outage")
{
    // When the store dropped its history, all watches failed for a moment. That must not reset the time for
    // which the store has answered: hosts that had been cut off for long then found no peer with store
    // contact.
    State state;
    for (int i = 0; i <= 20; ++i)
        storeAnswered(state, start + std::chrono::seconds(1) * i);
    const TimePoint now = start + std::chrono::seconds(20);
    CHECK(storeReachableMs(state, now) == 20'000);
    CHECK(storeReachableMs(state, now + std::chrono::seconds(10)) == 0);
    storeAnswered(state, now + std::chrono::seconds(10));
    CHECK(storeReachableMs(state, now + std::chrono::seconds(11)) == 1000);
}

TEST_CASE("crash evidence has the store's time on every host")
{
    // Hosts took their own time of day, so that a request that crashed an upstream behind a host whose clock
    // was seconds ahead was not recognised at a second host.
    State hosts[2];
    hosts[0].storeMs_ = 5000;
    hosts[0].storeReadAt_ = start;
    hosts[1].storeMs_ = 6500;
    hosts[1].storeReadAt_ = start + std::chrono::milliseconds(1500);
    const TimePoint now = start + std::chrono::seconds(4);
    CHECK(evidenceNow(hosts[0], now) == WallTime { 9000 });
    CHECK(evidenceNow(hosts[1], now) == WallTime { 9000 });
}

TEST_CASE("two hosts with unequal demand together admit no more than the rate")
{
    // One workspace sends far more than its rate, nearly all of it to one host.
    const WorkspaceSpec workspace { .name_ = "w", .rate_ = 100, .burst_ = 100 };
    const Configuration configuration { .workspaces_ = { workspace } };
    Fleet fleets[2] = { { .self_ = "h1" }, { .self_ = "h2" } };
    Quotas quotas[2];
    Random random(4);
    uint64_t admitted = 0;
    const int seconds = 20;
    for (int step = 0; step < seconds * 10; ++step) {
        const TimePoint now = start + std::chrono::milliseconds(100) * step;
        for (int host = 0; host < 2; ++host) {
            HostReport report = makeReport(host == 0 ? "h1" : "h2", static_cast<uint64_t>(step) + 1);
            report.demands_ = takeDemandsToReport(quotas[host], report.sequence_);
            receiveReport(fleets[1 - host], now, report);
            updateQuotas(quotas[host], now, configuration, fleets[host]);
            for (int i = 0; i < (host == 0 ? 80 : 2); ++i)
                admitted += admitWithinQuota(quotas[host], workspace, random) ? 1 : 0;
        }
    }
    CHECK(admitted <= 100 * seconds + 100);
    CHECK(admitted >= 90 * seconds);
}

TEST_CASE("a peer's admission count that decreases between two reports returns the admissions")
{
    // The difference of a decreasing count wrapped around, so that one refused request blocked the workspace
    // on all other hosts.
    const WorkspaceSpec workspace { .name_ = "w", .rate_ = 100, .burst_ = 100 };
    const Configuration configuration { .workspaces_ = { workspace } };
    Fleet fleet { .self_ = "h1" };
    Quotas quotas;
    Random random(4);
    HostReport report = makeReport("h2", 1);
    const uint32_t counts[] = { 10, 12, 11, 11, 10 };
    for (const uint32_t count : counts) {
        ++report.sequence_;
        report.demands_ = { { shortHash("w"), 5, count } };
        const TimePoint now = start + std::chrono::milliseconds(100) * report.sequence_;
        receiveReport(fleet, now, report);
        updateQuotas(quotas, now, configuration, fleet);
    }
    CHECK(quotas.workspaces_["w"].level_ > 30);
    CHECK(admitWithinQuota(quotas, workspace, random));
}

TEST_CASE("the split follows the upstreams at once before any requests, and in bounded steps afterwards")
{
    // At a start with 660 upstreams, the first entries all belonged to one region; the split began with that
    // region and took half a minute to converge.
    State state;
    state.settings_.name_ = "h1";
    state.settings_.region_ = "a";
    state.fleet_.self_ = "h1";
    state.directory_.regionOf_ = { { "a1", "a" }, { "b1", "b" } };
    const auto put = [&](const std::string& id, const std::string& domain) {
        upsertEntry(state.directory_, start,
            { .id_ = id, .service_ = "s", .failureDomain_ = domain, .version_ = "v1", .slots_ = 9 });
    };
    put("u1", "b1");
    updateSplits(state, start);
    CHECK(state.demand_["s"].split_.back() == routing::RegionShare { "b", 1 });
    put("u2", "a1");
    updateSplits(state, start + std::chrono::milliseconds(100));
    CHECK(state.demand_["s"].split_.front() == routing::RegionShare { "a", 1 });
    // The first requests measure as little demand and do not move the split.
    state.demand_["s"].unbound_.requestCount_ = 3;
    updateSplits(state, start + std::chrono::milliseconds(200));
    CHECK(state.demand_["s"].split_.front() == routing::RegionShare { "a", 1 });
    // Demand for twice the own region's slots moves the split by the bounded step only.
    state.demand_["s"].slotSeconds_ = 0.3;
    for (int tick = 3; tick <= 13; ++tick) {
        state.demand_["s"].unbound_.requestCount_ = 6;
        updateSplits(state, start + std::chrono::milliseconds(100) * tick);
    }
    CHECK(state.demand_["s"].split_.front().share_ < 1);
    CHECK(state.demand_["s"].split_.front().share_ >= 1 - state.splitOptions_.stepPerSecond_ * 1.2);
}

TEST_CASE("a small region starts with a share that fits its capacity, before its demand is measured")
{
    // After a restart of all hosts, a region with a ninth of the upstreams kept all of its own requests for
    // several seconds and refused most of them.
    State state;
    state.settings_.name_ = "h1";
    state.settings_.region_ = "a";
    state.fleet_.self_ = "h1";
    state.directory_.regionOf_ = { { "a1", "a" }, { "b1", "b" }, { "c1", "c" } };
    int next = 0;
    for (const auto& [domain, count] : { std::pair("a1", 2), std::pair("b1", 8), std::pair("c1", 8) }) {
        for (int i = 0; i < count; ++i)
            upsertEntry(state.directory_, start,
                { .id_ = "u" + std::to_string(++next),
                    .service_ = "s",
                    .failureDomain_ = domain,
                    .version_ = "v1",
                    .slots_ = 9 });
    }
    for (int tick = 0; tick < 20; ++tick) {
        state.demand_["s"].unbound_.requestCount_ = tick < 5 ? 0 : 10;
        updateSplits(state, start + std::chrono::milliseconds(100) * tick);
        CHECK(state.demand_["s"].split_.front().share_ < 0.5);
    }
}

TEST_CASE("a small region starts with a share that fits its capacity where peers report demand before its "
          "first update")
{
    // A host that heard its peers' demand before its own first update took its unmeasured demand for none,
    // and its region kept all requests.
    for (const bool hasPeerInRegion : { false, true }) {
        State state;
        state.settings_.name_ = "h1";
        state.settings_.region_ = "a";
        state.fleet_.self_ = "h1";
        state.directory_.regionOf_ = { { "a1", "a" }, { "b1", "b" }, { "c1", "c" } };
        int next = 0;
        for (const auto& [domain, count] : { std::pair("a1", 2), std::pair("b1", 8), std::pair("c1", 8) }) {
            for (int i = 0; i < count; ++i)
                upsertEntry(state.directory_, start,
                    { .id_ = "u" + std::to_string(++next),
                        .service_ = "s",
                        .failureDomain_ = domain,
                        .version_ = "v1",
                        .slots_ = 9 });
        }
        const auto hearPeer = [&](const std::string& name, const std::string& region, uint64_t sequence) {
            HostReport report = makeReport(name, sequence);
            report.region_ = region;
            report.services_ = { { shortHash("s"), 5, {}, {} } };
            receiveReport(state.fleet_, start + std::chrono::milliseconds(100) * sequence, report);
        };
        for (int tick = 0; tick < 20; ++tick) {
            hearPeer("h2", "b", static_cast<uint64_t>(tick));
            // A peer of the same region that has just started, too, knows no split.
            if (hasPeerInRegion)
                hearPeer("h3", "a", static_cast<uint64_t>(tick));
            state.demand_["s"].unbound_.requestCount_ = 10;
            updateSplits(state, start + std::chrono::milliseconds(100) * tick);
            INFO("tick ", tick, ", peer in the region ", hasPeerInRegion);
            CHECK(state.demand_["s"].split_.front().share_ < 0.5);
        }
    }
}

TEST_CASE("a host that restarts beside peers of its region begins with their split")
{
    // Guards against assumed demand in a host that only restarts: its region's measured split would change.
    State state;
    state.settings_.name_ = "h1";
    state.settings_.region_ = "a";
    state.fleet_.self_ = "h1";
    state.directory_.regionOf_ = { { "a1", "a" }, { "b1", "b" } };
    for (const auto& [id, domain] : { std::pair("u1", "a1"), std::pair("u2", "b1") })
        upsertEntry(state.directory_, start,
            { .id_ = id, .service_ = "s", .failureDomain_ = domain, .version_ = "v1", .slots_ = 9 });
    HostReport report = makeReport("h2", 1);
    report.region_ = "a";
    report.services_ = { { shortHash("s"), 1, { { shortHash("a"), 0.7 }, { shortHash("b"), 0.3 } }, {} } };
    receiveReport(state.fleet_, start, report);
    updateSplits(state, start);
    const double share = state.demand_["s"].split_.front().share_;
    CHECK(share >= 0.7);
    CHECK(share <= 0.7 + state.splitOptions_.stepPerSecond_);
}

TEST_CASE("requests bound to one region reduce that region's share of other requests")
{
    // One workspace was bound to the region with the fewest upstreams, and the unbound requests of that
    // region's callers kept filling them.
    State state;
    state.settings_.name_ = "h1";
    state.settings_.region_ = "a";
    state.fleet_.self_ = "h1";
    state.directory_.regionOf_ = { { "a1", "a" }, { "b1", "b" } };
    for (const auto& [id, domain] : { std::pair("u1", "a1"), std::pair("u2", "b1"), std::pair("u3", "b1") })
        upsertEntry(state.directory_, start,
            { .id_ = id, .service_ = "s", .failureDomain_ = domain, .version_ = "v1", .slots_ = 10 });
    const auto shareAfter = [&](double boundPerSecond, double boundSlotSeconds = 0) {
        state.demand_.clear();
        state.demand_["s"].slotSeconds_ = 0.2;
        state.demand_["s"].bound_["a"].slotSeconds_ = boundSlotSeconds;
        for (int tick = 0; tick < 400; ++tick) {
            state.demand_["s"].unbound_.requestCount_ = 3;
            state.demand_["s"].bound_["a"].requestCount_ = boundPerSecond / 10;
            updateSplits(state, start + std::chrono::milliseconds(100) * tick);
        }
        return state.demand_["s"].split_.front().share_;
    };
    CHECK(shareAfter(0) > 0.95);
    CHECK(shareAfter(40) < 0.5);
    // The bound ones concern objects of callers everywhere, most of which are not cached in the region.
    CHECK(shareAfter(20) > 0.5);
    CHECK(shareAfter(20, 0.6) < 0.2);
}

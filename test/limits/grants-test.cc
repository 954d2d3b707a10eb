// Tests token grants on a simulated cluster with a virtual clock.
#include "fake-cluster.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdio>

using namespace turmericwing;
using namespace turmericwing::limits;
using namespace turmericwing::limits::fake;
using Seconds = std::chrono::seconds;

namespace {

// Runs an overloaded cluster with random faults. Returns the number of spent tokens that exceed the bound.
uint64_t runFaults(uint64_t seed, GrantSafeguards safeguards, uint64_t* spent = nullptr)
{
    Random random(seed);
    Settings settings { .hosts_ = 2 + random() % 7,
        .limits_ = { 1.0 + static_cast<double>(random() % 60),
            1.0 + static_cast<double>(random() % (random() % 2 == 0 ? 12 : 120)) },
        .load_ = 1 + static_cast<double>(random() % 10),
        .loss_ = 0.1 * uniform(random),
        .maxDelay_ = milliseconds(1 + random() % 400),
        .seed_ = seed };
    settings.options_.safeguards_ = safeguards;
    Cluster cluster(settings);
    cluster.runFor(Seconds(4));
    for (int i = 0; i < 12; ++i) {
        const size_t host = random() % 3 == 0 ? random() % settings.hosts_ : cluster.ownerIndex();
        switch (random() % 6) {
        case 0:
            cluster.kill(host);
            cluster.schedule(Seconds(5), [&cluster, host] { cluster.restart(host); });
            break;
        case 1:
            cluster.restart(host);
            break;
        case 2:
            // May last longer than the lease; meanwhile the other hosts remove this one from the view.
            cluster.pause(host, Seconds(1 + random() % 8));
            cluster.removeMember(host);
            break;
        case 3:
            cluster.stopGracefully(host);
            cluster.schedule(Seconds(4), [&cluster, host] { cluster.restart(host); });
            break;
        case 4:
            cluster.pause(host, milliseconds(random() % 3000));
            break;
        default:
            cluster.storeUp_ = !cluster.storeUp_;
        }
        cluster.runFor(milliseconds(200 + random() % 4000));
    }
    if (spent)
        *spent += cluster.spent_;
    return cluster.excess_;
}

uint64_t excessOver(int seeds, GrantSafeguards safeguards)
{
    uint64_t excess = 0;
    for (int seed = 0; seed < seeds; ++seed)
        excess += runFaults(static_cast<uint64_t>(seed), safeguards);
    return excess;
}

enum class Scenario { Calm, HostKilled, StoreOutage };

// Fraction of the requests within the rate that were refused, over several seeds.
double refusals(Scenario scenario, double rate, double burst)
{
    uint64_t withinRate = 0;
    uint64_t refused = 0;
    const uint64_t seeds = rate < 100 ? 10 : 3;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cluster cluster({ .limits_ = { rate, burst }, .seed_ = seed });
        cluster.runFor(Seconds(30));
        cluster.resetCounts();
        if (scenario == Scenario::HostKilled)
            cluster.schedule(Seconds(60), [&, seed] { cluster.kill((cluster.ownerIndex() + seed) % 10); });
        cluster.storeUp_ = scenario != Scenario::StoreOutage;
        cluster.runFor(Seconds(600));
        CHECK(cluster.excess_ == 0);
        withinRate += cluster.spent_ + cluster.wronglyRefused_;
        refused += cluster.wronglyRefused_;
    }
    const double share = static_cast<double>(refused) / static_cast<double>(withinRate);
    std::printf("refusals scenario=%d rate=%g burst=%g: %.4f%% of %llu\n", static_cast<int>(scenario), rate,
        burst, share * 100, static_cast<unsigned long long>(withinRate));
    return share;
}

} // namespace

TEST_CASE("spent tokens never exceed rate and burst under faults")
{
    // Guards against excess through lost, repeated or late messages, owner changes, restarts and pauses.
    uint64_t spent = 0;
    CHECK(rc::check([&] {
        RC_ASSERT(runFaults(*rc::gen::resize(1'000'000, rc::gen::arbitrary<uint32_t>()), {}, &spent) == 0u);
    }));
    CHECK(spent > 10'000);
}

TEST_CASE("each safeguard of shares is needed")
{
    // Guards against a safeguard that no simulated fault exercises, so that its removal would go unnoticed.
    CHECK(excessOver(60, {}) == 0);
    CHECK(excessOver(60, { .reserveGranted_ = false }) > 0);
    CHECK(excessOver(60, { .startEmpty_ = false }) > 0);
    CHECK(excessOver(60, { .discardWithoutLease_ = false }) > 0);
}

TEST_CASE("a late or repeated grant and a new holder add no tokens")
{
    // Guards against a batch that outlives the holder's reservation, a grant that is counted twice, and a new
    // holder whose bucket fills before the grants of the old one have expired.
    const auto run = [](GrantSafeguards safeguards) {
        const GrantOptions options { .safeguards_ = safeguards };
        auto old = acquireShare({ 10, 10 }, 1, at(-Seconds(10)), options);
        HostTokens host { .workspace_ = "w", .host_ = "h1", .incarnation_ = 1 };
        const auto pull = nextPull(host, { "h0", ShareKind::Main, 10 }, 5, 1, at(Duration(0)), options);
        const Grant grant = answerPull(old, *pull, at(milliseconds(1)), options);
        const GrantStatus repeated = answerPull(old, *pull, at(milliseconds(2)), options).status_;
        CHECK(acceptGrant(host, grant, at(milliseconds(400)), options) == 5);
        const uint64_t twice = acceptGrant(host, grant, at(milliseconds(401)), options);
        auto next = acquireShare({ 10, 10 }, 2, at(milliseconds(2)), options);
        const uint64_t newHolder = availableTokens(next.bucket_, at(milliseconds(499)));
        CHECK(spendToken(host, at(milliseconds(499)), options));
        const bool lateSpent = spendToken(host, at(milliseconds(506)), options);
        return std::tuple(lateSpent, twice, repeated, newHolder);
    };
    const std::tuple expected(false, uint64_t(0), GrantStatus::Repeated, uint64_t(0));
    CHECK((run({}) == expected));
    CHECK((run({ .expireFromSend_ = false }) != expected));
    CHECK((run({ .dropDuplicates_ = false }) != expected));
    CHECK((run({ .delayTakeover_ = false }) != expected));
}

TEST_CASE("tokens are dropped after a pause or without a lease and returned on a graceful stop")
{
    // Guards against a host that spends tokens after it has missed a view, and against tokens lost by
    // restarts.
    const GrantOptions options;
    for (const bool paused : { true, false }) {
        auto owner = acquireShare({ 10, 10 }, 1, at(-Seconds(10)), options);
        HostTokens host { .workspace_ = "w", .host_ = "h1", .incarnation_ = 1 };
        CHECK_FALSE(refreshTokens(host, at(Seconds(2)), at(-milliseconds(200)), options));
        const auto pull = nextPull(host, { "h0", ShareKind::Main, 10 }, 8, 1, at(Duration(0)), options);
        acceptGrant(host, answerPull(owner, *pull, at(Duration(0)), options), at(Duration(0)), options);
        CHECK(availableTokens(owner.bucket_, at(Duration(0))) == 2);
        HostTokens stopping = host;
        CHECK(spendToken(stopping, at(milliseconds(1)), options));
        for (const auto& returned : returnTokens(stopping, at(milliseconds(1)), options))
            for (int copies = 0; copies < 2; ++copies)
                acceptReturn(owner, returned, at(milliseconds(1)), options);
        CHECK(availableTokens(owner.bucket_, at(milliseconds(1))) == 9);
        const TimePoint lease = paused ? at(Seconds(2)) : at(milliseconds(100));
        CHECK(refreshTokens(host, lease, at(milliseconds(paused ? 310 : 100)), options));
        CHECK_FALSE(spendToken(host, at(milliseconds(310)), options));
    }
}

TEST_CASE("a share is dropped when a view was missed")
{
    // Guards against a share that moved to another host and back between two reads: both hosts would hold
    // tokens.
    for (const bool drop : { true, false }) {
        const GrantOptions options { .safeguards_ = { .dropOnEpochGap_ = drop } };
        const std::vector<Share> view { { "h0", ShareKind::Main, { 10, 10 } } };
        std::map<ShareKind, ShareHolder> held;
        applyView(held, "h0", view, 1, ViewPhase::Active, at(Duration(0)), options);
        applyView(held, "h0", view, 2, ViewPhase::Learned, at(Seconds(5)), options);
        CHECK(held.size() == 1);
        applyView(held, "h0", view, 4, ViewPhase::Learned, at(Seconds(6)), options);
        CHECK(held.empty() == drop);
    }
}

TEST_CASE("requests within the rate are rarely refused")
{
    // Guards against limits that keep the bound only by refusing too much. The targets are those of design
    // section 1.2.
    for (auto [rate, burst] :
        { std::pair { 2.0, 4.0 }, { 5.0, 5.0 }, { 5.0, 10.0 }, { 20.0, 40.0 }, { 500.0, 500.0 } }) {
        CHECK(refusals(Scenario::Calm, rate, burst) <= 0.001);
        CHECK(refusals(Scenario::HostKilled, rate, burst) <= 0.01);
        CHECK(refusals(Scenario::StoreOutage, rate, burst) <= 0.02);
    }
}

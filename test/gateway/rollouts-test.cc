// Guards against requests to a version before its rollout starts, after it was reverted, or after one host
// found it bad.
#include "turmericwing/gateway/rollouts.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using rollout::Ramp;
using rollout::RampState;

namespace {

const TimePoint now { std::chrono::seconds(100) };

Ramp makeRamp(RampState state = RampState::Running) { return { "s", "v2", 1000, 17'000, state }; }

VersionFilter draw(const Rollouts& rollouts, int64_t nowMs)
{
    Random random(1);
    return chooseVersionFilter(rollouts, "s", "v1", nowMs, random);
}

} // namespace

TEST_CASE("without an order only the base version gets requests")
{
    CHECK(draw({}, 0) == VersionFilter { .only_ = "v1" });
}

TEST_CASE("the version of an order gets no requests before its ramp starts")
{
    Rollouts rollouts;
    rollouts.orders_["s"] = { { "s", "v2", std::chrono::seconds(16) }, 5 };
    CHECK(draw(rollouts, 0) == VersionFilter { .except_ = "v2" });
    CHECK(unstartedOrders(rollouts, now).size() == 1);
}

TEST_CASE("a ramp moves the traffic, and its end is final")
{
    Rollouts rollouts;
    CHECK(mergeRamp(rollouts, { makeRamp(), 5 }));
    CHECK(draw(rollouts, 16'000) == VersionFilter { .only_ = "v2" });
    CHECK(mergeRamp(rollouts, { makeRamp(RampState::Reverted), 5 }));
    CHECK_FALSE(mergeRamp(rollouts, { makeRamp(), 5 }));
    CHECK_FALSE(mergeRamp(rollouts, { makeRamp(RampState::Complete), 5 }));
    CHECK(draw(rollouts, 16'000) == VersionFilter { .except_ = "v2" });
    CHECK(mergeRamp(rollouts, { { "s", "v2", 20'000, 36'000 }, 6 }));
    CHECK(unstartedOrders(rollouts, now).empty());
}

TEST_CASE("a version that a peer found bad gets no more requests")
{
    Rollouts rollouts;
    mergeRamp(rollouts, { makeRamp(), 5 });
    HostReport peer;
    peer.ramps_ = { { makeRamp(), 5, true, {} } };
    CHECK(evaluateRamps(rollouts, { &peer }) == std::vector<std::string> { "s" });
    CHECK(draw(rollouts, 16'000) == VersionFilter { .except_ = "v2" });
}

TEST_CASE("a bad version is found from the answers of all hosts together")
{
    // The counts of any one host are too few for a verdict.
    Rollouts rollouts;
    mergeRamp(rollouts, { makeRamp(), 5 });
    std::vector<HostReport> peers(9);
    for (auto& peer : peers)
        peer.ramps_ = { { makeRamp(), 5, false, {} } };
    bool bad = false;
    for (int period = 0; period < 20 && !bad; ++period) {
        std::vector<const HostReport*> reports;
        for (auto& peer : peers) {
            peer.ramps_[0].counts_ += { 1, period % 2 == 0 ? 1U : 0U, 0, 4, 0, 0 };
            reports.push_back(&peer);
        }
        bad = !evaluateRamps(rollouts, reports).empty();
    }
    CHECK(bad);
}

TEST_CASE("overdue requests of all hosts keep a version from passing, until they are answered")
{
    // Guards against a verdict from the fastest answers only, and against overdue counts that outlive the
    // requests.
    Rollouts rollouts;
    mergeRamp(rollouts, { makeRamp(), 5 });
    for (int i = 0; i < 400; ++i)
        countAnswer(rollouts, "s", i < 40 ? "v2" : "v1", false, false);
    HostReport peer;
    peer.ramps_ = { { makeRamp(), 5, false, { .newOverdue_ = 6 } } };
    countOverdue(rollouts, { { "s", "v2" }, { "s", "v2" }, { "s", "v1" }, { "other", "v2" } });
    evaluateRamps(rollouts, { &peer });
    CHECK(rollouts.ramps_["s"].evidence_ == rollout::RampEvidence::Unproven);
    countOverdue(rollouts, {});
    peer.ramps_[0].counts_.newOverdue_ = 0;
    evaluateRamps(rollouts, { &peer });
    CHECK(rollouts.ramps_["s"].evidence_ == rollout::RampEvidence::Sound);
}

TEST_CASE("a ramp is the same after encoding and decoding, and damaged rows are errors")
{
    const auto decoded = decodeRamp(encodeRamp({ makeRamp(RampState::Complete), 7, 3 }));
    REQUIRE(decoded);
    CHECK(decoded.value() == StoredRamp { makeRamp(RampState::Complete), 7, 3 });
    CHECK_FALSE(decodeRamp("{}"));
    CHECK_FALSE(decodeRamp("[]"));
    CHECK_FALSE(
        decodeRamp(R"({"service":"s","version":"v","start-ms":1,"deadline-ms":2,"state":9,"order":1})"));
}

TEST_CASE("odd rows of the rollouts table are errors")
{
    // Guards against a row of another writer that ends the host, or is read as another number.
    const std::string row
        = R"({"service":"s","version":"v2","start-ms":5,"deadline-ms":9,"state":2,"order":44})";
    const auto stored = decodeRamp(row);
    REQUIRE(stored);
    CHECK(stored.value().ramp_ == rollout::Ramp { "s", "v2", 5, 9, rollout::RampState::Reverted });
    CHECK(stored.value().orderVersion_ == 44);
    const std::vector<std::string> odd { "1e400", "1e300", "18446744073709551616", "-1", "2.5", "\"2\"",
        "[2]", "null", "{}", "4294967298", std::string(100, '['), std::string(100'000, '['),
        std::string(1000, '[') + std::string(1000, ']') };
    for (const std::string& value : odd) {
        for (const std::string field :
            { "\"start-ms\":5", "\"deadline-ms\":9", "\"state\":2", "\"order\":44" }) {
            // A version or a time may have more than 32 bits.
            if (value == "4294967298" && field != "\"state\":2")
                continue;
            CAPTURE(field);
            CAPTURE(value.substr(0, 30));
            std::string changed = row;
            changed.replace(changed.find(field), field.size(), field.substr(0, field.find(':') + 1) + value);
            CHECK_FALSE(decodeRamp(changed));
        }
    }
    for (const std::string& value : { std::string(), std::string("\xff"), std::string("[]"),
             std::string(65'536, 'x'), std::string(65'536, '\0'), std::string(R"({"service":"\ud800"})"),
             std::string("{\"service\":\"\xff\",\"version\":\"v\"}") })
        CHECK_FALSE(decodeRamp(value));
}

TEST_CASE("after a restore of the store, the order of an ended ramp does not start it again")
{
    // The order was written again with another row version, and the ended rollout ran a second time.
    Rollouts rollouts;
    const OrderRecord order { { "s", "v2", std::chrono::seconds(16) }, 90, 1 };
    addOrder(rollouts, now, order);
    mergeRamp(rollouts, { makeRamp(RampState::Reverted), 90, 1 });
    onStoreRestored(rollouts, now);
    OrderRecord again = order;
    again.era_ = 2;
    for (const uint64_t version : { 40, 50 }) {
        again.rowVersion_ = version;
        addOrder(rollouts, now + std::chrono::seconds(1), again);
        CHECK(unstartedOrders(rollouts, now + std::chrono::seconds(10)).empty());
        CHECK(draw(rollouts, 16'000) == VersionFilter { .except_ = "v2" });
    }
    // Neither by the ramp's own row in the copy, nor by a peer that has not noticed the restore.
    CHECK_FALSE(mergeRamp(rollouts, { makeRamp(), 90, 1 }));
    SUBCASE("another version's order starts, with a lower row version than the first one's")
    {
        addOrder(rollouts, now, { { "s", "v3", std::chrono::seconds(16) }, 60, 2 });
        CHECK(unstartedOrders(rollouts, now).empty());
        CHECK(unstartedOrders(rollouts, now + std::chrono::seconds(10)).size() == 1);
        CHECK(mergeRamp(rollouts, { { "s", "v3", 30'000, 46'000 }, 60, 2 }));
        CHECK_FALSE(mergeRamp(rollouts, { makeRamp(RampState::Reverted), 90, 1 }));
    }
    SUBCASE("the same version's order starts again when it is written after the settling time")
    {
        again.rowVersion_ = 130;
        addOrder(rollouts, now + std::chrono::seconds(10), again);
        CHECK(unstartedOrders(rollouts, now + std::chrono::seconds(10)).size() == 1);
    }
}

TEST_CASE("an older order that a restored store brings back does not replace the ramp of a later one")
{
    Rollouts rollouts;
    mergeRamp(rollouts, { { "s", "v3", 30'000, 46'000 }, 95, 1 });
    onStoreRestored(rollouts, now);
    addOrder(rollouts, now, { { "s", "v2", std::chrono::seconds(16) }, 50, 2 });
    CHECK(unstartedOrders(rollouts, now + std::chrono::seconds(1)).empty());
    CHECK_FALSE(mergeRamp(rollouts, { makeRamp(RampState::Complete), 50, 1 }));
    addOrder(rollouts, now + std::chrono::seconds(2), { { "s", "v3", std::chrono::seconds(16) }, 60, 2 });
    CHECK(unstartedOrders(rollouts, now + std::chrono::seconds(10)).empty());
}

TEST_CASE("hosts that learn of a restore at different times agree on a ramp")
{
    // Guards against counts of peers that are left out, and against a ramp that starts anew on one host.
    const OrderRecord order { { "s", "v2", std::chrono::seconds(16) }, 90, 1 };
    OrderRecord again = order;
    again.rowVersion_ = 40;
    again.era_ = 2;
    std::vector<Rollouts> hosts(2);
    const auto exchange = [&] {
        for (size_t i : { 0, 1 }) {
            for (const RampReport& report : rampReports(hosts[1 - i]))
                mergeRamp(hosts[i], { report.ramp_, report.orderVersion_, report.orderEra_ });
        }
    };
    for (Rollouts& host : hosts) {
        addOrder(host, now, order);
        mergeRamp(host, { makeRamp(), 90, 1 });
    }
    onStoreRestored(hosts[1], now);
    addOrder(hosts[1], now, again);
    HostReport report { .ramps_ = rampReports(hosts[1]) };
    report.ramps_[0].foundBad_ = true;
    CHECK(evaluateRamps(hosts[0], { &report }) == std::vector<std::string> { "s" });
    exchange();
    onStoreRestored(hosts[0], now + std::chrono::seconds(1));
    mergeRamp(hosts[1], { makeRamp(RampState::Reverted), 40, 2 });
    exchange();
    addOrder(hosts[0], now + std::chrono::seconds(2), again);
    for (const Rollouts& host : hosts) {
        CHECK(unstartedOrders(host, now + std::chrono::seconds(10)).empty());
        CHECK(host.ramps_.at("s").ramp_ == makeRamp(RampState::Reverted));
    }
}

TEST_CASE("the total of a rollout reaches a host that starts late, from a peer and from the store")
{
    // Without it the host would judge the version from its own first answers alone.
    const rollout::RampTotal total { { 12, 4, 0, 90, 1, 0 }, true };
    HostReport peer { .name_ = "h2",
        .incarnation_ = 3,
        .callerAddress_ = { "10.0.0.1", 80 },
        .peerAddress_ = { "10.0.0.1", 81 } };
    peer.ramps_ = { { makeRamp(), 5, false, { 6, 2, 0, 40, 0, 0 }, 0, total } };
    const auto decoded = decodeReport(encodeReport(peer));
    REQUIRE(decoded);
    CHECK(decoded.value().ramps_ == peer.ramps_);
    const auto stored = decodeRamp(encodeRamp({ makeRamp(), 5, 0, total }));
    REQUIRE(stored);
    CHECK(stored.value().total_ == total);
    Rollouts late { .observedSinceMs_ = 9000 };
    SUBCASE("from a peer")
    {
        mergeRamp(late, { makeRamp(), 5 });
        CHECK(late.ramps_.at("s").evidence_ == rollout::RampEvidence::Unproven);
        evaluateRamps(late, { &decoded.value() });
    }
    SUBCASE("from the store")
    {
        mergeRamp(late, stored.value());
        evaluateRamps(late, {});
    }
    CHECK(ledgerTotal(late.ramps_.at("s").ledger_) == total);
    CHECK(late.ramps_.at("s").evidence_ == rollout::RampEvidence::Suspect);
    // A host that was there from the start keeps its own sums.
    Rollouts early;
    mergeRamp(early, stored.value());
    evaluateRamps(early, {});
    CHECK(ledgerTotal(early.ramps_.at("s").ledger_) == rollout::RampTotal { {}, true });
}

TEST_CASE("counts in a row that are none make it unreadable")
{
    const std::string row
        = R"({"service":"s","version":"v2","start-ms":5,"deadline-ms":9,"state":0,"order":4)";
    CHECK(decodeRamp(row + R"(,"counts":[1,2,3,4,5,6]})"));
    for (const char* odd : { "[]", "[1,2,3]", "[1,2,3,4,5,-6]", "[1,2,3,4,5,1e300]", "{}", "7", "null" })
        CHECK_FALSE(decodeRamp(row + ",\"counts\":" + odd + "}"));
}

TEST_CASE("the sums of a failure domain keep what a member counted that has ended")
{
    Rollouts rollouts;
    mergeRamp(rollouts, { makeRamp(), 5 });
    HostReport ended { .name_ = "h2", .incarnation_ = 3 };
    ended.ramps_ = { { makeRamp(), 5, false, { 6, 2, 0, 40, 0, 0 } } };
    HostReport live { .name_ = "h3", .incarnation_ = 4 };
    live.ramps_ = { { makeRamp(), 5, false, { 1, 0, 0, 10, 0, 0 } } };
    HostReport other { .name_ = "h9", .incarnation_ = 5, .failureDomain_ = "b1", .isSum_ = true };
    other.ramps_ = { { makeRamp(), 5, false, { 3, 0, 0, 30, 0, 0 } } };
    evaluateRamps(rollouts, { &ended, &live, &other });
    HostReport sums { .ramps_ = rampReports(rollouts) };
    addEndedCounts(rollouts, { &live }, sums);
    CHECK(sums.ramps_[0].counts_ == rollout::RampCounts { 6, 2, 0, 40, 0, 0 });
}

TEST_CASE("a version that a host found bad gets no requests though another host completed its rollout")
{
    // The end that a less informed host wrote replaced the verdict, and the version got all requests again.
    Rollouts rollouts;
    mergeRamp(rollouts, { makeRamp(), 5 });
    rollouts.ramps_["s"].foundBad_ = true;
    CHECK(mergeRamp(rollouts, { makeRamp(RampState::Complete), 5 }));
    CHECK(draw(rollouts, 16'000) == VersionFilter { .except_ = "v2" });
    // The other hosts hear of it.
    Rollouts peer;
    mergeRamp(peer, { makeRamp(RampState::Complete), 5 });
    CHECK(draw(peer, 16'000) == VersionFilter { .only_ = "v2" });
    HostReport report { .name_ = "h2", .incarnation_ = 3, .ramps_ = rampReports(rollouts) };
    CHECK(evaluateRamps(peer, { &report }) == std::vector<std::string> { "s" });
    CHECK(evaluateRamps(peer, { &report }).empty());
    CHECK(draw(peer, 16'000) == VersionFilter { .except_ = "v2" });
}

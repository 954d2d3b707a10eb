// Guards against requests to a version before its rollout starts, after it was reverted, or after one host
// found it bad.
#include "turmericwing/gateway/rollouts.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using rollout::Ramp;
using rollout::RampState;

namespace {

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
    CHECK(unstartedOrders(rollouts).size() == 1);
}

TEST_CASE("a ramp moves the traffic, and its end is final")
{
    Rollouts rollouts;
    CHECK(mergeRamp(rollouts, makeRamp(), 5, 10));
    CHECK(draw(rollouts, 16'000) == VersionFilter { .only_ = "v2" });
    CHECK(mergeRamp(rollouts, makeRamp(RampState::Reverted), 5, 11));
    CHECK_FALSE(mergeRamp(rollouts, makeRamp(), 5, 10));
    CHECK_FALSE(mergeRamp(rollouts, makeRamp(RampState::Complete), 5, 12));
    CHECK(draw(rollouts, 16'000) == VersionFilter { .except_ = "v2" });
    CHECK(mergeRamp(rollouts, makeRamp(), 6, 20));
    CHECK(unstartedOrders(rollouts).empty());
}

TEST_CASE("a version that a peer found bad gets no more requests")
{
    Rollouts rollouts;
    mergeRamp(rollouts, makeRamp(), 5, 10);
    HostReport peer;
    peer.ramps_ = { { makeRamp(), 5, true, {} } };
    CHECK(evaluateRamps(rollouts, { &peer }) == std::vector<std::string> { "s" });
    CHECK(draw(rollouts, 16'000) == VersionFilter { .except_ = "v2" });
}

TEST_CASE("a bad version is found from the answers of all hosts together")
{
    // The counts of any one host are too few for a verdict.
    Rollouts rollouts;
    mergeRamp(rollouts, makeRamp(), 5, 10);
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
    mergeRamp(rollouts, makeRamp(), 5, 10);
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
    const auto decoded = decodeRamp(encodeRamp(makeRamp(RampState::Complete), 7));
    REQUIRE(decoded);
    CHECK(decoded.value() == StoredRamp { makeRamp(RampState::Complete), 7 });
    CHECK_FALSE(decodeRamp("{}"));
    CHECK_FALSE(decodeRamp("[]"));
    CHECK_FALSE(
        decodeRamp(R"({"service":"s","version":"v","start-ms":1,"deadline-ms":2,"state":9,"order":1})"));
}

// Tests the state of a move on one host.
#include "turmericwing/rollout/share.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>

using namespace turmericwing;
using namespace turmericwing::rollout;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

HostMove moveAt(double share, bool floor = true)
{
    HostMove move { .floor_ = floor };
    setRecord(move, { 1, share });
    setGrant(move, start, 1, share);
    return move;
}

} // namespace

TEST_CASE("the sum over hosts never exceeds the share")
{
    // Guards against an excess over the share because many hosts each round up.
    for (const bool floor : { true, false }) {
        uint64_t sum = 0;
        for (int host = 0; host < 800; ++host) {
            HostMove move = moveAt(0.01, floor);
            for (int i = 0; i < 50; ++i)
                sum += routeToNewSide(move, start, "r") ? 1 : 0;
        }
        CHECK((sum <= 400) == floor);
    }
    CHECK(rc::check("share", [](uint64_t seed) {
        const double share = static_cast<double>(seed % 101) / 100;
        HostMove move = moveAt(share);
        uint64_t sent = 0;
        for (uint64_t i = 1; i <= 300; ++i) {
            sent += routeToNewSide(move, start, std::to_string((seed >> (i % 50)) % 3)) ? 1 : 0;
            RC_ASSERT(static_cast<double>(sent) <= share * static_cast<double>(i) + 1e-6);
        }
        RC_ASSERT(static_cast<double>(sent) >= std::floor(share * 300) - 1);
    }));
}

TEST_CASE("a raise of the share or a gap in the grants causes no burst")
{
    // Guards against a host that sends extra requests to make up for the time at a lower share.
    HostMove move = moveAt(0.01);
    for (int i = 0; i < 10000; ++i)
        routeToNewSide(move, start, "r");
    for (int i = 0; i < 10000; ++i)
        CHECK_FALSE(routeToNewSide(move, start + 1s, "r"));
    setRecord(move, { 2, 0.1 });
    setGrant(move, start + 2s, 2, 0.1);
    int sent = 0;
    for (int i = 0; i < 100; ++i)
        sent += routeToNewSide(move, start + 2s, "r") ? 1 : 0;
    CHECK(sent == 10);
}

TEST_CASE("periodic traffic does not always send the same route")
{
    // Guards against a route that the new side never gets because the traffic's period matches the share.
    HostMove move = moveAt(0.01);
    int rare = 0;
    for (int i = 0; i < 20000; ++i) {
        const bool isRare = i % 10 == 5;
        rare += routeToNewSide(move, start, isRare ? "rare" : "usual") && isRare ? 1 : 0;
    }
    CHECK(rare >= 10);
}

TEST_CASE("the share is fixed without a valid grant, after a trip and in a final phase")
{
    // Guards against a share that stays in effect without its owner, and against a tripped version that gets
    // requests again.
    HostMove move = moveAt(0.5);
    CHECK(currentShare(move, start + 999ms) == 0.5);
    CHECK(currentShare(move, start + 1s) == 0);
    setGrant(move, start + 2s, 1, 0.9);
    CHECK(currentShare(move, start + 2s) == 0.5);
    setGrant(move, start + 2500ms, 0, 0.1);
    CHECK(currentShare(move, start + 2500ms) == 0.5);
    HostMove done = move;
    setRecord(done, { 3, 1, Phase::Done });
    setRecord(done, { 4, 0.2 });
    CHECK(currentShare(done, start + 1h) == 1);
    trip(move);
    setGrant(move, start + 3s, 1, 0.5);
    CHECK(currentShare(move, start + 3s) == 0);
    setRecord(move, { 3, 0, Phase::RolledBack });
    setRecord(move, { 4, 0.2 });
    CHECK(move.record_.phase_ == Phase::RolledBack);
}

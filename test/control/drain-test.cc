// Tests of the phases and deadlines of the graceful stop of a host.
#include "turmericwing/control/drain.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::control;

namespace {

TimePoint at(int ms) { return TimePoint {} + std::chrono::milliseconds(ms); }

} // namespace

TEST_CASE("a drain serves cached lookups, then finishes requests, then exits")
{
    // Guards against a graceful stop that interrupts a request or refuses a caller with a valid cached
    // lookup.
    Drain drain;
    CHECK(advanceDrain(drain, {}, {}, at(0)) == DrainActions {});
    beginDrain(drain, {}, at(0));
    DrainActions actions = advanceDrain(drain, {}, { .announced_ = false, .inFlight_ = 1 }, at(0));
    CHECK(actions.announce_);
    CHECK_FALSE(actions.inLookups_);
    CHECK(actions.admit_);
    const DrainInputs busy { .announced_ = true, .inFlight_ = 1 };
    actions = advanceDrain(drain, {}, busy, at(1000));
    CHECK_FALSE(actions.announce_);
    CHECK(advanceDrain(drain, {}, busy, at(6499)).admit_);
    CHECK_FALSE(advanceDrain(drain, {}, busy, at(6500)).admit_);
    CHECK_FALSE(advanceDrain(drain, {}, busy, at(6500)).exit_);
    beginDrain(drain, {}, at(7000));
    CHECK(advanceDrain(drain, {}, { .announced_ = true, .inFlight_ = 0 }, at(7000)).exit_);
}

TEST_CASE("a drain ends within a time limit although the store is down and a request never ends")
{
    // Guards against a host that cannot be stopped and replaced during an outage of the store.
    Drain drain;
    beginDrain(drain, {}, at(0));
    const DrainInputs inputs { .announced_ = false, .inFlight_ = 1 };
    for (int ms = 0; ms < 70500; ms += 50)
        REQUIRE_FALSE(advanceDrain(drain, {}, inputs, at(ms)).exit_);
    CHECK(advanceDrain(drain, {}, inputs, at(70500)).exit_);
}

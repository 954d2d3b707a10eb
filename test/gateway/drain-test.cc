// Guards against a stopping host that takes requests whose work cannot end before the process does.
#include "turmericwing/gateway/drain.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint stopBegins { std::chrono::seconds(100) };
const TimePoint never = stopBegins + std::chrono::hours(1);

TimePoint after(int ms) { return stopBegins + std::chrono::milliseconds(ms); }

DrainSchedule schedule() { return makeDrainSchedule({}, stopBegins, std::chrono::seconds(6)); }

} // namespace

TEST_CASE("a stop leaves time to finish what was accepted, and to send the last responses")
{
    CHECK(schedule().acceptUntil_ == after(2400));
    CHECK(schedule().answerBy_ == after(5400));
    CHECK(schedule().exitBy_ == after(5600));
}

TEST_CASE("an attempt begins only if one that is slower than expected still ends in time")
{
    CHECK(mayBeginAttempt({}, schedule(), after(0), 3.5, never));
    CHECK_FALSE(mayBeginAttempt({}, schedule(), after(0), 3.7, never));
    CHECK(mayBeginAttempt({}, schedule(), after(2400), 1.9, never));
    CHECK_FALSE(mayBeginAttempt({}, schedule(), after(2400), 2.1, never));
    CHECK_FALSE(mayBeginAttempt({}, schedule(), after(5400), 0.1, never));
}

TEST_CASE("a request that expires before the stop ends may take any time")
{
    CHECK(mayBeginAttempt({}, schedule(), after(2000), 60, after(4000)));
    CHECK_FALSE(mayBeginAttempt({}, schedule(), after(2000), 60, after(5401)));
}

TEST_CASE("a short stop time shortens the margins, and none leaves no time for requests")
{
    const DrainSchedule none = makeDrainSchedule({}, stopBegins, Duration::zero());
    CHECK(none == DrainSchedule { stopBegins, stopBegins, stopBegins });
    CHECK_FALSE(mayBeginAttempt({}, none, stopBegins, 0.1, never));
    const DrainSchedule shorter = makeDrainSchedule({}, stopBegins, std::chrono::milliseconds(300));
    CHECK(shorter == DrainSchedule { after(120), after(270), after(280) });
}

TEST_CASE("no request is taken so late that cutting it at the end breaks the users' rule")
{
    // Users excuse a request that is cut at the end of a stop only if it was sent within 3 s of SIGTERM,
    // however long the stop time is.
    for (const int stopMs : { 3000, 6000, 10'000, 30'000 }) {
        CAPTURE(stopMs);
        const DrainSchedule drain = makeDrainSchedule({}, stopBegins, std::chrono::milliseconds(stopMs));
        CHECK(drain.acceptUntil_ < after(3000));
    }
}

TEST_CASE("no request is ended while its upstream works, before the last sixth of the stop time")
{
    // A response of the host's own in place of the upstream's work is excused only in that time.
    for (const int stopMs : { 1000, 2000, 3000, 6000, 10'000 }) {
        CAPTURE(stopMs);
        const DrainSchedule drain = makeDrainSchedule({}, stopBegins, std::chrono::milliseconds(stopMs));
        CHECK(drain.answerBy_ >= after(stopMs * 5 / 6));
        CHECK(drain.exitBy_ <= after(stopMs));
    }
}

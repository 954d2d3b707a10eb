// Tests of the state that upstreams announce, with a virtual clock. Guards against requests to an upstream
// that said that it leaves or wants none, and against upstreams that stay out of service for good.
#include "turmericwing/routing/upstreamstate.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::routing;
using std::chrono::milliseconds;

namespace {

const TimePoint start { std::chrono::seconds(100) };
const UpstreamStateOptions options;
const UpstreamNotice leaving { .leaving_ = true };
const UpstreamNotice pauseOfTwoSeconds { .pauseSeconds_ = 2 };

} // namespace

TEST_CASE("leaving is final and takes precedence over a pause")
{
    AnnouncedState state;
    CHECK(applyNotice(state, options, start, pauseOfTwoSeconds) == UpstreamStatus::Paused);
    CHECK(applyNotice(state, options, start, leaving) == UpstreamStatus::Leaving);
    CHECK_FALSE(applyNotice(state, options, start, leaving));
    CHECK_FALSE(applyNotice(state, options, start, {}));
    CHECK_FALSE(applyNotice(state, options, start, pauseOfTwoSeconds));
    CHECK(statusAt(state, start + std::chrono::hours(24)) == UpstreamStatus::Leaving);
}

TEST_CASE("a pause lasts as long as was asked and then ends by itself")
{
    AnnouncedState state;
    CHECK(applyNotice(state, options, start, { .pauseSeconds_ = 1.5 }) == UpstreamStatus::Paused);
    CHECK(statusAt(state, start + milliseconds(1499)) == UpstreamStatus::Paused);
    CHECK(statusAt(state, start + milliseconds(1500)) == UpstreamStatus::Serving);
    CHECK(
        applyNotice(state, options, start + milliseconds(1500), pauseOfTwoSeconds) == UpstreamStatus::Paused);
}

TEST_CASE("parallel refusals do not extend a pause past the latest end asked for")
{
    // Pauses that add up would keep an upstream out for as many times its pause as requests were in flight.
    AnnouncedState state;
    for (int i = 0; i < 20; ++i)
        applyNotice(state, options, start + milliseconds(i), pauseOfTwoSeconds);
    applyNotice(state, options, start + milliseconds(20), { .pauseSeconds_ = 0.1 });
    CHECK(state.pausedUntil_ == start + milliseconds(2019));
}

TEST_CASE("an answer without an announcement, or with a pause of 0, changes nothing")
{
    AnnouncedState state;
    CHECK_FALSE(applyNotice(state, options, start, {}));
    CHECK_FALSE(applyNotice(state, options, start, { .pauseSeconds_ = 0 }));
    CHECK(statusAt(state, start) == UpstreamStatus::Serving);
}

TEST_CASE("a pause of hours is capped")
{
    // An unlimited value would take a whole service out of use, and overflow the clock.
    for (const double asked : { 7200.0, 1e18, 1e308 }) {
        AnnouncedState state;
        applyNotice(state, options, start, { .pauseSeconds_ = asked });
        CHECK(state.pausedUntil_ == start + options.maxPause_);
        CHECK(requestedPause(options, { .pauseSeconds_ = asked }) == options.maxPause_);
    }
}

TEST_CASE("a remembered state belongs to one incarnation")
{
    RememberedStates states;
    rememberState(states, options, start, { 1, "u1" }, { .leaving_ = true });
    rememberState(states, options, start, { 1, "u2" }, { .pausedUntil_ = start });
    CHECK(takeState(states, { 2, "u1" }) == AnnouncedState {});
    CHECK(takeState(states, { 1, "u2" }) == AnnouncedState {});
    CHECK(takeState(states, { 1, "u1" }).leaving_);
    CHECK(states.empty());
}

TEST_CASE("remembered states are limited in number, the earliest started goes first")
{
    RememberedStates states;
    const UpstreamStateOptions small { .maxRemembered_ = 2 };
    for (int64_t started = 1; started <= 3; ++started)
        rememberState(states, small, start, { started, "u1" }, { .leaving_ = true });
    CHECK(states.size() == 2);
    CHECK_FALSE(takeState(states, { 1, "u1" }).leaving_);
    CHECK(takeState(states, { 3, "u1" }).leaving_);
}

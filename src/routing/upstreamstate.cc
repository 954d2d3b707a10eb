// State transitions by the answers of an upstream.
#include "turmericwing/routing/upstreamstate.h"

#include <algorithm>

namespace turmericwing::routing {

const char* statusName(UpstreamStatus status)
{
    switch (status) {
    case UpstreamStatus::Paused:
        return "paused";
    case UpstreamStatus::Leaving:
        return "leaving";
    case UpstreamStatus::Serving:
        break;
    }
    return "serving";
}

Duration requestedPause(const UpstreamStateOptions& options, const UpstreamNotice& notice)
{
    const double capped = std::min(notice.pauseSeconds_.value_or(0), seconds(options.maxPause_));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(capped));
}

UpstreamStatus statusAt(const AnnouncedState& state, TimePoint now)
{
    if (state.leaving_)
        return UpstreamStatus::Leaving;
    return now < state.pausedUntil_ ? UpstreamStatus::Paused : UpstreamStatus::Serving;
}

std::optional<UpstreamStatus> applyNotice(
    AnnouncedState& state, const UpstreamStateOptions& options, TimePoint now, const UpstreamNotice& notice)
{
    const UpstreamStatus before = statusAt(state, now);
    state.leaving_ = state.leaving_ || notice.leaving_;
    if (notice.pauseSeconds_)
        state.pausedUntil_ = std::max(state.pausedUntil_, now + requestedPause(options, notice));
    const UpstreamStatus after = statusAt(state, now);
    return after == before ? std::nullopt : std::optional(after);
}

void rememberState(RememberedStates& states, const UpstreamStateOptions& options, TimePoint now,
    const Incarnation& incarnation, const AnnouncedState& state)
{
    if (statusAt(state, now) == UpstreamStatus::Serving)
        return;
    states[incarnation] = state;
    if (states.size() > options.maxRemembered_)
        states.erase(states.begin());
}

AnnouncedState takeState(RememberedStates& states, const Incarnation& incarnation)
{
    const auto node = states.extract(incarnation);
    return node ? node.mapped() : AnnouncedState {};
}

} // namespace turmericwing::routing

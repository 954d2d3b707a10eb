// Selection of the requests that go to the new side of a move on one host.
#include "turmericwing/rollout/share.h"

#include <algorithm>

namespace turmericwing::rollout {

void setRecord(HostMove& move, const MoveRecord& record)
{
    if (move.record_.phase_ != Phase::Running)
        return;
    move.record_ = record;
}

void setGrant(HostMove& move, TimePoint sent, uint32_t step, double share)
{
    const TimePoint expires = sent + shareGrantLifetime;
    if (step < move.grant_.step_ || (step == move.grant_.step_ && expires <= move.grant_.expires_))
        return;
    move.grant_ = { step, share, expires };
}

double currentShare(const HostMove& move, TimePoint now)
{
    if (move.record_.phase_ == Phase::Done)
        return 1;
    if (move.record_.phase_ == Phase::RolledBack || move.tripped_ || move.grant_.expires_ <= now)
        return 0;
    return std::clamp(move.grant_.share_, 0.0, move.record_.share_);
}

bool routeToNewSide(HostMove& move, TimePoint now, const std::string& route)
{
    const double share = currentShare(move, now);
    // Requests are not counted while the share is 0; otherwise the next grant would start with a burst.
    if (share <= 0)
        return false;
    if (share != move.share_) {
        move.share_ = share;
        move.counts_ = {};
        move.routes_.clear();
    }
    SplitCounts& counts = move.counts_;
    SplitCounts& routeCounts = move.routes_[route];
    ++counts.total_;
    ++routeCounts.total_;
    // The tolerance is far below one request and prevents that rounding makes 0.1 · 10 less than 1.
    const double allowed = share * static_cast<double>(counts.total_) + 1e-9;
    const double used = static_cast<double>(counts.new_) + (move.floor_ ? 1 : 0);
    if (used > allowed)
        return false;
    // Routes that are below their share go first, unless two requests are due. Otherwise, with periodic
    // traffic, the requests to the new side could always be those of the same route.
    const bool routeDue
        = static_cast<double>(routeCounts.new_) <= share * static_cast<double>(routeCounts.total_);
    if (!routeDue && used + 1 > allowed)
        return false;
    ++counts.new_;
    ++routeCounts.new_;
    return true;
}

void trip(HostMove& move) { move.tripped_ = true; }

} // namespace turmericwing::rollout

// Priority queue of the waiting requests of one service.
#include "turmericwing/routing/waitline.h"

#include <algorithm>

namespace turmericwing::routing {

namespace detail {

    constexpr double maxGapSeconds = 0.5; ///< Longer gaps are not used as samples.
    constexpr double minGapSeconds = 0.0001; ///< Keeps the rate finite for simultaneous starts.

    bool startsBefore(const Waiter& a, const Waiter& b)
    {
        return a.rank_ != b.rank_ ? a.rank_ < b.rank_ : a.arrivedAt_ < b.arrivedAt_;
    }

    double startRate(const WaitLine& line)
    {
        return line.startsPerSecond_ > 0 ? line.startsPerSecond_ : line.options_.initialStartsPerSecond_;
    }

} // namespace detail

Duration expectedWait(const WaitLine& line, Rank rank)
{
    const auto ahead = std::count_if(line.waiters_.begin(), line.waiters_.end(),
        [&](const Waiter& waiter) { return waiter.rank_ <= rank; });
    const double wait = static_cast<double>(ahead + 1) / detail::startRate(line);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(wait, 3600.0)));
}

bool joinLine(WaitLine& line, const Waiter& waiter, TimePoint now)
{
    if (line.waiters_.size() >= line.options_.maxWaiters_)
        return false;
    if (now + expectedWait(line, waiter.rank_) > waiter.startBy_)
        return false;
    const auto position
        = std::upper_bound(line.waiters_.begin(), line.waiters_.end(), waiter, detail::startsBefore);
    line.waiters_.insert(position, waiter);
    return true;
}

bool leaveLine(WaitLine& line, uint64_t id)
{
    return std::erase_if(line.waiters_, [&](const Waiter& waiter) { return waiter.id_ == id; }) > 0;
}

std::vector<uint64_t> expiredWaiters(WaitLine& line, TimePoint now)
{
    std::vector<uint64_t> ids;
    for (const Waiter& waiter : line.waiters_) {
        if (now >= waiter.startBy_)
            ids.push_back(waiter.id_);
    }
    std::erase_if(line.waiters_, [&](const Waiter& waiter) { return now >= waiter.startBy_; });
    return ids;
}

void recordStart(WaitLine& line, TimePoint now)
{
    const double gap = seconds(now - line.lastStart_);
    line.lastStart_ = now;
    // A long gap indicates a lack of demand rather than of capacity.
    if (gap > detail::maxGapSeconds)
        return;
    const double meanGap = line.startsPerSecond_ > 0 ? 1 / line.startsPerSecond_ : gap;
    const double smoothedGap = meanGap + line.options_.newSampleWeight_ * (gap - meanGap);
    line.startsPerSecond_ = 1 / std::max(smoothedGap, detail::minGapSeconds);
}

} // namespace turmericwing::routing

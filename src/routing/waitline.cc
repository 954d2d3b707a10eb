// Priority queue of the waiting requests of one service.
#include "turmericwing/routing/waitline.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericwing::routing {

namespace detail {

    constexpr double maxGapSeconds = 0.5; ///< Longer gaps are not used as samples.
    constexpr double leastWorkSeconds = 0.005; ///< Shorter work shares the first work class.
    constexpr double minGapSeconds = 0.0001; ///< Keeps the rate finite for simultaneous starts.

    bool startsBefore(const Waiter& a, const Waiter& b)
    {
        return std::tie(a.rank_, a.workClass_, a.arrivedAt_) < std::tie(b.rank_, b.workClass_, b.arrivedAt_);
    }

    double startRate(const WaitQueue& queue)
    {
        return queue.startsPerSecond_ > 0 ? queue.startsPerSecond_ : queue.options_.initialStartsPerSecond_;
    }

} // namespace detail

int workClass(double seconds)
{
    if (seconds <= 0)
        return 0;
    return 1 + std::max(0, static_cast<int>(std::floor(std::log2(seconds / detail::leastWorkSeconds))));
}

Duration expectedWait(const WaitQueue& queue, Rank rank)
{
    const auto ahead = std::count_if(queue.waiters_.begin(), queue.waiters_.end(),
        [&](const Waiter& waiter) { return waiter.rank_ <= rank; });
    const double wait = static_cast<double>(ahead + 1) / detail::startRate(queue);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(wait, 3600.0)));
}

bool tryEnqueue(WaitQueue& queue, const Waiter& waiter, TimePoint now)
{
    if (queue.waiters_.size() >= queue.options_.maxWaiters_)
        return false;
    if (now + expectedWait(queue, waiter.rank_) > waiter.startBy_)
        return false;
    const auto position
        = std::upper_bound(queue.waiters_.begin(), queue.waiters_.end(), waiter, detail::startsBefore);
    queue.waiters_.insert(position, waiter);
    return true;
}

bool removeWaiter(WaitQueue& queue, uint64_t id)
{
    return std::erase_if(queue.waiters_, [&](const Waiter& waiter) { return waiter.id_ == id; }) > 0;
}

std::vector<uint64_t> takeExpiredWaiters(WaitQueue& queue, TimePoint now)
{
    std::vector<uint64_t> ids;
    for (const Waiter& waiter : queue.waiters_) {
        if (now >= waiter.startBy_)
            ids.push_back(waiter.id_);
    }
    std::erase_if(queue.waiters_, [&](const Waiter& waiter) { return now >= waiter.startBy_; });
    return ids;
}

void recordStart(WaitQueue& queue, TimePoint now)
{
    const double gap = seconds(now - queue.lastStart_);
    queue.lastStart_ = now;
    // A long gap indicates a lack of demand rather than of capacity.
    if (gap > detail::maxGapSeconds)
        return;
    const double meanGap = queue.startsPerSecond_ > 0 ? 1 / queue.startsPerSecond_ : gap;
    const double smoothedGap = meanGap + queue.options_.newSampleWeight_ * (gap - meanGap);
    queue.startsPerSecond_ = 1 / std::max(smoothedGap, detail::minGapSeconds);
}

} // namespace turmericwing::routing

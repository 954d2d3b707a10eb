// Priority queue of a service's requests that wait on this host for a free upstream slot.
//
// Handles overload that lasts for seconds: a request is queued only if it is expected to start in time and is
// otherwise rejected on arrival, and more urgent requests start first. Within a rank those that need far less
// work start first, because more callers are answered in the same slot time, and others in order of arrival,
// because the callers that have waited longest lose most by a rejection.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericwing::routing {

/// Priority of a request. Lower is more urgent; the workspace's priority takes precedence over the route's.
struct Rank {
    int workspace_ = 0;
    int route_ = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// A queued request.
struct Waiter {
    uint64_t id_ = 0;
    Rank rank_;
    TimePoint arrivedAt_ {};
    TimePoint startBy_ {}; ///< Rejected if it has not started by then.
    int workClass_ = 0; ///< See workClass(); 0 if its work is unknown.
    friend bool operator==(const Waiter&, const Waiter&) = default;
};

struct WaitQueueOptions {
    size_t maxWaiters_ = 1000; ///< Limits memory.
    double newSampleWeight_ = 0.1; ///< Weight of a new sample in the moving average of the start rate.
    double initialStartsPerSecond_ = 50; ///< Used until a rate has been measured.
};

/// Class of a request that takes so many seconds at an upstream: one more for each doubling, from 1 on.
/// Smaller differences do not change the order of a queue. 0 if the time is not positive.
int workClass(double seconds);

/// The queue of one service. Invariant: waiters_ is sorted by rank, work class and arrival.
struct WaitQueue {
    WaitQueueOptions options_ {};
    std::vector<Waiter> waiters_ {};
    double startsPerSecond_ = 0; ///< 0 until measured.
    TimePoint lastStart_ {};
};

/// Expected wait, at most an hour, of a request of this rank that arrives now.
Duration expectedWait(const WaitQueue&, Rank);

/// Adds the request if it is expected to start in time and the queue is not full; returns whether it did.
bool tryEnqueue(WaitQueue&, const Waiter&, TimePoint now);

/// Removes a request; returns false if it is not queued.
bool removeWaiter(WaitQueue&, uint64_t id);

/// Removes the requests whose startBy_ has passed and returns their ids.
std::vector<uint64_t> takeExpiredWaiters(WaitQueue&, TimePoint now);

/// Records that a request of the service was sent to an upstream, and updates the start rate.
void recordStart(WaitQueue&, TimePoint now);

} // namespace turmericwing::routing

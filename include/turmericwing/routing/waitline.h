// Requests of one service that wait on this host for room at an upstream.
//
// The line answers the overload pattern in which more arrives than the upstreams can take for seconds: a
// request waits only while it can still start in time, one that cannot is refused when it arrives, and urgent
// ones go first. Within a rank the oldest goes first, because callers that waited longest lose most.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericwing::routing {

/// Lower is more urgent; the workspace's priority goes before the route's.
struct Rank {
    int workspace_ = 0;
    int route_ = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;
};

struct Waiter {
    uint64_t id_ = 0;
    Rank rank_;
    TimePoint arrivedAt_ {};
    TimePoint startBy_ {}; ///< Refused if it has not started by then.
    friend bool operator==(const Waiter&, const Waiter&) = default;
};

struct WaitLineOptions {
    size_t longest_ = 1000; ///< Bounds memory.
    double rateWeight_ = 0.1; ///< Weight of a new sample in the rate of starts.
    double initialRate_ = 50; ///< Starts/s before any was measured.
};

/// Invariant: waiters_ is sorted by rank and, within a rank, by arrival.
struct WaitLine {
    WaitLineOptions options_ {};
    std::vector<Waiter> waiters_ {};
    double startsPerSecond_ = 0; ///< 0 until measured.
    TimePoint lastStart_ {};
};

/// Expected wait of a request of this rank that arrives now.
Duration expectedWait(const WaitLine&, Rank);

/// Adds the request if it is expected to start in time.
bool joinLine(WaitLine&, const Waiter&, TimePoint now);

/// Removes a request; false if it is not in the line.
bool leaveLine(WaitLine&, uint64_t id);

/// Requests whose time to start has passed; they are removed.
std::vector<uint64_t> expiredWaiters(WaitLine&, TimePoint now);

/// A request of the service was sent to an upstream.
void recordStart(WaitLine&, TimePoint now);

} // namespace turmericwing::routing

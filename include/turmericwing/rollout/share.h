// State of a move on each host: which requests go to the new side, and the local trip.
//
// A move shifts a service from an old version to a new one, or from one region to another, in the same way.
// On each host the new side gets at most share · total requests since the share last changed, so the sum over
// all hosts stays within the share as well. A trip stops the new side of a move for good.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace turmericwing::rollout {

/// Phase of a move.
enum class Phase {
    Running,
    Done, ///< Final. All requests go to the new side.
    RolledBack, ///< Final. No request goes to the new side again.
};

/// State of a move as written in the head.
struct MoveRecord {
    uint32_t step_ = 0; ///< Increases by 1 with each change.
    double share_ = 0; ///< Share of the new side, in [0, 1].
    Phase phase_ = Phase::Running;
    std::string reason_ {};
    friend bool operator==(const MoveRecord&, const MoveRecord&) = default;
};

/// Share granted by the move's owner. Valid for shareGrantLifetime from the time at which the host sent its
/// report.
struct ShareGrant {
    uint32_t step_ = 0;
    double share_ = 0;
    TimePoint expires_ {};
};

/// Lifetime of a ShareGrant.
inline constexpr Duration shareGrantLifetime = std::chrono::seconds(1);

/// Requests since the share last changed.
struct SplitCounts {
    uint64_t new_ = 0;
    uint64_t total_ = 0;
};

/// A move on one host.
struct HostMove {
    MoveRecord record_ {}; ///< Record that is in effect on this host.
    ShareGrant grant_ {};
    double share_ = 0; ///< Share at the last decision.
    SplitCounts counts_ {};
    std::map<std::string, SplitCounts> routes_ {};
    bool tripped_ = false; ///< Never cleared.
    /// False only in tests: the number of requests to the new side is rounded up instead of down.
    bool floor_ = true;
};

/// Sets the record read from the head. A final phase is never replaced, for example by a stale Running
/// record.
void setRecord(HostMove&, const MoveRecord&);

/// Sets the grant that answers a report sent at `sent`. A grant for an older step, or one of the same step
/// that expires no later than the current grant, is ignored, so that replies of a previous owner do not
/// switch the share back and forth.
void setGrant(HostMove&, TimePoint sent, uint32_t step, double share);

/// Returns the share in effect: 1 or 0 in a final phase, 0 after a trip or without a valid grant, and
/// otherwise the granted share, limited to that of the record.
double currentShare(const HostMove&, TimePoint now);

/// Returns whether a request goes to the new side, and counts it.
bool routeToNewSide(HostMove&, TimePoint now, const std::string& route);

/// Stops sending requests to the new side on this host, permanently.
void trip(HostMove&);

} // namespace turmericwing::rollout

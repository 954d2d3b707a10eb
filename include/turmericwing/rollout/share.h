// The part of a move that every host runs: which requests go to the new side, and the local trip.
//
// A move shifts a service from an old to a new version, or from one region to another; both work the same
// way. On each host the new side gets at most share · total requests since the share last changed, so the sum
// over hosts is within the share as well.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace turmericwing::rollout {

enum class Phase {
    Running,
    Done, ///< Final. All requests go to the new side.
    RolledBack, ///< Final. No request goes to the new side, ever.
};

/// State of a move as written in the head.
struct MoveRecord {
    uint32_t step_ = 0;
    double share_ = 0; ///< Of the new side, in [0, 1].
    Phase phase_ = Phase::Running;
    std::string reason_ {};
    friend bool operator==(const MoveRecord&, const MoveRecord&) = default;
};

/// Share handed out by the move's owner. Valid for a second from the sending of the host's report.
struct ShareGrant {
    uint32_t step_ = 0;
    double share_ = 0;
    TimePoint expires_ {};
};

inline constexpr Duration shareLife = std::chrono::seconds(1);

/// Requests since the share last changed.
struct SplitCounts {
    uint64_t new_ = 0;
    uint64_t total_ = 0;
};

/// A move on one host.
struct HostMove {
    MoveRecord record_ {}; ///< In effect on this host.
    ShareGrant grant_ {};
    double share_ = 0; ///< Of the last decision.
    SplitCounts counts_ {};
    std::map<std::string, SplitCounts> routes_ {};
    bool tripped_ = false; ///< Never cleared.
    /// False drops the floor, so that single hosts round up. Only for tests.
    bool floor_ = true;
};

/// Takes the record from the head. A final phase is kept against a stale Running.
void setRecord(HostMove&, const MoveRecord&);

/// Takes a grant that answers a report sent at `sent`. A grant for an older step is ignored, so that the
/// answers of a previous owner do not switch the share back and forth.
void setGrant(HostMove&, TimePoint sent, uint32_t step, double share);

/// Share in effect: by the final phase, 0 after a trip or without a current grant, and never more than the
/// head allows.
double currentShare(const HostMove&, TimePoint now);

/// Decides for one request and counts it. True sends it to the new side.
bool takeNew(HostMove&, TimePoint now, const std::string& route);

/// Stops the new side on this host at once and for ever.
void trip(HostMove&);

} // namespace turmericwing::rollout

// Graceful stop of a host: leave the lookups, wait until callers' cached lookups have expired, finish, exit.
#pragma once

#include "turmericwing/base/time.h"

#include <cstddef>

namespace turmericwing::control {

struct DrainOptions {
    Duration announceLimit_ = std::chrono::seconds(5); ///< The drain goes on without the store after it.
    Duration lookupTtl_ = std::chrono::seconds(5);
    Duration pollInterval_ = std::chrono::milliseconds(500); ///< Of the hosts that answer lookups.
    Duration longestTimeout_ = std::chrono::seconds(60); ///< Of any route.
};

enum class DrainPhase {
    Serving,
    Leaving, ///< Not in this host's lookups; host list and view are being written.
    Waiting, ///< Marked as leaving; callers with cached lookups are still served.
    Finishing, ///< New requests are refused as not run; requests in flight go on.
    Done,
};

/// Invariant: the phase only advances. Deadlines are set when their phase begins.
struct Drain {
    DrainPhase phase_ = DrainPhase::Serving;
    TimePoint announceDeadline_;
    TimePoint lookupsExpireAt_;
    TimePoint finishDeadline_;
    friend bool operator==(const Drain&, const Drain&) = default;
};

/// Starts the drain; later calls change nothing.
void beginDrain(Drain&, const DrainOptions&, TimePoint now);

struct DrainInputs {
    bool announced_ = false; ///< Host list and view show this host as leaving, or it is not a member.
    size_t inFlight_ = 0; ///< Requests that have been admitted and not completed.
};

struct DrainActions {
    bool announce_ = false; ///< Write the host list and the view (again).
    bool inLookups_ = true;
    bool admit_ = true; ///< Admit new requests.
    bool releaseShares_ = false; ///< Give back tokens and slots.
    bool exit_ = false;
    friend bool operator==(const DrainActions&, const DrainActions&) = default;
};

/// Advances through all phases that are due and tells what applies now.
DrainActions advanceDrain(Drain&, const DrainOptions&, const DrainInputs&, TimePoint now);

} // namespace turmericwing::control

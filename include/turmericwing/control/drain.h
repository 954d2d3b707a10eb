// Graceful stop of a host: it leaves the lookups, waits until cached lookups of callers have expired,
// finishes its requests and exits.
#pragma once

#include "turmericwing/base/time.h"

#include <cstddef>

namespace turmericwing::control {

struct DrainOptions {
    Duration announceTimeout_ = std::chrono::seconds(5); ///< Then the drain continues without the store.
    Duration lookupTtl_ = std::chrono::seconds(5); ///< How long callers cache a lookup.
    /// How often the hosts that answer lookups read the host list.
    Duration pollInterval_ = std::chrono::milliseconds(500);
    Duration longestTimeout_ = std::chrono::seconds(60); ///< Longest request timeout of all routes.
};

enum class DrainPhase {
    Serving, ///< No drain has begun.
    Leaving, ///< This host's lookups omit it; the host list and the view are being written.
    Waiting, ///< The host is marked as leaving; callers with cached lookups are still served.
    Finishing, ///< New requests are refused as not run; requests in flight continue.
    Done, ///< No request is in flight, or the deadline has passed; the process exits.
};

/// State of a drain. Invariant: the phase only advances. A deadline is set when its phase begins.
struct Drain {
    DrainPhase phase_ = DrainPhase::Serving;
    TimePoint announceDeadline_; ///< End of Leaving, at the latest.
    TimePoint lookupsExpireAt_; ///< End of Waiting.
    TimePoint finishDeadline_; ///< End of Finishing, at the latest.
    friend bool operator==(const Drain&, const Drain&) = default;
};

/// Starts the drain; later calls change nothing.
void beginDrain(Drain&, const DrainOptions&, TimePoint now);

/// What a step of the drain depends on.
struct DrainInputs {
    bool announced_ = false; ///< Host list and view show this host as leaving, or it is not a member.
    size_t inFlight_ = 0; ///< Number of requests that are admitted and not completed.
};

/// What the host has to do in the current phase.
struct DrainActions {
    bool announce_ = false; ///< Write the host list and the view, again if needed.
    bool inLookups_ = true; ///< Include this host in its lookups.
    bool admit_ = true; ///< Admit new requests.
    bool releaseShares_ = false; ///< Return tokens and slots.
    bool exit_ = false; ///< End the process.
    friend bool operator==(const DrainActions&, const DrainActions&) = default;
};

/// Advances through all phases that are due and returns the actions of the current one.
DrainActions advanceDrain(Drain&, const DrainOptions&, const DrainInputs&, TimePoint now);

} // namespace turmericwing::control

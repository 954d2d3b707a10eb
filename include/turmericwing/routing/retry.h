// Retries and hedges of requests. Both draw on one budget, so that they cannot multiply load.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>

namespace turmericwing::routing {

struct RetryOptions {
    double ratio_ = 0.1; ///< Retries and hedges per request.
    double burst_ = 10; ///< Largest number of retries in a row.
    uint32_t maxAttempts_ = 3;
    double hedgeHeadroom_ = 0.5; ///< Least part of the service's slots that is free, with the hedge running.
    bool limited_ = true; ///< False switches the budget off. Only for tests.
};

/// Earned by requests, spent by retries and hedges. Starts empty: retries are at most ratio_ of all requests
/// since the start.
struct RetryBudget {
    double tokens_ = 0;
};

/// Counts a request of a caller; retries and hedges are not counted.
void earnRetry(RetryBudget&, const RetryOptions&);

/// A failed attempt.
struct FailedAttempt {
    bool idempotent_ = false;
    bool byteMayBeSent_ = false; ///< A byte of the request may have reached the upstream.
    bool responseStarted_ = false; ///< A byte of the response went to the caller.
    bool overload_ = false; ///< The upstream refused for load.
    uint32_t attempts_ = 1; ///< Attempts so far.
    TimePoint deadline_ {};
    Duration expected_ {}; ///< Expected time of one more attempt.
};

/// Whether to try again, on another upstream or a fresh connection. Spends from the budget if so.
bool takeRetry(RetryBudget&, const RetryOptions&, TimePoint now, const FailedAttempt&);

/// A lookup that is still running.
struct HedgeCandidate {
    bool idempotent_ = false;
    bool hedged_ = false; ///< A second attempt already runs.
    TimePoint started_ {};
    Duration usual_ {}; ///< 95th percentile of the route's latency; 0 if unknown.
    uint32_t freeSlots_ = 0; ///< Of the service on this host.
    uint32_t heldSlots_ = 0;
};

/// Whether to send a second copy to another upstream. Spends from the budget if so.
bool takeHedge(RetryBudget&, const RetryOptions&, TimePoint now, const HedgeCandidate&);

} // namespace turmericwing::routing

// Retries and hedged requests. Both spend tokens of a common budget, so that they cannot multiply the load.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>

namespace turmericwing::routing {

struct RetryOptions {
    double ratio_ = 0.1; ///< Tokens earned per request; one retry or hedge costs one token.
    double burst_ = 10; ///< Most tokens that are saved up.
    uint32_t maxAttempts_ = 3; ///< Per request, the first one included.
    /// Fraction of the service's slots that must stay free with the hedge running.
    double hedgeMinFreeFraction_ = 0.5;
    bool enforceBudget_ = true; ///< False disables the budget. For tests only.
};

/// Token bucket that requests fill and that retries and hedges drain. Starts empty, so that retries and
/// hedges never exceed ratio_ of all requests since the start.
struct RetryBudget {
    double tokens_ = 0;
};

/// Adds the tokens for one request of a caller. Not called for retries and hedges.
void earnRetryToken(RetryBudget&, const RetryOptions&);

/// A failed attempt.
struct FailedAttempt {
    bool idempotent_ = false;
    bool byteMayBeSent_ = false; ///< A byte of the request may have reached the upstream.
    bool responseStarted_ = false; ///< A byte of the response was sent to the caller.
    bool overload_ = false; ///< The upstream rejected the attempt as overloaded.
    uint32_t attempts_ = 1; ///< Attempts so far.
    TimePoint deadline_ {};
    Duration expected_ {}; ///< Expected duration of another attempt.
};

/// Whether to retry, on another upstream or a new connection; spends a token if so. Returns false if a second
/// execution would not be safe or could not end before the deadline, if the upstream was overloaded, if the
/// response has begun or the attempts are used up, or without a token.
bool spendRetryToken(RetryBudget&, const RetryOptions&, TimePoint now, const FailedAttempt&);

/// A running request that may be hedged.
struct HedgeCandidate {
    bool idempotent_ = false;
    bool hedged_ = false; ///< A second attempt is already running.
    TimePoint started_ {};
    Duration p95Latency_ {}; ///< 95th percentile of the route's latency; 0 if unknown.
    uint32_t freeSlots_ = 0; ///< Free slots of the service on this host.
    uint32_t heldSlots_ = 0;
};

/// Whether to send a copy of the request to another upstream; spends a token if so. Returns false for
/// requests that run for less than their route's 95th percentile, and without enough free slots.
bool spendHedgeToken(RetryBudget&, const RetryOptions&, TimePoint now, const HedgeCandidate&);

} // namespace turmericwing::routing

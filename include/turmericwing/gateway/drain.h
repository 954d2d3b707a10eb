// Schedule of a graceful stop: until when a host takes requests, which attempts may still begin, and when
// every request has its final response.
//
// After SIGTERM callers keep coming until they have looked up other hosts. A host that refused all of them at
// once would cost each a retry; one that took all of them would end in the middle of their work. It therefore
// takes requests for a while, and passes on only those that are expected to be answered before it ends.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>

namespace turmericwing::gateway {

struct DrainOptions {
    /// Fraction of the stop time during which new requests are taken. The rest is for those that run.
    double acceptFraction_ = 0.4;
    /// Longest time during which new requests are taken. Users count a request that is cut at the end as lost
    /// if it was sent 3 s after SIGTERM or later, however long the stop time is.
    Duration maxAcceptTime_ = std::chrono::milliseconds(2500);
    /// The process ends this long before it would be killed, but at most a fifteenth of the stop time.
    Duration exitMargin_ = std::chrono::milliseconds(400);
    /// Requests without an answer get a final response this long before the process ends, so that it is sent
    /// while the connections are still open; at most a thirtieth of the stop time. Both margins together keep
    /// these responses within the last sixth of the stop time, before which users allow none.
    Duration responseMargin_ = std::chrono::milliseconds(200);
    /// An attempt begins only if this multiple of its expected time is left, because many attempts take
    /// longer than expected.
    double expectedTimeMargin_ = 1.5;
    /// Retry-After of a refusal: other hosts can serve the request at once.
    Duration retryAfter_ = std::chrono::milliseconds(50);
    friend auto operator<=>(const DrainOptions&, const DrainOptions&) = default;
};

/// Times of one graceful stop. Invariant: acceptUntil_ <= answerBy_ <= exitBy_.
struct DrainSchedule {
    TimePoint acceptUntil_ {}; ///< Requests that arrive later are refused.
    TimePoint answerBy_ {}; ///< Every request has its final response by then.
    TimePoint exitBy_ {}; ///< The process ends by then.
    friend auto operator<=>(const DrainSchedule&, const DrainSchedule&) = default;
};

/// Returns the schedule of a stop that begins at `now` and is enforced after `stopTime`. A negative stop time
/// counts as zero.
DrainSchedule makeDrainSchedule(const DrainOptions&, TimePoint now, Duration stopTime);

/// Whether an attempt may begin at `now`: the response is expected before answerBy_. `expected` is the
/// expected time to the response, in seconds; `expiresAt` is the end of the request, by which it has a
/// response anyway.
bool mayBeginAttempt(
    const DrainOptions&, const DrainSchedule&, TimePoint now, double expected, TimePoint expiresAt);

} // namespace turmericwing::gateway

// Token bucket that stores the time at which it was empty instead of its level, so that it needs no periodic
// refill.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>

namespace turmericwing::limits {

/// Rate in tokens/s, burst in tokens. A rate of 0 never yields a token.
struct BucketLimits {
    double rate_ = 0;
    double burst_ = 0;
    friend auto operator<=>(const BucketLimits&, const BucketLimits&) = default;
};

/// Invariant: the tokens taken in any interval of length t never exceed rate·t + burst. The cost of a take is
/// rounded up to 1 ns, so rounding errors never yield an extra token.
struct Bucket {
    BucketLimits limits_;
    int64_t emptyAtNs_ = 0; ///< The level is (now - emptyAtNs_) · rate, at least 0 and at most the burst.
    friend auto operator<=>(const Bucket&, const Bucket&) = default;
};

/// Returns a bucket that is empty at `since` and fills from then on. `since` may be in the future.
Bucket makeEmptyBucket(BucketLimits, TimePoint since);

/// Returns the number of whole tokens that can be taken now.
uint64_t availableTokens(const Bucket&, TimePoint now);

/// Takes all of `tokens` or none. Returns whether they were taken; always true for 0 tokens.
bool takeTokens(Bucket&, uint64_t tokens, TimePoint now);

/// Puts back tokens that were taken and are certain not to have been spent. The level stays within the burst.
void refundTokens(Bucket&, uint64_t tokens, TimePoint now);

/// Caps the level at burst - reserved, or at 0 if this is negative. `reserved` is the number of tokens that
/// were taken and may still be spent.
void capLevel(Bucket&, uint64_t reserved, TimePoint now);

/// Changes rate and burst. The level stays, capped at the new burst.
void setLimits(Bucket&, BucketLimits, TimePoint now);

/// Returns the earliest time, not before `now`, at which `tokens` can be taken, rounded up to 1 µs.
/// TimePoint::max() if they exceed the burst.
TimePoint tokensReadyAt(const Bucket&, uint64_t tokens, TimePoint now);

} // namespace turmericwing::limits

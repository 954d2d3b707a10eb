// Token bucket that stores the time at which it was empty instead of a level that must be refilled.
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

/// Invariant: tokens taken in any interval of length t never exceed rate·t + burst. Costs are rounded up to
/// 1 ns, so the error is always on the safe side.
struct Bucket {
    BucketLimits limits_;
    int64_t emptyAtNs_ = 0; ///< The level is (now - emptyAtNs_) · rate, capped at the burst.
    friend auto operator<=>(const Bucket&, const Bucket&) = default;
};

/// A bucket that is empty at `since` and fills from then on.
Bucket makeEmptyBucket(BucketLimits, TimePoint since);

/// Whole tokens that can be taken now.
uint64_t availableTokens(const Bucket&, TimePoint now);

/// Takes all of `tokens` or none.
bool takeTokens(Bucket&, uint64_t tokens, TimePoint now);

/// Puts back tokens that were taken and provably not spent.
void putBackTokens(Bucket&, uint64_t tokens, TimePoint now);

/// Caps the level at burst - reserved, where `reserved` tokens were taken and may still be spent.
void capLevel(Bucket&, uint64_t reserved, TimePoint now);

/// Changes rate and burst and keeps the level, capped at the new burst.
void setLimits(Bucket&, BucketLimits, TimePoint now);

/// Earliest time at which `tokens` can be taken; TimePoint::max() if never.
TimePoint tokensReadyAt(const Bucket&, uint64_t tokens, TimePoint now);

} // namespace turmericwing::limits

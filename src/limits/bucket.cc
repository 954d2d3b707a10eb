// Token bucket arithmetic in integer nanoseconds.
#include "turmericwing/limits/bucket.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::limits {

namespace detail {

    constexpr double nsPerSecond = 1e9;

    // About 31 years. Limits every computed span, so that a very low rate cannot overflow 64-bit nanoseconds.
    constexpr int64_t maxSpanNs = 1'000'000'000'000'000'000;

    int64_t toNs(TimePoint t) { return std::chrono::nanoseconds(t.time_since_epoch()).count(); }

    int64_t costNs(const Bucket& bucket, uint64_t tokens)
    {
        if (bucket.limits_.rate_ <= 0)
            return tokens == 0 ? 0 : maxSpanNs;
        const double ns = std::ceil(static_cast<double>(tokens) * nsPerSecond / bucket.limits_.rate_);
        return ns >= static_cast<double>(maxSpanNs) ? maxSpanNs : static_cast<int64_t>(ns);
    }

    int64_t burstNs(const Bucket& bucket)
    {
        if (bucket.limits_.rate_ <= 0)
            return 0;
        // Rounded up like the cost; otherwise a burst of exactly one token would never yield that token.
        const double ns = std::ceil(bucket.limits_.burst_ * nsPerSecond / bucket.limits_.rate_);
        return ns >= static_cast<double>(maxSpanNs) ? maxSpanNs : static_cast<int64_t>(ns);
    }

    int64_t levelNs(const Bucket& bucket, int64_t nowNs)
    {
        return std::clamp<int64_t>(nowNs - bucket.emptyAtNs_, 0, burstNs(bucket));
    }

} // namespace detail

Bucket makeEmptyBucket(BucketLimits limits, TimePoint since) { return { limits, detail::toNs(since) }; }

uint64_t availableTokens(const Bucket& bucket, TimePoint now)
{
    const int64_t level = detail::levelNs(bucket, detail::toNs(now));
    auto tokens
        = static_cast<uint64_t>(static_cast<double>(level) * bucket.limits_.rate_ / detail::nsPerSecond);
    // Rounding of the product may be off by one token in either direction.
    if (detail::costNs(bucket, tokens + 1) <= level)
        return tokens + 1;
    if (tokens > 0 && detail::costNs(bucket, tokens) > level)
        return tokens - 1;
    return tokens;
}

bool takeTokens(Bucket& bucket, uint64_t tokens, TimePoint now)
{
    const int64_t nowNs = detail::toNs(now);
    const int64_t level = detail::levelNs(bucket, nowNs);
    const int64_t cost = detail::costNs(bucket, tokens);
    if (tokens == 0 || cost > level)
        return tokens == 0;
    // Rounding up the burst may have added 1 ns to the level of a full bucket; it is taken off again.
    const double exactBurst = bucket.limits_.burst_ * detail::nsPerSecond / bucket.limits_.rate_;
    const bool roundedUp = level == detail::burstNs(bucket) && static_cast<double>(level) > exactBurst;
    bucket.emptyAtNs_ = nowNs - level + cost + (roundedUp ? 1 : 0);
    return true;
}

void refundTokens(Bucket& bucket, uint64_t tokens, TimePoint now)
{
    const int64_t nowNs = detail::toNs(now);
    if (bucket.limits_.rate_ <= 0)
        return;
    // A bucket that starts to fill in the future keeps that start time as the base.
    const int64_t base = std::max(bucket.emptyAtNs_, nowNs - detail::burstNs(bucket));
    // Rounded down, so that a take and its refund never add up to extra tokens.
    const double refund
        = std::floor(static_cast<double>(tokens) * detail::nsPerSecond / bucket.limits_.rate_);
    bucket.emptyAtNs_ = base - static_cast<int64_t>(std::min(refund, static_cast<double>(detail::maxSpanNs)));
}

void capLevel(Bucket& bucket, uint64_t reserved, TimePoint now)
{
    const int64_t room = std::max<int64_t>(0, detail::burstNs(bucket) - detail::costNs(bucket, reserved));
    bucket.emptyAtNs_ = std::max(bucket.emptyAtNs_, detail::toNs(now) - room);
}

void setLimits(Bucket& bucket, BucketLimits limits, TimePoint now)
{
    const int64_t nowNs = detail::toNs(now);
    if (bucket.limits_ == limits)
        return;
    if (bucket.emptyAtNs_ >= nowNs) {
        // The bucket does not fill yet, for example just after a takeover, and keeps its start time.
        bucket.limits_ = limits;
        return;
    }
    const double level
        = static_cast<double>(detail::levelNs(bucket, nowNs)) * bucket.limits_.rate_ / detail::nsPerSecond;
    bucket.limits_ = limits;
    const double span = limits.rate_ <= 0 ? 0
                                          : std::min(std::floor(level * detail::nsPerSecond / limits.rate_),
                                              static_cast<double>(detail::burstNs(bucket)));
    bucket.emptyAtNs_ = nowNs - static_cast<int64_t>(span);
}

TimePoint tokensReadyAt(const Bucket& bucket, uint64_t tokens, TimePoint now)
{
    const int64_t cost = detail::costNs(bucket, tokens);
    if (cost > detail::burstNs(bucket))
        return TimePoint::max();
    const int64_t nowNs = detail::toNs(now);
    const int64_t base = std::max(bucket.emptyAtNs_, nowNs - detail::burstNs(bucket));
    const int64_t readyNs = std::max(nowNs, base + cost);
    return TimePoint(Duration((readyNs + 999) / 1000));
}

} // namespace turmericwing::limits

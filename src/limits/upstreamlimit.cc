// Owners of a limited upstream and their parts of its rate.
#include "turmericwing/limits/upstreamlimit.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::limits {

namespace detail {

    constexpr double partBurst = 1; ///< Requests that an owner may send at once.

    /// Number of hosts that may send to an upstream. Their bursts add up to less than half of what the limit
    /// allows in a few seconds.
    size_t ownerCount(const UpstreamLimitOptions& options, double rate, size_t hosts)
    {
        const double wanted = std::floor(options.minOwners_ + options.ownersPerRate_ * rate);
        return static_cast<size_t>(std::min(wanted, static_cast<double>(hosts)));
    }

    bool isAmongOwners(const std::string& upstream, const LimitSharers& sharers, size_t owners)
    {
        const uint64_t own = rendezvousWeight(upstream, sharers.self_);
        const auto higher = std::count_if(sharers.others_.begin(), sharers.others_.end(),
            [&](const std::string& other) { return rendezvousWeight(upstream, other) > own; });
        return static_cast<size_t>(higher) < owners;
    }

    /// Moment at which a part is empty that holds a fraction of a request, different on each host. Without
    /// it, all owners would have their first request at the same moment.
    TimePoint initialEmptyTime(const BucketLimits& part, TimePoint now, uint64_t weight)
    {
        const double fraction = static_cast<double>(weight >> 11) / static_cast<double>(uint64_t { 1 } << 53);
        return now
            - std::chrono::duration_cast<Duration>(std::chrono::duration<double>(fraction / part.rate_));
    }

} // namespace detail

LimitStatement peerStatement(const UpstreamLimitOptions& options, TimePoint now, std::optional<double> rate,
    Duration age, LimitSource source)
{
    const Duration transit = rate ? options.maxTransit_ : Duration::zero();
    return { .rate_ = rate, .heardAt_ = now - age - transit, .source_ = source };
}

bool isLimited(const UpstreamLimit& limit, TimePoint now)
{
    return limit.statement_.rate_ && now < limit.expiresAt_;
}

std::optional<double> limitedRate(
    const UpstreamLimit& limit, const UpstreamLimitOptions& options, TimePoint now)
{
    if (!isLimited(limit, now))
        return std::nullopt;
    return std::clamp(*limit.statement_.rate_, options.minRate_, options.maxRate_);
}

bool applyStatement(
    UpstreamLimit& limit, const UpstreamLimitOptions& options, TimePoint now, const LimitStatement& statement)
{
    if (statement.heardAt_ <= limit.statement_.heardAt_)
        return false;
    const auto before = limitedRate(limit, options, now);
    limit.statement_ = statement;
    limit.expiresAt_ = statement.heardAt_ + options.lifetime_;
    const auto after = limitedRate(limit, options, now);
    if (before == after)
        return false;
    if (!before)
        limit.owner_ = false;
    return true;
}

std::optional<LimitStatement> statementWithoutLimit(
    const UpstreamLimit& limit, TimePoint now, TimePoint requestSentAt)
{
    if (!limit.statement_.rate_ || requestSentAt <= limit.statement_.heardAt_)
        return std::nullopt;
    return LimitStatement { .heardAt_ = now };
}

void assignPart(UpstreamLimit& limit, const UpstreamLimitOptions& options, TimePoint now,
    const std::string& upstream, const LimitSharers& sharers)
{
    const auto rate = limitedRate(limit, options, now);
    if (!rate)
        return;
    if (sharers.self_.empty()) {
        limit.owner_ = false;
        return;
    }
    const size_t owners = detail::ownerCount(options, *rate, sharers.others_.size() + 1);
    const bool wasOwner = limit.owner_;
    const bool isNew = limit.part_.limits_.rate_ <= 0;
    limit.owner_ = detail::isAmongOwners(upstream, sharers, owners);
    const BucketLimits part { *rate * sharers.heardFraction_ / static_cast<double>(owners),
        detail::partBurst };
    if (wasOwner)
        return setLimits(limit.part_, part, now);
    const uint64_t weight = rendezvousWeight(upstream, sharers.self_);
    limit.part_ = makeEmptyBucket(part, isNew ? detail::initialEmptyTime(part, now, weight) : now);
}

std::optional<TimePoint> nextRequestAt(const UpstreamLimit& limit, TimePoint now)
{
    if (!isLimited(limit, now))
        return now;
    if (!limit.owner_)
        return std::nullopt;
    return tokensReadyAt(limit.part_, 1, now);
}

void takeRequest(UpstreamLimit& limit, TimePoint now)
{
    if (isLimited(limit, now))
        takeTokens(limit.part_, 1, now);
}

} // namespace turmericwing::limits

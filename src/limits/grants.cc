// Token grants: buckets of share holders, and the tokens that other hosts pull from them.
#include "turmericwing/limits/grants.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericwing::limits {

namespace detail {

    void releaseGrant(ShareHolder& holder, const std::deque<OutstandingGrant>::iterator& grant, TimePoint at,
        const GrantOptions& options)
    {
        // The cap must be applied with the old reservation first: the bucket must not refill the reserved
        // tokens for the time in which they could still be spent.
        if (options.safeguards_.reserveGranted_)
            capLevel(holder.bucket_, holder.reserved_, at);
        holder.reserved_ -= grant->tokens_;
        holder.outstanding_.erase(grant);
    }

    void expireGrants(ShareHolder& holder, TimePoint now, const GrantOptions& options)
    {
        while (!holder.outstanding_.empty() && holder.outstanding_.front().expiresAt_ <= now)
            releaseGrant(
                holder, holder.outstanding_.begin(), holder.outstanding_.front().expiresAt_, options);
        if (holder.nextLimits_ && holder.nextLimitsAt_ <= now) {
            setLimits(holder.bucket_, *holder.nextLimits_, holder.nextLimitsAt_);
            holder.nextLimits_.reset();
        }
        if (options.safeguards_.reserveGranted_)
            capLevel(holder.bucket_, holder.reserved_, now);
    }

    Duration takeoverDelay(const GrantOptions& options)
    {
        return options.safeguards_.delayTakeover_ ? options.grantLifetime_ + options.lifetimeMargin_
                                                  : Duration(0);
    }

    uint64_t heldTokens(const HostTokens& tokens, TimePoint now)
    {
        uint64_t sum = 0;
        for (const auto& batch : tokens.batches_)
            sum += batch.deadline_ > now ? batch.tokens_ : 0;
        return sum;
    }

    uint64_t settledSequence(const HostTokens& tokens)
    {
        uint64_t settled = tokens.nextSequence_;
        for (const auto& pull : tokens.pending_)
            settled = std::min(settled, pull.sequence_);
        for (const auto& batch : tokens.batches_)
            settled = std::min(settled, batch.sequence_);
        return settled;
    }

    void dropExpired(HostTokens& tokens, TimePoint now, const GrantOptions& options)
    {
        for (auto& pull : tokens.pending_)
            if (!pull.overdue_ && now >= pull.deadline_ - options.grantLifetime_ + options.replyTimeout_) {
                pull.overdue_ = true;
                tokens.nextPullAt_[{ pull.target_.host_, pull.target_.kind_ }] = now + options.holderBackoff_;
            }
        std::erase_if(tokens.batches_,
            [&](const TokenBatch& batch) { return batch.deadline_ <= now || batch.tokens_ == 0; });
        std::erase_if(tokens.pending_, [&](const PendingPull& pull) { return pull.deadline_ <= now; });
    }

    TokenReturn makeReturn(const HostTokens& tokens, const TokenBatch& batch)
    {
        return { batch.source_.host_, tokens.workspace_, tokens.host_, tokens.incarnation_,
            batch.source_.kind_, batch.sequence_, batch.tokens_ };
    }

    Grant makeReply(const PullRequest& pull, uint64_t epoch, GrantStatus status)
    {
        return { pull.workspace_, pull.incarnation_, epoch, pull.kind_, pull.sequence_, status, 0,
            Duration(0) };
    }

} // namespace detail

ShareHolder acquireShare(BucketLimits limits, uint64_t epoch, TimePoint now, const GrantOptions& options)
{
    ShareHolder holder;
    holder.bucket_ = makeEmptyBucket(limits, now + detail::takeoverDelay(options));
    if (!options.safeguards_.startEmpty_)
        holder.bucket_.emptyAtNs_ -= std::chrono::nanoseconds(std::chrono::hours(24)).count();
    holder.epoch_ = epoch;
    return holder;
}

void updateShare(
    ShareHolder& holder, BucketLimits limits, uint64_t epoch, TimePoint now, const GrantOptions& options)
{
    detail::expireGrants(holder, now, options);
    holder.epoch_ = epoch;
    if (holder.nextLimits_ && *holder.nextLimits_ == limits)
        return;
    const BucketLimits current = holder.bucket_.limits_;
    const BucketLimits reduced
        = { std::min(current.rate_, limits.rate_), std::min(current.burst_, limits.burst_) };
    setLimits(holder.bucket_, reduced, now);
    holder.nextLimits_.reset();
    if (reduced != limits) {
        holder.nextLimits_ = limits;
        holder.nextLimitsAt_ = now + detail::takeoverDelay(options);
    }
}

void applyView(std::map<ShareKind, ShareHolder>& held, const std::string& host,
    const std::vector<Share>& view, uint64_t epoch, ViewPhase phase, TimePoint now,
    const GrantOptions& options)
{
    std::map<ShareKind, BucketLimits> ownLimits;
    for (const auto& share : view)
        if (share.host_ == host)
            ownLimits[share.kind_] = share.limits_;
    std::erase_if(held, [&](const auto& entry) {
        return !ownLimits.contains(entry.first)
            || (epoch > entry.second.epoch_ + 1 && options.safeguards_.dropOnEpochGap_);
    });
    for (const auto& [kind, limits] : ownLimits) {
        const auto share = held.find(kind);
        if (share == held.end()) {
            if (phase == ViewPhase::Active)
                held.emplace(kind, acquireShare(limits, epoch, now, options));
            continue;
        }
        const BucketLimits current = share->second.bucket_.limits_;
        const BucketLimits reduced
            = { std::min(limits.rate_, current.rate_), std::min(limits.burst_, current.burst_) };
        updateShare(share->second, phase == ViewPhase::Active ? limits : reduced, epoch, now, options);
    }
}

Grant answerPull(ShareHolder& holder, const PullRequest& pull, TimePoint now, const GrantOptions& options)
{
    detail::expireGrants(holder, now, options);
    auto& puller = holder.pullers_[pull.host_];
    if (options.safeguards_.dropDuplicates_) {
        if (pull.incarnation_ < puller.incarnation_
            || (pull.incarnation_ == puller.incarnation_ && pull.sequence_ <= puller.lastSequence_))
            return detail::makeReply(pull, holder.epoch_, GrantStatus::Repeated);
    }
    puller = { pull.incarnation_, pull.sequence_ };
    for (auto it = holder.outstanding_.begin(); it != holder.outstanding_.end();) {
        const auto index = it - holder.outstanding_.begin();
        if (it->host_ == pull.host_ && it->incarnation_ == pull.incarnation_
            && it->sequence_ < pull.settled_) {
            detail::releaseGrant(holder, it, now, options);
            it = holder.outstanding_.begin() + index;
        } else {
            ++it;
        }
    }
    const uint64_t level = availableTokens(holder.bucket_, now);
    const uint64_t forWaiting = std::min(pull.waiting_, level);
    // Prefetch takes at most half of the remaining tokens, so that it cannot starve requests on other hosts.
    const uint64_t tokens = forWaiting + std::min(pull.prefetch_, (level - forWaiting) / 2);
    if (tokens == 0) {
        Grant reply = detail::makeReply(pull, holder.epoch_, GrantStatus::Empty);
        const TimePoint ready = tokensReadyAt(holder.bucket_, 1, now);
        reply.retryAfter_ = ready == TimePoint::max() ? options.grantLifetime_ : ready - now;
        return reply;
    }
    takeTokens(holder.bucket_, tokens, now);
    holder.outstanding_.push_back({ pull.host_, pull.incarnation_, pull.sequence_, tokens,
        now + options.grantLifetime_ + options.lifetimeMargin_ });
    holder.reserved_ += tokens;
    Grant reply = detail::makeReply(pull, holder.epoch_, GrantStatus::Granted);
    reply.tokens_ = tokens;
    return reply;
}

Grant refusePull(const PullRequest& pull, uint64_t epoch)
{
    return detail::makeReply(pull, epoch, GrantStatus::NotHolder);
}

bool spendFromShare(ShareHolder& holder, TimePoint now, const GrantOptions& options)
{
    detail::expireGrants(holder, now, options);
    return takeTokens(holder.bucket_, 1, now);
}

void acceptReturn(
    ShareHolder& holder, const TokenReturn& returned, TimePoint now, const GrantOptions& options)
{
    detail::expireGrants(holder, now, options);
    const auto grant = std::find_if(
        holder.outstanding_.begin(), holder.outstanding_.end(), [&](const OutstandingGrant& candidate) {
            return candidate.host_ == returned.host_ && candidate.incarnation_ == returned.incarnation_
                && candidate.sequence_ == returned.sequence_;
        });
    if (grant == holder.outstanding_.end())
        return;
    const uint64_t tokens = std::min(returned.tokens_, grant->tokens_);
    detail::releaseGrant(holder, grant, now, options);
    refundTokens(holder.bucket_, tokens, now);
}

void recordRequest(HostTokens& tokens, TimePoint now, const GrantOptions& options)
{
    tokens.demand_ = demandRate(tokens, now, options) + 1.0 / seconds(options.demandWindow_);
    tokens.demandAt_ = now;
}

double demandRate(const HostTokens& tokens, TimePoint now, const GrantOptions& options)
{
    const double age = seconds(now - tokens.demandAt_) / seconds(options.demandWindow_);
    return tokens.demand_ * std::exp(-std::max(0.0, age));
}

bool refreshTokens(HostTokens& tokens, TimePoint leaseUntil, TimePoint now, const GrantOptions& options)
{
    const bool paused
        = tokens.refreshedAt_ != TimePoint() && now - tokens.refreshedAt_ > options.pauseThreshold_;
    tokens.refreshedAt_ = now;
    if ((paused || now >= leaseUntil) && options.safeguards_.discardWithoutLease_) {
        tokens.batches_.clear();
        tokens.pending_.clear();
        return true;
    }
    detail::dropExpired(tokens, now, options);
    return false;
}

bool spendToken(HostTokens& tokens, TimePoint now, const GrantOptions& options)
{
    detail::dropExpired(tokens, now, options);
    const auto first = std::min_element(tokens.batches_.begin(), tokens.batches_.end(),
        [](const TokenBatch& a, const TokenBatch& b) { return a.deadline_ < b.deadline_; });
    if (first == tokens.batches_.end())
        return false;
    if (--first->tokens_ == 0) {
        if (tokens.exhausted_.size() >= maxExhausted)
            tokens.exhausted_.erase(tokens.exhausted_.begin());
        tokens.exhausted_.push_back(detail::makeReturn(tokens, *first));
        tokens.batches_.erase(first);
    }
    return true;
}

std::optional<PullRequest> nextPull(HostTokens& tokens, const PullTarget& target, uint64_t waiting,
    uint64_t epoch, TimePoint now, const GrantOptions& options)
{
    detail::dropExpired(tokens, now, options);
    if (const auto empty = tokens.nextPullAt_.find({ target.host_, target.kind_ });
        empty != tokens.nextPullAt_.end()) {
        if (now < empty->second)
            return std::nullopt;
        tokens.nextPullAt_.erase(empty);
    }
    uint64_t covered = detail::heldTokens(tokens, now);
    for (const auto& pull : tokens.pending_)
        covered += pull.overdue_ ? 0 : pull.tokens_;
    PullRequest pull;
    pull.waiting_ = waiting > covered ? waiting - covered : 0;
    // A batch of more than an eighth of the burst would leave other hosts without tokens for its lifetime.
    const double span = std::min({ demandRate(tokens, now, options) * seconds(options.batchSpan_),
        target.burst_ / 8, static_cast<double>(options.maxBatch_) });
    const double prefetchBelow = span * seconds(options.prefetchLead_) / seconds(options.batchSpan_);
    const uint64_t wanted = waiting + static_cast<uint64_t>(span);
    if (target.kind_ == ShareKind::Main
        && static_cast<double>(covered) < static_cast<double>(waiting) + prefetchBelow
        && wanted > covered + pull.waiting_)
        pull.prefetch_ = wanted - covered - pull.waiting_;
    if (pull.waiting_ + pull.prefetch_ == 0)
        return std::nullopt;
    pull.workspace_ = tokens.workspace_;
    pull.host_ = tokens.host_;
    pull.incarnation_ = tokens.incarnation_;
    pull.epoch_ = epoch;
    pull.kind_ = target.kind_;
    pull.settled_ = detail::settledSequence(tokens);
    pull.sequence_ = tokens.nextSequence_++;
    tokens.pending_.push_back(
        { pull.sequence_, target, pull.waiting_ + pull.prefetch_, now + options.grantLifetime_ });
    return pull;
}

bool awaitsGrant(const HostTokens& tokens, const PullTarget& target)
{
    return std::any_of(tokens.pending_.begin(), tokens.pending_.end(),
        [&](const PendingPull& pull) { return !pull.overdue_ && pull.target_ == target; });
}

uint64_t acceptGrant(HostTokens& tokens, const Grant& grant, TimePoint now, const GrantOptions& options)
{
    const auto pull = std::find_if(tokens.pending_.begin(), tokens.pending_.end(),
        [&](const PendingPull& candidate) { return candidate.sequence_ == grant.sequence_; });
    if (grant.incarnation_ != tokens.incarnation_ || pull == tokens.pending_.end())
        return 0;
    const TimePoint deadline
        = options.safeguards_.expireFromSend_ ? pull->deadline_ : now + options.grantLifetime_;
    const uint64_t granted = std::min(grant.tokens_, pull->tokens_);
    const PullTarget source = pull->target_;
    if (grant.status_ == GrantStatus::NotHolder)
        tokens.nextPullAt_[{ pull->target_.host_, pull->target_.kind_ }] = now + options.holderBackoff_;
    if (grant.status_ == GrantStatus::Empty)
        tokens.nextPullAt_[{ pull->target_.host_, pull->target_.kind_ }]
            = pull->deadline_ - options.grantLifetime_ + grant.retryAfter_;
    if (options.safeguards_.dropDuplicates_)
        tokens.pending_.erase(pull);
    if (granted == 0 || deadline <= now)
        return 0;
    tokens.batches_.push_back({ grant.sequence_, source, granted, deadline });
    return granted;
}

TimePoint nextTokenAt(const HostTokens& tokens, TimePoint now)
{
    TimePoint earliest = TimePoint::max();
    for (const auto& [target, until] : tokens.nextPullAt_)
        earliest = std::min(earliest, std::max(now, until));
    return earliest == TimePoint::max() ? now : earliest;
}

std::vector<TokenReturn> takeExhausted(HostTokens& tokens) { return std::exchange(tokens.exhausted_, {}); }

std::vector<TokenReturn> returnTokens(HostTokens& tokens, TimePoint now, const GrantOptions& options)
{
    detail::dropExpired(tokens, now, options);
    std::vector<TokenReturn> returns = takeExhausted(tokens);
    for (const auto& batch : tokens.batches_)
        returns.push_back(detail::makeReturn(tokens, batch));
    tokens.batches_.clear();
    tokens.pending_.clear();
    return returns;
}

} // namespace turmericwing::limits

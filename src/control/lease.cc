// Read lease: learns heads, tracks the validity of the lease and decides which versions apply.
#include "turmericwing/control/lease.h"

#include <algorithm>

namespace turmericwing::control {

namespace detail {

    /// Makes the newest pending version active that is due and prepared, and drops the older ones.
    void activateDueHeads(ReadLease& lease, TimePoint now)
    {
        size_t dueCount = 0;
        while (dueCount < lease.pending_.size() && lease.pending_[dueCount].activateAt_ <= now
            && lease.pending_[dueCount].mark_.revision_ <= lease.preparedRevision_)
            ++dueCount;
        if (dueCount == 0)
            return;
        lease.active_ = lease.pending_[dueCount - 1].mark_;
        lease.pending_.erase(
            lease.pending_.begin(), lease.pending_.begin() + static_cast<ptrdiff_t>(dueCount));
    }

    /// Copies the lease starts to the usable ones if the blob of the known version is prepared.
    void refreshUsableStart(ReadLease& lease)
    {
        if (lease.known_ && lease.known_->revision_ <= lease.preparedRevision_) {
            lease.usableStart_ = lease.start_;
            lease.usableReadStart_ = lease.readStart_;
        }
    }

} // namespace detail

HeadId headIdOf(const Head& head) { return { head.version_, head.revision_, head.epoch_, head.digest_ }; }

Result<LearnOutcome> learnHead(ReadLease& lease, const LeaseOptions& options, const Head& head, TimePoint now)
{
    HeadId headId = headIdOf(head);
    uint64_t changeCount = 0; // Changes of the revision or the view since the known head.
    if (lease.known_) {
        const HeadId& known = *lease.known_;
        if (headId.version_ < known.version_)
            return LearnOutcome::Stale;
        if (headId.version_ == known.version_) {
            if (!(headId == known))
                return makeError(
                    ErrorCode::Invalid, "head: content differs from the known head of the same version");
            return LearnOutcome::Unchanged;
        }
        if (headId.revision_ < known.revision_)
            return makeError(ErrorCode::Invalid, "head: revision is lower than that of the known head");
        if (headId.epoch_ < known.epoch_)
            return makeError(ErrorCode::Invalid, "head: epoch is lower than that of the known head");
        if (headId.revision_ == known.revision_ && headId.digest_ != known.digest_)
            return makeError(ErrorCode::Invalid, "head: digest changed without a new revision");
        changeCount = (headId.revision_ - known.revision_) + (headId.epoch_ - known.epoch_);
    }
    detail::activateDueHeads(lease, now);
    // Bounds the state during a burst of changes. The restrictions of the dropped version are lost.
    constexpr size_t maxPending = 16;
    const bool pendingFull = lease.pending_.size() >= maxPending;
    if (pendingFull)
        lease.pending_.erase(lease.pending_.begin() + 1);
    // With two or more changes, one that this host never read may have given its share to another host, which
    // may use the share until its own lease expires.
    const bool skipped = options.detectSkippedChanges_ && changeCount > 1;
    // Without a valid lease no key or rule is in use on this host, so they need no activation delay.
    const bool withoutLease = !isLeaseValid(lease, options, now);
    const TimePoint activateAt = now + options.activationDelay_;
    if (pendingFull || skipped || withoutLease) {
        lease.sharesMinVersion_ = headId.version_;
        lease.sharesUsableFrom_ = activateAt;
    }
    if (withoutLease)
        lease.pending_.clear();
    lease.pending_.push_back({ headId, withoutLease ? now : activateAt });
    lease.known_ = std::move(headId);
    return LearnOutcome::Learned;
}

Result<LearnOutcome> recordRead(ReadLease& lease, const LeaseOptions& options, const Head& head,
    TimePoint sentAt, TimePoint now, Duration age)
{
    BOOST_OUTCOME_TRY(outcome, learnHead(lease, options, head, now));
    if (outcome != LearnOutcome::Stale) {
        const TimePoint start = sentAt - std::max(age, Duration::zero());
        if (!lease.readStart_ || start > *lease.readStart_)
            lease.readStart_ = start;
        extendLease(lease, head.version_, start);
    }
    return outcome;
}

void extendLease(ReadLease& lease, uint64_t version, TimePoint start)
{
    if (!lease.known_ || lease.known_->version_ != version)
        return;
    if (!lease.start_ || start > *lease.start_)
        lease.start_ = start;
    detail::refreshUsableStart(lease);
}

void recordPrepared(ReadLease& lease, uint64_t revision)
{
    lease.preparedRevision_ = std::max(lease.preparedRevision_, revision);
    detail::refreshUsableStart(lease);
}

bool isLeaseValid(const ReadLease& lease, const LeaseOptions& options, TimePoint now)
{
    return lease.known_ && lease.usableStart_ && now < *lease.usableStart_ + options.validity_;
}

EffectiveHeads evaluate(ReadLease& lease, const LeaseOptions& options, TimePoint now)
{
    detail::activateDueHeads(lease, now);
    EffectiveHeads out;
    out.admitKeyed_ = isLeaseValid(lease, options, now) && lease.active_.has_value();
    out.needsEvidence_
        = out.admitKeyed_ && !(lease.usableReadStart_ && now < *lease.usableReadStart_ + options.validity_);
    out.sharesUsable_ = out.admitKeyed_ && now >= lease.sharesUsableFrom_
        && lease.active_->version_ >= lease.sharesMinVersion_;
    out.extensions_ = lease.active_;
    for (const PendingHead& pending : lease.pending_)
        out.restrictions_.push_back(pending.mark_);
    return out;
}

} // namespace turmericwing::control

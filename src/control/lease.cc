// Read lease: learning of heads, validity, restrictions and extensions.
#include "turmericwing/control/lease.h"

#include <algorithm>

namespace turmericwing::control {

namespace detail {

    void activateDue(ReadLease& lease, TimePoint now)
    {
        size_t due = 0;
        while (due < lease.pending_.size() && lease.pending_[due].extensionsFrom_ <= now
            && lease.pending_[due].mark_.revision_ <= lease.preparedRevision_)
            ++due;
        if (due == 0)
            return;
        lease.active_ = lease.pending_[due - 1].mark_;
        lease.pending_.erase(lease.pending_.begin(), lease.pending_.begin() + static_cast<ptrdiff_t>(due));
    }

    void refreshUsable(ReadLease& lease)
    {
        if (lease.known_ && lease.known_->revision_ <= lease.preparedRevision_) {
            lease.usableStart_ = lease.start_;
            lease.usableReadStart_ = lease.readStart_;
        }
    }

} // namespace detail

HeadMark markOf(const Head& head) { return { head.version_, head.revision_, head.epoch_, head.digest_ }; }

Result<LearnOutcome> learnHead(ReadLease& lease, const LeaseOptions& options, const Head& head, TimePoint now)
{
    HeadMark mark = markOf(head);
    uint64_t changes = 0; // Of (revision, view) since the known head.
    if (lease.known_) {
        const HeadMark& known = *lease.known_;
        if (mark.version_ < known.version_)
            return LearnOutcome::Stale;
        if (mark.version_ == known.version_) {
            if (!(mark == known))
                return makeError(ErrorCode::Invalid, "head: version seen before with another content");
            return LearnOutcome::Unchanged;
        }
        if (mark.revision_ < known.revision_)
            return makeError(ErrorCode::Invalid, "head: revision fell");
        if (mark.epoch_ < known.epoch_)
            return makeError(ErrorCode::Invalid, "head: epoch fell");
        if (mark.revision_ == known.revision_ && mark.digest_ != known.digest_)
            return makeError(ErrorCode::Invalid, "head: digest changed without a new revision");
        changes = (mark.revision_ - known.revision_) + (mark.epoch_ - known.epoch_);
    }
    detail::activateDue(lease, now);
    // Bounds the state during a burst of changes. What a dropped version took away is then unknown.
    constexpr size_t maxPending = 16;
    const bool overflow = lease.pending_.size() >= maxPending;
    if (overflow)
        lease.pending_.erase(lease.pending_.begin() + 1);
    // Of two or more changes, one that this host never saw may have given its share to another host, which
    // may still use it for the rest of its lease.
    const bool skipped = options.detectSkips_ && changes > 1;
    // Without a valid lease nothing is in use here, so keys and rules need no delay.
    const bool idle = !isLeaseValid(lease, options, now);
    const TimePoint extensionsFrom = now + options.activationDelay_;
    if (overflow || skipped || idle) {
        lease.sharesVersion_ = mark.version_;
        lease.sharesFrom_ = extensionsFrom;
    }
    if (idle)
        lease.pending_.clear();
    lease.pending_.push_back({ mark, idle ? now : extensionsFrom });
    lease.known_ = std::move(mark);
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
    detail::refreshUsable(lease);
}

void recordPrepared(ReadLease& lease, uint64_t revision)
{
    lease.preparedRevision_ = std::max(lease.preparedRevision_, revision);
    detail::refreshUsable(lease);
}

bool isLeaseValid(const ReadLease& lease, const LeaseOptions& options, TimePoint now)
{
    return lease.known_ && lease.usableStart_ && now < *lease.usableStart_ + options.validity_;
}

Effective evaluate(ReadLease& lease, const LeaseOptions& options, TimePoint now)
{
    detail::activateDue(lease, now);
    Effective out;
    out.admitKeyed_ = isLeaseValid(lease, options, now) && lease.active_.has_value();
    out.needsEvidence_
        = out.admitKeyed_ && !(lease.usableReadStart_ && now < *lease.usableReadStart_ + options.validity_);
    out.sharesUsable_
        = out.admitKeyed_ && now >= lease.sharesFrom_ && lease.active_->version_ >= lease.sharesVersion_;
    out.extensions_ = lease.active_;
    for (const PendingHead& pending : lease.pending_)
        out.restrictions_.push_back(pending.mark_);
    return out;
}

} // namespace turmericwing::control

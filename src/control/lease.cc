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

    void holdShares(ReadLease& lease, uint64_t version, TimePoint until)
    {
        lease.sharesVersion_ = version;
        lease.sharesFrom_ = until;
    }

    void refreshUsable(ReadLease& lease)
    {
        if (lease.known_ && lease.known_->revision_ <= lease.preparedRevision_)
            lease.usableStart_ = lease.start_;
    }

} // namespace detail

HeadMark markOf(const Head& head) { return { head.version_, head.revision_, head.epoch_, head.digest_ }; }

Result<LearnOutcome> learnHead(ReadLease& lease, const LeaseOptions& options, const Head& head, TimePoint now)
{
    HeadMark mark = markOf(head);
    const TimePoint extensionsFrom = now + options.activationDelay_;
    if (!lease.known_) {
        lease.pending_.push_back({ mark, now });
        detail::holdShares(lease, mark.version_, extensionsFrom);
    } else {
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
        // Of two or more changes of (revision, view), one that this host never saw may have given its share
        // to another host, which may still use it for the rest of its lease.
        const uint64_t changes = (mark.revision_ - known.revision_) + (mark.epoch_ - known.epoch_);
        if (options.detectSkips_ && changes > 1)
            detail::holdShares(lease, mark.version_, extensionsFrom);
        detail::activateDue(lease, now);
        lease.pending_.push_back({ mark, extensionsFrom });
    }
    // Bounds the state during a burst of changes; the middle versions' restrictions on shares are then
    // unknown.
    constexpr size_t maxPending = 16;
    if (lease.pending_.size() > maxPending) {
        lease.pending_.erase(lease.pending_.begin() + 1);
        detail::holdShares(lease, mark.version_, extensionsFrom);
    }
    lease.known_ = std::move(mark);
    return LearnOutcome::Learned;
}

Result<LearnOutcome> recordRead(ReadLease& lease, const LeaseOptions& options, const Head& head,
    TimePoint sentAt, TimePoint now, Duration age)
{
    BOOST_OUTCOME_TRY(outcome, learnHead(lease, options, head, now));
    if (outcome != LearnOutcome::Stale)
        extendLease(lease, head.version_, sentAt - std::max(age, Duration::zero()));
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
    out.sharesUsable_
        = out.admitKeyed_ && now >= lease.sharesFrom_ && lease.active_->version_ >= lease.sharesVersion_;
    out.extensions_ = lease.active_;
    for (const PendingHead& pending : lease.pending_)
        out.restrictions_.push_back(pending.mark_);
    return out;
}

} // namespace turmericwing::control

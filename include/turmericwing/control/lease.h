// Read lease of a host: until when the host may act on the newest head that it knows, and which versions
// apply. The safety argument is in docs/control-head.md.
#pragma once

#include "turmericwing/control/head.h"

#include <optional>
#include <vector>

namespace turmericwing::control {

struct LeaseOptions {
    /// Lease length, from the start of the proving read.
    Duration validity_ = std::chrono::milliseconds(1900);
    /// Delay between learning a version and applying its extensions.
    Duration activationDelay_ = std::chrono::milliseconds(2000);
    bool detectSkippedChanges_ = true; ///< Tests switch it off to show that it is needed.
};

/// The part of a head that identifies and orders versions.
struct HeadId {
    uint64_t version_ = 0;
    uint64_t revision_ = 0;
    uint64_t epoch_ = 0;
    std::string digest_;
    friend bool operator==(const HeadId&, const HeadId&) = default;
};

HeadId headIdOf(const Head&);

/// A learned version whose extensions are not applied before `activateAt_`.
struct PendingHead {
    HeadId mark_;
    TimePoint activateAt_;
    friend bool operator==(const PendingHead&, const PendingHead&) = default;
};

/// Invariants: known_ never decreases in version, revision or epoch; pending_ ascends in version and ends
/// with known_ unless known_ is active; usableStart_ <= start_.
struct ReadLease {
    std::optional<HeadId> known_; ///< Newest version learned.
    std::optional<HeadId> active_; ///< Newest version whose extensions apply, as of the last call.
    std::vector<PendingHead> pending_;
    std::optional<TimePoint> start_; ///< No version newer than known_ takes effect before start_ + 2 s.
    /// The newest value of start_ for which the blob of known_ had been prepared.
    std::optional<TimePoint> usableStart_;
    std::optional<TimePoint> readStart_; ///< As start_, from reads alone.
    std::optional<TimePoint> usableReadStart_; ///< As usableStart_, from reads alone.
    uint64_t preparedRevision_ = 0; ///< Newest revision whose blob has been fetched and checked.
    uint64_t sharesMinVersion_ = 0; ///< Shares are unusable until this or a later version is active.
    TimePoint sharesUsableFrom_; ///< Shares are also unusable before this time.
};

enum class LearnOutcome {
    Unchanged, ///< Same version as known; the lease start may have advanced.
    Learned, ///< A newer version than known.
    Stale, ///< An older version than known; proves nothing.
};

/// Records that a read sent at local time `sentAt` returned `head`. For a copy from a relay, `age` is the
/// time that passed at the relay between its own read and its reply; a negative age counts as zero. Errors:
/// Invalid if a newer version has a lower revision or epoch, or if the same version has another content; the
/// lease is then unchanged.
///
/// Keys and rules of a head that a host learns without a valid lease, which includes its first head, apply at
/// once; only its shares wait for the activation delay.
Result<LearnOutcome> recordRead(
    ReadLease&, const LeaseOptions&, const Head& head, TimePoint sentAt, TimePoint now, Duration age = {});

/// Learns a head from a peer without proof that it is current: its restrictions apply, but the lease start
/// does not change. Errors as recordRead.
Result<LearnOutcome> learnHead(ReadLease&, const LeaseOptions&, const Head& head, TimePoint now);

/// Moves the lease start to `start`, as proven by evidence (control/evidence.h). Changes nothing if `version`
/// is not the known version or `start` is not later than the current start.
void extendLease(ReadLease&, uint64_t version, TimePoint start);

/// Records that the blob of `revision` is fetched and checked. Until then a read that returns the revision
/// does not renew the lease, because the host does not know which keys the revision revokes.
void recordPrepared(ReadLease&, uint64_t revision);

/// Which versions apply at the time of an evaluation.
struct EffectiveHeads {
    bool admitKeyed_ = false; ///< The read lease is valid.
    /// Reads alone do not prove the lease: candidates in doubt (control/evidence.h) restrict too.
    bool needsEvidence_ = false;
    bool sharesUsable_ = false; ///< Shares of extensions_ may be used, as far as restrictions_ leave them.
    std::optional<HeadId> extensions_; ///< The version that grants permissions.
    std::vector<HeadId> restrictions_; ///< Newer versions that only remove permissions, ascending.
    friend bool operator==(const EffectiveHeads&, const EffectiveHeads&) = default;
};

/// True if `now` lies within the lease and the known revision is prepared.
bool isLeaseValid(const ReadLease&, const LeaseOptions&, TimePoint now);

/// Activates the pending versions that are due and returns what applies at `now`. Call it before each
/// admission decision: there is no timer, so a process that was paused sees the expiry before it admits
/// anything.
EffectiveHeads evaluate(ReadLease&, const LeaseOptions&, TimePoint now);

} // namespace turmericwing::control

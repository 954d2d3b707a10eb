// Read lease of a host: until when it may act on the head that it knows, and which versions apply.
// The safety argument is in docs/control-head.md.
#pragma once

#include "turmericwing/control/head.h"

#include <optional>
#include <vector>

namespace turmericwing::control {

struct LeaseOptions {
    Duration validity_ = std::chrono::milliseconds(1900); ///< From the start of the proving read.
    Duration activationDelay_ = std::chrono::milliseconds(2000); ///< From learning to extensions.
    bool detectSkips_ = true; ///< Tests switch it off to show that it is needed.
};

/// The part of a head that orders versions.
struct HeadMark {
    uint64_t version_ = 0;
    uint64_t revision_ = 0;
    uint64_t epoch_ = 0;
    std::string digest_;
    friend bool operator==(const HeadMark&, const HeadMark&) = default;
};

HeadMark markOf(const Head&);

/// A learned version whose extensions wait for their activation time.
struct PendingHead {
    HeadMark mark_;
    TimePoint extensionsFrom_;
    friend bool operator==(const PendingHead&, const PendingHead&) = default;
};

/// Invariants: known_ never falls in version, revision or epoch; pending_ ascends in version and ends with
/// known_ unless known_ is active; usableStart_ <= start_.
struct ReadLease {
    std::optional<HeadMark> known_; ///< Newest version learned.
    std::optional<HeadMark> active_; ///< Newest version whose extensions apply, as of the last call.
    std::vector<PendingHead> pending_;
    std::optional<TimePoint> start_; ///< No version newer than known_ takes effect before start_ + 2 s.
    std::optional<TimePoint> usableStart_; ///< As start_, for the time when the blob of known_ was at hand.
    std::optional<TimePoint> readStart_; ///< As start_, from reads alone.
    std::optional<TimePoint> usableReadStart_; ///< As usableStart_, from reads alone.
    uint64_t preparedRevision_ = 0; ///< Newest revision whose blob has been fetched and checked.
    uint64_t sharesVersion_ = 0; ///< Shares are unusable until a version from this one on is active.
    TimePoint sharesFrom_; ///< And not before this time.
};

enum class LearnOutcome {
    Unchanged, ///< Same version; the lease start may have moved.
    Learned, ///< A newer version.
    Stale, ///< An older version than known; proves nothing.
};

/// Keys and rules of a head that a host learns without a valid lease (also of the first one) apply at once;
/// only its shares wait for the activation delay.
///
/// Records that a read sent at local time `sentAt` showed `head`. For a relay's copy, `age` is the time that
/// passed at the relay from its own read to its reply. Errors: Invalid if a newer version has a lower
/// revision or epoch, or if the same version has another content; the lease is then unchanged.
Result<LearnOutcome> recordRead(
    ReadLease&, const LeaseOptions&, const Head& head, TimePoint sentAt, TimePoint now, Duration age = {});

/// Learns a head from a peer without any proof that it is current: its restrictions apply, the lease start
/// stays. Errors as recordRead.
Result<LearnOutcome> learnHead(ReadLease&, const LeaseOptions&, const Head& head, TimePoint now);

/// Records proof from evidence (control/evidence.h) for the known version. Earlier starts change nothing.
void extendLease(ReadLease&, uint64_t version, TimePoint start);

/// Records that the blob of `revision` is fetched and checked. Until then a read that shows the revision does
/// not renew the lease, because the host does not know which keys it revokes.
void recordPrepared(ReadLease&, uint64_t revision);

/// What applies at `now`.
struct Effective {
    bool admitKeyed_ = false; ///< The read lease is valid.
    /// Reads alone do not prove the lease: candidates in doubt (control/evidence.h) restrict too.
    bool needsEvidence_ = false;
    bool sharesUsable_ = false; ///< Shares of extensions_ may be used (as far as restrictions_ keep them).
    std::optional<HeadMark> extensions_; ///< Grants come from this version.
    std::vector<HeadMark> restrictions_; ///< Newer versions that only take away, ascending.
    friend bool operator==(const Effective&, const Effective&) = default;
};

bool isLeaseValid(const ReadLease&, const LeaseOptions&, TimePoint now);

/// Evaluates everything that became due, then tells what applies. Call it before each admission decision:
/// there is no timer, so a process that was paused sees the expiry before it admits anything.
Effective evaluate(ReadLease&, const LeaseOptions&, TimePoint now);

} // namespace turmericwing::control

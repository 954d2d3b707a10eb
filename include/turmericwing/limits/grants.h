// Token grants between hosts: the holder of a share debits its bucket, then sends a batch with a deadline.
//
// Why the sum over hosts stays within rate·t + burst: level and granted tokens that may still be spent
// together never exceed the share's burst, shares sum to the workspace's limits, a share has at most one
// holder at a time (views and read leases), and a new holder starts to fill only after all grants of the
// previous one have expired.
//
// Example of a host without tokens:
//     noteDemand(tokens, now, options);
//     if (!spendToken(tokens, now, options))
//         if (auto pull = nextPull(tokens, { owner, ShareKind::Main, burst }, 1, epoch, now, options))
//             send(owner, *pull); // the reply goes to acceptGrant(); if empty, try a floor
#pragma once

#include "turmericwing/limits/bucket.h"
#include "turmericwing/limits/placement.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericwing::limits {

/// Protections that tests switch off one at a time to show what they guard.
struct GrantSafeguards {
    bool expireFromSend_ = true; ///< Otherwise a batch lives from its arrival.
    bool reserveGranted_ = true; ///< Otherwise a share fills up while its grants are unspent.
    bool startEmpty_ = true; ///< Otherwise a new holder starts with a full bucket.
    bool delayTakeover_ = true; ///< Otherwise a new holder fills while old grants live.
    bool dropDuplicates_ = true; ///< Otherwise a repeated pull or grant counts twice.
    bool dropOnEpochGap_ = true; ///< Otherwise a host keeps a share across views that it has not seen.
    bool discardWithoutLease_ = true; ///< Otherwise a host keeps its shares past its read lease.
};

struct GrantOptions {
    Duration grantLifetime_ = std::chrono::milliseconds(500); ///< From sending the pull.
    /// Added on the granting side for clock rate error; 1% of the lifetime.
    Duration lifetimeMargin_ = std::chrono::milliseconds(5);
    /// A batch covers this much demand. Longer batches expire unused more often.
    Duration batchSpan_ = std::chrono::milliseconds(200);
    /// Prefetch when less than this much demand is covered; above the longest round trip (110 ms).
    Duration prefetchLead_ = std::chrono::milliseconds(130);
    Duration demandWindow_ = std::chrono::seconds(1); ///< Time constant of the demand estimate.
    /// A gap between two calls above this is a pause of the process; the control loop ticks every 50 ms.
    Duration maxGap_ = std::chrono::milliseconds(500);
    /// A request waits this long for the next token before it is refused. Covers the tokens that a share of a
    /// small workspace fails to refill while notices of used up batches are on their way.
    Duration tokenPatience_ = std::chrono::milliseconds(50);
    /// A pull without a reply for this long no longer covers demand; above the longest round trip (110 ms).
    Duration replyTimeout_ = std::chrono::milliseconds(150);
    /// A holder that did not reply or does not hold the share is not asked again for this long.
    Duration holderBackoff_ = std::chrono::milliseconds(200);
    uint64_t maxBatch_ = 10'000;
    GrantSafeguards safeguards_;
};

/// Host to share holder. `sequence_` rises by 1 with each pull of a host for one workspace.
struct PullRequest {
    std::string workspace_;
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t epoch_ = 0; ///< View of the sender.
    ShareKind kind_ = ShareKind::Main;
    uint64_t sequence_ = 0;
    uint64_t settled_ = 0; ///< No token of a pull with a lower sequence can be spent any more.
    uint64_t waiting_ = 0; ///< Tokens for requests that wait now.
    uint64_t prefetch_ = 0; ///< Further tokens for expected demand.
    friend auto operator<=>(const PullRequest&, const PullRequest&) = default;
};

enum class GrantStatus {
    Granted, ///< Possibly fewer tokens than asked for.
    Empty, ///< No token now; see retryAfter_.
    NotHolder, ///< The receiver does not hold this share in its view.
    Repeated, ///< Duplicate or overtaken pull; nothing was debited.
};

struct Grant {
    std::string workspace_;
    uint64_t incarnation_ = 0; ///< Of the host that pulled.
    uint64_t epoch_ = 0; ///< View of the holder.
    ShareKind kind_ = ShareKind::Main;
    uint64_t sequence_ = 0;
    GrantStatus status_ = GrantStatus::Granted;
    uint64_t tokens_ = 0;
    Duration retryAfter_ { 0 }; ///< With Empty: time until a token may be there.
    friend auto operator<=>(const Grant&, const Grant&) = default;
};

/// Ends a batch before its deadline. With 0 tokens it only says that the batch is used up, so that the share
/// can fill again: for a burst of a few tokens the wait for the deadline would be felt.
struct TokenReturn {
    std::string holder_; ///< Where to send it.
    std::string workspace_;
    std::string host_;
    uint64_t incarnation_ = 0;
    ShareKind kind_ = ShareKind::Main;
    uint64_t sequence_ = 0;
    uint64_t tokens_ = 0;
    friend auto operator<=>(const TokenReturn&, const TokenReturn&) = default;
};

struct OutstandingGrant {
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t sequence_ = 0;
    uint64_t tokens_ = 0;
    TimePoint expiresAt_;
};

/// Last pull seen from one host.
struct PullerState {
    uint64_t incarnation_ = 0;
    uint64_t lastSequence_ = 0;
};

/// One share at its holder. Invariants: bucket level plus `reserved_` is at most the burst; outstanding_ is
/// sorted by expiry and sums to reserved_.
struct ShareHolder {
    Bucket bucket_;
    uint64_t epoch_ = 0; ///< View in which the share was acquired or last confirmed.
    std::deque<OutstandingGrant> outstanding_;
    uint64_t reserved_ = 0;
    std::map<std::string, PullerState> pullers_;
    std::optional<BucketLimits> nextLimits_; ///< Larger limits that apply from nextLimitsAt_.
    TimePoint nextLimitsAt_;
};

/// State for a host that has just become holder of a share, by a view change or a restart.
ShareHolder acquireShare(BucketLimits, uint64_t epoch, TimePoint now, const GrantOptions&);

/// Applies changed limits; the level stays, capped at the new burst. Increases wait until grants have expired
/// at the holders whose shares shrink.
void updateShare(ShareHolder&, BucketLimits, uint64_t epoch, TimePoint now, const GrantOptions&);

enum class ViewPhase {
    Learned, ///< Removals and reductions apply at once.
    Active, ///< The activation delay has passed: additions and increases apply as well.
};

/// Brings the shares of one workspace on `host` in line with a view. When the epoch has risen by more than 1
/// since the last call, a view in between may have given a share to another host and back, so all shares are
/// dropped and start empty again.
void applyView(std::map<ShareKind, ShareHolder>&, const std::string& host, const std::vector<Share>& view,
    uint64_t epoch, ViewPhase, TimePoint now, const GrantOptions&);

/// Answers a pull: debits first, so a lost reply costs tokens and never creates them.
Grant answerPull(ShareHolder&, const PullRequest&, TimePoint now, const GrantOptions&);

/// The answer of a host that does not hold the share.
Grant refusePull(const PullRequest&, uint64_t epoch);

/// Takes one token for a request on the holder's own host.
bool spendFromShare(ShareHolder&, TimePoint now, const GrantOptions&);

/// Ignored when the grant has expired or was returned before.
void acceptReturn(ShareHolder&, const TokenReturn&, TimePoint now, const GrantOptions&);

/// Where to pull from. `burst_` is the share's burst and bounds the prefetch.
struct PullTarget {
    std::string host_;
    ShareKind kind_ = ShareKind::Main;
    double burst_ = 0;
    friend bool operator==(const PullTarget&, const PullTarget&) = default;
};

struct PendingPull {
    uint64_t sequence_ = 0;
    PullTarget target_;
    uint64_t tokens_ = 0;
    TimePoint deadline_;
    bool overdue_ = false; ///< No reply within the timeout; a late grant still counts.
};

struct TokenBatch {
    uint64_t sequence_ = 0;
    PullTarget source_;
    uint64_t tokens_ = 0;
    TimePoint deadline_;
};

/// Tokens of one workspace on one host, pulled from share holders.
struct HostTokens {
    std::string workspace_;
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t nextSequence_ = 1;
    std::vector<PendingPull> pending_ {};
    std::vector<TokenBatch> batches_ {};
    std::vector<TokenReturn> usedUp_ {}; ///< At most maxUsedUp, the oldest are dropped.
    std::map<std::pair<std::string, ShareKind>, TimePoint>
        emptyUntil_ {}; ///< No pull before; keeps an overload off the holders.
    double demand_ = 0; ///< Estimate in requests/s at demandAt_.
    TimePoint demandAt_ {};
    TimePoint seenAt_ {}; ///< Last call of refreshTokens().
};

/// Counts a request for the demand estimate.
void noteDemand(HostTokens&, TimePoint now, const GrantOptions&);

/// Demand estimate in requests/s.
double demandRate(const HostTokens&, TimePoint now, const GrantOptions&);

/// Call on every tick and before tokens are used. Drops expired batches; drops everything when the read lease
/// has expired or the process was paused. Returns whether everything was dropped; the caller then drops its
/// shares, too, if the lease has expired.
bool refreshTokens(HostTokens&, TimePoint leaseUntil, TimePoint now, const GrantOptions&);

/// Oldest notices are dropped beyond this; the holder then waits for the deadline.
inline constexpr size_t maxUsedUp = 64;

/// Spends one token of the batch that expires first.
bool spendToken(HostTokens&, TimePoint now, const GrantOptions&);

/// The pull to send now, if any. `waiting` counts requests without a token. Only the main share is prefetched
/// from.
std::optional<PullRequest> nextPull(
    HostTokens&, const PullTarget&, uint64_t waiting, uint64_t epoch, TimePoint now, const GrantOptions&);

/// Whether a reply of this holder is expected.
bool awaitsGrant(const HostTokens&, const PullTarget&);

/// Adds the tokens of a grant. Returns the number added: 0 for late, repeated or foreign grants.
uint64_t acceptGrant(HostTokens&, const Grant&, TimePoint now, const GrantOptions&);

/// When a holder that was empty expects its next token, for Retry-After and for a short wait instead of a
/// refusal; now if no holder is known to be empty.
TimePoint nextTokenAt(const HostTokens&, TimePoint now);

/// Notices of used up batches since the last call, to be sent to their holders.
std::vector<TokenReturn> takeUsedUp(HostTokens&);

/// Gives back everything on a graceful stop; later grants are ignored.
std::vector<TokenReturn> returnTokens(HostTokens&, TimePoint now, const GrantOptions&);

} // namespace turmericwing::limits

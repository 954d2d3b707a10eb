// Token grants between hosts: a host pulls tokens from the holder of a share, which debits its bucket and
// sends a batch of tokens with a deadline.
//
// The tokens spent on all hosts stay within rate·t + burst, because
// - the level of a share's bucket and its granted tokens that may still be spent never exceed the share's
// burst,
// - the shares sum to the workspace's limits,
// - views and read leases ensure that a share has at most one holder at a time, and
// - the bucket of a new holder starts to fill only after all grants of the previous holder have expired.
//
// Example of a host without tokens:
//     recordRequest(tokens, now, options);
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

/// Safeguards of the bound. Tests switch them off one at a time to show that each is needed.
struct GrantSafeguards {
    bool expireFromSend_ = true; ///< Otherwise the lifetime of a batch starts at its arrival.
    bool reserveGranted_ = true; ///< Otherwise a bucket fills up while granted tokens are unspent.
    bool startEmpty_ = true; ///< Otherwise a new holder starts with a full bucket.
    bool delayTakeover_ = true; ///< Otherwise a new holder's bucket fills before old grants expire.
    bool dropDuplicates_ = true; ///< Otherwise a repeated pull or grant counts twice.
    bool dropOnEpochGap_ = true; ///< Otherwise a host keeps a share although it missed a view.
    bool discardWithoutLease_ = true; ///< Otherwise a host keeps its shares past its read lease.
};

struct GrantOptions {
    Duration grantLifetime_ = std::chrono::milliseconds(500); ///< Measured from sending the pull.
    /// Added to the lifetime by the holder, for differences in clock rate; 1% of the lifetime.
    Duration lifetimeMargin_ = std::chrono::milliseconds(5);
    /// Time span of demand that a batch covers. Tokens of larger batches expire unused more often.
    Duration batchSpan_ = std::chrono::milliseconds(200);
    /// Tokens are prefetched when those held cover less than this span of demand; above the longest round
    /// trip (110 ms).
    Duration prefetchLead_ = std::chrono::milliseconds(130);
    Duration demandWindow_ = std::chrono::seconds(1); ///< Time constant of the demand estimate.
    /// A longer gap between two calls of refreshTokens() is taken for a pause of the process; the control
    /// loop ticks every 50 ms.
    Duration pauseThreshold_ = std::chrono::milliseconds(500);
    /// A request waits at most this long for the next token before it is refused. This makes up for the
    /// tokens that a share of a small workspace does not refill while notices of exhausted batches are in
    /// transit.
    Duration maxTokenWait_ = std::chrono::milliseconds(50);
    /// Tokens of a pull without a reply for this long no longer count as covering demand; above the longest
    /// round trip (110 ms).
    Duration replyTimeout_ = std::chrono::milliseconds(150);
    /// No pull is sent for this long to a holder that did not reply or does not hold the share.
    Duration holderBackoff_ = std::chrono::milliseconds(200);
    uint64_t maxBatch_ = 10'000; ///< Tokens.
    GrantSafeguards safeguards_;
};

/// Request of a host to a share holder for tokens. `sequence_` increases by 1 with each pull of a host for
/// one workspace.
struct PullRequest {
    std::string workspace_;
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t epoch_ = 0; ///< Epoch of the sender's view.
    ShareKind kind_ = ShareKind::Main;
    uint64_t sequence_ = 0;
    uint64_t settled_ = 0; ///< No token of a pull with a lower sequence can be spent any more.
    uint64_t waiting_ = 0; ///< Tokens for requests that are waiting.
    uint64_t prefetch_ = 0; ///< Additional tokens for expected demand.
    friend auto operator<=>(const PullRequest&, const PullRequest&) = default;
};

enum class GrantStatus {
    Granted, ///< Possibly fewer tokens than requested.
    Empty, ///< No token is available; see retryAfter_.
    NotHolder, ///< The receiver does not hold this share in its view.
    Repeated, ///< Duplicate pull, or one that arrived after a later one; nothing was debited.
};

/// Reply of a share holder to a pull.
struct Grant {
    std::string workspace_;
    uint64_t incarnation_ = 0; ///< Of the host that pulled.
    uint64_t epoch_ = 0; ///< Epoch of the holder's view.
    ShareKind kind_ = ShareKind::Main;
    uint64_t sequence_ = 0;
    GrantStatus status_ = GrantStatus::Granted;
    uint64_t tokens_ = 0;
    Duration retryAfter_ { 0 }; ///< With Empty: time until a token may be available.
    friend auto operator<=>(const Grant&, const Grant&) = default;
};

/// Ends a batch before its deadline. With 0 tokens it only reports that the batch is exhausted, so that the
/// share's bucket can refill: with a burst of a few tokens, waiting for the deadline would delay requests.
struct TokenReturn {
    std::string holder_; ///< Host to which the return is sent.
    std::string workspace_;
    std::string host_;
    uint64_t incarnation_ = 0;
    ShareKind kind_ = ShareKind::Main;
    uint64_t sequence_ = 0;
    uint64_t tokens_ = 0;
    friend auto operator<=>(const TokenReturn&, const TokenReturn&) = default;
};

/// Granted tokens that may still be spent.
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

/// State of one share at its holder. Invariants: the bucket's level plus reserved_ is at most the burst;
/// outstanding_ is sorted by expiry and its tokens sum to reserved_.
struct ShareHolder {
    Bucket bucket_;
    uint64_t epoch_ = 0; ///< Epoch of the view in which the share was acquired or last confirmed.
    std::deque<OutstandingGrant> outstanding_;
    uint64_t reserved_ = 0;
    std::map<std::string, PullerState> pullers_;
    std::optional<BucketLimits> nextLimits_; ///< Increased limits that apply from nextLimitsAt_.
    TimePoint nextLimitsAt_;
};

/// Returns the state of a share for a host that has become its holder, by a view change or a restart. The
/// bucket starts empty, and fills only after the grants of the previous holder have expired.
ShareHolder acquireShare(BucketLimits, uint64_t epoch, TimePoint now, const GrantOptions&);

/// Applies changed limits; the level stays, capped at the new burst. Increases take effect only after the
/// grants of holders whose shares shrink have expired.
void updateShare(ShareHolder&, BucketLimits, uint64_t epoch, TimePoint now, const GrantOptions&);

/// How far a new view is in effect on a host.
enum class ViewPhase {
    Learned, ///< Only removals and reductions apply.
    Active, ///< The activation delay has passed: additions and increases apply as well.
};

/// Updates the shares of one workspace that `host` holds to those of a view. If the epoch has increased by
/// more than 1 since the last call, a missed view may have moved a share to another host and back, so all
/// shares are dropped and start empty again.
void applyView(std::map<ShareKind, ShareHolder>&, const std::string& host, const std::vector<Share>& view,
    uint64_t epoch, ViewPhase, TimePoint now, const GrantOptions&);

/// Answers a pull. Tokens are debited before the reply is sent, so a lost reply loses tokens but never
/// creates any.
Grant answerPull(ShareHolder&, const PullRequest&, TimePoint now, const GrantOptions&);

/// Returns the reply of a host that does not hold the share.
Grant refusePull(const PullRequest&, uint64_t epoch);

/// Takes one token for a request on the holder's own host. Returns false if none is available.
bool spendFromShare(ShareHolder&, TimePoint now, const GrantOptions&);

/// Releases a returned grant and puts its unspent tokens back. Does nothing if the grant has expired or was
/// returned before.
void acceptReturn(ShareHolder&, const TokenReturn&, TimePoint now, const GrantOptions&);

/// A share to pull tokens from. `burst_` is the share's burst and limits the prefetch.
struct PullTarget {
    std::string host_;
    ShareKind kind_ = ShareKind::Main;
    double burst_ = 0;
    friend bool operator==(const PullTarget&, const PullTarget&) = default;
};

/// A pull that no grant has answered yet.
struct PendingPull {
    uint64_t sequence_ = 0;
    PullTarget target_;
    uint64_t tokens_ = 0;
    TimePoint deadline_;
    bool overdue_ = false; ///< No reply within replyTimeout_; a late grant is still accepted until deadline_.
};

/// Granted tokens that this host may spend until the deadline.
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
    std::vector<TokenReturn> exhausted_ {}; ///< At most maxExhausted; the oldest are dropped.
    std::map<std::pair<std::string, ShareKind>, TimePoint>
        nextPullAt_ {}; ///< No pull is sent before this time, so that an overload does not reach the holders.
    double demand_ = 0; ///< Estimate in requests/s at demandAt_.
    TimePoint demandAt_ {};
    TimePoint refreshedAt_ {}; ///< Last call of refreshTokens().
};

/// Counts a request for the demand estimate.
void recordRequest(HostTokens&, TimePoint now, const GrantOptions&);

/// Returns the demand estimate at `now` in requests/s.
double demandRate(const HostTokens&, TimePoint now, const GrantOptions&);

/// Drops expired batches, and all batches and pulls if the read lease has expired or the process was paused.
/// Returns whether everything was dropped; if the lease has expired, the caller must drop its shares as well.
/// Must be called on every tick and before tokens are used.
bool refreshTokens(HostTokens&, TimePoint leaseUntil, TimePoint now, const GrantOptions&);

/// Maximum number of notices of exhausted batches. The oldest are dropped beyond this; their holders then
/// wait for the deadlines.
inline constexpr size_t maxExhausted = 64;

/// Spends one token of the batch that expires first. Returns false if there is none.
bool spendToken(HostTokens&, TimePoint now, const GrantOptions&);

/// Returns the pull to send now, if any. `waiting` is the number of requests without a token. Tokens are
/// prefetched only from the main share.
std::optional<PullRequest> nextPull(
    HostTokens&, const PullTarget&, uint64_t waiting, uint64_t epoch, TimePoint now, const GrantOptions&);

/// Returns whether a reply to a pull from this share is pending and not overdue.
bool awaitsGrant(const HostTokens&, const PullTarget&);

/// Adds the tokens of a grant. Returns the number added: 0 for grants that are late, repeated or for another
/// incarnation.
uint64_t acceptGrant(HostTokens&, const Grant&, TimePoint now, const GrantOptions&);

/// Returns the earliest time at which a holder may have a token again; `now` if no holder is known to be
/// empty. Used for Retry-After, and for a short wait instead of a refusal.
TimePoint nextTokenAt(const HostTokens&, TimePoint now);

/// Returns the notices of batches that were exhausted since the last call, to be sent to their holders.
std::vector<TokenReturn> takeExhausted(HostTokens&);

/// Returns all unspent tokens to their holders on a graceful stop; later grants are ignored.
std::vector<TokenReturn> returnTokens(HostTokens&, TimePoint now, const GrantOptions&);

} // namespace turmericwing::limits

// Shares a rate limit that an upstream announces among the hosts of the fleet.
//
// An overloaded upstream can announce in its answers a rate limit, in requests/s, for the whole fleet. A host
// tells the others what it has heard, and how long ago; the latest statement about an incarnation holds on
// all of them, whoever heard it. The limit ends with an answer that names none, with the incarnation, or when
// no host has heard it for `lifetime_`.
//
// A few of the live hosts, the owners, may send to a limited upstream. They are selected by rendezvous
// hashing, and each gets an equal part of the rate and a burst of one request, so that the sum is bounded
// without messages between them. Parts of the rate of hosts that are not heard stay with those hosts.
#pragma once

#include "turmericwing/limits/bucket.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericwing::limits {

struct UpstreamLimitOptions {
    double minOwners_ = 3; ///< Owners of an upstream with a limit of 0.
    /// Further owners for each request/s of the limit, so that a part does not refill for many seconds.
    double ownersPerRate_ = 1.5;
    /// Requests/s; lower limits count as this, because only the answer to a request tells that one has ended.
    double minRate_ = 0.4;
    double maxRate_ = 1e6; ///< Requests/s; higher limits count as this.
    Duration lifetime_ = std::chrono::seconds(30); ///< Without a host that hears it again.
    /// Longest time from the sending of a message between hosts to its receipt, which the ages in it lack.
    Duration maxTransit_ = std::chrono::seconds(1);
};

/// Who brought a statement to this host.
enum class LimitSource {
    Answer, ///< An answer of the upstream to this host.
    Peer, ///< The report of a host of this host's failure domain, or of any host in a small fleet.
    Summary, ///< The summary of another failure domain.
};

/// What an answer of an upstream said about its limit.
struct LimitStatement {
    std::optional<double> rate_; ///< Requests/s from all hosts together; empty if the answer names no limit.
    TimePoint heardAt_ {}; ///< When the host that received the answer did, on this host's clock.
    LimitSource source_ = LimitSource::Answer;
    friend bool operator==(const LimitStatement&, const LimitStatement&) = default;
};

/// What a host knows of the limit of one incarnation, and its part of it.
struct UpstreamLimit {
    LimitStatement statement_; ///< The latest one heard; none if its heardAt_ is the epoch.
    TimePoint expiresAt_ {}; ///< Of the statement.
    bool owner_ = false; ///< Whether this host may send to the upstream while it is limited.
    Bucket part_ {}; ///< Of the rate; used by owners only.
};

/// Hosts among which a limit is shared, as one of them sees the fleet.
struct LimitSharers {
    std::string self_; ///< Empty if this host has no part.
    std::vector<std::string> others_; ///< Names of the live hosts that have one, without this one.
    double heardFraction_ = 1; ///< Of the hosts that have a part and are registered, those that are live.
    friend bool operator==(const LimitSharers&, const LimitSharers&) = default;
};

/// Makes a statement of one that another host heard `age` before it sent it. A limit counts as heard
/// earlier by `maxTransit_`: with the transit time on top of its age it could replace a later end.
LimitStatement peerStatement(
    const UpstreamLimitOptions&, TimePoint now, std::optional<double> rate, Duration age, LimitSource);

/// Whether the upstream's rate is limited now.
bool isLimited(const UpstreamLimit&, TimePoint now);

/// The rate in requests/s of all hosts together, within the bounds of the options; empty if not limited.
std::optional<double> limitedRate(const UpstreamLimit&, const UpstreamLimitOptions&, TimePoint now);

/// Takes over a statement unless a later one is known. Returns whether the limit in force has changed. A
/// limit that has just been heard leaves this host without a part until assignPart().
bool applyStatement(UpstreamLimit&, const UpstreamLimitOptions&, TimePoint now, const LimitStatement&);

/// What an answer that names no limit says: nothing, unless the request was sent after the limit was last
/// heard. An earlier one may have been answered before the upstream was limited.
std::optional<LimitStatement> statementWithoutLimit(
    const UpstreamLimit&, TimePoint now, TimePoint requestSentAt);

/// Computes whether this host is an owner and its part of the rate. To be called after applyStatement() has
/// returned true and when the live hosts have changed. A host that becomes an owner of a limit that it knows
/// begins without a request to spend, as the previous owner may have just spent one.
void assignPart(UpstreamLimit&, const UpstreamLimitOptions&, TimePoint now, const std::string& upstream,
    const LimitSharers&);

/// Returns the earliest time, not before `now`, at which this host may send a request to the upstream;
/// nothing if it may not send any.
std::optional<TimePoint> nextRequestAt(const UpstreamLimit&, TimePoint now);

/// Counts a request that is sent now.
void takeRequest(UpstreamLimit&, TimePoint now);

} // namespace turmericwing::limits

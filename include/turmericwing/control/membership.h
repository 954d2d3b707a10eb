// Membership: which hosts observe which, suspicion of failed hosts, and changes of the member list in the
// head.
#pragma once

#include "turmericwing/control/head.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::control {

struct MembershipOptions {
    Duration suspectAfter_ = std::chrono::milliseconds(1500); ///< Time without a heartbeat; interval 500 ms.
    Duration suspicionLifetime_ = std::chrono::milliseconds(1000); ///< Validity of an observer's summary.
    Duration maxTickGap_ = std::chrono::milliseconds(500); ///< A longer gap means that this host was paused.
    size_t relaysPerDomain_ = 2; ///< Minimum number of relays of a domain.
    size_t hostsPerRelay_ = 9; ///< Hosts of a domain per relay; each relay reads the store.
    /// Maximum number of hosts of a failure domain that one pair of observers observes. With one
    /// pair for a whole domain of 35 hosts, these observers would receive 10 KB/s of heartbeats, twice the
    /// budget.
    size_t observationGroupSize_ = 4;
    size_t fullMeshLimit_ = 64; ///< Up to this many members, hosts connect to their whole region.
    bool requireTwoDomains_ = true; ///< Tests switch it off to show that it is needed.
    bool detectPauses_ = true; ///< Tests switch it off to show that it is needed.
};

/// Maximum number of suspicions in a summary. Bounds the size of the message when a whole domain fails.
inline constexpr size_t maxSuspicions = 64;

/// Returns the relays of a domain, which read the head for it: the live hosts with the lowest ids. Empty if
/// the domain has no members.
std::vector<std::string> relaysOf(const Head&, const MembershipOptions&, std::string_view failureDomain);

/// Returns for each failure domain up to two others that also observe its hosts, so that two domains detect
/// the loss of a whole domain. Domains of the same region come first, then those that observe the fewest so
/// far.
std::map<std::string, std::vector<std::string>> observingDomains(const Head&);

/// Returns the observers of `host`, sorted: two of its own group in its failure domain, and two in each
/// observing domain. The host sends its heartbeats to them. An observer that suspects the host sends its
/// summary to them too. Empty if the host is not a member.
std::vector<std::string> observersOf(const Head&, const MembershipOptions&, std::string_view host);

/// Returns the hosts that `observer` observes, sorted; the inverse of observersOf.
std::vector<std::string> observedBy(const Head&, const MembershipOptions&, std::string_view observer);

/// Returns the hosts that `host` connects to, sorted: two relays of its domain, its observers, the hosts that
/// it observes and their other observers; for a relay also one relay of each domain. The number does not
/// depend on the size of the fleet. Up to fullMeshLimit_ members, each region is also fully meshed. Empty if
/// the host is not a member.
std::vector<std::string> peersOf(const Head&, const MembershipOptions&, std::string_view host);

/// Heartbeats received from the newest known process of a host.
struct HeartbeatRecord {
    uint64_t incarnation_ = 0;
    std::string address_; ///< Peer address.
    TimePoint firstHeard_; ///< First heartbeat of this incarnation.
    TimePoint lastHeard_;
    friend bool operator==(const HeartbeatRecord&, const HeartbeatRecord&) = default;
};

/// Heartbeats that one host has received. Invariant: the incarnation recorded for a host only increases.
struct HeartbeatTable {
    std::map<std::string, HeartbeatRecord> records_;
    /// Hosts that this host observes, and since when: a new observer has received no heartbeat from them yet.
    std::map<std::string, TimePoint> observedSince_;
    uint64_t observedHeadVersion_ = 0; ///< Version of the head that observedSince_ was computed from.
    TimePoint observingSince_; ///< Start of this process, or end of its last pause.
    TimePoint lastTick_;
};

enum class HeartbeatOutcome {
    Recorded,
    NewIncarnation, ///< The host has restarted.
    Delayed, ///< From a process that a newer one has replaced; it is ignored.
    DuplicateName, ///< Two live processes use the same name.
    DuplicateAddress, ///< Two live hosts use the same address.
};

/// Records a heartbeat received at `now`. Delayed heartbeats and duplicates change nothing.
HeartbeatOutcome recordHeartbeat(HeartbeatTable&, const MembershipOptions&, const std::string& host,
    uint64_t incarnation, const std::string& address, TimePoint now);

/// Call on every tick of the control loop. A gap of more than maxTickGap_ restarts all observation periods.
void recordTick(HeartbeatTable&, const MembershipOptions&, TimePoint now);

/// A host that an observer has not heard from, in the incarnation that the head lists.
struct Suspicion {
    std::string host_;
    uint64_t incarnation_ = 0;
    friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// An observer's message to other observers. Its size depends on the failures in the observed groups, not on
/// the number of host pairs.
struct SuspicionSummary {
    std::string relay_; ///< Name of the observer.
    std::string failureDomain_; ///< Failure domain of the observer.
    size_t members_ = 0; ///< Number of hosts that the observer observes, including itself.
    size_t heard_ = 0; ///< Number of these that it does not suspect, including itself.
    std::vector<Suspicion> suspicions_; ///< At most maxSuspicions.
    friend bool operator==(const SuspicionSummary&, const SuspicionSummary&) = default;
};

/// Returns the observer's own summary: how many hosts it observes, and which of them it suspects. Call it
/// with each heartbeat; a host that was not observed in the previous call has suspectAfter_ from now to send
/// a heartbeat. If the observer is not a member, only its name is set.
SuspicionSummary summariseSuspicions(
    HeartbeatTable&, const MembershipOptions&, const Head&, const std::string& observer, TimePoint now);

/// Newest summary of each observer, with the time of its receipt.
using SuspicionLog = std::map<std::string, std::pair<TimePoint, SuspicionSummary>>;

/// Returns the members to remove: those that observers in two failure domains suspect in their listed
/// incarnation. Empty if half of the members or more would be removed, which more likely means a fault of the
/// observers' own network.
std::vector<std::string> membersToRemove(
    const SuspicionLog&, const MembershipOptions&, const Head&, TimePoint now);

/// Returns the next head without `hosts`. Here and in the functions below the caller sets publisher, nonce
/// and time.
Head withoutMembers(const Head&, const std::vector<std::string>& hosts);

/// Returns the next head with `member` added. The member replaces its earlier incarnation and a host at the
/// same peer address without a recent heartbeat. `heard` are the hosts with a recent heartbeat. Errors:
/// Conflict if a newer incarnation of the name is listed, or if another host in `heard` uses the address.
Result<Head> withMember(const Head&, const Member&, const std::set<std::string>& heard);

/// Returns the next head with the host marked as leaving. Errors: NotFound if this incarnation is not listed.
Result<Head> withLeaving(const Head&, const std::string& host, uint64_t incarnation);

} // namespace turmericwing::control

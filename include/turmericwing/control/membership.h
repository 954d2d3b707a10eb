// Membership: who observes whom, suspicion of failed hosts, and changes of the member list as head changes.
#pragma once

#include "turmericwing/control/head.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::control {

struct MembershipOptions {
    Duration suspectAfter_ = std::chrono::milliseconds(1500); ///< Without a heartbeat; interval 500 ms.
    Duration reportLifetime_ = std::chrono::milliseconds(1000); ///< Of another observer's suspicion.
    Duration pauseGap_ = std::chrono::milliseconds(500); ///< Between ticks; more means that this host paused.
    size_t relaysPerDomain_ = 2; ///< At least.
    size_t hostsPerRelay_ = 9; ///< Hosts of a domain for each relay; each relay reads the store.
    /// Most hosts of a failure domain that one pair of observers watches. With one pair for a whole domain of
    /// 35 hosts its observers would receive 10 KB/s of heartbeats, twice the budget.
    size_t watchGroup_ = 4;
    size_t fullMeshLimit_ = 64; ///< Members up to which hosts connect to their whole region.
    bool requireTwoDomains_ = true; ///< Tests switch it off to show that it is needed.
    bool detectPauses_ = true; ///< Tests switch it off to show that it is needed.
};

/// Most suspicions in one summary, which bounds the message during the failure of a whole domain.
inline constexpr size_t maxSuspicions = 64;

/// The relays of a domain, which read the head for it: its lowest live host ids.
std::vector<std::string> relaysOf(const Head&, const MembershipOptions&, std::string_view failureDomain);

/// For each failure domain, up to two others that also observe its hosts, so that the loss of the whole
/// domain is noticed in two domains: those of its region first, then those that observe the fewest so far.
std::map<std::string, std::vector<std::string>> observingDomains(const Head&);

/// Hosts that watch `host`, sorted: two of its own group in its failure domain, and two in each observing
/// domain. A host sends its heartbeats to them. An observer that suspects it sends its summary to them too.
std::vector<std::string> watchersOf(const Head&, const MembershipOptions&, std::string_view host);

/// Hosts that `observer` has to watch, sorted; the inverse of watchersOf.
std::vector<std::string> observedBy(const Head&, const MembershipOptions&, std::string_view observer);

/// Hosts that `host` connects to, sorted: two relays of its domain, its watchers, the hosts that it watches
/// and their other watchers; for a relay also one relay of each domain. The number does not depend on the
/// size of the fleet. Up to fullMeshLimit_ members, a region is also fully meshed.
std::vector<std::string> peersOf(const Head&, const MembershipOptions&, std::string_view host);

struct HeartbeatRecord {
    uint64_t incarnation_ = 0;
    std::string address_; ///< Peer address.
    TimePoint firstHeard_; ///< Of this incarnation.
    TimePoint lastHeard_;
    friend bool operator==(const HeartbeatRecord&, const HeartbeatRecord&) = default;
};

/// What one host has heard. Invariant: incarnations of a host only increase.
struct HeartbeatTable {
    std::map<std::string, HeartbeatRecord> records_;
    /// Hosts that this host observes, and since when: a new observer has not heard from them yet.
    std::map<std::string, TimePoint> watchedSince_;
    uint64_t watchedVersion_ = 0; ///< Of the head that watchedSince_ follows.
    TimePoint observingSince_; ///< Start, or end of the last pause of this host.
    TimePoint lastTick_;
};

enum class HeartbeatOutcome {
    Recorded,
    NewIncarnation, ///< The host has restarted.
    Delayed, ///< From a process that a newer one has replaced; ignored.
    DuplicateName, ///< Two live processes use one name.
    DuplicateAddress, ///< Two live hosts use one address.
};

HeartbeatOutcome recordHeartbeat(HeartbeatTable&, const MembershipOptions&, const std::string& host,
    uint64_t incarnation, const std::string& address, TimePoint now);

/// Call on every tick of the control loop. A gap between ticks restarts all observation times.
void recordTick(HeartbeatTable&, const MembershipOptions&, TimePoint now);

struct Suspicion {
    std::string host_;
    uint64_t incarnation_ = 0;
    friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// An observer's message to other observers: sized by the failures in its groups, never by pairs of hosts.
struct DomainSummary {
    std::string relay_;
    std::string failureDomain_;
    size_t members_ = 0; ///< That the observer watches, with itself.
    size_t heard_ = 0;
    std::vector<Suspicion> suspicions_; ///< At most maxSuspicions.
    friend bool operator==(const DomainSummary&, const DomainSummary&) = default;
};

/// The observer's own view: whom it observes and has not heard from. Call with each heartbeat; a host that
/// was not observed in the previous call is given suspectAfter_ from now on.
DomainSummary summariseDomain(
    HeartbeatTable&, const MembershipOptions&, const Head&, const std::string& observer, TimePoint now);

/// Newest summary of each observer, with the time of receipt.
using SuspicionLog = std::map<std::string, std::pair<TimePoint, DomainSummary>>;

/// Members to remove: suspected in their listed incarnation by observers in two failure domains. Empty when
/// half of the members or more would go, which is more likely a fault of the observers' own network.
std::vector<std::string> removals(const SuspicionLog&, const MembershipOptions&, const Head&, TimePoint now);

/// Next head without `hosts`; the caller sets publisher, nonce and time, here and below.
Head withoutMembers(const Head&, const std::vector<std::string>& hosts);

/// Next head with `member` added, or in place of its earlier incarnation, or of a silent host at its address.
/// `heard` are hosts with a recent heartbeat. Errors: Conflict if a newer incarnation of the name is listed,
/// or another host that uses the address is heard.
Result<Head> withMember(const Head&, const Member&, const std::set<std::string>& heard);

/// Next head with the host marked as leaving. Errors: NotFound if this incarnation is not listed.
Result<Head> withLeaving(const Head&, const std::string& host, uint64_t incarnation);

} // namespace turmericwing::control

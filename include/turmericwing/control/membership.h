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
    size_t relaysPerDomain_ = 2;
    size_t fullMeshLimit_ = 64; ///< Members up to which hosts connect to their whole region.
    bool requireTwoDomains_ = true; ///< Tests switch it off to show that it is needed.
    bool detectPauses_ = true; ///< Tests switch it off to show that it is needed.
};

/// Most suspicions in one summary, which bounds the message during the failure of a whole domain.
inline constexpr size_t maxSuspicions = 64;

/// The relays of a domain: its lowest live host ids.
std::vector<std::string> relaysOf(const Head&, const MembershipOptions&, std::string_view failureDomain);

/// For each failure domain, the domain whose relays also observe its hosts: the next one of its region in
/// name order, or of the fleet if the region has only one. Equal to itself if there is no other.
std::map<std::string, std::string> observingDomains(const Head&);

/// For each failure domain, the domain whose relays observe its relays, beside that of observingDomains().
/// Without it, nobody in a second domain would suspect the hosts of a domain that fails as a whole, or a host
/// that is alone in its domain. The same as observingDomains() in a fleet of two domains.
std::map<std::string, std::string> secondObservingDomains(const Head&);

/// Hosts that `observer` has to watch, sorted: if it is a relay, those of its domain and of the domains that
/// its domain observes, and the relays of those that it observes as the second; otherwise none.
std::vector<std::string> observedBy(const Head&, const MembershipOptions&, std::string_view observer);

/// Hosts that `host` connects to, sorted. A host that is no relay connects to at most four relays, whatever
/// the size of the fleet; up to fullMeshLimit_ members, a region is also fully meshed.
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

/// A relay's message to other relays: sized by its domain's failures, never by pairs of hosts.
struct DomainSummary {
    std::string relay_;
    std::string failureDomain_;
    size_t members_ = 0;
    size_t heard_ = 0;
    std::vector<Suspicion> suspicions_; ///< At most maxSuspicions.
    friend bool operator==(const DomainSummary&, const DomainSummary&) = default;
};

/// The observer's own view: its domain's count, and everyone that it observes and has not heard from.
DomainSummary summariseDomain(
    const HeartbeatTable&, const MembershipOptions&, const Head&, const std::string& observer, TimePoint now);

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

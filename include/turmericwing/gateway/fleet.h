// Membership of the fleet as this host sees it. A host counts as alive while its reports arrive, or while the
// summaries of its failure domain name it; the store's list of hosts only provides the first addresses to
// send to.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/gateway/report.h"
#include "turmericwing/gateway/summary.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct FleetOptions {
    /// Time after a report for which its sender counts as alive: 15 report intervals in a small fleet, fewer
    /// in a large one, which reports less often.
    Duration reportLifetime_ = std::chrono::milliseconds(1500);
    /// A host is removed from the store's list when it has not been alive for this long.
    Duration removalDelay_ = std::chrono::seconds(12);
    /// Number of registered hosts, including this one, from which failure domains exchange summaries.
    size_t minSummaryHosts_ = 24;
    /// Time after a summary for which it and its members count as alive. Covers the change to another
    /// aggregator, which takes a report's lifetime and one interval of summaries.
    Duration summaryLifetime_ = std::chrono::milliseconds(3500);
    /// Silence of a failure domain's aggregator after which a summary of another one is accepted. Less than
    /// the time in which the members notice that it has ended.
    Duration takeoverDelay_ = std::chrono::milliseconds(1300);
};

struct Peer {
    Address peerAddress_;
    TimePoint registeredAt_ {}; ///< When this host first learned of the peer.
    TimePoint aliveUntil_ {}; ///< End of the lifetime of its last report.
    /// Last report received. Before the first one, or if the host is known by summaries only, it has no load.
    HostReport report_;
    uint32_t briefSender_ = 0; ///< Sender of the brief reports of the same run; 0 if not heard directly.
};

/// Last summary accepted of another failure domain.
struct DomainView {
    DomainSummary summary_;
    TimePoint receivedAt_ {};
    TimePoint aliveUntil_ {};
};

struct Fleet {
    std::string self_; ///< Name of this host.
    std::string failureDomain_ {}; ///< Of this host.
    FleetOptions options_ {};
    std::map<std::string, Peer> peers_ {}; ///< By name, without this host.
    std::map<std::string, DomainView> domains_ {}; ///< By failure domain, without that of this host.
};

/// Where a host runs, as its row in the store's list says. Both are empty if the row does not say.
struct HostLocation {
    std::string region_;
    std::string failureDomain_;
    friend bool operator==(const HostLocation&, const HostLocation&) = default;
};

/// A host's row in the store's list.
struct HostRow {
    Address peerAddress_;
    HostLocation location_;
    friend bool operator==(const HostRow&, const HostRow&) = default;
};

/// Encodes the value of a row: address, region and failure domain, separated by spaces.
std::string encodeHostRow(const HostRow&);

/// Decodes the value of a row; hosts of earlier releases write the address only. Errors: Invalid.
Result<HostRow> decodeHostRow(const std::string& value);

/// Adds a host from the store's list, or updates its address; its last report is kept. Ignores this host
/// itself.
void registerPeer(
    Fleet&, TimePoint now, const std::string& name, const Address& peerAddress, const HostLocation& = {});

/// Removes a host unless it is alive.
void unregisterPeer(Fleet&, TimePoint now, const std::string& name);

/// Stores a peer's report and registers peers that are not known yet. Returns false, without effect on the
/// stored report, if the report is not newer than the last one, has no name, or is this host's own.
bool receiveReport(Fleet&, TimePoint now, const HostReport&);

/// Returns the report that a brief one stands for; nothing if no full report of that run of the host was
/// received.
std::optional<HostReport> expandReport(const Fleet&, BriefReport);

/// Stores the summary of another failure domain and registers its members; members that it no longer names
/// are not alive any more. Returns false, without effect, if it is of this host's own failure domain, not
/// newer than the last one of the same aggregator, or of another aggregator while that of the last one has
/// neither been silent for `takeoverDelay_` nor begun to leave. Two hosts that both aggregate thus never
/// alternate.
bool receiveSummary(Fleet&, TimePoint now, const DomainSummary&);

/// Whether the peer is alive: its last report has not expired.
inline bool isAlive(const Peer& peer, TimePoint now) { return now < peer.aliveUntil_; }

/// Whether the fleet is large enough for failure domains to exchange summaries instead of reports.
inline bool usesSummaries(const Fleet& fleet)
{
    return fleet.peers_.size() + 1 >= fleet.options_.minSummaryHosts_;
}

/// Whether this host sends its reports to the peer. In a large fleet it does within its failure domain, and
/// where the peer's failure domain is not known.
bool receivesReports(const Fleet&, const Peer&);

/// Interval at which a host sends its reports to `receivers` hosts, so that each of them receives about
/// `perSecond` reports/s at most: at least `shortest`, and short enough that a few lost reports do not let a
/// live host count as dead.
Duration sendInterval(const FleetOptions&, size_t receivers, size_t perSecond, Duration shortest);

/// Whether this host aggregates the reports of its failure domain: the first by rendezvous hashing of the
/// hosts that are alive there and not leaving. `leaving`: this host is leaving.
bool isAggregator(const Fleet&, TimePoint now, bool leaving);

/// Another failure domain, and a host of it that receives the summaries of this one and forwards them.
struct SummaryTarget {
    std::string failureDomain_;
    std::string region_;
    Address peerAddress_;
};

/// Returns one target for each other failure domain: its aggregator while its summaries arrive. Else it
/// returns two targets at random among the hosts that are registered there, as any of them may be gone.
std::vector<SummaryTarget> summaryTargets(const Fleet&, TimePoint now, Random&);

/// Whether peers that are leaving count. Their requests still run, but callers turn to other hosts.
enum class LeavingPeers { Included, Excluded };

/// Returns the reports and sums that together hold the load of all live peers, each once: the reports of live
/// peers whose failure domain has no live summary, and the sums of the live summaries.
std::vector<const HostReport*> loadReports(const Fleet&, TimePoint now, LeavingPeers leaving);

/// Whether the peer's load is part of a live summary.
bool isSummarised(const Fleet&, const Peer&, TimePoint now);

/// Returns the last reports of the peers that are alive and not leaving. Those of other failure domains may
/// have no load.
std::vector<const HostReport*> activeReports(const Fleet&, TimePoint now);

/// Returns the number of registered peers that are not alive.
size_t deadPeerCount(const Fleet&, TimePoint now);

/// Returns the names of the peers that have not been alive for longer than `removalDelay_`.
std::vector<std::string> expiredPeers(const Fleet&, TimePoint now);

/// Whether no peer that is alive, reaches the store and is not leaving has a lesser name than this host. Does
/// not check whether this host itself reaches the store or is leaving. The designated writer does the writes
/// that only one host should do; the conditions of the store's transactions resolve conflicts while two hosts
/// both consider themselves designated.
bool isDesignatedWriter(const Fleet&, TimePoint now);

} // namespace turmericwing::gateway

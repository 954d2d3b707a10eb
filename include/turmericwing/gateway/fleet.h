// Membership of the fleet as this host sees it. A host counts as alive while its reports arrive; the store's
// list of hosts only provides the first addresses to send reports to.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/report.h"

#include <map>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct FleetOptions {
    /// Time after a report for which its sender counts as alive: 15 report intervals in a small fleet, fewer
    /// in a large one, which reports less often.
    Duration reportLifetime_ = std::chrono::milliseconds(1500);
    /// A host is removed from the store's list when it has not been alive for this long.
    Duration removalDelay_ = std::chrono::seconds(12);
};

struct Peer {
    Address peerAddress_;
    TimePoint registeredAt_ {}; ///< When this host first learned of the peer.
    TimePoint aliveUntil_ {}; ///< End of the lifetime of its last report.
    HostReport report_; ///< Last report received; empty before the first.
};

struct Fleet {
    std::string self_; ///< Name of this host.
    FleetOptions options_ {};
    std::map<std::string, Peer> peers_ {}; ///< By name, without this host.
};

/// Adds a host from the store's list, or updates its address; its last report is kept. Ignores this host
/// itself.
void registerPeer(Fleet&, TimePoint now, const std::string& name, const Address& peerAddress);

/// Removes a host unless it is alive.
void unregisterPeer(Fleet&, TimePoint now, const std::string& name);

/// Stores a peer's report and registers peers that are not known yet. Returns false, without effect on the
/// stored report, if the report is not newer than the last one, has no name, or is this host's own.
bool receiveReport(Fleet&, TimePoint now, const HostReport&);

/// Whether the peer is alive: its last report has not expired.
inline bool isAlive(const Peer& peer, TimePoint now) { return now < peer.aliveUntil_; }

/// Returns the last reports of the peers that are alive and not leaving.
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

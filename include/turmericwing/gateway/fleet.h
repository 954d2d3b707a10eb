// The other hosts, as this host hears them. A host counts as alive while its reports arrive; the store only
// tells where to send reports at first.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/report.h"

#include <map>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct FleetOptions {
    Duration life_ = std::chrono::milliseconds(1500); ///< Of a report; fifteen reports may be lost.
    /// A host that was not heard for this long is removed from the store's list.
    Duration forgotten_ = std::chrono::seconds(12);
};

struct Peer {
    Address peerAddress_;
    TimePoint registered_ {}; ///< When this host first learned of it.
    TimePoint heardUntil_ {}; ///< End of the life of its last report.
    HostReport report_; ///< Empty until one was heard.
};

struct Fleet {
    std::string self_;
    FleetOptions options_ {};
    std::map<std::string, Peer> peers_ {}; ///< By name, without this host.
};

/// A host from the store's list. Known ones keep what was heard of them.
void registerPeer(Fleet&, TimePoint now, const std::string& name, const Address& peerAddress);

/// A host that left the store's list. One that is still heard stays.
void unregisterPeer(Fleet&, TimePoint now, const std::string& name);

/// Returns false for a report that is not newer than the last one, or is this host's own.
bool hear(Fleet&, TimePoint now, const HostReport&);

inline bool isHeard(const Peer& peer, TimePoint now) { return now < peer.heardUntil_; }

/// Reports of the hosts that are heard and have not said that they leave.
std::vector<const HostReport*> heardReports(const Fleet&, TimePoint now);

/// Number of registered hosts that are not heard.
size_t unheardCount(const Fleet&, TimePoint now);

/// Hosts that were not heard for so long that their registration should go.
std::vector<std::string> forgottenPeers(const Fleet&, TimePoint now);

/// Whether this host is the first by name among those that are heard and reach the store. It writes what
/// one host should write; the store's conditions keep two that both think so apart.
bool isFirst(const Fleet&, TimePoint now);

} // namespace turmericwing::gateway

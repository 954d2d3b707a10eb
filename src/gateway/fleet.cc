// The other hosts, as this host hears them.
#include "turmericwing/gateway/fleet.h"

#include <algorithm>

namespace turmericwing::gateway {

void registerPeer(Fleet& fleet, TimePoint now, const std::string& name, const Address& peerAddress)
{
    if (name == fleet.self_)
        return;
    const auto [peer, added] = fleet.peers_.try_emplace(name);
    if (added)
        peer->second.registered_ = now;
    peer->second.peerAddress_ = peerAddress;
}

void unregisterPeer(Fleet& fleet, TimePoint now, const std::string& name)
{
    const auto peer = fleet.peers_.find(name);
    if (peer != fleet.peers_.end() && !isHeard(peer->second, now))
        fleet.peers_.erase(peer);
}

bool hear(Fleet& fleet, TimePoint now, const HostReport& report)
{
    if (report.name_.empty() || report.name_ == fleet.self_)
        return false;
    registerPeer(fleet, now, report.name_, report.peerAddress_);
    Peer& peer = fleet.peers_[report.name_];
    const bool sameRun = peer.report_.incarnation_ == report.incarnation_;
    if (sameRun && report.serial_ <= peer.report_.serial_)
        return false;
    peer.report_ = report;
    peer.heardUntil_ = now + fleet.options_.life_;
    return true;
}

std::vector<const HostReport*> heardReports(const Fleet& fleet, TimePoint now)
{
    std::vector<const HostReport*> reports;
    for (const auto& [name, peer] : fleet.peers_) {
        if (isHeard(peer, now) && !peer.report_.leaving_)
            reports.push_back(&peer.report_);
    }
    return reports;
}

size_t unheardCount(const Fleet& fleet, TimePoint now)
{
    return static_cast<size_t>(std::count_if(fleet.peers_.begin(), fleet.peers_.end(),
        [&](const auto& entry) { return !isHeard(entry.second, now); }));
}

std::vector<std::string> forgottenPeers(const Fleet& fleet, TimePoint now)
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : fleet.peers_) {
        const TimePoint last = std::max(peer.heardUntil_, peer.registered_);
        if (now > last + fleet.options_.forgotten_)
            names.push_back(name);
    }
    return names;
}

bool isFirst(const Fleet& fleet, TimePoint now)
{
    return std::none_of(fleet.peers_.begin(), fleet.peers_.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return entry.first < fleet.self_ && isHeard(peer, now) && peer.report_.reachesStore_
            && !peer.report_.leaving_;
    });
}

} // namespace turmericwing::gateway

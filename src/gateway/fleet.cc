// Membership of the fleet as this host sees it.
#include "turmericwing/gateway/fleet.h"

#include <algorithm>

namespace turmericwing::gateway {

void registerPeer(Fleet& fleet, TimePoint now, const std::string& name, const Address& peerAddress)
{
    if (name == fleet.self_)
        return;
    const auto [peer, added] = fleet.peers_.try_emplace(name);
    if (added)
        peer->second.registeredAt_ = now;
    peer->second.peerAddress_ = peerAddress;
}

void unregisterPeer(Fleet& fleet, TimePoint now, const std::string& name)
{
    const auto peer = fleet.peers_.find(name);
    if (peer != fleet.peers_.end() && !isAlive(peer->second, now))
        fleet.peers_.erase(peer);
}

bool receiveReport(Fleet& fleet, TimePoint now, const HostReport& report)
{
    if (report.name_.empty() || report.name_ == fleet.self_)
        return false;
    registerPeer(fleet, now, report.name_, report.peerAddress_);
    Peer& peer = fleet.peers_[report.name_];
    const bool sameIncarnation = peer.report_.incarnation_ == report.incarnation_;
    if (sameIncarnation && report.sequence_ <= peer.report_.sequence_)
        return false;
    peer.report_ = report;
    peer.aliveUntil_ = now + fleet.options_.reportLifetime_;
    return true;
}

std::vector<const HostReport*> activeReports(const Fleet& fleet, TimePoint now)
{
    std::vector<const HostReport*> reports;
    for (const auto& [name, peer] : fleet.peers_) {
        if (isAlive(peer, now) && !peer.report_.leaving_)
            reports.push_back(&peer.report_);
    }
    return reports;
}

size_t deadPeerCount(const Fleet& fleet, TimePoint now)
{
    return static_cast<size_t>(std::count_if(fleet.peers_.begin(), fleet.peers_.end(),
        [&](const auto& entry) { return !isAlive(entry.second, now); }));
}

std::vector<std::string> expiredPeers(const Fleet& fleet, TimePoint now)
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : fleet.peers_) {
        const TimePoint lastAlive = std::max(peer.aliveUntil_, peer.registeredAt_);
        if (now > lastAlive + fleet.options_.removalDelay_)
            names.push_back(name);
    }
    return names;
}

bool isDesignatedWriter(const Fleet& fleet, TimePoint now)
{
    return std::none_of(fleet.peers_.begin(), fleet.peers_.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return entry.first < fleet.self_ && isAlive(peer, now) && peer.report_.reachesStore_
            && !peer.report_.leaving_;
    });
}

} // namespace turmericwing::gateway

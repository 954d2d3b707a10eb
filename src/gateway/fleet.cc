// Membership of the fleet as this host sees it.
#include "turmericwing/gateway/fleet.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace turmericwing::gateway {

namespace detail {

    constexpr int reportsPerLifetime = 4; ///< Fewest reports that a host sends while its last one counts.
    constexpr size_t probesPerDomain = 2; ///< Hosts tried in a failure domain that has not been heard.

    bool isDomainAlive(const Fleet& fleet, const std::string& failureDomain, TimePoint now)
    {
        const auto view = fleet.domains_.find(failureDomain);
        return view != fleet.domains_.end() && now < view->second.aliveUntil_;
    }

    const MemberEntry* findMember(const DomainSummary& summary, const std::string& name)
    {
        const auto found = std::find_if(summary.members_.begin(), summary.members_.end(),
            [&](const MemberEntry& member) { return member.name_ == name; });
        return found == summary.members_.end() ? nullptr : &*found;
    }

    /// Whether a summary may replace the last one of its failure domain.
    bool replaces(
        const FleetOptions& options, TimePoint now, const DomainSummary& summary, const DomainView& view)
    {
        const HostReport& sender = summary.sums_;
        const HostReport& lastSender = view.summary_.sums_;
        if (sender.name_ == lastSender.name_)
            return sender.incarnation_ != lastSender.incarnation_ || sender.sequence_ > lastSender.sequence_;
        const MemberEntry* last = findMember(summary, lastSender.name_);
        return now >= view.receivedAt_ + options.takeoverDelay_ || (last && last->leaving_);
    }

    /// Registers a member that a summary names. One that is heard directly, too, keeps its report.
    void registerMember(Fleet& fleet, TimePoint now, const HostReport& sums, const MemberEntry& member)
    {
        if (member.name_ == fleet.self_)
            return;
        registerPeer(fleet, now, member.name_, member.peerAddress_);
        Peer& peer = fleet.peers_[member.name_];
        const bool heardDirectly = isAlive(peer, now) && peer.report_.incarnation_ != 0;
        peer.aliveUntil_ = std::max(peer.aliveUntil_, now + fleet.options_.summaryLifetime_);
        if (heardDirectly) {
            peer.report_.ready_ = member.ready_;
            peer.report_.leaving_ = member.leaving_;
            peer.report_.reachesStore_ = member.reachesStore_;
            return;
        }
        peer.briefSender_ = 0;
        peer.report_ = { .name_ = member.name_,
            .callerAddress_ = member.callerAddress_,
            .peerAddress_ = member.peerAddress_,
            .region_ = sums.region_,
            .failureDomain_ = sums.failureDomain_,
            .ready_ = member.ready_,
            .leaving_ = member.leaving_,
            .reachesStore_ = member.reachesStore_,
            .capacity_ = member.capacity_ };
    }

} // namespace detail

std::string encodeHostRow(const HostRow& row)
{
    return addressText(row.peerAddress_) + " " + row.location_.region_ + " " + row.location_.failureDomain_;
}

Result<HostRow> decodeHostRow(const std::string& value)
{
    std::istringstream words(value);
    std::string address;
    HostRow row;
    words >> address >> row.location_.region_ >> row.location_.failureDomain_;
    BOOST_OUTCOME_TRY(peerAddress, parseAddress(address));
    row.peerAddress_ = peerAddress;
    return row;
}

void registerPeer(Fleet& fleet, TimePoint now, const std::string& name, const Address& peerAddress,
    const HostLocation& location)
{
    if (name == fleet.self_)
        return;
    const auto [peer, added] = fleet.peers_.try_emplace(name);
    if (added)
        peer->second.registeredAt_ = now;
    peer->second.peerAddress_ = peerAddress;
    HostReport& report = peer->second.report_;
    if (report.failureDomain_.empty()) {
        report.region_ = location.region_;
        report.failureDomain_ = location.failureDomain_;
    }
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
    peer.briefSender_ = briefSender(report.name_, report.incarnation_);
    peer.aliveUntil_ = now + fleet.options_.reportLifetime_;
    return true;
}

std::optional<HostReport> expandReport(const Fleet& fleet, BriefReport brief)
{
    for (const auto& [name, peer] : fleet.peers_) {
        if (peer.briefSender_ != 0 && peer.briefSender_ == brief.sender_)
            return completeReport(std::move(brief), peer.report_);
    }
    return std::nullopt;
}

bool receiveSummary(Fleet& fleet, TimePoint now, const DomainSummary& summary)
{
    const HostReport& sums = summary.sums_;
    if (sums.failureDomain_.empty() || sums.failureDomain_ == fleet.failureDomain_)
        return false;
    const auto known = fleet.domains_.find(sums.failureDomain_);
    if (known != fleet.domains_.end() && !detail::replaces(fleet.options_, now, summary, known->second))
        return false;
    DomainView& view = fleet.domains_[sums.failureDomain_];
    view = { summary, now, now + fleet.options_.summaryLifetime_ };
    view.summary_.sums_.isSum_ = true;
    std::set<std::string> names;
    for (const MemberEntry& member : summary.members_) {
        names.insert(member.name_);
        detail::registerMember(fleet, now, sums, member);
    }
    for (auto& [name, peer] : fleet.peers_) {
        if (peer.report_.failureDomain_ == sums.failureDomain_ && !names.contains(name))
            peer.aliveUntil_ = std::min(peer.aliveUntil_, now);
    }
    return true;
}

bool receivesReports(const Fleet& fleet, const Peer& peer)
{
    const std::string& failureDomain = peer.report_.failureDomain_;
    return !usesSummaries(fleet) || failureDomain.empty() || failureDomain == fleet.failureDomain_;
}

Duration sendInterval(const FleetOptions& options, size_t receivers, size_t perSecond, Duration shortest)
{
    const Duration byRate = std::chrono::microseconds(1'000'000 * receivers / perSecond);
    return std::max(
        shortest, std::min<Duration>(byRate, options.reportLifetime_ / detail::reportsPerLifetime));
}

bool isAggregator(const Fleet& fleet, TimePoint now, bool leaving)
{
    const uint64_t own = rendezvousWeight(fleet.failureDomain_, fleet.self_);
    return std::none_of(fleet.peers_.begin(), fleet.peers_.end(), [&](const auto& entry) {
        const auto& [name, peer] = entry;
        return peer.report_.failureDomain_ == fleet.failureDomain_ && isAlive(peer, now)
            && !peer.report_.leaving_ && (leaving || rendezvousWeight(fleet.failureDomain_, name) > own);
    });
}

std::vector<SummaryTarget> summaryTargets(const Fleet& fleet, TimePoint now, Random& random)
{
    std::map<std::string, std::vector<const Peer*>> domains;
    for (const auto& [name, peer] : fleet.peers_) {
        const std::string& failureDomain = peer.report_.failureDomain_;
        if (!failureDomain.empty() && failureDomain != fleet.failureDomain_)
            domains[failureDomain].push_back(&peer);
    }
    std::vector<SummaryTarget> targets;
    for (const auto& [failureDomain, peers] : domains) {
        if (detail::isDomainAlive(fleet, failureDomain, now)) {
            const HostReport& sender = fleet.domains_.at(failureDomain).summary_.sums_;
            targets.push_back({ failureDomain, sender.region_, sender.peerAddress_ });
            continue;
        }
        for (size_t i = 0; i < std::min(detail::probesPerDomain, peers.size()); ++i) {
            const Peer& peer = *peers[random() % peers.size()];
            targets.push_back({ failureDomain, peer.report_.region_, peer.peerAddress_ });
        }
    }
    return targets;
}

bool isSummarised(const Fleet& fleet, const Peer& peer, TimePoint now)
{
    return detail::isDomainAlive(fleet, peer.report_.failureDomain_, now);
}

std::vector<const HostReport*> loadReports(const Fleet& fleet, TimePoint now, LeavingPeers leaving)
{
    std::vector<const HostReport*> reports;
    for (const auto& [name, peer] : fleet.peers_) {
        const bool counts = leaving == LeavingPeers::Included || !peer.report_.leaving_;
        if (isAlive(peer, now) && counts && !isSummarised(fleet, peer, now))
            reports.push_back(&peer.report_);
    }
    for (const auto& [failureDomain, view] : fleet.domains_) {
        if (now < view.aliveUntil_)
            reports.push_back(&view.summary_.sums_);
    }
    return reports;
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

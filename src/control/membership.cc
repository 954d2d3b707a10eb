// Membership: observers, suspicion and member list changes.
#include "turmericwing/control/membership.h"

#include <algorithm>

namespace turmericwing::control {

namespace detail {

    const Member* findMember(const Head& head, std::string_view host)
    {
        const auto it = std::lower_bound(head.members_.begin(), head.members_.end(), host,
            [](const Member& m, std::string_view name) { return m.host_ < name; });
        return it != head.members_.end() && it->host_ == host ? &*it : nullptr;
    }

    bool contains(const std::vector<std::string>& list, std::string_view value)
    {
        return std::find(list.begin(), list.end(), value) != list.end();
    }

    Head nextView(const Head& head, std::string change)
    {
        Head next = head;
        ++next.version_;
        ++next.epoch_;
        next.change_ = std::move(change);
        return next;
    }

} // namespace detail

std::vector<std::string> relaysOf(
    const Head& head, const MembershipOptions& options, std::string_view failureDomain)
{
    std::vector<std::string> out;
    for (const Member& member : head.members_) {
        if (member.failureDomain_ == failureDomain && member.state_ == MemberState::Live
            && out.size() < options.relaysPerDomain_)
            out.push_back(member.host_);
    }
    return out;
}

std::map<std::string, std::string> observingDomains(const Head& head)
{
    std::map<std::string, std::string> regionOf;
    std::map<std::string, std::set<std::string>> byRegion;
    std::set<std::string> fleet;
    for (const Member& member : head.members_) {
        if (regionOf.try_emplace(member.failureDomain_, member.region_).second) {
            byRegion[member.region_].insert(member.failureDomain_);
            fleet.insert(member.failureDomain_);
        }
    }
    std::map<std::string, std::string> out;
    for (const auto& [domain, region] : regionOf) {
        const std::set<std::string>& regional = byRegion.at(region);
        const std::set<std::string>& domains = regional.size() > 1 ? regional : fleet;
        const auto next = domains.upper_bound(domain);
        out[domain] = next == domains.end() ? *domains.begin() : *next;
    }
    return out;
}

std::map<std::string, std::string> secondObservingDomains(const Head& head)
{
    const std::map<std::string, std::string> first = observingDomains(head);
    std::map<std::string, std::string> out;
    for (const auto& [domain, observer] : first) {
        // The next domain after the first observer, in name order and around, that is neither of the two.
        auto next = first.upper_bound(observer);
        for (size_t i = 0; i < first.size(); ++i, ++next) {
            if (next == first.end())
                next = first.begin();
            if (next->first != domain && next->first != observer)
                break;
        }
        const bool found = first.size() > 2;
        out[domain] = found ? next->first : observer;
    }
    return out;
}

std::vector<std::string> observedBy(
    const Head& head, const MembershipOptions& options, std::string_view observer)
{
    const Member* self = detail::findMember(head, observer);
    if (!self || !detail::contains(relaysOf(head, options, self->failureDomain_), observer))
        return {};
    const std::map<std::string, std::string> observers = observingDomains(head);
    std::set<std::string> watchedRelays;
    for (const auto& [domain, second] : secondObservingDomains(head)) {
        if (second == self->failureDomain_) {
            const auto relays = relaysOf(head, options, domain);
            watchedRelays.insert(relays.begin(), relays.end());
        }
    }
    std::vector<std::string> out;
    for (const Member& member : head.members_) {
        const bool watched = member.failureDomain_ == self->failureDomain_
            || observers.at(member.failureDomain_) == self->failureDomain_
            || watchedRelays.contains(member.host_);
        if (watched && member.host_ != observer)
            out.push_back(member.host_);
    }
    return out;
}

std::vector<std::string> peersOf(const Head& head, const MembershipOptions& options, std::string_view host)
{
    const Member* self = detail::findMember(head, host);
    if (!self)
        return {};
    const std::map<std::string, std::string> observers = observingDomains(head);
    const bool isRelay = detail::contains(relaysOf(head, options, self->failureDomain_), host);
    std::set<std::string> out;
    for (const auto& [domain, observer] : observers) {
        const bool own = domain == self->failureDomain_ || domain == observers.at(self->failureDomain_);
        if (!own && !isRelay)
            continue;
        for (std::string& relay : relaysOf(head, options, domain))
            out.insert(std::move(relay));
    }
    for (std::string& observed : observedBy(head, options, host))
        out.insert(std::move(observed));
    const bool mesh = head.members_.size() <= options.fullMeshLimit_;
    for (const Member& member : head.members_) {
        if (mesh && member.region_ == self->region_)
            out.insert(member.host_);
    }
    out.erase(std::string(host));
    return { out.begin(), out.end() };
}

HeartbeatOutcome recordHeartbeat(HeartbeatTable& table, const MembershipOptions& options,
    const std::string& host, uint64_t incarnation, const std::string& address, TimePoint now)
{
    for (const auto& [name, record] : table.records_) {
        if (name != host && record.address_ == address && now < record.lastHeard_ + options.suspectAfter_)
            return HeartbeatOutcome::DuplicateAddress;
    }
    auto [it, inserted] = table.records_.try_emplace(host);
    HeartbeatRecord& record = it->second;
    if (!inserted && incarnation < record.incarnation_) {
        // Messages of a process that ended may still arrive for a while, but not for this long.
        const bool alive = now >= record.firstHeard_ + options.suspectAfter_
            && now < record.lastHeard_ + options.suspectAfter_;
        return alive ? HeartbeatOutcome::DuplicateName : HeartbeatOutcome::Delayed;
    }
    const bool restarted = !inserted && incarnation > record.incarnation_;
    if (inserted || restarted)
        record.firstHeard_ = now;
    record.incarnation_ = incarnation;
    record.address_ = address;
    record.lastHeard_ = now;
    return restarted ? HeartbeatOutcome::NewIncarnation : HeartbeatOutcome::Recorded;
}

void recordTick(HeartbeatTable& table, const MembershipOptions& options, TimePoint now)
{
    // After its own pause a host has unread heartbeats; it judges others by what arrives from now on.
    const bool first = table.lastTick_ == TimePoint {};
    if (first || (options.detectPauses_ && now > table.lastTick_ + options.pauseGap_))
        table.observingSince_ = now;
    table.lastTick_ = now;
}

DomainSummary summariseDomain(const HeartbeatTable& table, const MembershipOptions& options, const Head& head,
    const std::string& observer, TimePoint now)
{
    DomainSummary out;
    out.relay_ = observer;
    const Member* self = detail::findMember(head, observer);
    if (!self)
        return out;
    out.failureDomain_ = self->failureDomain_;
    const std::vector<std::string> observed = observedBy(head, options, observer);
    for (const Member& member : head.members_) {
        const auto it = table.records_.find(member.host_);
        const bool known = it != table.records_.end() && it->second.incarnation_ >= member.incarnation_;
        const TimePoint since
            = known ? std::max(it->second.lastHeard_, table.observingSince_) : table.observingSince_;
        // A newer incarnation means that the listed one has ended.
        const bool replaced = known && it->second.incarnation_ > member.incarnation_;
        const bool heard = member.host_ == observer || (!replaced && now < since + options.suspectAfter_);
        if (member.failureDomain_ == self->failureDomain_) {
            ++out.members_;
            out.heard_ += heard ? 1 : 0;
        }
        if (!heard && out.suspicions_.size() < maxSuspicions
            && std::binary_search(observed.begin(), observed.end(), member.host_))
            out.suspicions_.push_back({ member.host_, member.incarnation_ });
    }
    return out;
}

std::vector<std::string> removals(
    const SuspicionLog& log, const MembershipOptions& options, const Head& head, TimePoint now)
{
    std::map<std::string, std::set<std::string>> domainsBySuspect;
    for (const auto& [observer, entry] : log) {
        const Member* from = detail::findMember(head, observer);
        if (!from || now >= entry.first + options.reportLifetime_)
            continue;
        for (const Suspicion& suspicion : entry.second.suspicions_) {
            const Member* suspect = detail::findMember(head, suspicion.host_);
            if (suspect && suspect->incarnation_ == suspicion.incarnation_ && observer != suspicion.host_)
                domainsBySuspect[suspicion.host_].insert(from->failureDomain_);
        }
    }
    std::vector<std::string> out;
    for (const auto& [host, domains] : domainsBySuspect) {
        if (domains.size() >= 2 || !options.requireTwoDomains_)
            out.push_back(host);
    }
    if (2 * out.size() >= head.members_.size())
        out.clear();
    return out;
}

Head withoutMembers(const Head& head, const std::vector<std::string>& hosts)
{
    std::string change = "remove";
    for (const std::string& host : hosts)
        change += change.size() < 200 ? " " + host : std::string();
    Head next = detail::nextView(head, std::move(change));
    std::erase_if(next.members_, [&](const Member& m) { return detail::contains(hosts, m.host_); });
    return next;
}

Result<Head> withMember(const Head& head, const Member& member, const std::set<std::string>& heard)
{
    Head next = detail::nextView(head, "join " + member.host_);
    for (const Member& other : head.members_) {
        if (other.host_ == member.host_ && other.incarnation_ > member.incarnation_)
            return makeError(ErrorCode::Conflict, "join: a newer process uses the name " + member.host_);
        if (other.host_ != member.host_ && other.peerAddress_ == member.peerAddress_
            && heard.contains(other.host_))
            return makeError(ErrorCode::Conflict,
                "join: live host " + other.host_ + " uses the address " + member.peerAddress_);
    }
    std::erase_if(next.members_, [&](const Member& other) {
        return other.host_ == member.host_ || other.peerAddress_ == member.peerAddress_;
    });
    next.members_.push_back(member);
    std::sort(next.members_.begin(), next.members_.end(),
        [](const Member& a, const Member& b) { return a.host_ < b.host_; });
    return next;
}

Result<Head> withLeaving(const Head& head, const std::string& host, uint64_t incarnation)
{
    Head next = detail::nextView(head, "leave " + host);
    for (Member& member : next.members_) {
        if (member.host_ == host && member.incarnation_ == incarnation) {
            member.state_ = MemberState::Leaving;
            return next;
        }
    }
    return makeError(ErrorCode::NotFound, "leave: host " + host + " is not a member");
}

} // namespace turmericwing::control

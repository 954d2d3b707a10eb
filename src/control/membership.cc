// Membership: assignment of observers, suspicion of failed hosts and changes of the member list.
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

    /// Copy of `head` with the next version and epoch.
    Head makeNextHead(const Head& head, std::string change)
    {
        Head next = head;
        ++next.version_;
        ++next.epoch_;
        next.change_ = std::move(change);
        return next;
    }

    /// Members of a failure domain, sorted by host.
    struct Domain {
        std::vector<const Member*> members_;
        std::vector<std::string_view> relays_;
        size_t groupCount_ = 1;
    };

    size_t ceilDivide(size_t value, size_t divisor)
    {
        return (value + divisor - 1) / std::max<size_t>(divisor, 1);
    }

    std::map<std::string_view, Domain> domainsOf(const Head& head, const MembershipOptions& options)
    {
        std::map<std::string_view, Domain> out;
        for (const Member& member : head.members_)
            out[member.failureDomain_].members_.push_back(&member);
        for (auto& [name, domain] : out) {
            domain.groupCount_
                = std::max<size_t>(1, ceilDivide(domain.members_.size(), options.observationGroupSize_));
            const size_t relays = std::max(
                options.relaysPerDomain_, ceilDivide(domain.members_.size(), options.hostsPerRelay_));
            for (const Member* member : domain.members_) {
                if (member->state_ == MemberState::Live && domain.relays_.size() < relays)
                    domain.relays_.push_back(member->host_);
            }
        }
        return out;
    }

    /// Returns the two observers that a domain provides for a group. Member number i of a domain belongs to
    /// group i modulo the number of groups, which spreads hosts with consecutive names, as in a rack, over
    /// the groups.
    std::vector<std::string_view> observersInDomain(const Domain& domain, size_t group)
    {
        constexpr size_t observersPerGroup = 2;
        group %= domain.groupCount_;
        std::vector<std::string_view> out;
        const auto add = [&](size_t first, size_t step, bool relays) {
            for (size_t i = first; i < domain.members_.size() && out.size() < observersPerGroup; i += step) {
                const Member& member = *domain.members_[i];
                const bool isRelay = std::find(domain.relays_.begin(), domain.relays_.end(), member.host_)
                    != domain.relays_.end();
                if (member.state_ == MemberState::Live && (relays || !isRelay)
                    && std::find(out.begin(), out.end(), member.host_) == out.end())
                    out.push_back(member.host_);
            }
        };
        // In a domain with several groups the relays are loaded with reading and distributing the head, so
        // other hosts are preferred as observers.
        if (domain.groupCount_ > 1)
            add(group, domain.groupCount_, false);
        add(group, domain.groupCount_, true);
        add(0, 1, true);
        return out;
    }

    /// Returns the two relays that a member asks for the head. With more than two relays, each relay is
    /// connected to only a part of its domain.
    std::vector<std::string_view> assignedRelays(const Domain& domain, const Member& member)
    {
        constexpr size_t relaysPerMember = 2;
        const size_t count = domain.relays_.size();
        if (count <= relaysPerMember)
            return domain.relays_;
        const auto at = std::find(domain.members_.begin(), domain.members_.end(), &member);
        const auto first = static_cast<size_t>(at - domain.members_.begin());
        return { domain.relays_[first % count], domain.relays_[(first + 1) % count] };
    }

    /// The failure domains, and for each the other domains that observe it.
    struct ObservationPlan {
        std::map<std::string_view, Domain> domains_;
        std::map<std::string, std::vector<std::string>> observingDomains_;
    };

    ObservationPlan makeObservationPlan(const Head& head, const MembershipOptions& options)
    {
        return { domainsOf(head, options), observingDomains(head) };
    }

    /// Observers of a group of a failure domain, from this domain and from its observing domains.
    std::set<std::string> observersOfGroup(const ObservationPlan& plan, std::string_view domain, size_t group)
    {
        std::set<std::string> out;
        const auto add = [&](std::string_view name) {
            for (const std::string_view host : observersInDomain(plan.domains_.at(name), group))
                out.emplace(host);
        };
        add(domain);
        for (const std::string& other : plan.observingDomains_.at(std::string(domain)))
            add(other);
        return out;
    }

    std::set<std::string> observersOfMember(const ObservationPlan& plan, const Member& member)
    {
        const Domain& domain = plan.domains_.at(member.failureDomain_);
        const auto at = std::find(domain.members_.begin(), domain.members_.end(), &member);
        std::set<std::string> out = observersOfGroup(plan, member.failureDomain_,
            static_cast<size_t>(at - domain.members_.begin()) % domain.groupCount_);
        out.erase(member.host_);
        return out;
    }

    /// Adds the hosts that `observer` observes to `observed`, and all observers of these to `coObservers`.
    void collectObserved(const ObservationPlan& plan, std::string_view observer,
        std::set<std::string>& observed, std::set<std::string>& coObservers)
    {
        for (const auto& [name, domain] : plan.domains_) {
            for (size_t group = 0; group < domain.groupCount_; ++group) {
                const std::set<std::string> all = observersOfGroup(plan, name, group);
                if (all.count(std::string(observer)) == 0)
                    continue;
                coObservers.insert(all.begin(), all.end());
                for (size_t i = group; i < domain.members_.size(); i += domain.groupCount_)
                    observed.insert(domain.members_[i]->host_);
            }
        }
        observed.erase(std::string(observer));
        coObservers.erase(std::string(observer));
    }

} // namespace detail

std::vector<std::string> relaysOf(
    const Head& head, const MembershipOptions& options, std::string_view failureDomain)
{
    const auto domains = detail::domainsOf(head, options);
    const auto it = domains.find(failureDomain);
    if (it == domains.end())
        return {};
    return { it->second.relays_.begin(), it->second.relays_.end() };
}

std::map<std::string, std::vector<std::string>> observingDomains(const Head& head)
{
    constexpr size_t maxObservingDomains = 2;
    std::map<std::string, std::string> regionOf;
    for (const Member& member : head.members_)
        regionOf.try_emplace(member.failureDomain_, member.region_);
    std::map<std::string, std::vector<std::string>> out;
    std::map<std::string, size_t> observedCount;
    for (const bool sameRegion : { true, false }) {
        for (auto it = regionOf.begin(); it != regionOf.end(); ++it) {
            std::vector<std::string>& observing = out[it->first];
            std::vector<std::string> candidates;
            auto next = it;
            for (size_t i = 1; i < regionOf.size(); ++i) {
                if (++next == regionOf.end())
                    next = regionOf.begin();
                if ((next->second == it->second) == sameRegion)
                    candidates.push_back(next->first);
            }
            // Each domain observes about two others, so that no observer has several times the load of
            // another.
            std::stable_sort(
                candidates.begin(), candidates.end(), [&](const std::string& a, const std::string& b) {
                    return observedCount[a] < observedCount[b];
                });
            for (const std::string& candidate : candidates) {
                if (observing.size() < maxObservingDomains) {
                    observing.push_back(candidate);
                    ++observedCount[candidate];
                }
            }
        }
    }
    return out;
}

std::vector<std::string> observersOf(
    const Head& head, const MembershipOptions& options, std::string_view host)
{
    const Member* self = detail::findMember(head, host);
    if (!self)
        return {};
    const std::set<std::string> out
        = detail::observersOfMember(detail::makeObservationPlan(head, options), *self);
    return { out.begin(), out.end() };
}

std::vector<std::string> observedBy(
    const Head& head, const MembershipOptions& options, std::string_view observer)
{
    std::set<std::string> observed;
    std::set<std::string> coObservers;
    detail::collectObserved(detail::makeObservationPlan(head, options), observer, observed, coObservers);
    return { observed.begin(), observed.end() };
}

std::vector<std::string> peersOf(const Head& head, const MembershipOptions& options, std::string_view host)
{
    const Member* self = detail::findMember(head, host);
    if (!self)
        return {};
    const detail::ObservationPlan plan = detail::makeObservationPlan(head, options);
    const detail::Domain& own = plan.domains_.at(self->failureDomain_);
    const std::vector<std::string_view>& relays = own.relays_;
    std::set<std::string> out = detail::observersOfMember(plan, *self);
    for (const std::string_view relay : detail::assignedRelays(own, *self))
        out.emplace(relay);
    detail::collectObserved(plan, host, out, out);
    const auto rank = static_cast<size_t>(std::find(relays.begin(), relays.end(), host) - relays.begin());
    for (const auto& [name, domain] : plan.domains_) {
        // Relays of equal rank are fully meshed. Connecting all pairs of relays would cost 2 KB/s for pings
        // alone.
        if (rank < relays.size() && !domain.relays_.empty())
            out.emplace(domain.relays_[rank % domain.relays_.size()]);
        // A domain with more relays than this one connects its extra relays to this host by the rule above;
        // this adds the same connections from this side.
        for (size_t i = rank; rank < relays.size() && i < domain.relays_.size(); i += relays.size())
            out.emplace(domain.relays_[i]);
    }
    if (rank < relays.size()) {
        for (const Member* member : own.members_) {
            const auto assigned = detail::assignedRelays(own, *member);
            if (std::find(assigned.begin(), assigned.end(), host) != assigned.end())
                out.insert(member->host_);
        }
    }
    const bool fullMesh = head.members_.size() <= options.fullMeshLimit_;
    for (const Member& member : head.members_) {
        if (fullMesh && member.region_ == self->region_)
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
        // Messages of a process that has ended can still arrive, but not for as long as suspectAfter_.
        const bool stillRunning = now >= record.firstHeard_ + options.suspectAfter_
            && now < record.lastHeard_ + options.suspectAfter_;
        return stillRunning ? HeartbeatOutcome::DuplicateName : HeartbeatOutcome::Delayed;
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
    // After a pause of this host, earlier heartbeats may still be unread, so observation starts anew.
    const bool first = table.lastTick_ == TimePoint {};
    if (first || (options.detectPauses_ && now > table.lastTick_ + options.maxTickGap_))
        table.observingSince_ = now;
    table.lastTick_ = now;
}

SuspicionSummary summariseSuspicions(HeartbeatTable& table, const MembershipOptions& options,
    const Head& head, const std::string& observer, TimePoint now)
{
    SuspicionSummary out;
    out.relay_ = observer;
    const Member* self = detail::findMember(head, observer);
    if (!self)
        return out;
    out.failureDomain_ = self->failureDomain_;
    // The groups depend on the head only. Computing them at each tick would take 1% of a core with 810 hosts,
    // so they are kept until the version changes.
    if (head.version_ == 0 || head.version_ != table.observedHeadVersion_) {
        const std::vector<std::string> observed = observedBy(head, options, observer);
        std::erase_if(table.observedSince_, [&](const auto& entry) {
            return !std::binary_search(observed.begin(), observed.end(), entry.first);
        });
        for (const std::string& host : observed)
            table.observedSince_.try_emplace(host, now);
        table.observedHeadVersion_ = head.version_;
    }
    out.members_ = 1;
    out.heard_ = 1;
    for (const auto& [host, observedSince] : table.observedSince_) {
        const Member& member = *detail::findMember(head, host);
        TimePoint since = std::max(table.observingSince_, observedSince);
        const auto it = table.records_.find(host);
        const bool hasRecord = it != table.records_.end() && it->second.incarnation_ >= member.incarnation_;
        if (hasRecord)
            since = std::max(since, it->second.lastHeard_);
        // A heartbeat of a newer incarnation means that the listed process has ended.
        const bool replaced = hasRecord && it->second.incarnation_ > member.incarnation_;
        const bool heard = !replaced && now < since + options.suspectAfter_;
        ++out.members_;
        out.heard_ += heard ? 1 : 0;
        if (!heard && out.suspicions_.size() < maxSuspicions)
            out.suspicions_.push_back({ member.host_, member.incarnation_ });
    }
    return out;
}

std::vector<std::string> membersToRemove(
    const SuspicionLog& log, const MembershipOptions& options, const Head& head, TimePoint now)
{
    std::map<std::string, std::set<std::string>> domainsBySuspect;
    for (const auto& [observer, entry] : log) {
        const Member* from = detail::findMember(head, observer);
        if (!from || now >= entry.first + options.suspicionLifetime_)
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
    Head next = detail::makeNextHead(head, std::move(change));
    std::erase_if(next.members_, [&](const Member& m) { return detail::contains(hosts, m.host_); });
    return next;
}

Result<Head> withMember(const Head& head, const Member& member, const std::set<std::string>& heard)
{
    Head next = detail::makeNextHead(head, "join " + member.host_);
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
    Head next = detail::makeNextHead(head, "leave " + host);
    for (Member& member : next.members_) {
        if (member.host_ == host && member.incarnation_ == incarnation) {
            member.state_ = MemberState::Leaving;
            return next;
        }
    }
    return makeError(ErrorCode::NotFound, "leave: host " + host + " is not a member in this incarnation");
}

} // namespace turmericwing::control

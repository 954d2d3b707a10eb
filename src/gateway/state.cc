// Store clock, reports and region splits, computed from the gateway's state.
#include "turmericwing/gateway/state.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <unordered_map>

namespace turmericwing::gateway {

using routing::RegionLoad;
using routing::RegionSplit;

namespace detail {

    using Regions = std::map<std::string, RegionLoad>; ///< By region name.

    /// Longest gap between answers in which no entry lapses. Follow calls end after 3 s without a change, and
    /// entries lapse after 4.5 s of silence, of which up to 1.5 s may precede an outage.
    constexpr Duration maxStoreAnswerGap = std::chrono::milliseconds(3400);
    constexpr double demandTimeConstant = 1.5; ///< Seconds; of the smoothed demand.
    constexpr double initialSlotTime = 0.3; ///< Seconds for which a request occupies a slot, until measured.
    /// Utilisation of all capacity that is assumed before demand is measured, in equal parts by region.
    constexpr double assumedUtilisation = 0.6;
    /// Time after the last update without measured demand for which demand is assumed, while the measured
    /// demand lags.
    constexpr Duration assumedDemandPeriod = std::chrono::seconds(3);

    /// Fraction of a region's capacity that stays available to unbound requests, however many are bound to
    /// it. Without it the region's share would drop at once instead of in steps.
    constexpr double minUnboundFraction = 0.1;
    constexpr double minDemandSlots = 0.05; ///< Total demand in slots below which a service counts as idle.

    /// Adds the requests since the last update to the smoothed rate.
    void updateRate(DemandRate& demand, double elapsed)
    {
        if (elapsed <= 0)
            return;
        const double weight = 1 - std::exp(-elapsed / demandTimeConstant);
        demand.rate_ += weight * (demand.requestCount_ / elapsed - demand.rate_);
        demand.requestCount_ = 0;
    }

    /// Mean seconds for which a request occupies a slot.
    double slotSeconds(const ServiceDemand& demand)
    {
        return demand.slotSeconds_ > 0 ? demand.slotSeconds_ : initialSlotTime;
    }

    /// Slots that requests at the rate occupy: rate x slot time.
    double slots(const ServiceDemand& demand, const DemandRate& rate)
    {
        return rate.rate_ * (rate.slotSeconds_ > 0 ? rate.slotSeconds_ : slotSeconds(demand));
    }

    const ServiceReport* findService(const HostReport& report, uint32_t service)
    {
        const auto found = std::find_if(report.services_.begin(), report.services_.end(),
            [&](const ServiceReport& entry) { return entry.service_ == service; });
        return found == report.services_.end() ? nullptr : &*found;
    }

    /// Filter for the upstreams that count as the capacity of a service: the base version, or during a
    /// rollout the side with at least half of the traffic.
    VersionFilter majorityVersion(
        const State& state, const std::string& service, const ServicePool& pool, TimePoint now)
    {
        const auto ramp = state.rollouts_.ramps_.find(service);
        if (ramp == state.rollouts_.ramps_.end())
            return { .only_ = pool.baseVersion_ };
        const bool newIsMajority = !ramp->second.foundBad_
            && rollout::rampShare(ramp->second.ramp_, storeNow(state, now), ramp->second.evidence_) >= 0.5;
        return newIsMajority ? VersionFilter { .only_ = ramp->second.ramp_.version_ }
                             : VersionFilter { .except_ = ramp->second.ramp_.version_ };
    }

    /// Slots by region of the upstreams that may get requests now. Regions without any have a capacity of 0.
    Regions regionCapacities(
        const State& state, const std::string& service, const ServicePool& pool, TimePoint now)
    {
        Regions regions;
        const VersionFilter versions = majorityVersion(state, service, pool, now);
        const auto demand = state.demand_.find(service);
        const double slotTime = demand == state.demand_.end() ? initialSlotTime : slotSeconds(demand->second);
        std::map<std::string, double> counts;
        for (size_t i = 0; i < pool.targets_.size(); ++i) {
            const routing::Target& target = pool.targets_[i];
            const bool isAvailable = target.usable_ && !target.announced_.leaving_
                && versions.allows(target.version_) && now >= target.coldUntil_
                && !state.directory_.evacuated_.contains(target.failureDomain_);
            RegionLoad& region = regions[target.region_];
            region.region_ = target.region_;
            if (!isAvailable)
                continue;
            region.capacity_
                += usableSlots(state.upstreamLimits_, pool.records_[i], now, target.slots_, slotTime);
            const double count = ++counts[target.region_];
            region.upstreamSlots_ += (target.slots_ - region.upstreamSlots_) / count;
        }
        return regions;
    }

    /// How much longer a request may wait for a slot here than in another region, as a multiple of the time
    /// for which it holds one, until that region is better. Half of a round trip: one more request also
    /// lengthens the wait of others.
    double tolerableExtraWait(const State& state, const ServicePool& pool, const ServiceDemand& demand)
    {
        double wait = std::numeric_limits<double>::infinity();
        for (const routing::Target& target : pool.targets_) {
            if (target.region_ != state.settings_.region_)
                wait = std::min(wait, roundTrip(state, target) / 2 / slotSeconds(demand));
        }
        return wait;
    }

    void addUnboundDemand(Regions& regions, const std::string& name, double slots)
    {
        regions[name].region_ = name;
        regions[name].demand_ += slots;
    }

    /// Subtracts the slots of requests bound to a region from its capacity for unbound ones.
    void reserveCapacity(Regions& regions, uint32_t regionHash, double slots)
    {
        for (auto& [name, region] : regions) {
            if (shortHash(name) == regionHash)
                region.capacity_ = std::max(region.capacity_ * minUnboundFraction, region.capacity_ - slots);
        }
    }

    /// Adds the demand of this host and the heard peers to the regions.
    void addDemand(const State& state, const std::string& service, TimePoint now, Regions& regions)
    {
        std::map<uint32_t, double> bound;
        if (const auto own = state.demand_.find(service); own != state.demand_.end()) {
            addUnboundDemand(regions, state.settings_.region_, slots(own->second, own->second.unbound_));
            for (const auto& [home, rate] : own->second.bound_)
                bound[shortHash(home)] += slots(own->second, rate);
        }
        for (const HostReport* report : loadReports(state.fleet_, now, LeavingPeers::Excluded)) {
            const ServiceReport* entry = findService(*report, shortHash(service));
            if (!entry)
                continue;
            addUnboundDemand(regions, report->region_, entry->unboundDemand_);
            for (const auto& [home, number] : entry->boundDemand_)
                bound[home] += number;
        }
        for (const auto& [home, number] : bound)
            reserveCapacity(regions, home, number);
    }

    double totalDemand(const Regions& regions)
    {
        double demand = 0;
        for (const auto& [name, region] : regions)
            demand += region.demand_;
        return demand;
    }

    /// Raises the demand of each region to an equal part of the assumed utilisation. The measured rate rises
    /// only slowly at first; a region that keeps too many requests refuses some, while one that keeps too few
    /// only adds a round trip.
    void applyAssumedDemand(Regions& regions)
    {
        double capacity = 0;
        for (const auto& [name, region] : regions)
            capacity += region.capacity_;
        const double assumed = capacity * assumedUtilisation / static_cast<double>(regions.size());
        for (auto& [name, region] : regions)
            region.demand_ = std::max(region.demand_, assumed);
    }

    /// Split of a peer in this region, as the start value for a host that has just started; empty if none.
    RegionSplit peerSplit(
        const State& state, const std::string& service, TimePoint now, const Regions& regions)
    {
        for (const HostReport* report : loadReports(state.fleet_, now, LeavingPeers::Excluded)) {
            const ServiceReport* entry = findService(*report, shortHash(service));
            if (report->region_ != state.settings_.region_ || !entry || entry->split_.empty())
                continue;
            RegionSplit split;
            for (const auto& [hash, share] : entry->split_) {
                for (const auto& [name, region] : regions) {
                    if (shortHash(name) == hash)
                        split.push_back({ name, share });
                }
            }
            return split;
        }
        return {};
    }

} // namespace detail

void updateSplits(State& state, TimePoint now)
{
    const double elapsed = seconds(now - state.demandUpdatedAt_);
    state.demandUpdatedAt_ = now;
    for (const auto& [service, pool] : state.directory_.services_) {
        ServiceDemand& demand = state.demand_[service];
        detail::updateRate(demand.unbound_, elapsed);
        for (auto& [home, rate] : demand.bound_)
            detail::updateRate(rate, elapsed);
        auto regions = detail::regionCapacities(state, service, pool, now);
        std::vector<std::string> withoutCapacity;
        for (const auto& [name, region] : regions) {
            if (region.capacity_ <= 0)
                withoutCapacity.push_back(name);
        }
        detail::addDemand(state, service, now, regions);
        // Without requests no traffic moves, so the split may jump to the target as entries arrive.
        const bool idle = detail::totalDemand(regions) < detail::minDemandSlots;
        if (demand.split_.empty())
            demand.split_ = detail::peerSplit(state, service, now, regions);
        // Without a split to start from, this host's demand is as unmeasured as after an idle update, even if
        // peers already report theirs.
        if (idle || demand.split_.empty())
            demand.lastUnmeasuredAt_ = now;
        if (now < demand.lastUnmeasuredAt_ + detail::assumedDemandPeriod)
            detail::applyAssumedDemand(regions);
        std::vector<routing::RegionLoad> loads;
        loads.reserve(regions.size());
        for (const auto& [name, region] : regions)
            loads.push_back(region);
        routing::RegionSplitOptions options = state.splitOptions_;
        options.maxExtraWait_ = detail::tolerableExtraWait(state, pool, demand);
        const auto target = routing::targetSplit(options, state.settings_.region_, loads);
        if (idle) {
            demand.split_ = target;
            continue;
        }
        demand.split_ = routing::stepSplitTowards(
            state.splitOptions_, demand.split_, target, withoutCapacity, std::min(elapsed, 1.0));
    }
}

void recordTick(State& state, TimePoint now)
{
    if (now - state.tickedAt_ >= state.fleet_.options_.reportLifetime_)
        state.attentiveSince_ = now;
    state.tickedAt_ = now;
}

bool hasFleetView(const State& state, TimePoint now)
{
    if (now < state.attentiveSince_ + state.fleet_.options_.reportLifetime_)
        return false;
    const auto& peers = state.fleet_.peers_;
    return peers.empty() || std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
        return isAlive(entry.second, now);
    });
}

int64_t storeNow(const State& state, TimePoint now)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.storeReadAt_);
    return state.storeMs_ + since.count();
}

void storeAnswered(State& state, TimePoint now)
{
    if (now - state.storeAnsweredAt_ > detail::maxStoreAnswerGap)
        state.storeReachableSince_ = now;
    state.storeAnsweredAt_ = now;
}

uint32_t storeReachableMs(const State& state, TimePoint now)
{
    if (now - state.storeAnsweredAt_ > detail::maxStoreAnswerGap)
        return 0;
    const auto since
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.storeReachableSince_);
    return static_cast<uint32_t>(std::clamp<int64_t>(since.count(), 0, UINT32_MAX));
}

double roundTrip(const State& state, const routing::Target& target)
{
    const RoundTripDefaults& defaults = state.roundTripDefaults_;
    if (target.failureDomain_ == state.settings_.failureDomain_)
        return seconds(defaults.sameDomain_);
    if (target.region_ == state.settings_.region_)
        return seconds(defaults.sameRegion_);
    const auto measured = state.roundTrips_.find(target.region_);
    return measured == state.roundTrips_.end() ? seconds(defaults.otherRegion_) : measured->second;
}

HostCapacity hostCapacity(const Settings& settings)
{
    if (settings.cpuShare_ <= 0 || settings.cores_ <= 0)
        return {};
    return { .cores_ = settings.cpuShare_ * settings.cores_,
        .memoryMb_ = settings.memoryMb_,
        .linkMbps_ = settings.linkMbps_ };
}

namespace detail {

    /// Bytes of crashes in one message, at most. When many upstreams crash together, a message with all of
    /// them would be split into many packets, and is lost if one of these is.
    constexpr size_t maxCrashBytes = 1500;
    constexpr size_t crashOverheadBytes = 48; ///< Of an encoded crash, beside its texts and suspects.
    constexpr size_t suspectBytes = 32; ///< Of an encoded suspect.

    size_t encodedBytes(const routing::CrashReport& crash)
    {
        return crashOverheadBytes + crash.id_.host_.size() + crash.upstream_.size()
            + crash.suspects_.size() * suspectBytes;
    }

    /// Leaves the crashes that fit into a message, in turn from one message of the stream to the next.
    void limitCrashes(std::vector<routing::CrashReport>& crashes, size_t& reportedCount)
    {
        const size_t total = std::accumulate(crashes.begin(), crashes.end(), size_t { 0 },
            [](size_t sum, const routing::CrashReport& crash) { return sum + encodedBytes(crash); });
        if (total <= maxCrashBytes)
            return;
        std::vector<routing::CrashReport> chosen;
        size_t bytes = 0;
        while (chosen.size() < crashes.size()) {
            const routing::CrashReport& next = crashes[reportedCount % crashes.size()];
            bytes += encodedBytes(next);
            if (bytes > maxCrashBytes && !chosen.empty())
                break;
            chosen.push_back(next);
            ++reportedCount;
        }
        crashes = std::move(chosen);
    }

    HostReport makeUnlimitedReport(State&, TimePoint now, uint64_t sequence, ReportStream);

} // namespace detail

HostReport makeReport(State& state, TimePoint now, uint64_t sequence, ReportStream stream)
{
    HostReport report = detail::makeUnlimitedReport(state, now, sequence, stream);
    detail::limitCrashes(report.crashes_, state.reportedCrashes_[stream]);
    return report;
}

/// The report with all crashes.
HostReport detail::makeUnlimitedReport(State& state, TimePoint now, uint64_t sequence, ReportStream stream)
{
    HostReport report { .name_ = state.settings_.name_,
        .incarnation_ = state.incarnation_,
        .sequence_ = sequence,
        .callerAddress_ = state.settings_.callerAddress_,
        .peerAddress_ = state.settings_.peerAddress_,
        .region_ = state.settings_.region_,
        .failureDomain_ = state.settings_.failureDomain_,
        .ready_ = isReady(state),
        .leaving_ = isDraining(state),
        .reachesStore_ = state.reachesStore_,
        .storeReachableMs_ = storeReachableMs(state, now),
        .demands_ = takeDemandsToReport(state.quotas_, sequence, stream),
        .ramps_ = rampReports(state.rollouts_),
        .limits_
        = limitsToReport(state.upstreamLimits_, state.directory_, now, stream != ReportStream::Hosts),
        .capacity_ = hostCapacity(state.settings_) };
    for (const auto& [name, pool] : state.directory_.services_) {
        for (const routing::Target& target : pool.targets_) {
            if (target.inFlight_ > 0)
                report.inFlight_.push_back({ shortHash(target.id_), target.inFlight_ });
        }
    }
    for (const auto& [name, demand] : state.demand_) {
        ServiceReport service { shortHash(name), detail::slots(demand, demand.unbound_), {}, {} };
        for (const auto& [home, rate] : demand.bound_)
            service.boundDemand_.emplace_back(shortHash(home), detail::slots(demand, rate));
        for (const routing::RegionShare& entry : demand.split_)
            service.split_.emplace_back(shortHash(entry.region_), entry.share_);
        report.services_.push_back(std::move(service));
    }
    for (const ObservedCrash& crash : state.observedCrashes_) {
        if (now < crash.reportUntil_)
            report.crashes_.push_back(crash.report_);
    }
    return report;
}

DomainSummary makeSummary(State& state, TimePoint now, uint64_t sequence, ReportStream stream)
{
    DomainSummary summary { .sums_ = detail::makeUnlimitedReport(state, now, sequence, stream) };
    HostReport& sums = summary.sums_;
    summary.members_.push_back({ sums.name_, sums.callerAddress_, sums.peerAddress_, sums.ready_,
        sums.leaving_, sums.reachesStore_, sums.capacity_ });
    // The sums stay valid while other members serve; the members say who is leaving.
    sums.leaving_ = false;
    std::vector<const HostReport*> counted;
    for (const auto& [name, peer] : state.fleet_.peers_) {
        const HostReport& report = peer.report_;
        if (report.failureDomain_ != state.settings_.failureDomain_ || !isAlive(peer, now))
            continue;
        if (!report.leaving_)
            counted.push_back(&report);
        summary.members_.push_back({ name, report.callerAddress_, report.peerAddress_, report.ready_,
            report.leaving_, report.reachesStore_, report.capacity_ });
        addLoad(sums, report);
        sums.storeReachableMs_ = std::max(sums.storeReachableMs_, report.storeReachableMs_);
    }
    addEndedCounts(state.rollouts_, counted, sums);
    detail::limitCrashes(sums.crashes_, state.reportedCrashes_[stream]);
    return summary;
}

void applyPeerLoads(State& state, TimePoint now, const routing::PickOptions& options)
{
    struct PeerLoad {
        uint32_t inFlight_ = 0;
        uint32_t hosts_ = 0;
    };
    std::unordered_map<uint32_t, PeerLoad> loads;
    for (const HostReport* report : loadReports(state.fleet_, now, LeavingPeers::Included)) {
        for (const InFlight& entry : report->inFlight_) {
            PeerLoad& load = loads[entry.upstream_];
            load.inFlight_ += entry.count_;
            load.hosts_ += entry.hosts_;
        }
    }
    for (auto& [name, pool] : state.directory_.services_) {
        for (routing::Target& target : pool.targets_) {
            const PeerLoad load = loads[shortHash(target.id_)];
            target.peerInFlight_ = load.inFlight_;
            routing::renewAllowance(target, options, load.hosts_, state.random_);
        }
    }
}

} // namespace turmericwing::gateway

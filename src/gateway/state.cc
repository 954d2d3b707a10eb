// Views over the gateway's state.
#include "turmericwing/gateway/state.h"

#include <algorithm>
#include <unordered_map>

namespace turmericwing::gateway {

namespace detail {

    constexpr size_t mostAddresses = 64; ///< In an answer to a lookup.

    std::vector<std::string> addressesWhere(const State& state, TimePoint now, const std::string& region)
    {
        std::vector<std::string> addresses;
        const auto add = [&](const std::string& hostRegion, const Address& address) {
            if (region.empty() || hostRegion == region)
                addresses.push_back(addressText(address));
        };
        if (isReady(state))
            add(state.settings_.region_, state.settings_.callerAddress_);
        for (const HostReport* report : heardReports(state.fleet_, now)) {
            if (report->ready_)
                add(report->region_, report->callerAddress_);
        }
        return addresses;
    }

} // namespace detail

int64_t storeNow(const State& state, TimePoint now)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.storeReadAt_);
    return state.storeMs_ + since.count();
}

double roundTrip(const State& state, const routing::Target& target)
{
    const DistanceOptions& distance = state.distance_;
    if (target.failureDomain_ == state.settings_.failureDomain_)
        return seconds(distance.domain_);
    if (target.region_ == state.settings_.region_)
        return seconds(distance.region_);
    const auto measured = state.roundTrips_.find(target.region_);
    return measured == state.roundTrips_.end() ? seconds(distance.remote_) : measured->second;
}

std::vector<std::string> lookupAddresses(const State& state, TimePoint now, const LookupQuery& query)
{
    auto addresses = detail::addressesWhere(state, now, query.region_);
    if (addresses.empty())
        addresses = detail::addressesWhere(state, now, {});
    if (addresses.size() > detail::mostAddresses)
        addresses.resize(detail::mostAddresses);
    return addresses;
}

HostReport makeReport(const State& state, TimePoint now, uint64_t serial)
{
    HostReport report { .name_ = state.settings_.name_,
        .incarnation_ = state.incarnation_,
        .serial_ = serial,
        .callerAddress_ = state.settings_.callerAddress_,
        .peerAddress_ = state.settings_.peerAddress_,
        .region_ = state.settings_.region_,
        .failureDomain_ = state.settings_.failureDomain_,
        .ready_ = isReady(state),
        .leaving_ = state.draining_,
        .reachesStore_ = state.reachesStore_,
        .demands_ = demands(state.quotas_),
        .ramps_ = rampReports(state.rollouts_) };
    for (const auto& [name, pool] : state.directory_.services_) {
        for (const routing::Target& target : pool.targets_) {
            if (target.inFlight_ > 0)
                report.inFlight_.push_back({ shortHash(target.id_), target.inFlight_ });
        }
    }
    for (const OwnCrash& crash : state.ownCrashes_) {
        if (now < crash.toldUntil_)
            report.crashes_.push_back(crash.report_);
    }
    return report;
}

void applyPeerLoads(State& state, TimePoint now)
{
    std::unordered_map<uint32_t, uint32_t> loads;
    for (const auto& [name, peer] : state.fleet_.peers_) {
        if (!isHeard(peer, now))
            continue;
        for (const InFlight& entry : peer.report_.inFlight_)
            loads[entry.upstream_] += entry.count_;
    }
    for (auto& [name, pool] : state.directory_.services_) {
        for (routing::Target& target : pool.targets_) {
            const auto load = loads.find(shortHash(target.id_));
            target.peerInFlight_ = load == loads.end() ? 0 : load->second;
        }
    }
}

} // namespace turmericwing::gateway

// Choice of the hosts that the answer of a lookup names.
#include "turmericwing/gateway/lookupchoice.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace turmericwing::gateway {

namespace detail {

    /// Fewest hosts for a lookup response of one failure domain; allows failover.
    constexpr size_t minDomainHosts = 2;
    /// Most repeats of one host, however small the others are.
    constexpr size_t maxRepeats = 16;

    struct LookupHost {
        std::string address_;
        HostCapacity capacity_;
    };

    /// Ready hosts whose region and failure domain satisfy `isIncluded`.
    template <typename Predicate>
    std::vector<LookupHost> readyHosts(const State& state, TimePoint now, const Predicate& isIncluded)
    {
        std::vector<LookupHost> hosts;
        const Settings& own = state.settings_;
        if (isReady(state) && isIncluded(own.region_, own.failureDomain_))
            hosts.push_back({ addressText(own.callerAddress_), hostCapacity(own) });
        for (const HostReport* report : activeReports(state.fleet_, now)) {
            if (report->ready_ && isIncluded(report->region_, report->failureDomain_))
                hosts.push_back({ addressText(report->callerAddress_), report->capacity_ });
        }
        return hosts;
    }

    /// Hosts that may serve the caller: the nearest group that allows failover.
    std::vector<LookupHost> hostsNear(const State& state, TimePoint now, const LookupQuery& query)
    {
        auto hosts = readyHosts(state, now,
            [&](const std::string&, const std::string& domain) { return domain == query.failureDomain_; });
        if (hosts.size() >= minDomainHosts)
            return hosts;
        hosts = readyHosts(state, now,
            [&](const std::string& region, const std::string&) { return region == query.region_; });
        if (!hosts.empty())
            return hosts;
        return readyHosts(state, now, [](const std::string&, const std::string&) { return true; });
    }

    /// Lowers each multiple to that of one resource. `amountOf` returns the amount of a host.
    template <typename AmountOf>
    void limitMultiples(
        std::vector<double>& multiples, const std::vector<HostCapacity>& hosts, const AmountOf& amountOf)
    {
        double smallest = std::numeric_limits<double>::infinity();
        for (const HostCapacity& host : hosts)
            smallest = std::min(smallest, amountOf(host));
        for (size_t i = 0; i < hosts.size(); ++i) {
            const double multiple = smallest > 0 ? amountOf(hosts[i]) / smallest : 1;
            multiples[i] = std::min(multiples[i], multiple);
        }
    }

    std::vector<size_t> roundedRepeats(const std::vector<double>& multiples, size_t most)
    {
        /// A quotient of equal decimal fractions may be just below a whole number.
        constexpr double roundingSlack = 1e-6;
        std::vector<size_t> repeats;
        repeats.reserve(multiples.size());
        for (const double multiple : multiples)
            repeats.push_back(std::min(most, static_cast<size_t>(multiple + roundingSlack)));
        return repeats;
    }

    bool isWithinBounds(const LookupOptions& options, const std::vector<size_t>& repeats)
    {
        const size_t total = std::accumulate(repeats.begin(), repeats.end(), size_t { 0 });
        const size_t largest = *std::max_element(repeats.begin(), repeats.end());
        const double equalShare = 1.0 / static_cast<double>(repeats.size());
        const double maxShare = std::max(options.maxShare_, options.maxShareOfEqual_ * equalShare);
        return total <= options.maxAddresses_
            && static_cast<double>(largest) <= maxShare * static_cast<double>(total);
    }

} // namespace detail

std::vector<size_t> lookupRepeats(const LookupOptions& options, const std::vector<HostCapacity>& hosts)
{
    std::vector<double> multiples(hosts.size(), static_cast<double>(detail::maxRepeats));
    detail::limitMultiples(multiples, hosts, [](const HostCapacity& host) { return host.cores_; });
    detail::limitMultiples(multiples, hosts, [](const HostCapacity& host) { return host.linkMbps_; });
    detail::limitMultiples(multiples, hosts, [&](const HostCapacity& host) {
        return host.memoryMb_ <= 0 ? 0 : std::max(1.0, host.memoryMb_ - options.processMemoryMb_);
    });
    for (size_t most = detail::maxRepeats; most > 1; --most) {
        auto repeats = detail::roundedRepeats(multiples, most);
        if (!repeats.empty() && detail::isWithinBounds(options, repeats))
            return repeats;
    }
    return std::vector<size_t>(hosts.size(), 1);
}

std::vector<std::string> lookupAddresses(const State& state, TimePoint now, const LookupQuery& query)
{
    constexpr LookupOptions options;
    const auto hosts = detail::hostsNear(state, now, query);
    std::vector<HostCapacity> capacities;
    capacities.reserve(hosts.size());
    for (const detail::LookupHost& host : hosts)
        capacities.push_back(host.capacity_);
    const auto repeats = lookupRepeats(options, capacities);
    std::vector<std::string> addresses;
    // Every host is named once before any is repeated, for callers that use only the first addresses.
    for (size_t round = 0; round < detail::maxRepeats; ++round) {
        for (size_t i = 0; i < hosts.size(); ++i) {
            if (repeats[i] > round)
                addresses.push_back(hosts[i].address_);
        }
    }
    if (addresses.size() > options.maxAddresses_)
        addresses.resize(options.maxAddresses_);
    return addresses;
}

} // namespace turmericwing::gateway

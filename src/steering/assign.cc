// Rendezvous hashing with bounded loads, and rate-limited moves of blocks.
#include "turmericwing/steering/assign.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace turmericwing::steering {

namespace detail {

    /// Finaliser of SplitMix64. Combining two hashes with it costs a tenth of hashing their texts.
    uint64_t mixHash(uint64_t x)
    {
        x += 0x9e3779b97f4a7c15ull;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
        return x ^ (x >> 31);
    }

    struct SiteInfo {
        uint64_t hash_ = 0;
        double capacity_ = 1;
        uint16_t region_ = UINT16_MAX;
    };

    uint64_t blockHash(const model::ClientBlock& block)
    {
        return mixHash((uint64_t { block.prefix_ } << 8) | block.length_);
    }

    /// Weighted rendezvous hashing: an exponential variate whose rate is the site's capacity; the lowest one
    /// wins.
    double rendezvousCost(uint64_t block, const SiteInfo& site)
    {
        const double u = (static_cast<double>(mixHash(block ^ site.hash_) >> 11) + 0.5) * 0x1.0p-53;
        return -std::log(u) / site.capacity_;
    }

    /// Places blocks one by one and counts the blocks per site.
    struct Placement {
        const std::vector<SiteInfo>& sites_;
        std::vector<std::vector<SiteIndex>> regions_; ///< Sites of each region that are up.
        std::vector<SiteIndex> all_;
        std::vector<double> loadLimits_;
        std::vector<uint32_t> loads_;

        Placement(const std::vector<SiteInfo>& sites, size_t regions, size_t blocks, double maxLoadFactor,
            const std::vector<bool>& up)
            : sites_(sites)
            , regions_(regions)
            , loadLimits_(sites.size())
            , loads_(sites.size())
        {
            double capacity = 0;
            for (size_t i = 0; i < sites.size(); ++i)
                capacity += up[i] ? sites[i].capacity_ : 0;
            for (size_t i = 0; i < sites.size(); ++i) {
                if (!up[i])
                    continue;
                all_.push_back(static_cast<SiteIndex>(i));
                if (sites[i].region_ < regions)
                    regions_[sites[i].region_].push_back(static_cast<SiteIndex>(i));
                loadLimits_[i]
                    = std::ceil(maxLoadFactor * static_cast<double>(blocks) * sites[i].capacity_ / capacity);
            }
        }

        SiteIndex lowestCostSite(uint64_t block, const std::vector<SiteIndex>& candidates, bool bounded) const
        {
            SiteIndex out = noSite;
            double lowest = 0;
            for (const SiteIndex i : candidates) {
                if (bounded && loads_[i] + 1 > loadLimits_[i])
                    continue;
                const double siteCost = rendezvousCost(block, sites_[i]);
                if (out == noSite || siteCost < lowest) {
                    out = i;
                    lowest = siteCost;
                }
            }
            return out;
        }

        SiteIndex place(const model::ClientBlock& block)
        {
            const uint64_t hash = blockHash(block);
            SiteIndex out = noSite;
            if (block.region_ < regions_.size())
                out = lowestCostSite(hash, regions_[block.region_], true);
            if (out == noSite)
                out = lowestCostSite(hash, all_, true);
            if (out == noSite)
                out = lowestCostSite(hash, all_, false);
            if (out != noSite)
                ++loads_[out];
            return out;
        }
    };

    std::vector<SiteInfo> makeSiteInfos(const model::ObjectSet& set)
    {
        std::vector<SiteInfo> out;
        for (const model::Site& site : set.sites_) {
            SiteInfo info { hash64(site.name_), static_cast<double>(std::max<uint32_t>(site.capacity_, 1)),
                UINT16_MAX };
            if (const auto* domain = model::find(set.failureDomains_, site.failureDomain_)) {
                if (const auto* region = model::find(set.regions_, domain->region_))
                    info.region_ = static_cast<uint16_t>(region - set.regions_.data());
            }
            out.push_back(info);
        }
        return out;
    }

    std::vector<bool> upSites(const SteeringState& state)
    {
        std::vector<bool> up;
        for (const SiteHealth& health : state.health_)
            up.push_back(health.up_);
        return up;
    }

} // namespace detail

std::vector<SiteIndex> assignBlocks(
    const model::ObjectSet& set, const AssignOptions& options, const std::vector<bool>& up)
{
    const std::vector<detail::SiteInfo> sites = detail::makeSiteInfos(set);
    const auto& blocks = set.clientBlocks_;
    std::vector<SiteIndex> out(blocks.size(), noSite);
    // Blocks are placed in hash order, so that those that do not fit into a full region are spread evenly
    // over the address space.
    std::vector<std::pair<uint64_t, uint32_t>> order;
    order.reserve(blocks.size());
    for (size_t i = 0; i < blocks.size(); ++i)
        order.emplace_back(detail::blockHash(blocks[i]), static_cast<uint32_t>(i));
    std::sort(order.begin(), order.end());
    const auto place = [&](detail::Placement& placement, const auto& keep) {
        for (const auto& [hash, i] : order) {
            if (!keep(out[i]))
                out[i] = placement.place(blocks[i]);
        }
    };
    const size_t regions = set.regions_.size();
    if (options.keepHealthyBlocks_) {
        detail::Placement all(
            sites, regions, blocks.size(), options.maxLoadFactor_, std::vector<bool>(sites.size(), true));
        place(all, [](SiteIndex) { return false; });
        if (std::find(up.begin(), up.end(), false) == up.end())
            return out;
    }
    detail::Placement healthy(sites, regions, blocks.size(), options.maxLoadFactor_, up);
    const auto keep = [&](SiteIndex site) { return site != noSite && up[site]; };
    for (const SiteIndex site : out) {
        if (keep(site))
            ++healthy.loads_[site];
    }
    place(healthy, keep);
    return out;
}

SteeringState startSteering(const model::ObjectSet& set, const AssignOptions& options)
{
    SteeringState state;
    state.health_.resize(set.sites_.size());
    state.target_ = assignBlocks(set, options, detail::upSites(state));
    state.current_ = state.target_;
    return state;
}

SteeringState changeConfiguration(const SteeringState& state, const model::ObjectSet& before,
    const model::ObjectSet& after, const AssignOptions& options)
{
    SteeringState out;
    out.nextStepAt_ = state.nextStepAt_;
    out.health_.resize(after.sites_.size());
    std::vector<SiteIndex> renumbered(before.sites_.size(), noSite);
    for (size_t i = 0; i < before.sites_.size(); ++i) {
        if (const auto* site = model::find(after.sites_, before.sites_[i].name_)) {
            renumbered[i] = static_cast<SiteIndex>(site - after.sites_.data());
            out.health_[renumbered[i]] = state.health_[i];
        }
    }
    out.target_ = assignBlocks(after, options, detail::upSites(out));
    out.current_ = out.target_;
    const auto key = [](const model::ClientBlock& b) { return std::pair(b.prefix_, b.length_); };
    size_t old = 0;
    for (size_t i = 0; i < after.clientBlocks_.size(); ++i) {
        const auto blockKey = key(after.clientBlocks_[i]);
        while (old < before.clientBlocks_.size() && key(before.clientBlocks_[old]) < blockKey)
            ++old;
        if (old == before.clientBlocks_.size() || key(before.clientBlocks_[old]) != blockKey)
            continue;
        const SiteIndex site = state.current_[old];
        if (site != noSite && renumbered[site] != noSite)
            out.current_[i] = renumbered[site];
    }
    return out;
}

size_t advanceSteering(SteeringState& state, const model::ObjectSet& set, const AssignOptions& options,
    const std::vector<bool>& observed, TimePoint now)
{
    bool changed = false;
    for (size_t i = 0; i < state.health_.size() && i < observed.size(); ++i) {
        SiteHealth& health = state.health_[i];
        if (observed[i] != health.observed_) {
            health.observed_ = observed[i];
            health.effectiveAt_ = now + (observed[i] ? options.upHoldTime_ : options.downHoldTime_);
        }
        if (health.observed_ != health.up_ && now >= health.effectiveAt_) {
            health.up_ = health.observed_;
            changed = true;
        }
    }
    if (changed)
        state.target_ = assignBlocks(set, options, detail::upSites(state));
    if (now < state.nextStepAt_)
        return 0;
    const auto limit = std::max<size_t>(
        1, static_cast<size_t>(options.maxMovedFraction_ * static_cast<double>(state.current_.size())));
    size_t moved = 0;
    for (const bool siteDown : { true, false }) {
        for (size_t i = 0; i < state.current_.size() && moved < limit; ++i) {
            const SiteIndex site = state.current_[i];
            const bool down = site == noSite || !state.health_[site].up_;
            if (site == state.target_[i] || down != siteDown)
                continue;
            state.current_[i] = state.target_[i];
            ++moved;
        }
    }
    if (moved > 0)
        state.nextStepAt_ = now + options.stepInterval_;
    return moved;
}

} // namespace turmericwing::steering

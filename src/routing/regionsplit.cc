// Computes how a region's requests are distributed over regions.
#include "turmericwing/routing/regionsplit.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::routing {

namespace detail {

    bool containsName(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    double shareOf(const RegionSplit& split, const std::string& region)
    {
        const auto found = std::find_if(
            split.begin(), split.end(), [&](const RegionShare& entry) { return entry.region_ == region; });
        return found == split.end() ? 0 : found->share_;
    }

    void sortOwnFirst(const std::string& own, std::vector<RegionLoad>& loads)
    {
        std::sort(loads.begin(), loads.end(), [&](const RegionLoad& a, const RegionLoad& b) {
            if ((a.region_ == own) != (b.region_ == own))
                return a.region_ == own;
            return a.region_ < b.region_;
        });
    }

    /// Sets the shares of lost regions to 0 and scales the others to a sum of 1; all are 0 if none is left.
    RegionSplit removeLostRegions(const RegionSplit& split, const std::vector<std::string>& lost)
    {
        RegionSplit kept = split;
        double sum = 0;
        for (RegionShare& entry : kept) {
            if (containsName(lost, entry.region_))
                entry.share_ = 0;
            sum += entry.share_;
        }
        for (RegionShare& entry : kept)
            entry.share_ = sum > 0 ? entry.share_ / sum : 0;
        return kept;
    }

    /// Mean wait for one of `slots` at that utilisation with random arrivals and holding times, as a multiple
    /// of the holding time (Erlang C).
    double meanSlotWait(uint32_t slots, double utilisation)
    {
        const double offered = slots * utilisation;
        double blocked = 1;
        for (uint32_t i = 1; i <= slots; ++i)
            blocked = offered * blocked / (i + offered * blocked);
        const double waiting = blocked / (1 - utilisation * (1 - blocked));
        return waiting / (slots * (1 - utilisation));
    }

    /// Position in [0, 1) that depends on the lower digits of another one.
    double rescatter(double point)
    {
        constexpr double scale = 0x1.0p20;
        return point * scale - std::floor(point * scale);
    }

    struct Part {
        const std::string* region_ = nullptr;
        double share_ = 0;
    };

    /// The regions with a share that `homes` allows.
    std::vector<Part> partsOf(const RegionSplit& split, const std::vector<std::string>& homes)
    {
        std::vector<Part> parts;
        for (const RegionShare& entry : split) {
            if (entry.share_ > 0 && (homes.empty() || containsName(homes, entry.region_)))
                parts.push_back({ &entry.region_, entry.share_ });
        }
        return parts;
    }

    /// Utilisation up to which a region takes requests.
    double bearableUtilisation(const RegionSplitOptions& options, const RegionLoad& load, double mean)
    {
        return std::max(mean, utilisationWithinWait(options, load.upstreamSlots_, mean));
    }

} // namespace detail

double utilisationWithinWait(const RegionSplitOptions& options, double upstreamSlots, double elsewhere)
{
    constexpr double step = 0.05;
    constexpr double maxSlots = 64; ///< More slots than that wait less at any utilisation of interest.
    if (upstreamSlots < 1 || elsewhere >= options.targetUtilisation_)
        return options.targetUtilisation_;
    const auto slots = static_cast<uint32_t>(std::min(upstreamSlots, maxSlots));
    const double longest = options.maxExtraWait_ + detail::meanSlotWait(slots, elsewhere);
    double utilisation = options.targetUtilisation_;
    while (utilisation > options.minUtilisation_ && detail::meanSlotWait(slots, utilisation) > longest)
        utilisation -= step;
    return std::max(utilisation, options.minUtilisation_);
}

RegionSplit targetSplit(
    const RegionSplitOptions& options, const std::string& own, std::vector<RegionLoad> loads)
{
    detail::sortOwnFirst(own, loads);
    double capacity = 0;
    double demand = 0;
    for (const RegionLoad& load : loads) {
        capacity += load.capacity_;
        demand += load.demand_;
    }
    if (capacity <= 0)
        return {};
    const double mean = demand / capacity;
    const auto room = [&](const RegionLoad& load) {
        return load.capacity_ * detail::bearableUtilisation(options, load, mean);
    };
    const double ownDemand = loads.front().region_ == own ? loads.front().demand_ : 0;
    const double ownRoom = loads.front().region_ == own ? room(loads.front()) : 0;
    const double kept = ownDemand <= ownRoom ? 1 : ownRoom / ownDemand;
    double spare = 0;
    for (const RegionLoad& load : loads)
        spare += std::max(0.0, room(load) - load.demand_);
    RegionSplit split;
    for (const RegionLoad& load : loads) {
        const double freeCapacity = std::max(0.0, room(load) - load.demand_);
        const double share = load.region_ == own ? kept : spare > 0 ? (1 - kept) * freeCapacity / spare : 0;
        split.push_back({ load.region_, share });
    }
    // Rounding, or demand in a region without capacity, may leave the sum below 1; scaling assigns the
    // remainder to the regions with capacity.
    double sum = 0;
    for (const RegionShare& entry : split)
        sum += entry.share_;
    for (RegionShare& entry : split)
        entry.share_ = sum > 0 ? entry.share_ / sum : 1.0 / static_cast<double>(split.size());
    return split;
}

RegionSplit stepSplitTowards(const RegionSplitOptions& options, const RegionSplit& current,
    const RegionSplit& target, const std::vector<std::string>& lost, double seconds)
{
    const RegionSplit kept = detail::removeLostRegions(current, lost);
    const bool anyKept
        = std::any_of(kept.begin(), kept.end(), [](const RegionShare& entry) { return entry.share_ > 0; });
    if (!anyKept || target.empty())
        return target;
    double distance = 0;
    for (const RegionShare& entry : target)
        distance += std::abs(entry.share_ - detail::shareOf(kept, entry.region_)) / 2;
    const double step = distance > 0 ? std::min(1.0, options.stepPerSecond_ * seconds / distance) : 1;
    RegionSplit moved;
    double sum = 0;
    for (const RegionShare& entry : target) {
        const double from = detail::shareOf(kept, entry.region_);
        moved.push_back({ entry.region_, from + (entry.share_ - from) * step });
        sum += moved.back().share_;
    }
    for (RegionShare& entry : moved)
        entry.share_ = sum > 0 ? entry.share_ / sum : 0;
    return moved;
}

std::string regionAtPosition(const RegionSplit& split, const std::vector<std::string>& homes, double point)
{
    const std::vector<detail::Part> parts = detail::partsOf(split, homes);
    if (parts.empty())
        return {};
    double total = 0;
    for (const detail::Part& part : parts)
        total += part.share_;
    const double first = parts.front().share_;
    if (point * total < first)
        return *parts.front().region_;
    double at = detail::rescatter(point) * (total - first);
    for (size_t i = 1; i < parts.size(); ++i) {
        at -= parts[i].share_;
        if (at < 0)
            return *parts[i].region_;
    }
    return *parts.back().region_;
}

double splitPosition(uint64_t objectHash) { return static_cast<double>(objectHash >> 11) * 0x1.0p-53; }

} // namespace turmericwing::routing

// Estimates of response time and load behind the selection of an upstream.
#include "turmericwing/routing/pick.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::routing {

namespace detail {

    /// Combines the hashes of object and upstream with the finaliser of SplitMix64.
    uint64_t combineHashes(uint64_t object, uint64_t target)
    {
        uint64_t x = object + target * 0x9e3779b97f4a7c15U;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
        return x ^ (x >> 31);
    }

    bool insertPreferred(std::vector<Preferred>& regions, const Target& target, uint64_t object)
    {
        auto region = std::find_if(regions.begin(), regions.end(),
            [&](const Preferred& known) { return *known.region_ == target.region_; });
        if (region == regions.end())
            region = regions.insert(regions.end(), Preferred { &target.region_ });
        const Target* candidate = &target;
        uint64_t weight = combineHashes(object, target.hash_);
        for (size_t rank = 0; rank < std::size(region->targets_); ++rank) {
            if (region->targets_[rank] && region->weights_[rank] >= weight)
                continue;
            std::swap(region->targets_[rank], candidate);
            std::swap(region->weights_[rank], weight);
            if (!candidate)
                return true;
        }
        return candidate != &target;
    }

    double workFactor(const std::vector<Preferred>& regions, const Target& target, const PickOptions& options,
        const std::vector<uint64_t>* known)
    {
        const bool isKnown = known && std::find(known->begin(), known->end(), target.hash_) != known->end();
        for (const Preferred& region : regions) {
            for (size_t rank = 0; rank < std::size(region.targets_); ++rank) {
                if (region.targets_[rank] == &target)
                    return isKnown ? options.cachedWork_ : options.preferredWork_[rank];
            }
        }
        return 1;
    }

    bool contains(const std::vector<std::string>* list, const std::string& text)
    {
        return list && std::find(list->begin(), list->end(), text) != list->end();
    }

    Estimate expectedTime(const Target& target, const PickOptions& options, const PickRequest& request,
        TimePoint now, double roundTrip, double factor)
    {
        const double slots = std::max<uint32_t>(target.slots_, 1);
        const double load = expectedLoad(target, options, now);
        const double queuedPerSlot = std::max(0.0, load + 1 - slots) / slots;
        const double held = request.slotSeconds_ > 0 ? request.slotSeconds_ : 0.6 * request.missSeconds_;
        const double slowness = currentSlowness(target, options, now);
        const double coldFactor = now < target.coldUntil_ ? 2 : 1;
        // A failed request has to be retried, at the cost of another attempt.
        const double expectedAttempts = 1 / std::max(0.1, 1 - target.failureRate_);
        // Adds a small part of the work per request in flight, which spreads requests over equal targets.
        const double loadPenalty = 0.1 * load / slots;
        const double usualWork = slowness * coldFactor * expectedAttempts
            * (request.missSeconds_ * (factor + loadPenalty) + held * queuedPerSlot);
        return { .expected_
            = roundTrip + usualWork * workFactor(target.reportedLoad_, options.reportedLoad_, now),
            .usual_ = roundTrip + usualWork };
    }

    double extraWorkCost(const PickOptions& options, const PickRequest& request, double factor)
    {
        return options.extraWorkWeight_ * request.missSeconds_
            * std::max(0.0, factor - options.preferredWork_[0]);
    }

    bool isFirstChoice(const std::vector<Preferred>& regions, const Target& target)
    {
        return std::any_of(regions.begin(), regions.end(),
            [&](const Preferred& region) { return region.targets_[0] == &target; });
    }

    std::optional<Pick> selectCandidate(
        const std::vector<Candidate>& candidates, double margin, Random* random)
    {
        if (candidates.empty())
            return std::nullopt;
        const auto cheaper = [](const Candidate& a, const Candidate& b) { return a.cost_ < b.cost_; };
        const Candidate& best = *std::min_element(candidates.begin(), candidates.end(), cheaper);
        if (!random)
            return best.pick_;
        std::vector<const Candidate*> near;
        for (const Candidate& candidate : candidates) {
            if (candidate.cost_ <= best.cost_ + margin)
                near.push_back(&candidate);
        }
        const auto draw = [&] { return near[(*random)() % near.size()]; };
        const Candidate* const one = draw();
        const Candidate* const other = draw();
        return cheaper(*other, *one) ? other->pick_ : one->pick_;
    }

    uint32_t idleBound(const Target& target, const PickOptions& options, bool isCached)
    {
        const double part = isCached ? 1 : options.maxNonPreferredLoad_;
        return static_cast<uint32_t>(std::ceil(target.slots_ * part));
    }

} // namespace detail

double currentSlowness(const Target& target, const PickOptions& options, TimePoint now)
{
    const double age = seconds(now - target.slownessAt_);
    return 1 + (target.slowness_ - 1) * std::exp2(-age / seconds(options.slownessHalfLife_));
}

double expectedLoad(const Target& target, const PickOptions& options, TimePoint now)
{
    return totalInFlight(target) + hiddenLoad(target.reportedLoad_, options.reportedLoad_, now);
}

uint32_t maxLoad(const Target& target, const PickOptions& options)
{
    const auto bound = static_cast<uint32_t>(target.slots_ * options.maxOccupancy_);
    return std::max(bound, std::max<uint32_t>(target.slots_, 1));
}

uint32_t preferredMaxLoad(const Target& target, const PickOptions& options)
{
    return std::max(
        maxLoad(target, options), static_cast<uint32_t>(target.slots_ * options.firstChoiceOccupancy_));
}

void renewAllowance(Target& target, const PickOptions& options, uint32_t peers, Random& random)
{
    target.activeHosts_ = std::max(1.0 + peers, target.activeHosts_ * options.activeHostsDecay_);
    const double freeCapacity
        = std::max(0.0, target.slots_ * options.sharedOccupancy_ - totalInFlight(target));
    const double share = freeCapacity / target.activeHosts_;
    const double wholePart = std::floor(share);
    target.allowance_ = static_cast<uint32_t>(wholePart) + (uniform(random) < share - wholePart ? 1 : 0);
    // At least one: in a large fleet the share of a host is far below one request, while a host rarely has
    // two requests for the same upstream.
    if (totalInFlight(target) < preferredMaxLoad(target, options))
        target.allowance_ = std::max<uint32_t>(target.allowance_, 1);
}

void recordSent(Target& target)
{
    ++target.inFlight_;
    if (target.allowance_ > 0 && target.allowance_ != UINT32_MAX)
        --target.allowance_;
}

void recordEnded(Target& target)
{
    if (target.inFlight_ > 0)
        --target.inFlight_;
    if (target.allowance_ != UINT32_MAX)
        ++target.allowance_;
}

double excludeReportedWork(double observed, double usual, double factor)
{
    return observed <= usual ? observed : std::max(usual, observed / factor);
}

void recordAnswer(
    Target& target, const PickOptions& options, TimePoint now, double observed, double expected, bool failed)
{
    const double ratio = std::clamp(observed / std::max(expected, 0.001), 0.5, 20.0);
    const double current = currentSlowness(target, options, now);
    target.slowness_ = current + options.slownessWeight_ * (ratio - current);
    target.slownessAt_ = now;
    target.failureRate_ += options.failureWeight_ * ((failed ? 1 : 0) - target.failureRate_);
    target.consecutiveFailures_ = 0;
}

void recordConnectionFailure(Target& target, const PickOptions& options, TimePoint now)
{
    const Duration pause
        = options.initialBackoff_ * (1 << std::min<uint32_t>(target.consecutiveFailures_, 4));
    target.pausedUntil_ = std::max(target.pausedUntil_, now + std::min(pause, options.maxBackoff_));
    ++target.consecutiveFailures_;
    target.failureRate_ += options.failureWeight_ * (1 - target.failureRate_);
}

void recordRejection(Target& target, const PickOptions& options, TimePoint now)
{
    target.pausedUntil_ = std::max(target.pausedUntil_, now + options.fullBackoff_);
}

} // namespace turmericwing::routing

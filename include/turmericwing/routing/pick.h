// Selection of the upstream for one request by expected response time, with cache affinity by object.
// choice.h selects among upstreams on which the host holds slots.
//
// Upstreams respond faster for objects that they have handled recently. Rendezvous hashing gives each object
// the same few preferred upstreams of each region on every host without coordination, and the round trip
// favours the host's own region; a request goes elsewhere only when their queues cost more than a cache miss.
// The load of an upstream is the number of requests that this host and its peers have in flight there.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/routing/reportedload.h"
#include "turmericwing/routing/upstreamstate.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::routing {

struct PickOptions {
    double cachedWork_ = 0.3; ///< Work on a cache hit, as a fraction of the full work.
    /// Work, as a fraction of the full work, at an object's first, second and third preferred upstream of a
    /// region, if this host has not sent the object there recently but others may have.
    double preferredWork_[3] = { 0.35, 0.8, 0.9 };
    double slownessWeight_ = 0.2; ///< Weight of a new sample in the moving average.
    Duration slownessHalfLife_ = std::chrono::seconds(3); ///< Lets a slow upstream be tried again.
    double failureWeight_ = 0.15; ///< Weight of a new response in the moving average.
    /// After a failed connection; doubles with each further failure.
    Duration initialBackoff_ = std::chrono::milliseconds(400);
    Duration maxBackoff_ = std::chrono::seconds(4); ///< Upper limit of the doubling.
    Duration fullBackoff_ = std::chrono::milliseconds(60); ///< After the upstream rejected a request as full.
    /// Load per slot up to which an upstream accepts objects that have preferred upstreams elsewhere. Above
    /// it they would evict the upstream's own objects from its cache.
    double maxNonPreferredLoad_ = 0.6;
    /// Requests in flight per slot at which an upstream counts as full.
    double maxOccupancy_ = 1.34;
    /// Requests per slot up to which the allowances of the hosts fill an upstream. Upstreams queue three
    /// times their slots, and lower allowances leave slots idle.
    double sharedOccupancy_ = 2.2;
    /// Requests per slot at which the first preferred upstream of an object counts as full. Other upstreams
    /// would have to repeat the whole work, which under overload takes more slot time than waiting in the
    /// queue.
    double firstChoiceOccupancy_ = 2.67;
    /// Weight of the slot time that a request takes beyond that at its first preferred upstream.
    double extraWorkWeight_ = 1;
    double activeHostsDecay_ = 0.93; ///< Factor applied to activeHosts_ by each renewAllowance().
    ReportedLoadOptions reportedLoad_ {}; ///< Ageing of what upstreams report.
    /// Costs that differ by less than this part of the work on a cache miss are nearly equal.
    double nearCost_ = 0.25;
    bool affinity_ = true; ///< False ignores the object. For tests only, as a baseline.
};

/// State of one upstream as seen by this host.
struct Target {
    std::string id_;
    uint64_t hash_ = 0; ///< Hash of id_, for rendezvous hashing.
    std::string region_;
    std::string failureDomain_;
    std::string version_;
    uint32_t slots_ = 1;
    bool usable_ = true; ///< False while its entry says that it is leaving, or is missing.
    AnnouncedState announced_ {}; ///< What its own answers said; it is used only while Serving.
    uint32_t inFlight_ = 0; ///< Requests of this host.
    uint32_t peerInFlight_ = 0; ///< Requests of the other hosts, as last reported.
    double activeHosts_ = 1; ///< Hosts that have used it recently, this one included; decays.
    /// Requests that this host may send before the next reports of its peers; UINT32_MAX is unlimited.
    /// Without it all hosts would fill the same free capacity at once, because reports are a tenth of a
    /// second old.
    uint32_t allowance_ = UINT32_MAX;
    TimePoint coldUntil_ {}; ///< End of the cold start; `permit` limits the rate until then.
    TimePoint pausedUntil_ {}; ///< End of the backoff.
    uint32_t consecutiveFailures_ = 0;
    double slowness_ = 1; ///< Moving average of observed / expected time; at least 0.5.
    TimePoint slownessAt_ {}; ///< Last sample.
    double failureRate_ = 0; ///< Moving average over attempts, in [0, 1].
    ReportedLoad reportedLoad_ {}; ///< What its answers last said of its load.
};

struct PickRequest {
    std::string region_; ///< Region of this host.
    std::optional<uint64_t> object_; ///< Hash of the object that the request concerns.
    const std::vector<std::string>* homeRegions_ = nullptr; ///< Empty or absent: any region.
    const std::vector<std::string>* except_ = nullptr; ///< Ids that were already tried.
    /// Hashes of the upstreams to which this host has recently sent the object.
    const std::vector<uint64_t>* known_ = nullptr;
    bool allowNonPreferred_ = false; ///< Also allows upstreams that are not preferred for the object.
    double missSeconds_ = 0.4; ///< Seconds that an idle upstream takes on a cache miss.
    double slotSeconds_ = 0; ///< Mean seconds that a request holds a slot; 0 if unknown.
    /// Spreads requests without an object over targets of nearly equal cost. Null: the lowest cost decides.
    Random* random_ = nullptr;
    bool idleOnly_ = false; ///< Only upstreams with an idle slot; see idleBound().
};

/// The selected target.
struct Pick {
    size_t index_ = 0; ///< Index in the list of targets.
    double expectedSeconds_ = 0; ///< Seconds until the response.
    double usualSeconds_ = 0; ///< The same if work took the usual time there.
    bool isPreferred_ = false; ///< The upstream is a preferred one for the object.
};

/// Decision of `permit` on a target, in increasing order.
enum class Permission {
    Never, ///< Not for this request, for example because of its version.
    Later, ///< Not now, for example because a cold target has used up its rate.
    Now,
};

/// Why no upstream was selected.
enum class PickFailure {
    None, ///< An upstream was selected.
    NoneUsable, ///< No target may run the request.
    NoneAvailable ///< Some targets may run the request, but none now.
};

struct PickResult {
    std::optional<Pick> pick_;
    PickFailure failure_ = PickFailure::None;
};

/// Selects the target with the lowest expected cost, or tells why there is none. `permit` returns the
/// Permission of a target and must have no side effects. `roundTrip` returns the network round trip to a
/// target in seconds. For a request with an object, only the up to three preferred targets of each region are
/// considered, and others only if the request allows it or no preferred one is usable.
template <typename Permit, typename RoundTripTo>
PickResult pickTarget(const std::vector<Target>&, const PickOptions&, const PickRequest&, TimePoint now,
    const Permit&, const RoundTripTo&);

/// The earliest end of a pause, if every target that `isAllowed` admits has announced a pause or its leaving,
/// and at least one a pause.
template <typename IsAllowed>
std::optional<TimePoint> earliestPauseEnd(
    const std::vector<Target>&, TimePoint now, const IsAllowed& isAllowed);

/// Seconds that an attempt would have taken if work had taken the usual time, when `usual` were expected. The
/// upstream has reported a work factor of `factor`; only what exceeds `usual` can be due to it.
double excludeReportedWork(double observed, double usual, double factor);

/// Records a response that took `observed` seconds where `expected` were estimated. `failed` marks a response
/// that reports a failure of the upstream.
void recordAnswer(Target&, const PickOptions&, TimePoint now, double observed, double expected, bool failed);

/// Records a failed or broken connection, or that another upstream than the expected one answered; backs off
/// exponentially.
void recordConnectionFailure(Target&, const PickOptions&, TimePoint now);

/// Records that the upstream rejected a request as full; backs off for fullBackoff_.
void recordRejection(Target&, const PickOptions&, TimePoint now);

/// The slowness, decayed towards 1 since its last sample.
double currentSlowness(const Target&, const PickOptions&, TimePoint now);

/// Requests in flight at the upstream from all hosts.
inline uint32_t totalInFlight(const Target& target) { return target.inFlight_ + target.peerInFlight_; }

/// Requests at the upstream from all hosts and, by its last report, from unknown callers.
double expectedLoad(const Target&, const PickOptions&, TimePoint now);

/// Load at which the target counts as full; at least its slots.
uint32_t maxLoad(const Target&, const PickOptions&);

/// Load at which the target counts as full for objects whose first preferred upstream it is.
uint32_t preferredMaxLoad(const Target&, const PickOptions&);

/// Sets the allowance after new reports, in which `peers` other hosts have requests in flight at the target:
/// an equal share of the free capacity, its fraction rounded at random. Recently active peers still count for
/// a while. At least 1 while the target is below its preferredMaxLoad().
void renewAllowance(Target&, const PickOptions&, uint32_t peers, Random&);

/// Count a request as sent or ended. A host may reuse the capacity that its own requests free.
void recordSent(Target&);
void recordEnded(Target&);

namespace detail {

    /// The up to three upstreams of one region with the highest rendezvous weights for an object, best first.
    struct Preferred {
        const std::string* region_ = nullptr;
        const Target* targets_[3] = {};
        uint64_t weights_[3] = {};
    };

    /// Fraction of the full work that the object takes at this target; 1 if the target is not preferred.
    double workFactor(
        const std::vector<Preferred>&, const Target&, const PickOptions&, const std::vector<uint64_t>* known);

    /// Adds the target to its region's list if its weight is among the highest; returns whether it did.
    bool insertPreferred(std::vector<Preferred>&, const Target&, uint64_t object);

    bool contains(const std::vector<std::string>* list, const std::string& text);

    /// Seconds until a response.
    struct Estimate {
        double expected_ = 0;
        double usual_ = 0; ///< If work took the usual time.
    };

    /// Estimate from network, work, queue, slowness and failures.
    Estimate expectedTime(const Target&, const PickOptions&, const PickRequest&, TimePoint now,
        double roundTrip, double factor);

    /// Weighted seconds of slot time beyond those at the first preferred upstream.
    double extraWorkCost(const PickOptions&, const PickRequest&, double factor);

    bool isFirstChoice(const std::vector<Preferred>&, const Target&);

    /// A target that could be selected.
    struct Candidate {
        Pick pick_ {};
        double cost_ = 0; ///< Weighted seconds.
    };

    /// The candidate of the lowest cost, or the cheaper one of two that are drawn from those within `margin`
    /// of it; nothing without candidates. Hosts that know the same loads would otherwise all select the same
    /// target.
    std::optional<Pick> selectCandidate(const std::vector<Candidate>&, double margin, Random*);

    /// Load below which the target has an idle slot. Where the object is probably not cached, some slots are
    /// left for the objects that are.
    uint32_t idleBound(const Target&, const PickOptions&, bool isCached);

} // namespace detail

template <typename Permit, typename RoundTripTo>
PickResult pickTarget(const std::vector<Target>& targets, const PickOptions& options,
    const PickRequest& request, TimePoint now, const Permit& permit, const RoundTripTo& roundTrip)
{
    const auto isCandidate = [&](const Target& target) {
        const bool home = !request.homeRegions_ || request.homeRegions_->empty()
            || detail::contains(request.homeRegions_, target.region_);
        const bool serving = statusAt(target.announced_, now) == UpstreamStatus::Serving;
        return target.usable_ && serving && home && !detail::contains(request.except_, target.id_)
            && permit(target) != Permission::Never;
    };
    const bool byObject = request.object_ && options.affinity_;
    std::vector<detail::Preferred> preferred;
    bool anyPreferred = false;
    if (byObject) {
        for (const Target& target : targets) {
            if (isCandidate(target) && now >= target.pausedUntil_)
                anyPreferred = detail::insertPreferred(preferred, target, *request.object_) || anyPreferred;
        }
    }
    PickResult result;
    bool anyUsable = false;
    std::vector<detail::Candidate> candidates;
    for (size_t i = 0; i < targets.size(); ++i) {
        const Target& target = targets[i];
        if (!isCandidate(target))
            continue;
        anyUsable = true;
        const double factor = byObject ? detail::workFactor(preferred, target, options, request.known_) : 1;
        const bool nonPreferred = byObject && anyPreferred && factor >= 1;
        if (nonPreferred
            && (!request.allowNonPreferred_
                || totalInFlight(target) >= options.maxNonPreferredLoad_ * target.slots_))
            continue;
        const bool first = byObject && detail::isFirstChoice(preferred, target);
        uint32_t bound = first ? preferredMaxLoad(target, options) : maxLoad(target, options);
        if (request.idleOnly_)
            bound = detail::idleBound(target, options, first || !byObject);
        if (now < target.pausedUntil_ || target.allowance_ == 0 || totalInFlight(target) >= bound
            || permit(target) != Permission::Now)
            continue;
        const detail::Estimate estimate
            = detail::expectedTime(target, options, request, now, roundTrip(target), factor);
        const double cost
            = estimate.expected_ + (byObject ? detail::extraWorkCost(options, request, factor) : 0);
        candidates.push_back({ { i, estimate.expected_, estimate.usual_, factor < 1 }, cost });
    }
    result.pick_ = detail::selectCandidate(
        candidates, options.nearCost_ * request.missSeconds_, byObject ? nullptr : request.random_);
    if (!result.pick_)
        result.failure_ = anyUsable ? PickFailure::NoneAvailable : PickFailure::NoneUsable;
    return result;
}

template <typename IsAllowed>
std::optional<TimePoint> earliestPauseEnd(
    const std::vector<Target>& targets, TimePoint now, const IsAllowed& isAllowed)
{
    std::optional<TimePoint> end;
    for (const Target& target : targets) {
        if (!target.usable_ || !isAllowed(target))
            continue;
        const UpstreamStatus status = statusAt(target.announced_, now);
        if (status == UpstreamStatus::Serving)
            return std::nullopt;
        if (status == UpstreamStatus::Paused)
            end = std::min(end.value_or(TimePoint::max()), target.announced_.pausedUntil_);
    }
    return end;
}

} // namespace turmericwing::routing

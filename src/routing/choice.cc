// Load balancing among upstreams: scoring, slow start, outlier ejection and link budgets.
#include "turmericwing/routing/choice.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::routing {

namespace detail {

    /// Weight in (0, 1] of the estimates, which halves with every half-life since the last update.
    double estimateFreshness(const ChoiceOptions& options, const UpstreamState& upstream, TimePoint now)
    {
        const double age = seconds(now - upstream.estimatedAt_) / seconds(options.estimateHalfLife_);
        return std::exp2(-std::max(0.0, age));
    }

    /// Number of the service's upstreams that are not draining, ejected ones included.
    size_t usableCount(const ChoiceTable& table, const std::string& service)
    {
        return static_cast<size_t>(
            std::count_if(table.upstreams_.begin(), table.upstreams_.end(), [&](const auto& entry) {
                return entry.second.service_ == service && !entry.second.drain_.any();
            }));
    }

    size_t ejectedCount(const ChoiceTable& table, const std::string& service, TimePoint now)
    {
        return static_cast<size_t>(
            std::count_if(table.upstreams_.begin(), table.upstreams_.end(), [&](const auto& entry) {
                const UpstreamState& upstream = entry.second;
                return upstream.service_ == service && !upstream.drain_.any() && isEjected(upstream, now);
            }));
    }

    bool withinEjectionLimit(const ChoiceTable& table, const std::string& service, size_t ejected)
    {
        const double maxEjected
            = table.options_.maxEjectedFraction_ * static_cast<double>(usableCount(table, service));
        return static_cast<double>(ejected) <= maxEjected;
    }

    /// Ends ejections early, those with the earliest expiry first, until the limit holds.
    void enforceEjectionLimit(ChoiceTable& table, const std::string& service, TimePoint now)
    {
        while (!withinEjectionLimit(table, service, ejectedCount(table, service, now))) {
            UpstreamState* earliest = nullptr;
            for (auto& [name, upstream] : table.upstreams_) {
                if (upstream.service_ != service || upstream.drain_.any() || !isEjected(upstream, now))
                    continue;
                if (!earliest || upstream.ejectedUntil_ < earliest->ejectedUntil_)
                    earliest = &upstream;
            }
            if (!earliest)
                return;
            earliest->ejectedUntil_ = now;
        }
    }

    void eject(ChoiceTable& table, UpstreamState& upstream, TimePoint now)
    {
        if (!withinEjectionLimit(table, upstream.service_, ejectedCount(table, upstream.service_, now) + 1))
            return;
        upstream.ejectedUntil_
            = now + table.options_.baseEjectionTime_ * (1 << std::min(upstream.ejections_, 4u));
        ++upstream.ejections_;
        upstream.samples_ = 0; // Latency is measured afresh once the ejection ends.
    }

    /// Whether the latency exceeds a multiple of the median of the service's other upstreams.
    bool isLatencyOutlier(const ChoiceTable& table, const UpstreamState& upstream)
    {
        const ChoiceOptions& options = table.options_;
        if (options.ejectLatencyRatio_ <= 0 || upstream.samples_ < options.minLatencySamples_
            || upstream.meanLatency_ < seconds(options.minOutlierLatency_))
            return false;
        std::vector<double> others;
        for (const auto& [name, other] : table.upstreams_) {
            if (other.service_ == upstream.service_ && name != upstream.name_ && !other.drain_.any()
                && other.samples_ >= options.minLatencySamples_)
                others.push_back(other.meanLatency_);
        }
        if (others.size() < 2)
            return false;
        const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
        std::nth_element(others.begin(), middle, others.end());
        return upstream.meanLatency_ > options.ejectLatencyRatio_ * *middle;
    }

    double availableBytes(const LinkBudget& link, TimePoint now)
    {
        const double refill = link.bytesPerSecond_ * std::max(0.0, seconds(now - link.updatedAt_));
        return std::min(
            link.burstBytes_, link.availableBytes_ + (link.updatedAt_ == TimePoint {} ? 0 : refill));
    }

    /// Cost of another request; the lowest is best.
    double score(
        const ChoiceTable& table, const UpstreamState& upstream, TimePoint now, uint32_t bound, double mean)
    {
        const double freshness = estimateFreshness(table.options_, upstream, now);
        double latency = 1;
        if (upstream.samples_ > 0 && mean > 0)
            latency = 1 + freshness * (std::clamp(upstream.meanLatency_ / mean, 0.5, 4.0) - 1);
        const double errors = 1 + 10 * freshness * upstream.errorRate_;
        return (upstream.inFlight_ + 1.0) / bound * latency * errors;
    }

} // namespace detail

void addUpstream(ChoiceTable& table, TimePoint now, const std::string& name, const std::string& service,
    const std::string& region, bool cold)
{
    UpstreamState upstream;
    upstream.name_ = name;
    upstream.service_ = service;
    upstream.region_ = region;
    upstream.coldUntil_ = cold ? now + table.options_.slowStartDuration_ : now;
    upstream.estimatedAt_ = now;
    table.upstreams_.try_emplace(name, upstream);
}

void removeUpstream(ChoiceTable& table, TimePoint now, const std::string& name)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end())
        return;
    const std::string service = found->second.service_;
    table.upstreams_.erase(found);
    detail::enforceEjectionLimit(table, service, now);
}

void setDrain(ChoiceTable& table, TimePoint now, const std::string& name, DrainReasons reasons)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end())
        return;
    UpstreamState& upstream = found->second;
    if (upstream.drain_.any() && !reasons.any()) {
        upstream.coldUntil_ = now + table.options_.slowStartDuration_;
        upstream.samples_ = 0;
        upstream.errorRate_ = 0;
        upstream.consecutiveErrors_ = 0;
    }
    upstream.drain_ = reasons;
    detail::enforceEjectionLimit(table, upstream.service_, now);
}

void recordUsableFraction(ChoiceTable& table, TimePoint now, const std::string& name, double usable)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end() || std::isnan(usable))
        return;
    found->second.reportedFraction_ = std::clamp(usable, table.options_.minReportedFraction_, 1.0);
    found->second.reportExpires_ = now + table.options_.reportTtl_;
}

bool linkAllows(const LinkBudget& link, TimePoint now, double bytes)
{
    return detail::availableBytes(link, now) >= bytes;
}

void chargeLink(LinkBudget& link, TimePoint now, double bytes)
{
    link.availableBytes_ = detail::availableBytes(link, now) - bytes;
    link.updatedAt_ = now;
}

bool isEjected(const UpstreamState& upstream, TimePoint now) { return now < upstream.ejectedUntil_; }

uint32_t effectiveBound(const ChoiceTable& table, const UpstreamState& upstream, TimePoint now, uint32_t held)
{
    double fraction = 1;
    if (now < upstream.reportExpires_)
        fraction = std::min(fraction, upstream.reportedFraction_);
    const double total = seconds(table.options_.slowStartDuration_);
    if (now < upstream.coldUntil_ && total > 0) {
        const double done = 1 - seconds(upstream.coldUntil_ - now) / total;
        fraction = std::min(fraction, std::max(table.options_.slowStartMinFraction_, done));
    }
    if (fraction >= 1)
        return held;
    // The rounding offset depends on host and upstream: with plain rounding, hosts that hold one slot each
    // would all round alike, and their sum would not follow the fraction.
    const double offset = static_cast<double>(hash64(upstream.name_, hash64(table.host_)) >> 11) * 0x1.0p-53;
    return std::min(held, static_cast<uint32_t>(std::floor(fraction * held + offset)));
}

std::optional<std::string> chooseUpstream(const ChoiceTable& table, TimePoint now,
    const ChoiceRequest& request, const std::vector<SlotCount>& slots,
    const std::map<std::string, LinkBudget>& links, Random& random)
{
    double sum = 0;
    size_t known = 0;
    for (const auto& [name, upstream] : table.upstreams_) {
        if (upstream.service_ != request.service_ || upstream.samples_ == 0)
            continue;
        sum += upstream.meanLatency_;
        ++known;
    }
    const double mean = known > 0 ? sum / static_cast<double>(known) : 0;

    struct Candidate {
        const UpstreamState* upstream_;
        double score_;
    };
    // In order of preference: own region, other regions, the upstream of the failed attempt.
    std::vector<Candidate> tiers[3];
    bool otherInService = false;
    for (const SlotCount& count : slots) {
        const auto found = table.upstreams_.find(count.upstream_);
        if (found == table.upstreams_.end())
            continue;
        const UpstreamState& upstream = found->second;
        if (upstream.service_ != request.service_ || upstream.drain_.any() || isEjected(upstream, now)
            || now < upstream.pausedUntil_)
            continue;
        const bool local = upstream.region_ == request.region_;
        if (!local) {
            const auto link = links.find(upstream.region_);
            if (link == links.end() || !linkAllows(link->second, now, request.bytes_))
                continue;
        }
        const bool failedBefore = upstream.name_ == request.except_;
        otherInService = otherInService || !failedBefore;
        if (count.free_ == 0)
            continue;
        const uint32_t bound = effectiveBound(table, upstream, now, count.held_);
        if (upstream.inFlight_ >= bound)
            continue;
        const double score = table.options_.useLoad_ ? detail::score(table, upstream, now, bound, mean) : 1;
        tiers[failedBefore ? 2 : (local ? 0 : 1)].push_back({ &upstream, score });
    }
    if (request.waitForOther_ && otherInService)
        tiers[2].clear();
    for (std::vector<Candidate>& tier : tiers) {
        if (tier.empty())
            continue;
        const double lowest = std::min_element(tier.begin(), tier.end(), [](const auto& a, const auto& b) {
            return a.score_ < b.score_;
        })->score_;
        // Ignores differences within the noise of the estimates; otherwise an idle host would send everything
        // to one upstream.
        std::erase_if(
            tier, [&](const Candidate& c) { return c.score_ > lowest * table.options_.tieFactor_; });
        return tier[random() % tier.size()].upstream_->name_;
    }
    return std::nullopt;
}

void beginRequest(ChoiceTable& table, const std::string& name)
{
    const auto found = table.upstreams_.find(name);
    if (found != table.upstreams_.end())
        ++found->second.inFlight_;
}

void endRequest(ChoiceTable& table, TimePoint now, const std::string& name, Outcome outcome, Duration latency,
    Duration retryAfter)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end())
        return;
    UpstreamState& upstream = found->second;
    const ChoiceOptions& options = table.options_;
    upstream.inFlight_ -= upstream.inFlight_ > 0 ? 1 : 0;
    if (outcome == Outcome::Ignored)
        return;
    if (outcome == Outcome::Overload) {
        const Duration pause = retryAfter > Duration::zero() ? retryAfter : options.overloadBackoff_;
        // Retries after at most one second, even if the upstream asks for more.
        upstream.pausedUntil_ = now + std::min<Duration>(pause, std::chrono::seconds(1));
        return;
    }
    const bool failed = outcome == Outcome::Error;
    const double weight = options.newSampleWeight_;
    const double old = upstream.errorRate_ * detail::estimateFreshness(options, upstream, now);
    upstream.errorRate_ = old + weight * ((failed ? 1 : 0) - old);
    upstream.estimatedAt_ = now;
    if (failed) {
        ++upstream.consecutiveErrors_;
        if (options.ejectAfterErrors_ > 0 && upstream.consecutiveErrors_ >= options.ejectAfterErrors_
            && !isEjected(upstream, now)) {
            detail::eject(table, upstream, now);
            // The first error after the ejection ejects the upstream again, for longer.
            upstream.consecutiveErrors_ = options.ejectAfterErrors_ - 1;
        }
        return;
    }
    upstream.consecutiveErrors_ = 0;
    const double sample = seconds(latency);
    const double sampleWeight = upstream.samples_ < 1 / weight ? 1.0 / (upstream.samples_ + 1) : weight;
    upstream.meanLatency_ += sampleWeight * (sample - upstream.meanLatency_);
    ++upstream.samples_;
    if (!isEjected(upstream, now) && detail::isLatencyOutlier(table, upstream))
        detail::eject(table, upstream, now);
    else if (upstream.samples_ >= 10 * options.minLatencySamples_)
        upstream.ejections_ = 0;
}

void revertError(ChoiceTable& table, const std::string& name)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end())
        return;
    UpstreamState& upstream = found->second;
    upstream.errorRate_ = std::max(0.0, upstream.errorRate_ - table.options_.newSampleWeight_);
    if (upstream.consecutiveErrors_ == 0)
        return; // Any ejection was for latency, not for errors.
    --upstream.consecutiveErrors_;
    upstream.ejectedUntil_ = {};
}

} // namespace turmericwing::routing

// Implementation of the choice among upstreams and of outlier ejection.
#include "turmericwing/routing/choice.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::routing {

namespace detail {

    double decay(const ChoiceOptions& options, const UpstreamState& upstream, TimePoint now)
    {
        const double age = seconds(now - upstream.estimated_) / seconds(options.estimateHalfLife_);
        return std::exp2(-std::max(0.0, age));
    }

    /// Upstreams of a service that get work unless they are ejected.
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

    bool withinLimit(const ChoiceTable& table, const std::string& service, size_t ejected)
    {
        const double most = table.options_.maxEjected_ * static_cast<double>(usableCount(table, service));
        return static_cast<double>(ejected) <= most;
    }

    /// Ends the ejections that end first anyway, until the limit holds for the upstreams that are left.
    void limitEjections(ChoiceTable& table, const std::string& service, TimePoint now)
    {
        while (!withinLimit(table, service, ejectedCount(table, service, now))) {
            UpstreamState* first = nullptr;
            for (auto& [name, upstream] : table.upstreams_) {
                if (upstream.service_ != service || upstream.drain_.any() || !isEjected(upstream, now))
                    continue;
                if (!first || upstream.ejectedUntil_ < first->ejectedUntil_)
                    first = &upstream;
            }
            if (!first)
                return;
            first->ejectedUntil_ = now;
        }
    }

    void eject(ChoiceTable& table, UpstreamState& upstream, TimePoint now)
    {
        if (!withinLimit(table, upstream.service_, ejectedCount(table, upstream.service_, now) + 1))
            return;
        upstream.ejectedUntil_ = now + table.options_.ejection_ * (1 << std::min(upstream.ejections_, 4u));
        ++upstream.ejections_;
        upstream.samples_ = 0; // Measured again after its return.
    }

    /// Whether the latency is far above the median of the service's other upstreams.
    bool isSlow(const ChoiceTable& table, const UpstreamState& upstream)
    {
        const ChoiceOptions& options = table.options_;
        if (options.ejectLatency_ <= 0 || upstream.samples_ < options.ejectLatencySamples_
            || upstream.latency_ < seconds(options.ejectLatencyLeast_))
            return false;
        std::vector<double> others;
        for (const auto& [name, other] : table.upstreams_) {
            if (other.service_ == upstream.service_ && name != upstream.name_ && !other.drain_.any()
                && other.samples_ >= options.ejectLatencySamples_)
                others.push_back(other.latency_);
        }
        if (others.size() < 2)
            return false;
        const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
        std::nth_element(others.begin(), middle, others.end());
        return upstream.latency_ > options.ejectLatency_ * *middle;
    }

    double level(const LinkBudget& link, TimePoint now)
    {
        const double refill = link.bytesPerSecond_ * std::max(0.0, seconds(now - link.updated_));
        return std::min(link.burstBytes_, link.level_ + (link.updated_ == TimePoint {} ? 0 : refill));
    }

    /// Lower is better.
    double score(
        const ChoiceTable& table, const UpstreamState& upstream, TimePoint now, uint32_t bound, double mean)
    {
        const double fresh = decay(table.options_, upstream, now);
        double latency = 1;
        if (upstream.samples_ > 0 && mean > 0)
            latency = 1 + fresh * (std::clamp(upstream.latency_ / mean, 0.5, 4.0) - 1);
        const double errors = 1 + 10 * fresh * upstream.errors_;
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
    upstream.coldUntil_ = cold ? now + table.options_.slowStart_ : now;
    upstream.estimated_ = now;
    table.upstreams_.try_emplace(name, upstream);
}

void removeUpstream(ChoiceTable& table, TimePoint now, const std::string& name)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end())
        return;
    const std::string service = found->second.service_;
    table.upstreams_.erase(found);
    detail::limitEjections(table, service, now);
}

void setDrain(ChoiceTable& table, TimePoint now, const std::string& name, DrainReasons reasons)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end())
        return;
    UpstreamState& upstream = found->second;
    if (upstream.drain_.any() && !reasons.any()) {
        upstream.coldUntil_ = now + table.options_.slowStart_;
        upstream.samples_ = 0;
        upstream.errors_ = 0;
        upstream.consecutiveErrors_ = 0;
    }
    upstream.drain_ = reasons;
    detail::limitEjections(table, upstream.service_, now);
}

void reportLoad(ChoiceTable& table, TimePoint now, const std::string& name, double usable)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end() || std::isnan(usable))
        return;
    found->second.reported_ = std::clamp(usable, table.options_.reportFloor_, 1.0);
    found->second.reportExpires_ = now + table.options_.reportLife_;
}

bool linkAllows(const LinkBudget& link, TimePoint now, double bytes)
{
    return detail::level(link, now) >= bytes;
}

void chargeLink(LinkBudget& link, TimePoint now, double bytes)
{
    link.level_ = detail::level(link, now) - bytes;
    link.updated_ = now;
}

bool isEjected(const UpstreamState& upstream, TimePoint now) { return now < upstream.ejectedUntil_; }

uint32_t effectiveBound(const ChoiceTable& table, const UpstreamState& upstream, TimePoint now, uint32_t held)
{
    double part = 1;
    if (now < upstream.reportExpires_)
        part = std::min(part, upstream.reported_);
    const double total = seconds(table.options_.slowStart_);
    if (now < upstream.coldUntil_ && total > 0) {
        const double done = 1 - seconds(upstream.coldUntil_ - now) / total;
        part = std::min(part, std::max(table.options_.slowStartFloor_, done));
    }
    if (part >= 1)
        return held;
    // Rounding depends on host and upstream, so that the sum over hosts that hold one slot each falls as
    // well.
    const double offset = static_cast<double>(hash64(upstream.name_, hash64(table.host_)) >> 11) * 0x1.0p-53;
    return std::min(held, static_cast<uint32_t>(std::floor(part * held + offset)));
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
        sum += upstream.latency_;
        ++known;
    }
    const double mean = known > 0 ? sum / static_cast<double>(known) : 0;

    struct Candidate {
        const UpstreamState* upstream_;
        double score_;
    };
    // In order of preference: own region, other region, the upstream of the failed attempt.
    std::vector<Candidate> places[3];
    for (const SlotCount& count : slots) {
        const auto found = table.upstreams_.find(count.upstream_);
        if (found == table.upstreams_.end() || count.free_ == 0)
            continue;
        const UpstreamState& upstream = found->second;
        if (upstream.service_ != request.service_ || upstream.drain_.any() || isEjected(upstream, now)
            || now < upstream.pausedUntil_)
            continue;
        const uint32_t bound = effectiveBound(table, upstream, now, count.held_);
        if (upstream.inFlight_ >= bound)
            continue;
        const bool local = upstream.region_ == request.region_;
        if (!local) {
            const auto link = links.find(upstream.region_);
            if (link == links.end() || !linkAllows(link->second, now, request.bytes_))
                continue;
        }
        const double score = table.options_.useLoad_ ? detail::score(table, upstream, now, bound, mean) : 1;
        places[upstream.name_ == request.except_ ? 2 : (local ? 0 : 1)].push_back({ &upstream, score });
    }
    for (std::vector<Candidate>& place : places) {
        if (place.empty())
            continue;
        const double least = std::min_element(place.begin(), place.end(), [](const auto& a, const auto& b) {
            return a.score_ < b.score_;
        })->score_;
        // Differences within the noise of the estimates do not count; otherwise a host without load would use
        // one upstream only.
        std::erase_if(place, [&](const Candidate& c) { return c.score_ > least * table.options_.tie_; });
        return place[random() % place.size()].upstream_->name_;
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
        const Duration pause = retryAfter > Duration::zero() ? retryAfter : options.overloadPause_;
        // An upstream that asks for a long pause is tried again after a second.
        upstream.pausedUntil_ = now + std::min<Duration>(pause, std::chrono::seconds(1));
        return;
    }
    const bool failed = outcome == Outcome::Error;
    const double weight = options.estimateWeight_;
    const double old = upstream.errors_ * detail::decay(options, upstream, now);
    upstream.errors_ = old + weight * ((failed ? 1 : 0) - old);
    upstream.estimated_ = now;
    if (failed) {
        ++upstream.consecutiveErrors_;
        if (options.ejectErrors_ > 0 && upstream.consecutiveErrors_ >= options.ejectErrors_
            && !isEjected(upstream, now)) {
            detail::eject(table, upstream, now);
            // After its return the next error ejects it again, for longer.
            upstream.consecutiveErrors_ = options.ejectErrors_ - 1;
        }
        return;
    }
    upstream.consecutiveErrors_ = 0;
    const double sample = seconds(latency);
    const double share = upstream.samples_ < 1 / weight ? 1.0 / (upstream.samples_ + 1) : weight;
    upstream.latency_ += share * (sample - upstream.latency_);
    ++upstream.samples_;
    if (!isEjected(upstream, now) && detail::isSlow(table, upstream))
        detail::eject(table, upstream, now);
    else if (upstream.samples_ >= 10 * options.ejectLatencySamples_)
        upstream.ejections_ = 0;
}

void forgiveError(ChoiceTable& table, const std::string& name)
{
    const auto found = table.upstreams_.find(name);
    if (found == table.upstreams_.end())
        return;
    UpstreamState& upstream = found->second;
    upstream.errors_ = std::max(0.0, upstream.errors_ - table.options_.estimateWeight_);
    if (upstream.consecutiveErrors_ == 0)
        return; // Ejected for its latency, if at all.
    --upstream.consecutiveErrors_;
    upstream.ejectedUntil_ = {};
}

} // namespace turmericwing::routing

// Polls the upstreams of the host's region and the platform's list. The interval is random, between half and
// one and a half times its mean, so that the probes of different hosts do not synchronize. ILB (PSARC
// 2008/575, section 5) randomizes health checks in the same way.
#include "turmericwing/host/upstreamwatch.h"

#include "turmericwing/base/random.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace turmericwing::host {

namespace detail {

    constexpr double meanPollIntervalSeconds = 1;
    constexpr time_t probeTimeoutUs = 500'000;

    /// Queries an upstream's load endpoint. Returns nothing without a valid response: only failed requests,
    /// through ejection, take an unresponsive upstream out of use.
    std::optional<UpstreamReport> probeUpstream(const model::Upstream& upstream)
    {
        httplib::Client client("http://" + upstream.address_);
        client.set_connection_timeout(0, probeTimeoutUs);
        client.set_read_timeout(0, probeTimeoutUs);
        const httplib::Result result = client.Get("/load");
        if (!result || result->status != 200)
            return std::nullopt;
        const auto json = nlohmann::json::parse(result->body, nullptr, false);
        if (!json.is_object() || !json.contains("slots") || !json["slots"].is_number())
            return std::nullopt;
        const double slots = json["slots"].get<double>();
        const auto draining = json.find("draining");
        return UpstreamReport { std::clamp(slots / upstream.slots_, 0.0, 1.0),
            draining != json.end() && draining->is_boolean() && draining->get<bool>() };
    }

} // namespace detail

UpstreamWatch::UpstreamWatch(std::string region, const SharedState& state, store::HostList list,
    Dispatch& dispatch, Executor& executor)
    : region_(std::move(region))
    , state_(state)
    , list_(std::move(list))
    , dispatch_(dispatch)
    , executor_(executor)
{
}

UpstreamWatch::~UpstreamWatch() { stop(); }

void UpstreamWatch::start()
{
    thread_ = std::thread([this] { run(); });
}

void UpstreamWatch::stop()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void UpstreamWatch::run()
{
    Random random = makeRandom();
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        pollUpstreams();
        pollPlatformList();
        lock.lock();
        const std::chrono::duration<double> pollInterval(
            detail::meanPollIntervalSeconds * (0.5 + uniform(random)));
        wake_.wait_for(lock, pollInterval, [this] { return stopping_; });
    }
}

void UpstreamWatch::pollUpstreams()
{
    const auto snapshot = state_.snapshot();
    if (!snapshot)
        return;
    for (const model::Upstream& upstream : snapshot->set_->upstreams_) {
        const auto* domain = model::find(snapshot->set_->failureDomains_, upstream.failureDomain_);
        if (!domain || domain->region_ != region_)
            continue;
        executor_.post([this, upstream] {
            if (const auto report = detail::probeUpstream(upstream))
                dispatch_.report(upstream.service_, upstream.name_, *report);
        });
    }
}

void UpstreamWatch::pollPlatformList()
{
    const auto entries = list_.list_();
    if (!entries)
        return;
    std::set<std::string> leaving;
    for (const store::HostEntry& entry : entries.value()) {
        if (entry.state_ == store::HostState::Leaving)
            leaving.insert(entry.name_);
    }
    dispatch_.setLeaving(leaving);
}

} // namespace turmericwing::host

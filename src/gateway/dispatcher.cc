// Request admission, upstream selection, sending and the wait queues.
#include "dispatchcore.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/host/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>

namespace turmericwing::gateway {

namespace detail {

    constexpr Duration minScarcityLogGap = std::chrono::seconds(1); ///< Bounds the volume of log lines.
    constexpr size_t maxFailedDispatches = 12; ///< Failed attempts to place waiting requests that end a pass.

    std::string milliseconds(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

    routing::Rank rankOf(const PendingRequest& pending)
    {
        return { pending.workspace_ ? pending.workspace_->priority_ : 0, pending.route_->priority_ };
    }

    routing::Fingerprint fingerprintOf(const PendingRequest& pending)
    {
        const Body& body = pending.body_ ? *pending.body_ : pending.request_.body_;
        return routing::fingerprint(pending.workspace_ ? pending.workspace_->name_ : std::string(),
            pending.route_->name_, pending.request_.method_, pending.request_.target_,
            body.prefix(routing::maxFingerprintBodyBytes), body.size());
    }

    std::vector<std::string> homeRegions(const PendingRequest& pending)
    {
        const auto& routeRegions = pending.route_->homeRegions_;
        if (!pending.workspace_ || pending.workspace_->homeRegions_.empty())
            return routeRegions;
        const auto& workspaceRegions = pending.workspace_->homeRegions_;
        if (routeRegions.empty())
            return workspaceRegions;
        std::vector<std::string> commonRegions;
        for (const std::string& region : routeRegions) {
            if (std::find(workspaceRegions.begin(), workspaceRegions.end(), region) != workspaceRegions.end())
                commonRegions.push_back(region);
        }
        // The lists have no region in common: an impossible name keeps an empty list from meaning "any".
        if (commonRegions.empty())
            commonRegions.emplace_back("-");
        return commonRegions;
    }

    std::string preferredRegionAt(
        const ServiceDemand& demand, const PendingRequest& pending, uint64_t position)
    {
        if (pending.allowedRegions_.size() == 1)
            return pending.allowedRegions_.front();
        // Multiples of the golden ratio modulo 1 are evenly distributed over [0, 1) for any number of
        // requests.
        constexpr double goldenRatio = 0.6180339887498949;
        const double sequencePoint = std::fmod(static_cast<double>(position) * goldenRatio, 1.0);
        const double point = pending.object_ ? routing::splitPosition(*pending.object_) : sequencePoint;
        return routing::regionAtPosition(demand.split_, pending.allowedRegions_, point);
    }

    /// Whether upstreams of the service report how long work takes there. Hosts that hear such figures at the
    /// same time would choose the same upstream; without them, each host's own counts differ enough.
    bool reportWork(const ServicePool& pool)
    {
        return std::any_of(pool.targets_.begin(), pool.targets_.end(), [](const routing::Target& target) {
            return target.reportedLoad_.report_.workPercent_.has_value();
        });
    }

    /// Picks a backend service of the route at random by weight.
    const std::string& drawBackend(const Route& route, Random& random)
    {
        double total = 0;
        for (const WeightedService& backend : route.backends_)
            total += std::max(0.0, backend.weight_);
        double at = uniform(random) * total;
        for (const WeightedService& backend : route.backends_) {
            at -= std::max(0.0, backend.weight_);
            if (at < 0)
                return backend.service_;
        }
        return route.backends_.front().service_;
    }

} // namespace detail

void Dispatcher::Core::handle(Request&& request, const std::shared_ptr<Exchange>& exchange)
{
    const auto pending = std::make_shared<PendingRequest>();
    pending->id_ = nextId_++;
    pending->request_ = std::move(request);
    pending->exchange_ = exchange;
    pending->requestId_ = headerValue(pending->request_.headers_, state_.protocol_.headers_.requestId_);
    pendingRequests_.emplace(pending->id_, pending);
    if (const auto reason = admit(*pending))
        return refuse(pending, *reason);
    startDispatch(pending);
}

/// Sets the workspace of the API key unless it is known. Returns the reason if the route needs a key and none
/// is valid.
std::optional<Reason> Dispatcher::Core::authenticate(PendingRequest& pending) const
{
    if (pending.workspace_ || pending.catalog_->configuration().workspaces_.empty())
        return std::nullopt;
    const std::string key
        = state_.protocol_.parseApiKey_(headerValue(pending.request_.headers_, "Authorization"));
    if (!key.empty())
        pending.workspace_ = pending.catalog_->findWorkspaceByKey(key);
    if (pending.workspace_ || pending.route_->public_)
        return std::nullopt;
    return key.empty() ? Reason::KeyMissing : Reason::KeyRefused;
}

/// Resolves route, workspace, deadline and object of a request. Returns the reason if it is refused whatever
/// its workspace's quota.
std::optional<Reason> Dispatcher::Core::checkRequest(PendingRequest& pending) const
{
    const TimePoint now = monotonicNow();
    pending.catalog_ = state_.catalog_;
    if (!pending.catalog_)
        return Reason::NotReady;
    if (!isTakingRequests(pending.request_.receivedAt_))
        return Reason::Draining;
    const Headers& headers = pending.request_.headers_;
    pending.route_ = pending.catalog_->findRoute(headerValue(headers, "Host"), pending.request_.target_);
    if (!pending.route_)
        return Reason::NoSuchRoute;
    if (const auto reason = authenticate(pending))
        return reason;
    if (!state_.directory_.loaded_)
        return Reason::NotReady;
    const std::string_view deadline = headerValue(headers, state_.protocol_.headers_.deadline_);
    Duration time = pending.route_->timeout_;
    if (const auto ms = parseUnsigned(deadline))
        time = std::min<Duration>(time, std::chrono::milliseconds(std::min<uint64_t>(*ms, 86'400'000)));
    else if (!deadline.empty())
        return Reason::BadRequest;
    pending.expiresAt_ = pending.request_.receivedAt_ + time;
    if (now + detail::minSendTime > pending.expiresAt_)
        return Reason::DeadlineTooShort;
    if (!state_.quarantine_.quarantined_.empty()
        && routing::isQuarantined(
            state_.quarantine_, evidenceNow(state_, monotonicNow()), detail::fingerprintOf(pending)))
        return Reason::Quarantined;
    const std::string_view object = headerValue(headers, state_.protocol_.headers_.object_);
    if (pending.route_->sticky_ && !object.empty())
        pending.object_ = hash64(object);
    return std::nullopt;
}

/// Checks a request, takes its quota and draws its service. Returns the reason if it is refused.
std::optional<Reason> Dispatcher::Core::admit(PendingRequest& pending)
{
    if (const auto reason = checkRequest(pending))
        return reason;
    if (pending.workspace_ && !admitWithinQuota(state_.quotas_, *pending.workspace_, state_.random_))
        return Reason::RateLimited;
    pending.quotaTaken_ = pending.workspace_ != nullptr;
    pending.service_ = detail::drawBackend(*pending.route_, state_.random_);
    return std::nullopt;
}

bool Dispatcher::Core::isTakingRequests(TimePoint arrivedAt) const
{
    return !state_.drain_ || arrivedAt < state_.drain_->acceptUntil_;
}

void Dispatcher::Core::startDispatch(const PendingRequestPtr& pending)
{
    const TimePoint now = monotonicNow();
    const auto pool = state_.directory_.services_.find(pending->service_);
    const std::string base = pool == state_.directory_.services_.end() ? "" : pool->second.baseVersion_;
    pending->version_ = chooseVersionFilter(
        state_.rollouts_, pending->service_, base, storeNow(state_, now), state_.random_);
    pending->body_ = takeBody(pending->request_);
    pending->timer_ = std::make_unique<boost::asio::steady_timer>(loop_, pending->expiresAt_);
    pending->timer_->async_wait([this, weak = std::weak_ptr(pending)](boost::system::error_code cancelled) {
        const auto expired = weak.lock();
        if (expired && !cancelled)
            onDeadline(expired);
    });
    pending->exchange_->onCallerGone([this, weak = std::weak_ptr(pending)] {
        if (const auto left = weak.lock())
            onCallerDisconnected(left);
    });
    routing::earnRetryToken(
        state_.retryBudgets_[pending->service_], retryOptions(pending->route_->attempts_));
    pending->allowedRegions_ = detail::homeRegions(*pending);
    choosePreferredRegion(*pending);
    dispatch(pending);
}

/// Estimated seconds for an object that is not cached; starts at the objective of the first route.
double Dispatcher::Core::serviceTime(const std::string& service, const Route& route)
{
    double& known = services_[service].serviceTime_;
    if (known <= 0)
        known = seconds(route.latencyTarget_);
    return known;
}

/// Whether the limit that the upstream has named lets the request go there. A part of the limit that comes
/// too late for the request is none: it need not wait for it.
routing::Permission Dispatcher::Core::limitPermission(
    const PendingRequest& pending, const UpstreamRecord& record, TimePoint now) const
{
    const auto allowedAt = limits::nextRequestAt(record.limit_, now);
    if (!allowedAt)
        return routing::Permission::Never;
    if (*allowedAt <= now)
        return routing::Permission::Now;
    return *allowedAt > startDeadline(pending) ? routing::Permission::Never : routing::Permission::Later;
}

/// Whether version, evacuation and cold-start limits let the request go to the target.
routing::Permission Dispatcher::Core::permission(const PendingRequest& pending, const ServiceSpec* service,
    const routing::Target& target, const UpstreamRecord& record, TimePoint now) const
{
    if (!pending.version_.allows(target.version_)
        || state_.directory_.evacuated_.contains(target.failureDomain_))
        return routing::Permission::Never;
    if (now >= target.coldUntil_ || !service || service->coldRate_ <= 0)
        return routing::Permission::Now;
    // Only hosts that own a share of the cold-start rate send to a cold upstream.
    if (!record.coldBucket_)
        return routing::Permission::Never;
    return limits::availableTokens(*record.coldBucket_, now) > 0 ? routing::Permission::Now
                                                                 : routing::Permission::Later;
}

/// Creates the rate bucket of a cold upstream if this host owns a share of its cold-start rate.
void Dispatcher::Core::prepareColdBucket(ServicePool& pool, size_t index, TimePoint now)
{
    const routing::Target& target = pool.targets_[index];
    UpstreamRecord& record = pool.records_[index];
    if (now >= target.coldUntil_ || record.coldBucket_ || !state_.catalog_)
        return;
    const ServiceSpec* service = state_.catalog_->findService(record.entry_.service_);
    if (!service || service->coldRate_ <= 0)
        return;
    std::vector<std::string> hosts;
    const bool regional = state_.settings_.region_ == target.region_;
    for (const auto& [name, peer] : state_.fleet_.peers_) {
        if (peer.report_.region_ == target.region_)
            hosts.push_back(name);
    }
    if (!regional && !hosts.empty())
        return;
    if (!regional) {
        for (const auto& [name, peer] : state_.fleet_.peers_)
            hosts.push_back(name);
    }
    if (routing::ownsColdStart(options_.coldStart_, target.id_, state_.settings_.name_, hosts))
        record.coldBucket_ = routing::makeColdStartBucket(options_.coldStart_, service->coldRate_, now);
}

/// Counts the request as demand and sets its preferred region.
void Dispatcher::Core::choosePreferredRegion(PendingRequest& pending)
{
    ServiceDemand& demand = state_.demand_[pending.service_];
    if (pending.allowedRegions_.size() == 1) {
        demand.bound_[pending.allowedRegions_.front()].requestCount_ += 1;
    } else {
        demand.unbound_.requestCount_ += 1;
        ++demand.positionCount_;
    }
    pending.preferredRegion_ = detail::preferredRegionAt(demand, pending, demand.positionCount_);
}

routing::PickResult Dispatcher::Core::pickInRegions(const PendingRequest& pending, ServicePool& pool,
    const std::vector<std::string>& regions, bool allowNonPreferred)
{
    const TimePoint now = monotonicNow();
    std::vector<uint64_t> known;
    if (pending.object_)
        known
            = routing::recentUpstreams(services_[pending.service_].objectUseHistory_, now, *pending.object_);
    const routing::PickRequest request { .region_ = state_.settings_.region_,
        .object_ = pending.object_,
        .homeRegions_ = &regions,
        .except_ = &pending.triedUpstreams_,
        .known_ = &known,
        .allowNonPreferred_ = allowNonPreferred,
        .missSeconds_ = serviceTime(pending.service_, *pending.route_),
        .slotSeconds_ = state_.demand_[pending.service_].slotSeconds_,
        .random_ = detail::reportWork(pool) ? &state_.random_ : nullptr,
        .idleOnly_ = pending.givesWay_ };
    const ServiceSpec* service = pending.catalog_->findService(pending.service_);
    const auto permit = [&](const routing::Target& target) {
        const auto index = static_cast<size_t>(&target - pool.targets_.data());
        const UpstreamRecord& record = pool.records_[index];
        // Permission is ordered: the lower one of both holds.
        return std::min(
            permission(pending, service, target, record, now), limitPermission(pending, record, now));
    };
    const auto distance = [&](const routing::Target& target) { return roundTrip(state_, target); };
    return routing::pickTarget(pool.targets_, options_.pick_, request, now, permit, distance);
}

/// Selects an upstream in the preferred region, or in any allowed one if none there may run the request. None
/// is usable if this host stops before the response is expected.
routing::PickResult Dispatcher::Core::pickUpstream(
    PendingRequest& pending, ServicePool& pool, bool allowNonPreferred)
{
    routing::PickResult result { .failure_ = routing::PickFailure::NoneUsable };
    if (!pending.preferredRegion_.empty())
        result = pickInRegions(pending, pool, { pending.preferredRegion_ }, allowNonPreferred);
    if (result.failure_ == routing::PickFailure::NoneUsable)
        result = pickInRegions(pending, pool, pending.allowedRegions_, allowNonPreferred);
    pending.stopsTooSoon_ = result.pick_ && state_.drain_
        && !mayBeginAttempt(options_.drain_, *state_.drain_, monotonicNow(), result.pick_->expectedSeconds_,
            pending.expiresAt_);
    if (pending.stopsTooSoon_)
        return { .failure_ = routing::PickFailure::NoneUsable };
    return result;
}

/// Sends the request if an upstream has capacity for it, or ends it if its caller has left. Otherwise returns
/// why not. `allowNonPreferred` permits upstreams outside the object's preferred ones.
routing::PickFailure Dispatcher::Core::tryDispatch(const PendingRequestPtr& pending, bool allowNonPreferred)
{
    const auto found = state_.directory_.services_.find(pending->service_);
    if (found == state_.directory_.services_.end())
        return routing::PickFailure::NoneUsable;
    ServicePool& pool = found->second;
    const TimePoint now = monotonicNow();
    for (size_t i = 0; i < pool.targets_.size(); ++i)
        prepareColdBucket(pool, i, now);
    const auto result = pickUpstream(*pending, pool, allowNonPreferred);
    if (!result.pick_)
        return result.failure_;
    if (pending->exchange_->isCallerGone())
        onCallerDisconnected(pending);
    else
        sendAttempt(pending, pool, *result.pick_);
    return routing::PickFailure::None;
}

/// Sends the request now, queues it, or refuses it.
void Dispatcher::Core::dispatch(const PendingRequestPtr& pending)
{
    if (monotonicNow() + detail::minSendTime > pending->expiresAt_)
        return endUnserved(pending, Reason::DeadlineTooShort);
    // A retry is bounded by the retry budget instead.
    pending->givesWay_ = pending->triedUpstreams_.empty() && drawGivesWay(*pending);
    switch (tryDispatchCounted(pending)) {
    case routing::PickFailure::None:
        return;
    case routing::PickFailure::NoneUsable:
        return endUnserved(pending, noUpstreamReason(*pending));
    case routing::PickFailure::NoneAvailable:
        if (pending->givesWay_)
            return turnAway(pending, routing::ShortOfRoom::GaveWay);
        return enqueueOrRefuse(pending);
    }
}

/// Latest time at which a request that waits may be sent.
TimePoint Dispatcher::Core::startDeadline(const PendingRequest& pending) const
{
    const Duration longest
        = std::chrono::duration_cast<Duration>(pending.route_->latencyTarget_ * options_.maxWaitFraction_);
    return std::min(pending.expiresAt_, pending.request_.receivedAt_ + longest);
}

routing::DemandClass Dispatcher::Core::demandClass(const PendingRequest& pending) const
{
    return { detail::rankOf(pending), pending.route_->name_ };
}

/// The work class of the request's route; 0 until known.
int Dispatcher::Core::workClass(const PendingRequest& pending)
{
    const auto& work = services_[pending.service_].routeWork_;
    const auto known = work.find(pending.route_->name_);
    return known == work.end() ? 0 : routing::workClass(known->second);
}

/// Counts a new request as demand and decides at random whether it gives way.
bool Dispatcher::Core::drawGivesWay(const PendingRequest& pending)
{
    routing::Scarcity& scarcity = services_[pending.service_].scarcity_;
    const routing::DemandClass key = demandClass(pending);
    routing::recordDemand(scarcity, key, workClass(pending), monotonicNow());
    const double fraction = routing::shedFraction(scarcity, key);
    return fraction > 0 && uniform(state_.random_) < fraction;
}

/// tryDispatch(), and counts the request when it is first sent.
routing::PickFailure Dispatcher::Core::tryDispatchCounted(
    const PendingRequestPtr& pending, bool allowNonPreferred)
{
    const bool isFirst = pending->triedUpstreams_.empty();
    const routing::PickFailure failure = tryDispatch(pending, allowNonPreferred);
    if (isFirst && !pending->triedUpstreams_.empty())
        routing::recordSent(services_[pending->service_].scarcity_, demandClass(*pending), monotonicNow());
    return failure;
}

/// Queues the request. If it is not expected to start in time there, tries any upstream, then refuses it.
void Dispatcher::Core::enqueueOrRefuse(const PendingRequestPtr& pending)
{
    const routing::Waiter waiter { .id_ = pending->id_,
        .rank_ = detail::rankOf(*pending),
        .arrivedAt_ = pending->request_.receivedAt_,
        .startBy_ = startDeadline(*pending),
        .workClass_ = workClass(*pending) };
    if (routing::tryEnqueue(services_[pending->service_].waitQueue_, waiter, monotonicNow()))
        return countShortOfRoom(*pending, routing::ShortOfRoom::Delayed);
    if (tryDispatchCounted(pending, true) != routing::PickFailure::None)
        turnAway(pending, routing::ShortOfRoom::WaitTooLong);
}

/// Refuses a request for which there was no room.
void Dispatcher::Core::turnAway(const PendingRequestPtr& pending, routing::ShortOfRoom reason)
{
    countShortOfRoom(*pending, reason);
    if (pending->triedUpstreams_.empty())
        routing::recordTurnedAway(
            services_[pending->service_].scarcity_, demandClass(*pending), monotonicNow());
    if (pending->lastError_.empty())
        pending->lastError_ = routing::describe(reason);
    endUnserved(pending, noUpstreamReason(*pending));
}

void Dispatcher::Core::countShortOfRoom(const PendingRequest& pending, routing::ShortOfRoom reason)
{
    metrics_.countShortOfRoom(
        pending.service_, routing::rankLabel(detail::rankOf(pending)), routing::toString(reason));
}

std::string Dispatcher::Core::attemptHead(
    const PendingRequest& pending, const routing::Target& target, TimePoint now) const
{
    const HeaderNames& names = state_.protocol_.headers_;
    Headers headers;
    for (HeaderField& field : endToEndHeaders(pending.request_.headers_)) {
        const bool replaced = equalNames(field.name_, names.deadline_)
            || equalNames(field.name_, names.workspace_) || equalNames(field.name_, names.expectedUpstream_)
            || equalNames(field.name_, "Authorization");
        if (!replaced)
            headers.push_back(std::move(field));
    }
    headers.push_back({ names.deadline_, detail::milliseconds(pending.expiresAt_ - now) });
    headers.push_back({ names.expectedUpstream_, target.id_ });
    if (pending.workspace_)
        headers.push_back({ names.workspace_, pending.workspace_->name_ });
    return requestHead(pending.request_.method_, pending.request_.target_, headers, pending.body_->size());
}

void Dispatcher::Core::sendAttempt(
    const PendingRequestPtr& pending, ServicePool& pool, const routing::Pick& pick)
{
    const TimePoint now = monotonicNow();
    routing::Target& target = pool.targets_[pick.index_];
    UpstreamRecord& record = pool.records_[pick.index_];
    if (record.coldBucket_ && now < target.coldUntil_)
        limits::takeTokens(*record.coldBucket_, 1, now);
    limits::takeRequest(record.limit_, now);
    routing::recordStart(services_[pending->service_].waitQueue_, now);
    if (pending->object_)
        routing::recordUse(
            services_[pending->service_].objectUseHistory_, now, *pending->object_, target.hash_);
    routing::recordSent(target);
    pending->currentUpstream_ = target.id_;
    pending->upstreamStartedMs_ = record.entry_.startedMs_;
    pending->triedUpstreams_.push_back(target.id_);
    pending->expectedLatency_ = pick.expectedSeconds_;
    pending->usualLatency_ = pick.usualSeconds_;
    pending->workFactor_ = routing::workFactor(target.reportedLoad_, options_.pick_.reportedLoad_, now);
    pending->sentAt_ = now;
    pending->countedInRollout_ = false;
    const HeaderNames& names = state_.protocol_.headers_;
    UpstreamCall call { .upstream_ = target.id_,
        .address_ = record.entry_.address_,
        .head_ = attemptHead(*pending, target, now),
        .body_ = pending->body_,
        .isHeadMethod_ = pending->request_.method_ == "HEAD",
        .echoName_ = names.requestId_,
        .echoValue_ = pending->requestId_,
        .sink_ = answerSink(pending) };
    pending->cancel_
        = upstreamClient_.send(std::move(call), [this, weak = std::weak_ptr(pending)](UpstreamAnswer answer) {
              if (const auto sent = weak.lock())
                  onCallResult(sent, std::move(answer));
          });
}

/// Retry limits of this host; the fleet-wide burst is divided among the known hosts.
routing::RetryOptions Dispatcher::Core::retryOptions(uint32_t attempts) const
{
    const Bounds& bounds = state_.settings_.bounds_;
    const double hosts = 1 + static_cast<double>(state_.fleet_.peers_.size());
    return { .ratio_ = bounds.retryRatio_ * options_.retryBudgetFraction_,
        .burst_ = std::max(1.0, bounds.retryBurst_ * options_.retryBudgetFraction_ / hosts),
        .maxAttempts_ = attempts };
}

/// Sends waiting requests in queue order while there is capacity. Those that can no longer start in time get
/// a last try at any upstream and are then refused.
void Dispatcher::Core::serveWaiting(const std::string& service)
{
    const auto known = services_.find(service);
    if (known == services_.end())
        return;
    routing::WaitQueue& queue = known->second.waitQueue_;
    for (const uint64_t id : routing::takeExpiredWaiters(queue, monotonicNow())) {
        const auto found = pendingRequests_.find(id);
        if (found == pendingRequests_.end())
            continue;
        const PendingRequestPtr pending = found->second;
        const routing::PickFailure failure = tryDispatchCounted(pending, true);
        if (failure == routing::PickFailure::NoneUsable)
            endUnserved(pending, noUpstreamReason(*pending));
        else if (failure != routing::PickFailure::None)
            turnAway(pending, routing::ShortOfRoom::WaitedInVain);
    }
    const std::vector<routing::Waiter> waiters = queue.waiters_;
    size_t failedDispatches = 0;
    for (const routing::Waiter& waiter : waiters) {
        const auto found = pendingRequests_.find(waiter.id_);
        if (found == pendingRequests_.end())
            continue;
        const PendingRequestPtr pending = found->second;
        const routing::PickFailure failure = tryDispatchCounted(pending);
        if (failure == routing::PickFailure::None)
            routing::removeWaiter(queue, waiter.id_);
        // The upstreams that may run it have left or paused while it waited.
        else if (failure == routing::PickFailure::NoneUsable)
            endUnserved(pending, noUpstreamReason(*pending));
        // Requests further back may be bound to a version or region that has capacity. The limit on failed
        // tries bounds the cost of a pass under overload.
        else if (++failedDispatches >= detail::maxFailedDispatches)
            return;
    }
}

/// Posts a pass over the wait queue after the current handler. Requests that end in the same handler share
/// one pass.
void Dispatcher::Core::scheduleServeWaiting(const std::string& service)
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.waitQueue_.waiters_.empty() || found->second.passScheduled_)
        return;
    found->second.passScheduled_ = true;
    boost::asio::post(loop_, [self = shared_from_this(), service] {
        self->services_[service].passScheduled_ = false;
        self->serveWaiting(service);
    });
}

/// Logs when the service becomes scarce on this host, and when that ends.
void Dispatcher::Core::logScarcity(const std::string& service)
{
    detail::ServiceState& known = services_[service];
    const TimePoint now = monotonicNow();
    routing::age(known.scarcity_, now);
    const bool isScarce = routing::isScarce(known.scarcity_);
    const auto& classes = known.scarcity_.classes_;
    if (isScarce == known.scarcityLogged_ || now < known.scarcityLoggedAt_ + detail::minScarcityLogGap)
        return;
    known.scarcityLogged_ = isScarce;
    known.scarcityLoggedAt_ = now;
    const int percent = static_cast<int>(std::lround(routing::pressure(known.scarcity_) * 100));
    double gaveWay = 0;
    for (const auto& [key, demand] : classes)
        gaveWay = std::max(gaveWay, routing::shedFraction(known.scarcity_, key));
    const std::string lowest = classes.empty() ? "" : routing::rankLabel(classes.rbegin()->first.rank_);
    host::logEvent(host::LogLevel::Info, "scarcity",
        { { "service", service }, { "state", isScarce ? "begun" : "ended" },
            { "turned_away_percent", std::to_string(percent) }, { "lowest_priority", lowest },
            { "gives_way_percent", std::to_string(std::lround(gaveWay * 100)) } });
}

Dispatcher::Dispatcher(boost::asio::io_context& loop, State& state, UpstreamClient& upstreamClient,
    host::Metrics& metrics, DispatchOptions options)
    : core_(std::make_shared<Core>(loop, state, upstreamClient, metrics, options))
{
}

Dispatcher::~Dispatcher() { core_->pendingRequests_.clear(); }

void Dispatcher::handle(Request&& request, const std::shared_ptr<Exchange>& exchange)
{
    core_->handle(std::move(request), exchange);
}

void Dispatcher::serveWaiting()
{
    core_->countLateAttempts();
    std::vector<std::string> names;
    for (const auto& [name, service] : core_->services_)
        names.push_back(name);
    for (const std::string& name : names) {
        core_->serveWaiting(name);
        core_->logScarcity(name);
    }
}

size_t Dispatcher::pendingCount() const { return core_->pendingRequests_.size(); }

void Dispatcher::refuseWaiting()
{
    for (const auto& [name, service] : core_->services_) {
        const std::vector<routing::Waiter> waiters = service.waitQueue_.waiters_;
        for (const routing::Waiter& waiter : waiters) {
            const auto found = core_->pendingRequests_.find(waiter.id_);
            if (found == core_->pendingRequests_.end())
                continue;
            const PendingRequestPtr pending = found->second;
            pending->stopsTooSoon_ = true;
            core_->refuse(pending, Dispatcher::Core::noUpstreamReason(*pending));
        }
    }
}

void Dispatcher::endAll()
{
    const auto requests = core_->pendingRequests_;
    for (const auto& [id, pending] : requests) {
        // The end of one request may end others of its connection.
        if (core_->pendingRequests_.contains(id))
            core_->endAtStop(pending);
    }
}

} // namespace turmericwing::gateway

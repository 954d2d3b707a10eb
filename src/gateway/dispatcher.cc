// The way of a request.
#include "turmericwing/gateway/dispatcher.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/host/log.h"
#include "turmericwing/host/problem.h"
#include "turmericwing/routing/objectmemory.h"
#include "turmericwing/routing/waitline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <unordered_map>

namespace turmericwing::gateway {

using host::logEvent;
using host::LogLevel;
using host::Reason;

namespace detail {

    constexpr double workWeight = 0.02; ///< Weight of a new sample in a service's work.
    constexpr double heldWeight = 0.02; ///< Weight of a new sample in the time that a request holds a slot.
    constexpr double roundTripWeight = 0.2; ///< Weight of a new sample in a region's round trip.
    constexpr double slowFactor = 4; ///< Multiple of the work that counts as slow in a rollout.
    constexpr Duration leastUsefulTime = std::chrono::milliseconds(10); ///< To send a request at all.
    constexpr Duration crashTold = std::chrono::seconds(3); ///< Time for which a crash is reported to peers.
    constexpr size_t mostUnplaced = 12; ///< Waiting requests that a pass tries in vain.
    constexpr Duration sameCrash = std::chrono::milliseconds(500); ///< Breaks that belong to one crash.

    /// One request between its admission and its answer.
    struct Ticket {
        uint64_t id_ = 0;
        Request request_;
        std::shared_ptr<Exchange> exchange_;
        std::shared_ptr<const Catalog> catalog_;
        const Route* route_ = nullptr;
        const WorkspaceSpec* workspace_ = nullptr; ///< Null on public routes without a key.
        std::string requestId_;
        std::string service_;
        std::optional<uint64_t> object_;
        VersionFilter version_;
        std::vector<std::string> homes_; ///< Regions that may run it; empty: any.
        std::string region_; ///< Where its place on the line of shares puts it.
        TimePoint giveUpAt_ {}; ///< The earlier of the caller's deadline and the route's timeout.
        bool quotaTaken_ = false;
        bool mayHaveRun_ = false; ///< An upstream may have run it.
        std::vector<std::string> tried_; ///< Upstreams that it was sent to.
        std::string upstream_; ///< Where it runs now; empty while it waits.
        double expected_ = 0; ///< Seconds that the running attempt should take.
        TimePoint sentAt_ {};
        std::shared_ptr<const std::string> body_;
        UpstreamClient::Cancel cancel_;
        std::unique_ptr<boost::asio::steady_timer> timer_;
        std::string lastFault_; ///< Of the last attempt.
        std::optional<Response> upstreamFailure_; ///< An upstream's own answer that is a failure.
    };

    using TicketPtr = std::shared_ptr<Ticket>;

    struct ServiceState {
        routing::WaitLine line_;
        routing::ObjectMemory memory_;
        double work_ = 0; ///< Seconds for an object that an upstream does not know; 0 until known.
        bool serveSoon_ = false; ///< A pass over the line is due.
    };

    std::optional<uint64_t> parseCount(std::string_view text)
    {
        uint64_t value = 0;
        const auto [rest, status] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool whole = status == std::errc() && rest == text.data() + text.size() && !text.empty();
        return whole ? std::optional(value) : std::nullopt;
    }

    std::string milliseconds(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

    routing::Rank rankOf(const Ticket& ticket)
    {
        return { ticket.workspace_ ? ticket.workspace_->priority_ : 0, ticket.route_->priority_ };
    }

    routing::Fingerprint fingerprintOf(const Ticket& ticket)
    {
        const std::string& body = ticket.body_ ? *ticket.body_ : ticket.request_.body_;
        return routing::fingerprint(ticket.workspace_ ? ticket.workspace_->name_ : std::string(),
            ticket.route_->name_, ticket.request_.method_, ticket.request_.target_, body, body.size());
    }

    /// Home regions that bind a request: those of the route and of the workspace, and both where both are
    /// given.
    std::vector<std::string> homeRegions(const Ticket& ticket)
    {
        const auto& ofRoute = ticket.route_->homeRegions_;
        if (!ticket.workspace_ || ticket.workspace_->homeRegions_.empty())
            return ofRoute;
        const auto& ofWorkspace = ticket.workspace_->homeRegions_;
        if (ofRoute.empty())
            return ofWorkspace;
        std::vector<std::string> both;
        for (const std::string& region : ofRoute) {
            if (std::find(ofWorkspace.begin(), ofWorkspace.end(), region) != ofWorkspace.end())
                both.push_back(region);
        }
        // No region is a home of both: an impossible name keeps the list from meaning "any".
        if (both.empty())
            both.emplace_back("-");
        return both;
    }

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

using detail::Ticket;
using detail::TicketPtr;

struct Dispatcher::Core : std::enable_shared_from_this<Core> {
    Core(boost::asio::io_context& loop, State& state, UpstreamClient& upstreams, host::Metrics& metrics,
        DispatchOptions options)
        : loop_(loop)
        , state_(state)
        , upstreams_(upstreams)
        , metrics_(metrics)
        , options_(options)
    {
    }

    boost::asio::io_context& loop_;
    State& state_;
    UpstreamClient& upstreams_;
    host::Metrics& metrics_;
    const DispatchOptions options_;
    uint64_t nextId_ = 1;
    std::unordered_map<uint64_t, TicketPtr> tickets_;
    std::unordered_map<std::string, detail::ServiceState> services_;
    std::map<std::string, TimePoint> lastCrash_; ///< By upstream.

    void handle(Request&&, const std::shared_ptr<Exchange>&);
    std::optional<Reason> admit(Ticket&);
    std::optional<Reason> authenticate(Ticket&) const;
    void start(const TicketPtr&);
    void place(const TicketPtr&);
    routing::PickFailure tryPlace(const TicketPtr&, bool strangers = false);
    routing::PickResult pickIn(
        const Ticket&, ServicePool&, const std::vector<std::string>& regions, bool strangers);
    void wait(const TicketPtr&);
    void send(const TicketPtr&, ServicePool&, const routing::Pick&);
    std::string attemptHead(const Ticket&, const routing::Target&, TimePoint now) const;
    routing::Permission permission(
        const Ticket&, const routing::Target&, const UpstreamRecord&, TimePoint now) const;
    void drawRegion(Ticket&);
    void coolDown(ServicePool&, size_t index, TimePoint now);
    void onAnswer(const TicketPtr&, UpstreamAnswer);
    void onResponse(const TicketPtr&, Response, double observed);
    void onNotRun(const TicketPtr&, const Response&);
    void onBroken(const TicketPtr&, const UpstreamAnswer&);
    void suspectCrash(const std::string& upstream, TimePoint now);
    void reportCrash(routing::CrashReport);
    bool mayRepeat(const Ticket&, TimePoint now);
    bool takeRepeat(const Ticket&);
    void repeatOr(const TicketPtr&, Reason);
    void giveUp(const TicketPtr&);
    void callerGone(const TicketPtr&);
    void endAttempt(Ticket&);
    void answer(const TicketPtr&, Response);
    void refuse(const TicketPtr&, Reason);
    void finish(const TicketPtr&, unsigned status, const char* result, const std::string& detail);
    void serveWaiting(const std::string& service);
    void serveWaitingSoon(const std::string& service);
    Duration retryAfter(const Ticket&, Reason);
    routing::RetryOptions retryOptions() const;
    double work(const std::string& service, const Route&);
};

void Dispatcher::Core::handle(Request&& request, const std::shared_ptr<Exchange>& exchange)
{
    const auto ticket = std::make_shared<Ticket>();
    ticket->id_ = nextId_++;
    ticket->request_ = std::move(request);
    ticket->exchange_ = exchange;
    ticket->requestId_ = headerValue(ticket->request_.headers_, state_.protocol_.headers_.requestId_);
    tickets_.emplace(ticket->id_, ticket);
    if (const auto reason = admit(*ticket))
        return refuse(ticket, *reason);
    start(ticket);
}

std::optional<Reason> Dispatcher::Core::authenticate(Ticket& ticket) const
{
    if (ticket.catalog_->configuration().workspaces_.empty())
        return std::nullopt;
    const std::string key = state_.protocol_.key_(headerValue(ticket.request_.headers_, "Authorization"));
    if (!key.empty())
        ticket.workspace_ = ticket.catalog_->findKey(key);
    if (ticket.workspace_ || ticket.route_->public_)
        return std::nullopt;
    return key.empty() ? Reason::KeyMissing : Reason::KeyRefused;
}

/// Everything that is known before an upstream is chosen. Returns why the request is refused, if it is.
std::optional<Reason> Dispatcher::Core::admit(Ticket& ticket)
{
    const TimePoint now = monotonicNow();
    ticket.catalog_ = state_.catalog_;
    if (!ticket.catalog_)
        return Reason::NotReady;
    const Headers& headers = ticket.request_.headers_;
    ticket.route_ = ticket.catalog_->findRoute(headerValue(headers, "Host"), ticket.request_.target_);
    if (!ticket.route_)
        return Reason::NoSuchRoute;
    if (const auto reason = authenticate(ticket))
        return reason;
    if (!state_.directory_.loaded_)
        return Reason::NotReady;
    const std::string_view deadline = headerValue(headers, state_.protocol_.headers_.deadline_);
    Duration time = ticket.route_->timeout_;
    if (const auto ms = detail::parseCount(deadline))
        time = std::min<Duration>(time, std::chrono::milliseconds(std::min<uint64_t>(*ms, 86'400'000)));
    else if (!deadline.empty())
        return Reason::BadRequest;
    ticket.giveUpAt_ = ticket.request_.receivedAt_ + time;
    if (now + detail::leastUsefulTime > ticket.giveUpAt_)
        return Reason::DeadlineTooShort;
    if (!state_.quarantine_.quarantined_.empty()
        && routing::isQuarantined(state_.quarantine_, wallNow(), detail::fingerprintOf(ticket)))
        return Reason::Quarantined;
    if (ticket.workspace_ && !takeQuota(state_.quotas_, *ticket.workspace_, state_.random_))
        return Reason::RateLimited;
    ticket.quotaTaken_ = ticket.workspace_ != nullptr;
    ticket.service_ = detail::drawBackend(*ticket.route_, state_.random_);
    const std::string_view object = headerValue(headers, state_.protocol_.headers_.object_);
    if (ticket.route_->sticky_ && !object.empty())
        ticket.object_ = hash64(object);
    return std::nullopt;
}

void Dispatcher::Core::start(const TicketPtr& ticket)
{
    const TimePoint now = monotonicNow();
    const auto pool = state_.directory_.services_.find(ticket->service_);
    const std::string base = pool == state_.directory_.services_.end() ? "" : pool->second.baseVersion_;
    ticket->version_
        = drawVersion(state_.rollouts_, ticket->service_, base, storeNow(state_, now), state_.random_);
    ticket->body_ = std::make_shared<const std::string>(std::move(ticket->request_.body_));
    ticket->timer_ = std::make_unique<boost::asio::steady_timer>(loop_, ticket->giveUpAt_);
    ticket->timer_->async_wait([this, weak = std::weak_ptr(ticket)](boost::system::error_code cancelled) {
        const auto expired = weak.lock();
        if (expired && !cancelled)
            giveUp(expired);
    });
    ticket->exchange_->onCallerGone([this, weak = std::weak_ptr(ticket)] {
        if (const auto left = weak.lock())
            callerGone(left);
    });
    routing::earnRetry(state_.retries_[ticket->service_], retryOptions());
    ticket->homes_ = detail::homeRegions(*ticket);
    drawRegion(*ticket);
    place(ticket);
}

double Dispatcher::Core::work(const std::string& service, const Route& route)
{
    double& known = services_[service].work_;
    if (known <= 0)
        known = seconds(route.objective_);
    return known;
}

routing::Permission Dispatcher::Core::permission(
    const Ticket& ticket, const routing::Target& target, const UpstreamRecord& record, TimePoint now) const
{
    if (!ticket.version_.allows(target.version_)
        || state_.directory_.evacuated_.contains(target.failureDomain_))
        return routing::Permission::Never;
    const ServiceSpec* service = ticket.catalog_->findService(ticket.service_);
    if (now >= target.coldUntil_ || !service || service->coldRate_ <= 0)
        return routing::Permission::Now;
    // Upstreams that other hosts warm up are not for this one.
    if (!record.coldBucket_)
        return routing::Permission::Never;
    return limits::availableTokens(*record.coldBucket_, now) > 0 ? routing::Permission::Now
                                                                 : routing::Permission::Later;
}

/// Prepares the budgets of cold upstreams that this host owns.
void Dispatcher::Core::coolDown(ServicePool& pool, size_t index, TimePoint now)
{
    const routing::Target& target = pool.targets_[index];
    UpstreamRecord& record = pool.records_[index];
    if (now >= target.coldUntil_ || record.coldBucket_ || !state_.catalog_)
        return;
    const ServiceSpec* service = state_.catalog_->findService(record.entry_.service_);
    if (!service || service->coldRate_ <= 0)
        return;
    std::vector<std::string> hosts;
    bool regional = state_.settings_.region_ == target.region_;
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
    record.coldOwner_
        = routing::ownsColdStart(options_.coldStart_, target.id_, state_.settings_.name_, hosts);
    if (record.coldOwner_)
        record.coldBucket_ = routing::makeColdStartBucket(options_.coldStart_, service->coldRate_, now);
}

/// Finds the region of a request by the split of its service. Requests for one object share a place.
void Dispatcher::Core::drawRegion(Ticket& ticket)
{
    ServiceDemand& demand = state_.demand_[ticket.service_];
    if (ticket.homes_.size() == 1) {
        demand.bound_[ticket.homes_.front()].asked_ += 1;
        ticket.region_ = ticket.homes_.front();
        return;
    }
    demand.free_.asked_ += 1;
    // Multiples of the golden ratio fill the line evenly at any time.
    constexpr double goldenRatio = 0.6180339887498949;
    const double evenly = std::fmod(static_cast<double>(++demand.drawn_) * goldenRatio, 1.0);
    const double point = ticket.object_ ? routing::pointOf(*ticket.object_) : evenly;
    ticket.region_ = routing::regionAt(demand.split_, ticket.homes_, point);
}

routing::PickResult Dispatcher::Core::pickIn(
    const Ticket& ticket, ServicePool& pool, const std::vector<std::string>& regions, bool strangers)
{
    const TimePoint now = monotonicNow();
    std::vector<uint64_t> known;
    if (ticket.object_)
        known = routing::knownUpstreams(services_[ticket.service_].memory_, now, *ticket.object_);
    const routing::PickRequest request { .region_ = state_.settings_.region_,
        .object_ = ticket.object_,
        .homeRegions_ = &regions,
        .except_ = &ticket.tried_,
        .known_ = &known,
        .strangers_ = strangers,
        .work_ = work(ticket.service_, *ticket.route_) };
    const auto permit = [&](const routing::Target& target) {
        const auto index = static_cast<size_t>(&target - pool.targets_.data());
        return permission(ticket, target, pool.records_[index], now);
    };
    const auto distance = [&](const routing::Target& target) { return roundTrip(state_, target); };
    return routing::pickTarget(pool.targets_, options_.pick_, request, now, permit, distance);
}

/// Sends the request if an upstream has room for it. Otherwise says why not.
routing::PickFailure Dispatcher::Core::tryPlace(const TicketPtr& ticket, bool strangers)
{
    const auto found = state_.directory_.services_.find(ticket->service_);
    if (found == state_.directory_.services_.end())
        return routing::PickFailure::NoneUsable;
    ServicePool& pool = found->second;
    const TimePoint now = monotonicNow();
    for (size_t i = 0; i < pool.targets_.size(); ++i)
        coolDown(pool, i, now);
    routing::PickResult result { .failure_ = routing::PickFailure::NoneUsable };
    if (!ticket->region_.empty())
        result = pickIn(*ticket, pool, { ticket->region_ }, strangers);
    if (result.failure_ == routing::PickFailure::NoneUsable)
        result = pickIn(*ticket, pool, ticket->homes_, strangers);
    if (result.pick_)
        send(ticket, pool, *result.pick_);
    return result.failure_;
}

void Dispatcher::Core::place(const TicketPtr& ticket)
{
    if (monotonicNow() + detail::leastUsefulTime > ticket->giveUpAt_)
        return refuse(ticket, Reason::DeadlineTooShort);
    switch (tryPlace(ticket)) {
    case routing::PickFailure::None:
        return;
    case routing::PickFailure::NoneUsable:
        return refuse(ticket, ticket->mayHaveRun_ ? Reason::UpstreamFailed : Reason::Overloaded);
    case routing::PickFailure::AllFull:
        return wait(ticket);
    }
}

void Dispatcher::Core::wait(const TicketPtr& ticket)
{
    const TimePoint now = monotonicNow();
    const Duration longest
        = std::chrono::duration_cast<Duration>(ticket->route_->objective_ * options_.waitPart_);
    const TimePoint startBy = std::min(ticket->giveUpAt_, ticket->request_.receivedAt_ + longest);
    const routing::Waiter waiter { ticket->id_, detail::rankOf(*ticket), ticket->request_.receivedAt_,
        startBy };
    if (routing::joinLine(services_[ticket->service_].line_, waiter, now))
        return;
    if (tryPlace(ticket, true) != routing::PickFailure::None)
        refuse(ticket, ticket->mayHaveRun_ ? Reason::UpstreamFailed : Reason::Overloaded);
}

std::string Dispatcher::Core::attemptHead(
    const Ticket& ticket, const routing::Target& target, TimePoint now) const
{
    const HeaderNames& names = state_.protocol_.headers_;
    Headers headers;
    for (HeaderField& field : endToEndHeaders(ticket.request_.headers_)) {
        const bool replaced = equalNames(field.name_, names.deadline_)
            || equalNames(field.name_, names.workspace_) || equalNames(field.name_, names.expectedUpstream_)
            || equalNames(field.name_, "Authorization");
        if (!replaced)
            headers.push_back(std::move(field));
    }
    headers.push_back({ names.deadline_, detail::milliseconds(ticket.giveUpAt_ - now) });
    headers.push_back({ names.expectedUpstream_, target.id_ });
    if (ticket.workspace_)
        headers.push_back({ names.workspace_, ticket.workspace_->name_ });
    return requestHead(ticket.request_.method_, ticket.request_.target_, headers, ticket.body_->size());
}

void Dispatcher::Core::send(const TicketPtr& ticket, ServicePool& pool, const routing::Pick& pick)
{
    const TimePoint now = monotonicNow();
    routing::Target& target = pool.targets_[pick.index_];
    UpstreamRecord& record = pool.records_[pick.index_];
    if (record.coldBucket_ && now < target.coldUntil_)
        limits::takeTokens(*record.coldBucket_, 1, now);
    routing::recordStart(services_[ticket->service_].line_, now);
    if (ticket->object_)
        routing::rememberUse(services_[ticket->service_].memory_, now, *ticket->object_, target.hash_);
    routing::recordSent(target);
    ticket->upstream_ = target.id_;
    ticket->tried_.push_back(target.id_);
    ticket->expected_ = pick.expected_;
    ticket->sentAt_ = now;
    const HeaderNames& names = state_.protocol_.headers_;
    UpstreamCall call { .upstream_ = target.id_,
        .address_ = record.entry_.address_,
        .head_ = attemptHead(*ticket, target, now),
        .body_ = ticket->body_,
        .headRequest_ = ticket->request_.method_ == "HEAD",
        .echoName_ = names.requestId_,
        .echoValue_ = ticket->requestId_ };
    ticket->cancel_
        = upstreams_.send(std::move(call), [this, weak = std::weak_ptr(ticket)](UpstreamAnswer answer) {
              if (const auto sent = weak.lock())
                  onAnswer(sent, std::move(answer));
          });
}

/// Takes the attempt off its upstream's load.
void Dispatcher::Core::endAttempt(Ticket& ticket)
{
    const Located upstream = locate(state_.directory_, ticket.upstream_);
    if (upstream.target_)
        routing::recordEnded(*upstream.target_);
    ticket.upstream_.clear();
    ticket.cancel_ = nullptr;
}

void Dispatcher::Core::onAnswer(const TicketPtr& ticket, UpstreamAnswer answer)
{
    const TimePoint now = monotonicNow();
    const std::string upstream = ticket->upstream_;
    const Located known = locate(state_.directory_, upstream);
    if (known.target_ && answer.connectTime_ > Duration::zero()
        && known.target_->region_ != state_.settings_.region_) {
        const double sample = seconds(answer.connectTime_);
        double& trip = state_.roundTrips_.try_emplace(known.target_->region_, sample).first->second;
        trip += detail::roundTripWeight * (sample - trip);
    }
    if (answer.outcome_ != SendOutcome::Answered) {
        if (known.target_)
            routing::recordBreak(*known.target_, options_.pick_, now);
        onBroken(ticket, answer);
        return;
    }
    onResponse(ticket, std::move(answer.response_), seconds(now - ticket->sentAt_));
}

void Dispatcher::Core::onResponse(const TicketPtr& ticket, Response response, double observed)
{
    const TimePoint now = monotonicNow();
    const HeaderNames& names = state_.protocol_.headers_;
    const Located known = locate(state_.directory_, ticket->upstream_);
    const std::string version = known.target_ ? known.target_->version_ : std::string();
    const bool notRun = response.status_ == state_.protocol_.misdirectedStatus_
        || !headerValue(response.headers_, names.notRun_).empty();
    if (notRun) {
        if (known.target_)
            routing::recordFull(*known.target_, options_.pick_, now);
        if (known.target_ && response.status_ == state_.protocol_.misdirectedStatus_)
            routing::recordBreak(*known.target_, options_.pick_, now);
        endAttempt(*ticket);
        return onNotRun(ticket, response);
    }
    const bool sealed = !headerValue(response.headers_, names.signature_).empty();
    const bool failed = response.status_ >= 500 || !sealed;
    detail::ServiceState& service = services_[ticket->service_];
    if (known.target_) {
        routing::recordAnswer(*known.target_, options_.pick_, now, observed, ticket->expected_, failed);
        const double sample = service.work_ * observed / std::max(ticket->expected_, 0.001);
        if (!failed)
            service.work_ += detail::workWeight * (std::clamp(sample, 0.02, 5.0) - service.work_);
    }
    if (!failed && known.target_) {
        const double held = std::max(0.001, observed - roundTrip(state_, *known.target_));
        double& mean = state_.demand_[ticket->service_].held_;
        mean = mean > 0 ? mean + detail::heldWeight * (held - mean) : held;
    }
    const bool slow = observed > detail::slowFactor * std::max(service.work_, 0.05);
    countAnswer(state_.rollouts_, ticket->service_, version, failed, slow);
    if (!state_.quarantine_.reports_.empty())
        routing::completed(state_.quarantine_, wallNow(), detail::fingerprintOf(*ticket));
    endAttempt(*ticket);
    ticket->mayHaveRun_ = true;
    if (!failed)
        return answer(ticket, std::move(response));
    ticket->lastFault_ = sealed ? "status " + std::to_string(response.status_)
                                : "an answer without the upstream's signature";
    if (sealed)
        ticket->upstreamFailure_ = std::move(response);
    repeatOr(ticket, Reason::UpstreamFailed);
}

void Dispatcher::Core::onNotRun(const TicketPtr& ticket, const Response& response)
{
    ticket->lastFault_ = "refused with status " + std::to_string(response.status_);
    logEvent(LogLevel::Info, "attempt-refused",
        { { "request", ticket->requestId_ }, { "upstream", ticket->tried_.back() },
            { "status", std::to_string(response.status_) } });
    repeatOr(ticket, ticket->mayHaveRun_ ? Reason::UpstreamFailed : Reason::Overloaded);
}

void Dispatcher::Core::onBroken(const TicketPtr& ticket, const UpstreamAnswer& answer)
{
    const TimePoint now = monotonicNow();
    const bool sent = answer.outcome_ == SendOutcome::Broken;
    const Located known = locate(state_.directory_, ticket->upstream_);
    logEvent(LogLevel::Info, "attempt-broken",
        { { "request", ticket->requestId_ }, { "upstream", ticket->upstream_ },
            { "sent", sent ? "yes" : "no" }, { "reused", answer.reused_ ? "yes" : "no" },
            { "reason", answer.detail_ } });
    if (sent && known.target_)
        countAnswer(state_.rollouts_, ticket->service_, known.target_->version_, true, false);
    if (sent && !answer.answerBegun_ && !answer.reused_)
        suspectCrash(ticket->upstream_, now);
    upstreams_.forget(ticket->upstream_);
    endAttempt(*ticket);
    ticket->mayHaveRun_ = ticket->mayHaveRun_ || sent;
    ticket->lastFault_ = answer.detail_;
    repeatOr(ticket, ticket->mayHaveRun_ ? Reason::UpstreamFailed : Reason::Overloaded);
}

/// An upstream that ends takes all its requests with it: one report names all that were in flight there. A
/// connection that broke alone is no crash, so a probe has to be refused before it counts as one.
void Dispatcher::Core::suspectCrash(const std::string& upstream, TimePoint now)
{
    const auto last = lastCrash_.find(upstream);
    if (last != lastCrash_.end() && now < last->second + detail::sameCrash)
        return;
    lastCrash_[upstream] = now;
    const WallTime wall = wallNow();
    routing::CrashReport report { .id_
        = { state_.settings_.name_, state_.incarnation_, ++state_.crashSerial_ },
        .upstream_ = upstream,
        .at_ = wall };
    for (const auto& [id, ticket] : tickets_) {
        if (ticket->upstream_ != upstream)
            continue;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - ticket->sentAt_);
        report.suspects_.push_back({ detail::fingerprintOf(*ticket), { wall.ms_ - age.count() } });
    }
    const Located known = locate(state_.directory_, upstream);
    if (!known.record_)
        return;
    upstreams_.probe(known.record_->entry_.address_, [this, report = std::move(report)](bool refused) {
        if (refused)
            reportCrash(report);
    });
}

void Dispatcher::Core::reportCrash(routing::CrashReport report)
{
    const auto change = routing::addCrash(state_.quarantine_, wallNow(), report);
    logEvent(LogLevel::Info, "upstream-crashed",
        { { "upstream", report.upstream_ }, { "suspects", std::to_string(report.suspects_.size()) },
            { "quarantined", std::to_string(change.records_.size()) } });
    state_.ownCrashes_.push_back({ std::move(report), monotonicNow() + detail::crashTold });
}

routing::RetryOptions Dispatcher::Core::retryOptions() const
{
    const Bounds& bounds = state_.settings_.bounds_;
    const double hosts = 1 + static_cast<double>(state_.fleet_.peers_.size());
    return { .ratio_ = bounds.retryRatio_ * options_.useOfRetries_,
        .burst_ = std::max(1.0, bounds.retrySlack_ * options_.useOfRetries_ / hosts),
        .maxAttempts_ = 1000 };
}

bool Dispatcher::Core::mayRepeat(const Ticket& ticket, TimePoint now)
{
    const bool repeatable = ticket.route_->kind_ == RequestKind::Idempotent || !ticket.mayHaveRun_;
    return repeatable && ticket.tried_.size() < ticket.route_->attempts_
        && now + detail::leastUsefulTime < ticket.giveUpAt_;
}

bool Dispatcher::Core::takeRepeat(const Ticket& ticket)
{
    const routing::FailedAttempt failed { .idempotent_ = true,
        .attempts_ = static_cast<uint32_t>(ticket.tried_.size()),
        .deadline_ = ticket.giveUpAt_ };
    return routing::takeRetry(state_.retries_[ticket.service_], retryOptions(), monotonicNow(), failed);
}

/// Sends the request to another upstream if that is allowed, and else gives the final answer.
void Dispatcher::Core::repeatOr(const TicketPtr& ticket, Reason reason)
{
    if (mayRepeat(*ticket, monotonicNow()) && takeRepeat(*ticket)) {
        metrics_.countRetry(ticket->service_);
        return place(ticket);
    }
    if (ticket->upstreamFailure_)
        return answer(ticket, std::move(*ticket->upstreamFailure_));
    refuse(ticket, reason);
}

void Dispatcher::Core::giveUp(const TicketPtr& ticket)
{
    if (ticket->cancel_) {
        const Located known = locate(state_.directory_, ticket->upstream_);
        const TimePoint now = monotonicNow();
        if (known.target_) {
            routing::recordAnswer(*known.target_, options_.pick_, now, seconds(now - ticket->sentAt_),
                ticket->expected_, false);
            countAnswer(state_.rollouts_, ticket->service_, known.target_->version_, false, true);
        }
        ticket->cancel_();
        endAttempt(*ticket);
        ticket->mayHaveRun_ = true;
        ticket->lastFault_ = "no answer within the request's time";
    }
    refuse(ticket, ticket->mayHaveRun_ ? Reason::UpstreamTimeout : Reason::DeadlineTooShort);
}

void Dispatcher::Core::callerGone(const TicketPtr& ticket)
{
    if (ticket->cancel_) {
        ticket->cancel_();
        ticket->mayHaveRun_ = true;
        endAttempt(*ticket);
    }
    finish(ticket, 0, "caller-gone", ticket->lastFault_);
}

void Dispatcher::Core::answer(const TicketPtr& ticket, Response response)
{
    const HeaderNames& names = state_.protocol_.headers_;
    const std::string length(headerValue(response.headers_, "Content-Length"));
    Headers headers;
    for (HeaderField& field : endToEndHeaders(response.headers_)) {
        if (!equalNames(field.name_, names.load_))
            headers.push_back(std::move(field));
    }
    if (ticket->request_.method_ == "HEAD" && !length.empty())
        headers.push_back({ "Content-Length", length });
    response.headers_ = std::move(headers);
    const unsigned status = response.status_;
    ticket->exchange_->respond(std::move(response));
    finish(ticket, status, "answered", ticket->lastFault_);
}

/// A time after which an upstream is likely to have room, spread so that callers do not return together.
Duration Dispatcher::Core::retryAfter(const Ticket& ticket, Reason reason)
{
    Duration wait = options_.shortestRetryAfter_;
    if (reason == Reason::RateLimited && ticket.workspace_) {
        const double recovery = quotaRecovery(state_.quotas_, *ticket.workspace_);
        wait = std::max(wait, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(recovery)));
    }
    if (ticket.route_ && !ticket.service_.empty()) {
        const auto& line = services_[ticket.service_].line_;
        wait = std::max(wait, routing::expectedWait(line, detail::rankOf(ticket)));
    }
    wait = std::min(wait, options_.longestRetryAfter_);
    return std::chrono::duration_cast<Duration>(wait * (1 + uniform(state_.random_)));
}

void Dispatcher::Core::refuse(const TicketPtr& ticket, Reason reason)
{
    const unsigned status = static_cast<unsigned>(host::statusOf(reason));
    Response response { .status_ = status,
        .headers_ = { { "Content-Type", "application/problem+json" },
            { host::outcomeHeader, host::toString(host::outcomeOf(reason)) } },
        .body_ = host::problemJson(reason, ticket->lastFault_, ticket->requestId_) };
    if (!ticket->requestId_.empty())
        response.headers_.push_back({ state_.protocol_.headers_.requestId_, ticket->requestId_ });
    if (status == 429 || status == 503) {
        const double wait = seconds(retryAfter(*ticket, reason));
        response.headers_.push_back({ "Retry-After", std::to_string(wait).substr(0, 5) });
    }
    if (ticket->quotaTaken_ && !ticket->mayHaveRun_)
        putBackQuota(state_.quotas_, *ticket->workspace_);
    ticket->exchange_->respond(std::move(response));
    finish(ticket, status, host::toString(reason), ticket->lastFault_);
}

void Dispatcher::Core::finish(
    const TicketPtr& ticket, unsigned status, const char* result, const std::string& detail)
{
    const TimePoint now = monotonicNow();
    const Duration took = now - ticket->request_.receivedAt_;
    const std::string workspace = ticket->workspace_ ? ticket->workspace_->name_ : std::string();
    const std::string tried = ticket->tried_.empty() ? std::string() : ticket->tried_.back();
    const auto object = headerValue(ticket->request_.headers_, state_.protocol_.headers_.object_);
    const Duration sent
        = ticket->tried_.empty() ? took : Duration(ticket->sentAt_ - ticket->request_.receivedAt_);
    const uint64_t version = ticket->catalog_ ? ticket->catalog_->configuration().version_ : 0;
    logEvent(LogLevel::Info, "request",
        { { "request", ticket->requestId_ }, { "result", result }, { "status", std::to_string(status) },
            { "route", ticket->route_ ? ticket->route_->name_ : std::string() }, { "workspace", workspace },
            { "service", ticket->service_ }, { "upstream", tried },
            { "attempts", std::to_string(ticket->tried_.size()) }, { "config", std::to_string(version) },
            { "object", std::string(object) }, { "sent_ms", detail::milliseconds(sent) },
            { "took_ms", detail::milliseconds(took) },
            { "expected_ms", std::to_string(static_cast<int>(ticket->expected_ * 1000)) },
            { "fault", detail } });
    metrics_.countRequest(ticket->service_, workspace, result);
    if (status != 0)
        metrics_.observeLatency(ticket->service_, took);
    if (ticket->timer_)
        ticket->timer_->cancel();
    if (!ticket->service_.empty())
        routing::leaveLine(services_[ticket->service_].line_, ticket->id_);
    const std::string service = ticket->service_;
    tickets_.erase(ticket->id_);
    if (!service.empty())
        serveWaitingSoon(service);
}

/// Starts waiting requests in order while there is room, and refuses those that can no longer start in time.
void Dispatcher::Core::serveWaiting(const std::string& service)
{
    const auto known = services_.find(service);
    if (known == services_.end())
        return;
    routing::WaitLine& line = known->second.line_;
    for (const uint64_t id : routing::expiredWaiters(line, monotonicNow())) {
        const auto found = tickets_.find(id);
        if (found == tickets_.end())
            continue;
        const TicketPtr ticket = found->second;
        if (tryPlace(ticket, true) != routing::PickFailure::None)
            refuse(ticket, ticket->mayHaveRun_ ? Reason::UpstreamFailed : Reason::Overloaded);
    }
    const std::vector<routing::Waiter> waiters = line.waiters_;
    size_t unplaced = 0;
    for (const routing::Waiter& waiter : waiters) {
        const auto ticket = tickets_.find(waiter.id_);
        if (ticket == tickets_.end())
            continue;
        // Others may be bound to a version or region with room; a few tries bound the work under overload.
        if (tryPlace(ticket->second) == routing::PickFailure::None)
            routing::leaveLine(line, waiter.id_);
        else if (++unplaced >= detail::mostUnplaced)
            return;
    }
}

/// Serves what waits after the current handler, once for any number of requests that end in it.
void Dispatcher::Core::serveWaitingSoon(const std::string& service)
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.line_.waiters_.empty() || found->second.serveSoon_)
        return;
    found->second.serveSoon_ = true;
    boost::asio::post(loop_, [self = shared_from_this(), service] {
        self->services_[service].serveSoon_ = false;
        self->serveWaiting(service);
    });
}

Dispatcher::Dispatcher(boost::asio::io_context& loop, State& state, UpstreamClient& upstreams,
    host::Metrics& metrics, DispatchOptions options)
    : core_(std::make_shared<Core>(loop, state, upstreams, metrics, options))
{
}

Dispatcher::~Dispatcher() { core_->tickets_.clear(); }

void Dispatcher::handle(Request&& request, const std::shared_ptr<Exchange>& exchange)
{
    core_->handle(std::move(request), exchange);
}

void Dispatcher::serveWaiting()
{
    std::vector<std::string> names;
    for (const auto& [name, service] : core_->services_)
        names.push_back(name);
    for (const std::string& name : names)
        core_->serveWaiting(name);
}

size_t Dispatcher::running() const { return core_->tickets_.size(); }

} // namespace turmericwing::gateway

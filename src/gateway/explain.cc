// Explanation of where a request would go now. The functions of the request path decide, on copies of what
// they change.
#include "turmericwing/gateway/explain.h"

#include "dispatchcore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericwing::gateway {

using nlohmann::json;

namespace detail {

    constexpr size_t maxCandidates = 8; ///< Upstreams listed in the order of attempts.
    constexpr size_t maxObstacles = 64; ///< Other upstreams listed.

    /// Value of a hexadecimal digit; -1 for other characters.
    int digitValue(char digit)
    {
        if (digit >= '0' && digit <= '9')
            return digit - '0';
        const char lower = static_cast<char>(digit | 0x20);
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    /// Decodes percent escapes; nothing if one is incomplete or stands for a control character.
    std::optional<std::string> decodePercent(std::string_view text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            char character = text[i];
            if (character == '%') {
                const int high = i + 2 < text.size() ? digitValue(text[i + 1]) : -1;
                const int low = i + 2 < text.size() ? digitValue(text[i + 2]) : -1;
                if (high < 0 || low < 0)
                    return std::nullopt;
                character = static_cast<char>(high * 16 + low);
                i += 2;
            }
            if (static_cast<unsigned char>(character) < ' ')
                return std::nullopt;
            decoded += character;
        }
        return decoded;
    }

    Result<void> setParameter(ExplainQuery& query, std::string_view name, const std::string& value)
    {
        if (name == "host")
            query.host_ = value;
        else if (name == "path")
            query.path_ = value;
        else if (name == "method")
            query.method_ = value;
        else if (name == "object")
            query.object_ = value;
        else if (name == "workspace")
            query.workspace_ = value;
        else if (name == "deadline")
            query.deadlineMs_ = parseUnsigned(value);
        else
            return makeError(ErrorCode::Invalid, "unknown parameter '" + std::string(name) + "'");
        if (name == "deadline" && !query.deadlineMs_)
            return makeError(ErrorCode::Invalid, "deadline: '" + value + "' is no number of milliseconds");
        return boost::outcome_v2::success();
    }

    /// Puts back what the request path's functions record while they decide on a request.
    class RecordGuard {
    public:
        RecordGuard(Dispatcher::Core& core, const std::string& service)
            : core_(core)
            , service_(service)
            , random_(core.state_.random_)
            , hadDemand_(core.state_.demand_.contains(service))
        {
            if (const auto found = core.services_.find(service); found != core.services_.end())
                serviceTime_ = found->second.serviceTime_;
        }
        ~RecordGuard()
        {
            core_.state_.random_ = random_;
            if (!hadDemand_)
                core_.state_.demand_.erase(service_);
            if (!serviceTime_)
                core_.services_.erase(service_);
            else
                core_.services_[service_].serviceTime_ = *serviceTime_;
        }
        RecordGuard(const RecordGuard&) = delete;
        RecordGuard& operator=(const RecordGuard&) = delete;

    private:
        Dispatcher::Core& core_;
        std::string service_;
        Random random_;
        bool hadDemand_;
        std::optional<double> serviceTime_; ///< Empty if the service was not known.
    };

    Headers headersOf(const ExplainQuery& query, const HeaderNames& names)
    {
        Headers headers { { "Host", query.host_ } };
        if (!query.object_.empty())
            headers.push_back({ names.object_, query.object_ });
        if (!query.authorization_.empty())
            headers.push_back({ "Authorization", query.authorization_ });
        if (query.deadlineMs_)
            headers.push_back({ names.deadline_, std::to_string(*query.deadlineMs_) });
        return headers;
    }

    const WorkspaceSpec* findWorkspace(const Catalog& catalog, const std::string& name)
    {
        const auto& workspaces = catalog.configuration().workspaces_;
        const auto found = std::find_if(workspaces.begin(), workspaces.end(),
            [&](const WorkspaceSpec& workspace) { return workspace.name_ == name; });
        return found == workspaces.end() ? nullptr : &*found;
    }

    ExplainedUpstream describe(const routing::Target& target)
    {
        return { .id_ = target.id_,
            .region_ = target.region_,
            .failureDomain_ = target.failureDomain_,
            .version_ = target.version_,
            .inFlight_ = routing::totalInFlight(target),
            .slots_ = target.slots_ };
    }

    ExplainedRefusal explainRefusal(Dispatcher::Core& core, const PendingRequest& pending, Reason reason)
    {
        const int status = host::statusOf(reason);
        if (status != 429 && status != 503)
            return { .reason_ = reason };
        return { .reason_ = reason, .retryAfter_ = seconds(core.retryAfter(pending, reason)) };
    }

    /// Why an upstream that was not selected may not get the request.
    std::string obstacleOf(const Dispatcher::Core& core, const PendingRequest& pending,
        const routing::Target& target, const UpstreamRecord& record, TimePoint now)
    {
        const auto status = routing::statusAt(target.announced_, now);
        if (status != routing::UpstreamStatus::Serving)
            return routing::statusName(status);
        if (!target.usable_)
            return record.entry_.leaving_ ? "leaving" : "no entry";
        const auto& regions = pending.allowedRegions_;
        if (!regions.empty() && !routing::detail::contains(&regions, target.region_))
            return "region";
        if (core.state_.directory_.evacuated_.contains(target.failureDomain_))
            return "evacuated";
        if (!pending.version_.allows(target.version_))
            return "version";
        const ServiceSpec* service = pending.catalog_->findService(pending.service_);
        if (core.permission(pending, service, target, record, now) != routing::Permission::Now)
            return "cold";
        if (core.limitPermission(pending, record, now) != routing::Permission::Now)
            return "limit";
        if (now < target.pausedUntil_)
            return "backoff";
        if (target.allowance_ == 0
            || routing::totalInFlight(target) >= routing::maxLoad(target, core.options_.pick_))
            return "full";
        return "not preferred";
    }

    ExplainedUpstream describe(const ServicePool& pool, const routing::Pick& pick)
    {
        ExplainedUpstream upstream = describe(pool.targets_[pick.index_]);
        upstream.expectedSeconds_ = pick.expectedSeconds_;
        return upstream;
    }

    /// Upstreams that attempts of the request would go to, in order, by selecting among those not tried.
    std::vector<ExplainedUpstream> candidatesOf(
        Dispatcher::Core& core, PendingRequest& pending, ServicePool& pool)
    {
        std::vector<ExplainedUpstream> candidates;
        while (candidates.size() < maxCandidates) {
            const auto result = core.pickUpstream(pending, pool, false);
            if (!result.pick_)
                break;
            candidates.push_back(describe(pool, *result.pick_));
            pending.triedUpstreams_.push_back(candidates.back().id_);
        }
        pending.triedUpstreams_.clear();
        return candidates;
    }

    void addObstacles(const Dispatcher::Core& core, const PendingRequest& pending, const ServicePool& pool,
        ExplainedBackend& backend, TimePoint now)
    {
        const size_t candidates = backend.upstreams_.size();
        for (size_t i = 0; i < pool.targets_.size(); ++i) {
            const routing::Target& target = pool.targets_[i];
            const auto end = backend.upstreams_.begin() + static_cast<std::ptrdiff_t>(candidates);
            if (std::any_of(backend.upstreams_.begin(), end,
                    [&](const ExplainedUpstream& candidate) { return candidate.id_ == target.id_; }))
                continue;
            const std::string obstacle = obstacleOf(core, pending, target, pool.records_[i], now);
            ++backend.obstacles_[obstacle];
            if (backend.upstreams_.size() - candidates >= maxObstacles)
                continue;
            backend.upstreams_.push_back(describe(target));
            backend.upstreams_.back().obstacle_ = obstacle;
        }
    }

    /// Decides as dispatch() does: send, wait, or try any upstream and then refuse.
    void decide(Dispatcher::Core& core, PendingRequest& pending, ServicePool& pool, ExplainedBackend& backend,
        TimePoint now)
    {
        routing::Scarcity scarcity = core.services_[pending.service_].scarcity_;
        routing::age(scarcity, now);
        backend.giveWayChance_ = routing::shedFraction(scarcity, core.demandClass(pending));
        const auto first = core.pickUpstream(pending, pool, false);
        if (first.pick_) {
            backend.decision_ = Decision::Sent;
            return;
        }
        if (first.failure_ == routing::PickFailure::NoneAvailable) {
            const routing::Waiter waiter { .rank_ = rankOf(pending),
                .arrivedAt_ = now,
                .startBy_ = core.startDeadline(pending),
                .workClass_ = core.workClass(pending) };
            routing::WaitQueue queue = core.services_[pending.service_].waitQueue_;
            if (routing::tryEnqueue(queue, waiter, now)) {
                backend.decision_ = Decision::Waits;
                backend.expectedWait_ = seconds(
                    routing::expectedWait(core.services_[pending.service_].waitQueue_, waiter.rank_));
                return;
            }
            if (const auto any = core.pickUpstream(pending, pool, true); any.pick_) {
                backend.decision_ = Decision::Sent;
                backend.upstreams_.push_back(describe(pool, *any.pick_));
                return;
            }
        }
        backend.refusal_ = explainRefusal(core, pending, Dispatcher::Core::noUpstreamReason(pending));
    }

    ExplainedBackend explainBackend(
        Dispatcher::Core& core, PendingRequest& pending, const WeightedService& weighted, TimePoint now)
    {
        const RecordGuard guard(core, weighted.service_);
        State& state = core.state_;
        pending.service_ = weighted.service_;
        pending.allowedRegions_ = homeRegions(pending);
        const auto found = state.directory_.services_.find(pending.service_);
        // A copy: selection prepares the rate limits of cold upstreams.
        ServicePool pool = found == state.directory_.services_.end() ? ServicePool() : found->second;
        for (size_t i = 0; i < pool.targets_.size(); ++i)
            core.prepareColdBucket(pool, i, now);
        pending.version_ = chooseVersionFilter(
            state.rollouts_, pending.service_, pool.baseVersion_, storeNow(state, now), state.random_);
        const ServiceDemand& demand = state.demand_[pending.service_];
        pending.preferredRegion_ = preferredRegionAt(demand, pending, demand.positionCount_ + 1);
        ExplainedBackend backend { .service_ = pending.service_,
            .preferredRegion_ = pending.preferredRegion_,
            .allowedRegions_ = pending.allowedRegions_,
            .version_ = pending.version_,
            .upstreams_ = candidatesOf(core, pending, pool) };
        decide(core, pending, pool, backend, now);
        addObstacles(core, pending, pool, backend, now);
        return backend;
    }

    const char* toString(Decision decision)
    {
        switch (decision) {
        case Decision::Sent:
            return "sent";
        case Decision::Waits:
            return "waits";
        case Decision::Refused:
            return "refused";
        }
        return "";
    }

    json toJson(const ExplainedRefusal& refusal)
    {
        json value { { "reason", host::toString(refusal.reason_) },
            { "status", host::statusOf(refusal.reason_) } };
        if (refusal.retryAfter_)
            value["retryAfterSeconds"] = *refusal.retryAfter_;
        return value;
    }

    json toJson(const ExplainedUpstream& upstream)
    {
        json value { { "id", upstream.id_ }, { "region", upstream.region_ },
            { "failureDomain", upstream.failureDomain_ }, { "version", upstream.version_ },
            { "inFlight", upstream.inFlight_ }, { "slots", upstream.slots_ } };
        if (upstream.expectedSeconds_)
            value["expectedSeconds"] = *upstream.expectedSeconds_;
        if (!upstream.obstacle_.empty())
            value["obstacle"] = upstream.obstacle_;
        return value;
    }

    json toJson(const ExplainedBackend& backend)
    {
        json value { { "service", backend.service_ }, { "share", backend.share_ },
            { "preferredRegion", backend.preferredRegion_ }, { "allowedRegions", backend.allowedRegions_ },
            { "onlyVersion", backend.version_.only_ }, { "exceptVersion", backend.version_.except_ },
            { "decision", toString(backend.decision_) }, { "giveWayChance", backend.giveWayChance_ },
            { "obstacles", backend.obstacles_ }, { "upstreams", json::array() } };
        if (backend.decision_ == Decision::Waits)
            value["expectedWaitSeconds"] = backend.expectedWait_;
        if (backend.refusal_)
            value["refusal"] = toJson(*backend.refusal_);
        for (const ExplainedUpstream& upstream : backend.upstreams_)
            value["upstreams"].push_back(toJson(upstream));
        return value;
    }

} // namespace detail

Result<ExplainQuery> parseExplainQuery(std::string_view query)
{
    ExplainQuery parsed;
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const size_t equals = pair.find('=');
        if (equals == std::string_view::npos)
            return makeError(ErrorCode::Invalid, "a parameter has no value");
        const auto value = detail::decodePercent(pair.substr(equals + 1));
        if (!value)
            return makeError(ErrorCode::Invalid,
                std::string(pair.substr(0, equals)) + ": malformed percent encoding, or a control character");
        BOOST_OUTCOME_TRY(detail::setParameter(parsed, pair.substr(0, equals), *value));
    }
    if (parsed.host_.empty() || !parsed.path_.starts_with('/') || parsed.method_.empty())
        return makeError(ErrorCode::Invalid, "needs host, path beginning with '/', and a method if given");
    return parsed;
}

Explanation Dispatcher::Core::explain(const ExplainQuery& query)
{
    const TimePoint now = monotonicNow();
    Explanation explanation;
    PendingRequest pending;
    pending.request_ = { .method_ = query.method_,
        .target_ = query.path_,
        .headers_ = detail::headersOf(query, state_.protocol_.headers_),
        .receivedAt_ = now };
    if (state_.catalog_ && !query.workspace_.empty())
        pending.workspace_ = detail::findWorkspace(*state_.catalog_, query.workspace_);
    auto refusal = checkRequest(pending);
    if (refusal == Reason::KeyMissing && !query.workspace_.empty())
        refusal = Reason::KeyRefused;
    if (pending.catalog_)
        explanation.configuration_ = pending.catalog_->configuration().version_;
    if (pending.workspace_)
        explanation.workspace_ = pending.workspace_->name_;
    if (pending.route_) {
        explanation.route_ = pending.route_->name_;
        explanation.idempotent_ = pending.route_->kind_ == RequestKind::Idempotent;
        explanation.timeLeft_ = std::max(Duration::zero(), pending.expiresAt_ - now);
    }
    const detail::RecordGuard guard(*this, {});
    if (refusal) {
        explanation.refusal_ = detail::explainRefusal(*this, pending, *refusal);
        return explanation;
    }
    if (pending.workspace_)
        explanation.admitProbability_ = quotaAdmitProbability(state_.quotas_, *pending.workspace_);
    if (explanation.admitProbability_ <= 0)
        explanation.refusal_ = detail::explainRefusal(*this, pending, Reason::RateLimited);
    double total = 0;
    for (const WeightedService& backend : pending.route_->backends_)
        total += std::max(0.0, backend.weight_);
    for (const WeightedService& backend : pending.route_->backends_) {
        explanation.backends_.push_back(detail::explainBackend(*this, pending, backend, now));
        if (total > 0)
            explanation.backends_.back().share_ = std::max(0.0, backend.weight_) / total;
    }
    return explanation;
}

Explanation Dispatcher::explain(const ExplainQuery& query) { return core_->explain(query); }

std::string explanationJson(const Explanation& explanation)
{
    json value { { "configuration", explanation.configuration_ }, { "route", explanation.route_ },
        { "idempotent", explanation.idempotent_ }, { "workspace", explanation.workspace_ },
        { "admitProbability", explanation.admitProbability_ },
        { "secondsLeft", seconds(explanation.timeLeft_) }, { "backends", json::array() } };
    if (explanation.refusal_)
        value["refusal"] = detail::toJson(*explanation.refusal_);
    for (const ExplainedBackend& backend : explanation.backends_)
        value["backends"].push_back(detail::toJson(backend));
    return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace turmericwing::gateway

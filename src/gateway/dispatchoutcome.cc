// Outcome of attempts: responses, transport errors, retries, refusals and the completion of requests.
#include "dispatchcore.h"
#include "statelog.h"

#include "turmericwing/host/log.h"

#include <algorithm>

namespace turmericwing::gateway {

using host::logEvent;
using host::LogLevel;

namespace detail {

    constexpr double serviceTimeWeight = 0.02; ///< Weight of a new sample in serviceTime_.
    constexpr double slotTimeWeight = 0.02; ///< Weight of a new sample in the mean slot time.
    constexpr double routeWorkWeight = 0.05; ///< Weight of a new sample in the mean time of a route.
    constexpr size_t maxRoutesWithWork = 256; ///< Limits memory; the work of further routes is unknown.
    constexpr double roundTripWeight = 0.2; ///< Weight of a new sample in a region's round-trip time.
    constexpr double slowMultiple = 4; ///< Multiple of the service time that counts as slow in a rollout.
    /// Multiple of the service time after which an unanswered request counts as overdue in a rollout.
    constexpr double overdueMultiple = 1.5;
    /// Seconds; shorter service times vary too much to be a baseline.
    constexpr double minServiceTime = 0.05;
    /// Whether callers take the status for a promise that the request has not run.
    bool promisesNotRun(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    void updateSlotTime(double& mean, double sample)
    {
        mean = mean > 0 ? mean + slotTimeWeight * (sample - mean) : sample;
    }

    std::string answerFault(unsigned status, bool isSigned, bool isUnstated)
    {
        if (!isSigned)
            return "an answer without the upstream's signature";
        const std::string text = "status " + std::to_string(status);
        return isUnstated ? text + " without a statement that it has not run" : text;
    }

} // namespace detail

/// Seconds beyond which an answer counts as slow in a rollout.
double Dispatcher::Core::slowThreshold(const std::string& service)
{
    return detail::slowMultiple * std::max(services_[service].serviceTime_, detail::minServiceTime);
}

/// Counts the attempt in flight as evidence for the version of its upstream, at most once.
void Dispatcher::Core::countForRollout(PendingRequest& pending, bool failed, bool slow)
{
    const UpstreamRef ref = findUpstream(state_.directory_, pending.currentUpstream_);
    if (!ref.target_ || pending.countedInRollout_)
        return;
    pending.countedInRollout_ = true;
    countAnswer(state_.rollouts_, pending.service_, ref.target_->version_, failed, slow);
}

/// Counts attempts past the threshold as slow, however they end, without waiting for responses that may be
/// seconds away, and how many others are overdue.
void Dispatcher::Core::countLateAttempts()
{
    if (!hasRunningRamp(state_.rollouts_))
        return;
    const TimePoint now = monotonicNow();
    std::vector<OverdueRequest> overdue;
    for (const auto& [id, pending] : pendingRequests_) {
        // A response that has begun may take long because of its caller.
        if (pending->currentUpstream_.empty() || pending->countedInRollout_ || pending->responseBegun_)
            continue;
        const double slowAfter = slowThreshold(pending->service_) * presentWorkFactor(*pending, now);
        const double age = seconds(now - pending->sentAt_);
        if (age > slowAfter) {
            countForRollout(*pending, false, true);
        } else if (age > slowAfter * detail::overdueMultiple / detail::slowMultiple) {
            const UpstreamRef ref = findUpstream(state_.directory_, pending->currentUpstream_);
            if (ref.target_)
                overdue.push_back({ pending->service_, ref.target_->version_ });
        }
    }
    countOverdue(state_.rollouts_, overdue);
}

/// Removes the attempt from its upstream's load.
void Dispatcher::Core::endAttempt(PendingRequest& pending)
{
    const UpstreamRef upstream = findUpstream(state_.directory_, pending.currentUpstream_);
    if (upstream.target_)
        routing::recordEnded(*upstream.target_);
    pending.currentUpstream_.clear();
    pending.cancel_ = nullptr;
}

void Dispatcher::Core::onCallResult(const PendingRequestPtr& pending, UpstreamAnswer answer)
{
    const TimePoint now = monotonicNow();
    const UpstreamRef ref = findUpstream(state_.directory_, pending->currentUpstream_);
    if (ref.target_ && answer.connectTime_ > Duration::zero()
        && ref.target_->region_ != state_.settings_.region_) {
        const double sample = seconds(answer.connectTime_);
        double& trip = state_.roundTrips_.try_emplace(ref.target_->region_, sample).first->second;
        trip += detail::roundTripWeight * (sample - trip);
    }
    if (answer.outcome_ != SendOutcome::Answered) {
        if (ref.target_)
            routing::recordConnectionFailure(*ref.target_, options_.pick_, now);
        onTransportError(pending, answer);
        return;
    }
    onResponse(pending, std::move(answer.response_), seconds(now - pending->sentAt_ - answer.sinkTime_));
}

void Dispatcher::Core::onResponse(const PendingRequestPtr& pending, Response response, double observedSeconds)
{
    const TimePoint now = monotonicNow();
    const HeaderNames& names = state_.protocol_.headers_;
    if (!pending->responseBegun_) {
        applyUpstreamNotice(*pending, response);
        pending->reportedLoad_ = applyLoadReport(*pending, response);
    }
    const auto load = pending->reportedLoad_;
    const UpstreamRef ref = findUpstream(state_.directory_, pending->currentUpstream_);
    // Without an id in the request, nothing shows that the statement is about this request.
    const bool notRun = !pending->requestId_.empty()
        && (response.status_ == state_.protocol_.misdirectedStatus_
            || !headerValue(response.headers_, names.notRun_).empty());
    if (notRun) {
        if (ref.target_)
            routing::recordRejection(*ref.target_, options_.pick_, now);
        if (ref.target_ && response.status_ == state_.protocol_.misdirectedStatus_)
            routing::recordConnectionFailure(*ref.target_, options_.pick_, now);
        endAttempt(*pending);
        return onNotRun(pending, response);
    }
    const bool isSigned = !headerValue(response.headers_, names.signature_).empty();
    const bool failed = response.status_ >= 500 || !isSigned;
    const bool isUnstated
        = pending->route_->kind_ == RequestKind::NonIdempotent && detail::promisesNotRun(response.status_);
    const double workFactor
        = std::max(pending->workFactor_, routing::answeredWorkFactor(load, options_.pick_.reportedLoad_));
    if (ref.target_)
        recordTimes(*pending, *ref.target_, observedSeconds, workFactor, failed);
    countForRollout(*pending, failed, observedSeconds > slowThreshold(pending->service_) * workFactor);
    if (!state_.quarantine_.reports_.empty())
        routing::recordCompletion(
            state_.quarantine_, evidenceNow(state_, monotonicNow()), detail::fingerprintOf(*pending));
    endAttempt(*pending);
    pending->mayHaveRun_ = true;
    if (!failed && !isUnstated)
        return forwardResponse(pending, std::move(response));
    pending->lastError_ = detail::answerFault(response.status_, isSigned, isUnstated);
    if (isSigned && !isUnstated)
        pending->upstreamFailure_ = std::move(response);
    retryOrFinish(pending, Reason::UpstreamFailed);
}

/// Updates the estimates for the upstream and its service from an answer. Work that takes longer because the
/// upstream's machine is busy, as it reports itself, is no property of the upstream.
void Dispatcher::Core::recordTimes(
    PendingRequest& pending, routing::Target& target, double observedSeconds, double workFactor, bool failed)
{
    const double usual = routing::excludeReportedWork(observedSeconds, pending.usualLatency_, workFactor);
    routing::recordAnswer(target, options_.pick_, monotonicNow(), usual, pending.usualLatency_, failed);
    if (failed)
        return;
    recordWork(pending, observedSeconds);
    double& serviceTime = services_[pending.service_].serviceTime_;
    const double sample = serviceTime * usual / std::max(pending.usualLatency_, 0.001);
    serviceTime += detail::serviceTimeWeight * (std::clamp(sample, 0.02, 5.0) - serviceTime);
    const double held = std::max(0.001, observedSeconds - roundTrip(state_, target));
    ServiceDemand& demand = state_.demand_[pending.service_];
    detail::updateSlotTime(demand.slotSeconds_, held);
    // Callers of all regions send to the one region, whose upstreams have few of their objects cached.
    if (pending.allowedRegions_.size() == 1)
        detail::updateSlotTime(demand.bound_[pending.allowedRegions_.front()].slotSeconds_, held);
}

/// How long work takes at the upstream of an unanswered attempt, by its last reports.
double Dispatcher::Core::presentWorkFactor(const PendingRequest& pending, TimePoint now)
{
    const UpstreamRef ref = findUpstream(state_.directory_, pending.currentUpstream_);
    if (!ref.target_)
        return pending.workFactor_;
    const double present = routing::workFactor(ref.target_->reportedLoad_, options_.pick_.reportedLoad_, now);
    return std::max(pending.workFactor_, present);
}

/// Applies the load that the answer reports, and returns it. The answer of a misdirected request comes from
/// another process, and an answer to a request without an id cannot be attributed.
std::optional<routing::LoadReport> Dispatcher::Core::applyLoadReport(
    const PendingRequest& pending, const Response& response)
{
    const std::string_view text = headerValue(response.headers_, state_.protocol_.headers_.load_);
    const bool attributed
        = !pending.requestId_.empty() && response.status_ != state_.protocol_.misdirectedStatus_;
    const UpstreamRef ref = findUpstream(state_.directory_, pending.currentUpstream_);
    if (text.empty() || !attributed || !ref.target_
        || ref.record_->entry_.startedMs_ != pending.upstreamStartedMs_)
        return std::nullopt;
    const auto report = state_.protocol_.parseLoad_(text);
    if (!report) {
        rejectLoadReport(pending, *ref.record_);
        return std::nullopt;
    }
    // The answered request itself has ended.
    const uint32_t others = std::max(routing::totalInFlight(*ref.target_), 1U) - 1;
    routing::applyReport(ref.target_->reportedLoad_, *report, pending.sentAt_, monotonicNow(), others);
    return report;
}

/// Counts a malformed report, and logs the first one of each incarnation of an upstream.
void Dispatcher::Core::rejectLoadReport(const PendingRequest& pending, UpstreamRecord& record)
{
    metrics_.countRejectedLoadReport(pending.service_);
    if (record.loadFaultLogged_)
        return;
    record.loadFaultLogged_ = true;
    logEvent(LogLevel::Warning, "load-report-rejected",
        { { "upstream", pending.currentUpstream_ }, { "service", pending.service_ },
            { "request", pending.requestId_ } });
}

/// Applies what the answer says about the state of its upstream. The answer of a misdirected request comes
/// from another process, and an answer to a request without an id cannot be attributed.
void Dispatcher::Core::applyUpstreamNotice(const PendingRequest& pending, const Response& response)
{
    if (pending.requestId_.empty() || response.status_ == state_.protocol_.misdirectedStatus_)
        return;
    const routing::UpstreamNotice notice = state_.protocol_.parseNotice_(response);
    if (!notice.fault_.empty())
        logFaultOnce(pending, notice.fault_);
    applyUpstreamLimit(pending, response, notice);
    const std::string& upstream = pending.currentUpstream_;
    const auto status
        = recordNotice(state_.directory_, monotonicNow(), { pending.upstreamStartedMs_, upstream }, notice);
    // Each answer of a leaving upstream may have returned its connection to the pool.
    if (notice.leaving_)
        upstreamClient_.closeIdleConnections(upstream);
    if (!status)
        return;
    const std::string name = routing::statusName(*status);
    logEvent(LogLevel::Info, "upstream-state",
        { { "upstream", upstream }, { "service", pending.service_ }, { "state", name },
            { "source", "answer" }, { "request", pending.requestId_ },
            { "status", std::to_string(response.status_) },
            { "pause_ms",
                detail::milliseconds(routing::requestedPause(state_.directory_.stateOptions_, notice)) } });
    metrics_.countUpstreamState(pending.service_, name, "answer");
    scheduleServeWaiting(pending.service_);
}

/// Applies the limit that the answer names, or that it names none.
void Dispatcher::Core::applyUpstreamLimit(
    const PendingRequest& pending, const Response& response, const routing::UpstreamNotice& notice)
{
    if (notice.isRateMalformed_)
        return;
    const bool ran = headerValue(response.headers_, state_.protocol_.headers_.notRun_).empty();
    const auto change = recordLimit(state_.upstreamLimits_, state_.directory_, state_.fleet_, monotonicNow(),
        { { pending.upstreamStartedMs_, pending.currentUpstream_ }, notice.requestRate_, pending.sentAt_,
            ran });
    if (!change)
        return;
    detail::logLimitChange(*change, pending.requestId_);
    scheduleServeWaiting(pending.service_);
}

/// Logs a malformed announcement, once for each incarnation of an upstream to bound the volume.
void Dispatcher::Core::logFaultOnce(const PendingRequest& pending, const std::string& fault)
{
    const UpstreamRef ref = findUpstream(state_.directory_, pending.currentUpstream_);
    if (!ref.record_ || ref.record_->faultLogged_)
        return;
    ref.record_->faultLogged_ = true;
    logEvent(LogLevel::Warning, "upstream-state-ignored",
        { { "upstream", pending.currentUpstream_ }, { "request", pending.requestId_ }, { "reason", fault } });
}

/// The upstream answered that it did not run the request, so mayHaveRun_ is left as it was.
void Dispatcher::Core::onNotRun(const PendingRequestPtr& pending, const Response& response)
{
    pending->lastError_ = "refused with status " + std::to_string(response.status_);
    logEvent(LogLevel::Info, "attempt-refused",
        { { "request", pending->requestId_ }, { "upstream", pending->triedUpstreams_.back() },
            { "status", std::to_string(response.status_) } });
    retryOrFinish(pending, noUpstreamReason(*pending));
}

/// The connection failed before or after the request was sent: retries if allowed.
void Dispatcher::Core::onTransportError(const PendingRequestPtr& pending, const UpstreamAnswer& answer)
{
    const TimePoint now = monotonicNow();
    const bool sent = answer.outcome_ == SendOutcome::Broken;
    logEvent(LogLevel::Info, "attempt-broken",
        { { "request", pending->requestId_ }, { "upstream", pending->currentUpstream_ },
            { "sent", sent ? "yes" : "no" }, { "reused", answer.reused_ ? "yes" : "no" },
            { "reason", answer.failureReason_ } });
    if (sent)
        countForRollout(*pending, true, false);
    if (sent && answer.connectionEnded_)
        checkForCrash(pending->currentUpstream_, now);
    upstreamClient_.closeIdleConnections(pending->currentUpstream_);
    endAttempt(*pending);
    pending->mayHaveRun_ = pending->mayHaveRun_ || sent;
    pending->lastError_ = answer.failureReason_;
    if (pending->responseBegun_)
        return abandonResponse(pending, answer.failureReason_);
    retryOrFinish(pending, noUpstreamReason(*pending));
}

/// Takes a retry from the service's budget; false if the request may not be retried or the budget is spent.
bool Dispatcher::Core::consumeRetry(const PendingRequest& pending)
{
    const routing::FailedAttempt failed { .idempotent_ = pending.route_->kind_ == RequestKind::Idempotent,
        .byteMayBeSent_ = pending.mayHaveRun_,
        .attempts_ = static_cast<uint32_t>(pending.triedUpstreams_.size()),
        .deadline_ = pending.expiresAt_,
        .expected_ = detail::minSendTime };
    return routing::spendRetryToken(state_.retryBudgets_[pending.service_],
        retryOptions(pending.route_->attempts_), monotonicNow(), failed);
}

/// Reason for a refusal without an upstream: Overloaded and Draining promise that the request has not run, so
/// they are used only if no upstream can have run it. While the host stops, full upstreams are still the
/// reason where there is no capacity: other hosts cannot serve the request at once either.
Reason Dispatcher::Core::noUpstreamReason(const PendingRequest& pending)
{
    if (pending.mayHaveRun_)
        return Reason::UpstreamFailed;
    return pending.stopsTooSoon_ ? Reason::Draining : Reason::Overloaded;
}

/// Ends a request that no upstream will serve any more: with the failure that an upstream has returned, if
/// any, else with a refusal. It promises that the request has not run only if no upstream can have run it.
void Dispatcher::Core::endUnserved(const PendingRequestPtr& pending, Reason reason)
{
    if (pending->upstreamFailure_)
        return forwardResponse(pending, std::move(*pending->upstreamFailure_));
    const bool mayHaveRun = pending->mayHaveRun_ && host::outcomeOf(reason) == host::Outcome::NotRun;
    refuse(pending, mayHaveRun ? Reason::UpstreamFailed : reason);
}

/// Retries at another upstream if allowed, else forwards the upstream's failure or refuses with `reason`.
void Dispatcher::Core::retryOrFinish(const PendingRequestPtr& pending, Reason reason)
{
    if (consumeRetry(*pending)) {
        metrics_.countRetry(pending->service_);
        return dispatch(pending);
    }
    endUnserved(pending, reason);
}

/// Ends a request at its expiry, cancelling the attempt in flight.
void Dispatcher::Core::onDeadline(const PendingRequestPtr& pending)
{
    if (pending->cancel_) {
        const UpstreamRef ref = findUpstream(state_.directory_, pending->currentUpstream_);
        const TimePoint now = monotonicNow();
        if (ref.target_ && !pending->waitsForCaller_) {
            const double usual = routing::excludeReportedWork(
                seconds(now - pending->sentAt_), pending->usualLatency_, presentWorkFactor(*pending, now));
            routing::recordAnswer(*ref.target_, options_.pick_, now, usual, pending->usualLatency_, false);
        }
        if (!pending->waitsForCaller_)
            countForRollout(*pending, false, true);
        pending->cancel_();
        endAttempt(*pending);
        pending->mayHaveRun_ = true;
        pending->lastError_ = "no answer before the request's deadline";
    }
    if (pending->responseBegun_)
        return abandonResponse(pending, "the request's deadline");
    refuse(pending, pending->mayHaveRun_ ? Reason::UpstreamTimeout : Reason::DeadlineTooShort);
}

/// Ends a request because the process is about to end, cancelling the attempt in flight. An attempt may have
/// reached its upstream even if the upstream has not read it yet.
void Dispatcher::Core::endAtStop(const PendingRequestPtr& pending)
{
    if (pending->cancel_) {
        pending->cancel_();
        endAttempt(*pending);
        pending->mayHaveRun_ = true;
        pending->lastError_ = "no answer before this host stops";
    }
    if (pending->responseBegun_)
        return abandonResponse(pending, "this host stops");
    if (pending->upstreamFailure_)
        return forwardResponse(pending, std::move(*pending->upstreamFailure_));
    refuse(pending, pending->mayHaveRun_ ? Reason::OutcomeUnknown : Reason::Draining);
}

void Dispatcher::Core::onCallerDisconnected(const PendingRequestPtr& pending)
{
    if (pending->cancel_) {
        pending->cancel_();
        pending->mayHaveRun_ = true;
        endAttempt(*pending);
    }
    completeRequest(pending, 0, "caller-gone", pending->lastError_);
}

/// Adds the time that an upstream took for a successful answer to the mean of the request's route.
void Dispatcher::Core::recordWork(const PendingRequest& pending, double observedSeconds)
{
    auto& known = services_[pending.service_].routeWork_;
    if (!known.contains(pending.route_->name_) && known.size() >= detail::maxRoutesWithWork)
        return;
    double& mean = known.try_emplace(pending.route_->name_, observedSeconds).first->second;
    mean += detail::routeWorkWeight * (observedSeconds - mean);
}

/// Fields of an upstream's answer that its caller gets.
Headers Dispatcher::Core::callerHeaders(const Headers& upstreamHeaders) const
{
    Headers headers;
    for (HeaderField& field : endToEndHeaders(upstreamHeaders)) {
        if (!equalNames(field.name_, state_.protocol_.headers_.load_))
            headers.push_back(std::move(field));
    }
    return headers;
}

/// Sink for an attempt's answer. Only its call uses it, which is cancelled when the request ends.
AnswerSink Dispatcher::Core::answerSink(const PendingRequestPtr& pending)
{
    const std::weak_ptr<PendingRequest> weak = pending;
    return { .onHead_ =
                 [this, weak](const Response& head, uint64_t bodyBytes) {
                     const auto sent = weak.lock();
                     return sent && beginForwarding(*sent, head, bodyBytes);
                 },
        .onPart_ =
            [this, weak](Body part, std::function<void()> onTaken) {
                if (const auto sent = weak.lock())
                    forwardPart(sent, std::move(part), std::move(onTaken));
            } };
}

/// Begins the response if its answer may be sent while it arrives. Returns whether it has begun.
bool Dispatcher::Core::beginForwarding(PendingRequest& pending, const Response& head, uint64_t bodyBytes)
{
    const HeaderNames& names = state_.protocol_.headers_;
    const AnswerHead known { .status_ = head.status_,
        .bodyBytes_ = bodyBytes,
        .isIdempotent_ = pending.route_->kind_ == RequestKind::Idempotent,
        .hasOwnId_ = !pending.requestId_.empty(),
        .isSigned_ = !headerValue(head.headers_, names.signature_).empty(),
        .statesNotRun_ = !headerValue(head.headers_, names.notRun_).empty() };
    if (!mayStream(options_.stream_, known))
        return false;
    Response begun { .status_ = head.status_,
        .reason_ = head.reason_,
        .headers_ = callerHeaders(head.headers_),
        .body_ = {} };
    if (!pending.exchange_->beginResponse(std::move(begun), bodyBytes))
        return false;
    pending.responseBegun_ = true;
    pending.mayHaveRun_ = true;
    pending.upstreamFailure_.reset();
    // The caller may take long to read the rest.
    applyUpstreamNotice(pending, head);
    pending.reportedLoad_ = applyLoadReport(pending, head);
    return true;
}

void Dispatcher::Core::forwardPart(const PendingRequestPtr& pending, Body part, std::function<void()> onTaken)
{
    pending->waitsForCaller_ = true;
    const auto onSent = [weak = std::weak_ptr(pending), onTaken = std::move(onTaken)] {
        if (const auto sent = weak.lock())
            sent->waitsForCaller_ = false;
        onTaken();
    };
    pending->exchange_->sendPart(std::move(part), onSent);
}

/// Ends a request whose response has begun and cannot be completed.
void Dispatcher::Core::abandonResponse(const PendingRequestPtr& pending, const std::string& reason)
{
    pending->exchange_->abandonResponse();
    completeRequest(pending, 0, "answer-broken", reason);
}

void Dispatcher::Core::forwardResponse(const PendingRequestPtr& pending, Response response)
{
    const unsigned status = response.status_;
    const std::string length(headerValue(response.headers_, "Content-Length"));
    response.headers_ = callerHeaders(response.headers_);
    if (pending->request_.method_ == "HEAD" && !length.empty())
        response.headers_.push_back({ "Content-Length", length });
    // The sink has got the body of a response that has begun.
    if (!pending->responseBegun_)
        pending->exchange_->respond(std::move(response));
    completeRequest(pending, status, "answered", pending->lastError_);
}

/// End of the earliest pause, if the service has no other upstream for the request.
std::optional<TimePoint> Dispatcher::Core::pauseEnd(const PendingRequest& pending, TimePoint now)
{
    const auto pool = state_.directory_.services_.find(pending.service_);
    if (pool == state_.directory_.services_.end() || !pending.catalog_)
        return std::nullopt;
    const ServiceSpec* service = pending.catalog_->findService(pending.service_);
    const auto& regions = pending.allowedRegions_;
    return routing::earliestPauseEnd(pool->second.targets_, now, [&](const routing::Target& target) {
        const auto index = static_cast<size_t>(&target - pool->second.targets_.data());
        const bool home = regions.empty() || routing::detail::contains(&regions, target.region_);
        return home
            && permission(pending, service, target, pool->second.records_[index], now)
            != routing::Permission::Never;
    });
}

/// Delay after which capacity or quota is expected, lengthened by up to as much again as random jitter, so
/// that callers do not all retry at the same time. Not before the earliest end of the upstreams' pauses if
/// all of them are paused.
Duration Dispatcher::Core::retryAfter(const PendingRequest& pending, Reason reason)
{
    if (reason == Reason::Draining)
        return std::chrono::duration_cast<Duration>(
            options_.drain_.retryAfter_ * (1 + uniform(state_.random_)));
    Duration wait = options_.minRetryAfter_;
    if (reason == Reason::RateLimited && pending.workspace_) {
        const double recovery = quotaRecoverySeconds(state_.quotas_, *pending.workspace_);
        wait = std::max(wait, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(recovery)));
    }
    if (pending.route_ && !pending.service_.empty()) {
        const auto& queue = services_[pending.service_].waitQueue_;
        wait = std::max(wait, routing::expectedWait(queue, detail::rankOf(pending)));
    }
    wait = std::min(wait, options_.maxRetryAfter_);
    const TimePoint now = monotonicNow();
    const auto end = reason == Reason::Overloaded ? pauseEnd(pending, now) : std::nullopt;
    if (end)
        return *end - now + std::chrono::duration_cast<Duration>(wait * uniform(state_.random_));
    return std::chrono::duration_cast<Duration>(wait * (1 + uniform(state_.random_)));
}

void Dispatcher::Core::refuse(const PendingRequestPtr& pending, Reason reason)
{
    const unsigned status = static_cast<unsigned>(host::statusOf(reason));
    Response response { .status_ = status,
        .headers_ = { { "Content-Type", "application/problem+json" },
            { host::outcomeHeader, host::toString(host::outcomeOf(reason)) } },
        .body_ = host::problemJson(reason, pending->lastError_, pending->requestId_) };
    if (!pending->requestId_.empty())
        response.headers_.push_back({ state_.protocol_.headers_.requestId_, pending->requestId_ });
    if (status == 429 || status == 503) {
        const double wait = seconds(retryAfter(*pending, reason));
        response.headers_.push_back({ "Retry-After", std::to_string(wait).substr(0, 5) });
    }
    if (pending->quotaTaken_ && !pending->mayHaveRun_)
        refundQuota(state_.quotas_, *pending->workspace_);
    pending->exchange_->respond(std::move(response));
    completeRequest(pending, status, host::toString(reason), pending->lastError_);
}

/// Logs and counts the request, and removes it. A status of 0 means that no complete response was sent.
void Dispatcher::Core::completeRequest(
    const PendingRequestPtr& pending, unsigned status, const char* result, const std::string& detail)
{
    const TimePoint now = monotonicNow();
    const Duration took = now - pending->request_.receivedAt_;
    const std::string workspace = pending->workspace_ ? pending->workspace_->name_ : std::string();
    const std::string lastUpstream
        = pending->triedUpstreams_.empty() ? std::string() : pending->triedUpstreams_.back();
    const auto object = headerValue(pending->request_.headers_, state_.protocol_.headers_.object_);
    const Duration sent = pending->triedUpstreams_.empty()
        ? took
        : Duration(pending->sentAt_ - pending->request_.receivedAt_);
    const std::string priority
        = pending->route_ ? routing::rankLabel(detail::rankOf(*pending)) : std::string();
    const uint64_t version = pending->catalog_ ? pending->catalog_->configuration().version_ : 0;
    logEvent(LogLevel::Info, "request",
        { { "request", pending->requestId_ }, { "result", result }, { "status", std::to_string(status) },
            { "route", pending->route_ ? pending->route_->name_ : std::string() }, { "workspace", workspace },
            { "priority", priority }, { "service", pending->service_ }, { "upstream", lastUpstream },
            { "attempts", std::to_string(pending->triedUpstreams_.size()) },
            { "config", std::to_string(version) }, { "object", std::string(object) },
            { "sent_ms", detail::milliseconds(sent) }, { "took_ms", detail::milliseconds(took) },
            { "expected_ms", std::to_string(static_cast<int>(pending->expectedLatency_ * 1000)) },
            { "fault", detail } });
    metrics_.countRequest(pending->service_, workspace, result);
    if (status != 0)
        metrics_.observeLatency(pending->service_, took);
    if (pending->timer_)
        pending->timer_->cancel();
    if (!pending->service_.empty())
        routing::removeWaiter(services_[pending->service_].waitQueue_, pending->id_);
    const std::string service = pending->service_;
    pendingRequests_.erase(pending->id_);
    if (!service.empty())
        scheduleServeWaiting(service);
}

} // namespace turmericwing::gateway

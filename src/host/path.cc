// Request handling. Each step either passes or rejects the request with a reason. Resources that the request
// holds by then (token, claim, slot) are released in reverse order.
#include "turmericwing/host/path.h"

#include "headers.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/base/random.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>
#include <strings.h>

namespace turmericwing::host {

namespace detail {

    /// Bodies up to this size are read before the first attempt, so that they can be sent again.
    constexpr uint64_t bufferedBodyBytes = uint64_t { 64 } * 1024;
    constexpr size_t maximumIdempotencyKeyBytes = 255;

    constexpr const char* timeoutHeader = "Turmericwing-Timeout-Ms";
    constexpr const char* requestIdHeader = "Turmericwing-Request-Id";

    std::string newRequestId()
    {
        thread_local Random random = makeRandom();
        return randomId(random);
    }

    /// Why a request is rejected.
    struct Rejection {
        Reason reason_;
        std::string text_;
        Duration retryAfter_ { 0 };
    };

    /// State of one request, filled in by the steps.
    struct Context {
        const PathParts& parts_;
        const CallerRequest& request_;
        std::string requestId_ = newRequestId();
        TimePoint start_ = monotonicNow();
        TimePoint deadline_;
        std::shared_ptr<const Snapshot> snapshot_;
        Target target_;
        const model::Route* route_ = nullptr;
        const model::Workspace* workspace_ = nullptr;
        std::optional<Tokens::TokenSource> token_;
        std::string body_; ///< Complete, unless streaming_.
        bool streaming_ = false;
        bool bodyConsumed_ = false; ///< Part of a streaming body has been handed to an upstream.
        routing::Fingerprint fingerprint_;
        std::optional<ClaimKey> claim_;
        std::string claimToken_;
        MoveSide side_;
        std::vector<std::string> upstreams_; ///< Of the attempts so far, in order.
    };

    std::string workspaceName(const Context& context)
    {
        return context.workspace_ ? context.workspace_->name_ : "";
    }

    /// Adds the request's result to the metrics and the trace log.
    void recordResult(const Context& context, const std::string& result, int status, const std::string& text)
    {
        const auto duration = std::chrono::duration_cast<Duration>(monotonicNow() - context.start_);
        const std::string service = context.route_ ? context.target_.service_ : "";
        context.parts_.metrics_.countRequest(service, workspaceName(context), result);
        if (context.route_)
            context.parts_.metrics_.observeLatency(service, duration);
        context.parts_.trace_.add({ context.requestId_, wallNow(), service,
            context.route_ ? context.route_->name_ : "", workspaceName(context), result, status, text,
            context.upstreams_, context.snapshot_ ? context.snapshot_->head_.revision_ : 0, duration });
    }

    /// Reads and discards the caller's body, because the connection cannot be reused with unread bytes on it.
    void discardBody(const CallerRequest& request)
    {
        if (request.hasBody_ && request.readBody_)
            request.readBody_([](const char*, size_t) { return true; });
    }

    /// Makes the problem response. Puts the rate limit token back if the request has not run.
    CallerResponse refuse(Context& context, const Rejection& rejection)
    {
        if (context.token_ && outcomeOf(rejection.reason_) == Outcome::NotRun)
            context.parts_.tokens_.putBack(context.workspace_->name_, *context.token_);
        recordResult(context, toString(rejection.reason_), statusOf(rejection.reason_), rejection.text_);
        CallerResponse response;
        response.status_ = statusOf(rejection.reason_);
        response.body_ = problemJson(rejection.reason_, rejection.text_, context.requestId_);
        response.headers_ = { { "Content-Type", "application/problem+json" },
            { outcomeHeader, toString(outcomeOf(rejection.reason_)) },
            { requestIdHeader, context.requestId_ } };
        if (outcomeOf(rejection.reason_) == Outcome::NotRun && response.status_ >= 429) {
            const double waitSeconds = std::max(1.0, std::ceil(seconds(rejection.retryAfter_)));
            response.headers_.emplace_back("Retry-After", std::to_string(static_cast<int>(waitSeconds)));
        }
        return response;
    }

    std::optional<Rejection> resolveRoute(Context& context)
    {
        if (!context.parts_.state_.admitting())
            return Rejection { Reason::Draining, "the host is stopping; use another host" };
        context.snapshot_ = context.parts_.state_.snapshot();
        if (!context.snapshot_)
            return Rejection { Reason::NotReady, "the host has no configuration yet" };
        if (context.request_.target_.empty() || context.request_.target_[0] != '/')
            return Rejection { Reason::BadRequest, "the request target must start with /" };
        context.target_ = splitTarget(context.request_.target_);
        if (hasDotSegments(context.target_.path_))
            return Rejection { Reason::BadRequest, "the path contains dot segments" };
        const RouteLookup found = findRoute(
            *context.snapshot_, context.target_.service_, context.target_.path_, context.request_.method_);
        switch (found.match_) {
        case RouteMatch::NoService:
            return Rejection { Reason::NoSuchService, "no service '" + context.target_.service_ + "'" };
        case RouteMatch::NoRoute:
            return Rejection { Reason::NoSuchRoute,
                "no route of '" + context.target_.service_ + "' covers this path" };
        case RouteMatch::NoMethod:
            return Rejection { Reason::MethodNotAllowed,
                "the route does not accept " + context.request_.method_ };
        case RouteMatch::Found:
            break;
        }
        context.route_ = found.route_;
        return std::nullopt;
    }

    /// Sets the deadline from the route's timeout, which the caller's timeout header can only shorten.
    std::optional<Rejection> setDeadline(Context& context)
    {
        uint64_t timeoutMs = context.route_->timeoutMs_;
        const std::string requestedTimeout = headerValue(context.request_.headers_, timeoutHeader);
        if (!requestedTimeout.empty()) {
            uint64_t parsed = 0;
            const char* end = requestedTimeout.data() + requestedTimeout.size();
            const auto [parseEnd, status] = std::from_chars(requestedTimeout.data(), end, parsed);
            if (status != std::errc() || parseEnd != end || parsed == 0)
                return Rejection { Reason::BadRequest,
                    std::string(timeoutHeader) + " must be a positive number of milliseconds" };
            timeoutMs = std::min(timeoutMs, parsed);
        }
        context.deadline_ = context.start_ + std::chrono::milliseconds(timeoutMs);
        return std::nullopt;
    }

    /// Finds the workspace of the caller's key. Open routes need no key. Without a valid lease the host might
    /// accept a withdrawn key, so it refuses the request.
    std::optional<Rejection> authenticateCaller(Context& context)
    {
        if (context.route_->open_)
            return std::nullopt;
        if (monotonicNow() >= context.parts_.state_.leaseEnd())
            return Rejection { Reason::StaleConfiguration,
                "the host cannot confirm that its configuration is current; use another host" };
        const std::string authorization = headerValue(context.request_.headers_, "Authorization");
        if (strncasecmp(authorization.c_str(), "Bearer ", 7) != 0)
            return Rejection { Reason::KeyMissing, "send the workspace's key as Authorization: Bearer" };
        context.workspace_ = authenticate(*context.snapshot_, std::string_view(authorization).substr(7));
        if (!context.workspace_)
            return Rejection { Reason::KeyRefused, "the key is unknown or withdrawn" };
        return std::nullopt;
    }

    std::optional<Rejection> checkBodySize(Context& context)
    {
        const uint64_t limit = context.route_->maxBodyBytes_;
        if (context.request_.bodyLength_.value_or(0) > limit)
            return Rejection { Reason::TooLarge,
                "the body exceeds the route's limit of " + std::to_string(limit) + " bytes" };
        return std::nullopt;
    }

    std::optional<Rejection> takeRateToken(Context& context)
    {
        if (!context.workspace_)
            return std::nullopt;
        const Tokens::TakeResult takeResult
            = context.parts_.tokens_.take(context.workspace_->name_, context.deadline_);
        context.token_ = takeResult.source_;
        if (takeResult.source_)
            return std::nullopt;
        return Rejection { Reason::RateLimited,
            "workspace '" + context.workspace_->name_ + "' has reached its rate limit",
            takeResult.retryAfter_ };
    }

    /// Buffers a small body; a longer body, or one of unknown length, is streamed.
    std::optional<Rejection> bufferSmallBody(Context& context)
    {
        if (!context.request_.hasBody_)
            return std::nullopt;
        const auto length = context.request_.bodyLength_;
        if (!length || *length > bufferedBodyBytes) {
            context.streaming_ = true;
            return std::nullopt;
        }
        const bool bodyComplete = context.request_.readBody_([&](const char* data, size_t size) {
            context.body_.append(data, size);
            return true;
        });
        if (!bodyComplete || context.body_.size() != *length)
            return Rejection { Reason::BadRequest, "the body is shorter or longer than its Content-Length" };
        return std::nullopt;
    }

    std::optional<Rejection> checkQuarantine(Context& context)
    {
        context.fingerprint_
            = routing::fingerprint(workspaceName(context), context.route_->name_, context.request_.method_,
                context.request_.target_, context.body_, context.request_.bodyLength_.value_or(0));
        const Duration remaining = context.parts_.quarantines_.remaining(context.fingerprint_);
        if (remaining == Duration::zero())
            return std::nullopt;
        return Rejection { Reason::Quarantined,
            "this request has crashed upstreams and is held in quarantine", remaining };
    }

    /// Fingerprint of the request in its claim, to reject an Idempotency-Key that is reused for another
    /// request. It covers the method, target, body length and buffered body.
    std::string claimFingerprint(const Context& context)
    {
        const std::string requestHead = context.request_.method_ + "\n" + context.request_.target_ + "\n"
            + std::to_string(context.request_.bodyLength_.value_or(0)) + "\n";
        return sha256Hex(requestHead + context.body_);
    }

    CallerResponse replayResponse(Context& context, const StoredResponse& stored)
    {
        recordResult(context, "answered", stored.status_, "stored response");
        CallerResponse response;
        response.status_ = stored.status_;
        response.body_ = stored.body_;
        response.headers_ = { { outcomeHeader, toString(Outcome::Answered) },
            { "Turmericwing-Replayed", "1" }, { requestIdHeader, context.requestId_ } };
        if (!stored.contentType_.empty())
            response.headers_.emplace_back("Content-Type", stored.contentType_);
        if (stored.tooLarge_)
            response.headers_.emplace_back("Turmericwing-Body-Omitted", "1");
        return response;
    }

    /// Claims the Idempotency-Key of a request to a non-idempotent route. Returns a response if the request
    /// must not run.
    std::optional<CallerResponse> claimIdempotencyKey(Context& context)
    {
        const std::string key = headerValue(context.request_.headers_, "Idempotency-Key");
        if (context.route_->idempotent_ || key.empty())
            return std::nullopt;
        if (key.size() > maximumIdempotencyKeyBytes)
            return refuse(context, { Reason::BadRequest, "Idempotency-Key is longer than 255 bytes" });
        const ClaimKey claim { workspaceName(context), key, claimFingerprint(context) };
        const ClaimDecision decision = context.parts_.claims_.begin(claim, context.deadline_);
        if (decision.action_ == ClaimAction::Replay)
            return replayResponse(context, decision.response_);
        if (decision.action_ == ClaimAction::Refuse)
            return refuse(context,
                { decision.reason_,
                    "the Idempotency-Key cannot be claimed now; the title names the reason" });
        context.claim_ = claim;
        context.claimToken_ = decision.token_;
        return std::nullopt;
    }

    UpstreamRequest upstreamRequest(const Context& context, const Assignment& assignment)
    {
        UpstreamRequest request;
        request.address_ = assignment.address_;
        request.method_ = context.request_.method_;
        request.target_ = context.target_.pathAndQuery_;
        request.headers_ = forwardedHeaders(context.request_.headers_);
        if (context.workspace_)
            request.headers_.emplace_back("Turmericwing-Workspace", context.workspace_->name_);
        const auto remainingMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(assignment.deadline_ - monotonicNow())
                  .count();
        request.headers_.emplace_back(
            "Turmericwing-Deadline-Ms", std::to_string(std::max<int64_t>(remainingMs, 1)));
        request.requestId_ = context.requestId_ + "-" + std::to_string(context.upstreams_.size());
        request.streaming_ = context.streaming_;
        if (context.streaming_)
            request.bodyLength_ = context.request_.bodyLength_;
        else
            request.body_ = context.body_;
        request.deadline_ = assignment.deadline_;
        return request;
    }

    /// Forwards the caller's body to the upstream. The body is read to its end even when the upstream stops
    /// reading. Returns false when the caller aborted it or it exceeds the route's limit.
    bool forwardBody(Context& context, UpstreamCall& call)
    {
        uint64_t total = 0;
        const uint64_t limit = context.route_->maxBodyBytes_;
        bool forwarding = true;
        const bool bodyComplete = context.request_.readBody_([&](const char* data, size_t size) {
            total += size;
            context.bodyConsumed_ = true;
            forwarding
                = forwarding && total <= limit && call.body().write(data, size, call.request().deadline_);
            return total <= limit;
        });
        call.body().close(bodyComplete && forwarding ? PipeState::Finished : PipeState::Failed);
        return bodyComplete;
    }

    AttemptEnd attemptEnd(CallState state, const ResponseHead& head)
    {
        switch (state) {
        case CallState::NotSent:
            return AttemptEnd::NotSent;
        case CallState::Broken:
        case CallState::Waiting:
            return AttemptEnd::Crashed;
        case CallState::Incomplete:
        case CallState::Mismatched:
            return AttemptEnd::Failed;
        case CallState::Responding:
        case CallState::Complete:
            break;
        }
        if (head.status_ == 503 && !headerValue(head.headers_, "Turmericwing-Overload").empty())
            return AttemptEnd::Overloaded;
        if (head.status_ == 503 && !headerValue(head.headers_, "Turmericwing-Draining").empty())
            return AttemptEnd::Draining;
        return AttemptEnd::Answered;
    }

    /// Whether the upstream cannot have run any part of the request.
    bool provablyNotRun(AttemptEnd end)
    {
        return end == AttemptEnd::NotSent || end == AttemptEnd::Overloaded || end == AttemptEnd::Draining;
    }

    void releaseClaim(Context& context)
    {
        if (context.claim_)
            context.parts_.claims_.release(*context.claim_, context.claimToken_);
        context.claim_.reset();
    }

    void markClaimUnknown(Context& context)
    {
        if (context.claim_)
            context.parts_.claims_.markUnknown(*context.claim_, context.claimToken_);
        context.claim_.reset();
    }

    /// Holds the slot while a response is streamed to the caller. It counts as in flight, so that a drain
    /// waits for it: the HTTP server aborts streamed responses when it stops.
    struct StreamingAttempt {
        Dispatch& dispatch_;
        std::atomic<int>& inFlight_;
        Assignment assignment_;
        std::shared_ptr<UpstreamCall> call_;

        StreamingAttempt(const PathParts& parts, Assignment assignment, std::shared_ptr<UpstreamCall> call)
            : dispatch_(parts.dispatch_)
            , inFlight_(parts.inFlight_)
            , assignment_(std::move(assignment))
            , call_(std::move(call))
        {
            ++inFlight_;
        }
        StreamingAttempt(const StreamingAttempt&) = delete;
        StreamingAttempt& operator=(const StreamingAttempt&) = delete;
        ~StreamingAttempt()
        {
            const bool bodyComplete = call_->state() == CallState::Complete;
            if (!bodyComplete)
                call_->cancel();
            dispatch_.release(assignment_,
                { bodyComplete ? AttemptEnd::Answered : AttemptEnd::Failed, call_->head().status_ });
            --inFlight_;
        }
    };

    /// Makes the response from an answered call. A response that is still incomplete is streamed.
    CallerResponse respond(Context& context, const Assignment& assignment, std::shared_ptr<UpstreamCall> call)
    {
        const ResponseHead head = call->head();
        CallerResponse response;
        response.status_ = head.status_;
        response.headers_ = forwardedHeaders(head.headers_);
        response.headers_.emplace_back(outcomeHeader, toString(Outcome::Answered));
        response.headers_.emplace_back(requestIdHeader, context.requestId_);
        response.length_ = head.length_;
        if (call->state() != CallState::Complete) {
            if (context.claim_)
                context.parts_.claims_.complete(*context.claim_, context.claimToken_,
                    { head.status_, headerValue(head.headers_, "Content-Type"), {}, true });
            response.completionGuard_ = std::make_shared<StreamingAttempt>(context.parts_, assignment, call);
            response.stream_ = std::move(call);
            return response;
        }
        for (std::string chunk = call->readBody(); !chunk.empty(); chunk = call->readBody())
            response.body_ += chunk;
        context.parts_.dispatch_.release(assignment, { AttemptEnd::Answered, head.status_ });
        if (context.claim_)
            context.parts_.claims_.complete(*context.claim_, context.claimToken_,
                { head.status_, headerValue(head.headers_, "Content-Type"), response.body_, false });
        return response;
    }

    bool shouldRetry(Context& context, AttemptEnd end)
    {
        if (context.bodyConsumed_)
            return false;
        if (context.parts_.quarantines_.remaining(context.fingerprint_) > Duration::zero())
            return false;
        const routing::FailedAttempt failed { .idempotent_ = context.route_->idempotent_,
            .byteMayBeSent_ = !provablyNotRun(end),
            .overload_ = end == AttemptEnd::Overloaded,
            .attempts_ = static_cast<uint32_t>(context.upstreams_.size()),
            .deadline_ = context.deadline_ };
        return context.parts_.dispatch_.mayRetry(context.target_.service_, failed);
    }

    Rejection rejectionForFailure(AttemptEnd end, bool anyMayHaveRun)
    {
        if (end == AttemptEnd::Overloaded && !anyMayHaveRun)
            return { Reason::Overloaded, "the upstream is overloaded", std::chrono::seconds(1) };
        if (provablyNotRun(end) && !anyMayHaveRun)
            return { Reason::Overloaded, "no upstream accepted the request", std::chrono::seconds(1) };
        if (end == AttemptEnd::Canceled)
            return { Reason::UpstreamFailed,
                "the body ended early or exceeds the route's limit; the request may have run" };
        return { Reason::UpstreamFailed, "the upstream's response was lost; the request may have run" };
    }

    /// Adds the outcome of a request's first attempt to its move. Retries do not count, because they may go
    /// to another upstream of the same side.
    void recordMove(const Context& context, const Assignment& assignment, AttemptEnd end, int status)
    {
        if (context.upstreams_.size() != 1 || provablyNotRun(end) || end == AttemptEnd::Canceled)
            return;
        const bool failed = end != AttemptEnd::Answered || status >= 500;
        context.parts_.moves_.record(context.side_, context.route_->name_, failed,
            std::chrono::duration_cast<Duration>(monotonicNow() - assignment.start_));
        if (!context.side_.move_.empty())
            context.parts_.metrics_.countMove(context.side_.move_, assignment.version_);
    }

    /// Sends the request to upstreams until one answers or no further attempt is allowed.
    CallerResponse dispatch(Context& context)
    {
        const model::Service* service
            = model::find(context.snapshot_->set_->services_, context.target_.service_);
        context.side_ = context.parts_.moves_.choose(*service, context.route_->name_);
        bool anyMayHaveRun = false;
        AttemptEnd end = AttemptEnd::NotSent;
        do {
            if (!context.upstreams_.empty())
                context.parts_.metrics_.countRetry(context.target_.service_);
            const auto assigned = context.parts_.dispatch_.acquire({ .snapshot_ = context.snapshot_,
                .service_ = context.target_.service_,
                .route_ = context.route_->name_,
                .workspace_ = workspaceName(context),
                .weight_ = context.workspace_ ? context.workspace_->share_ : 1,
                .idempotent_ = context.route_->idempotent_,
                .version_ = context.side_.version_,
                .upstreamRegion_ = context.side_.region_,
                .deadline_ = context.deadline_,
                .exclude_ = context.upstreams_ });
            if (const auto* refusal = std::get_if<Refusal>(&assigned)) {
                if (anyMayHaveRun)
                    break;
                releaseClaim(context);
                return refuse(context, { refusal->reason_, refusal->detail_, refusal->retryAfter_ });
            }
            const Assignment& assignment = std::get<Assignment>(assigned);
            auto request = upstreamRequest(context, assignment);
            context.upstreams_.push_back(assignment.upstream_);
            const auto attemptGuard
                = context.parts_.quarantines_.registerAttempt(assignment.upstream_, context.fingerprint_);
            auto call = context.parts_.upstreams_.start(std::move(request));
            const bool bodyAborted = context.streaming_ && !forwardBody(context, *call);
            const CallState state = call->waitUntilBuffered();
            end = attemptEnd(state, call->head());
            // An aborted body is the caller's fault. Otherwise callers could cause the ejection of healthy
            // upstreams and the quarantine of requests.
            if (bodyAborted && end == AttemptEnd::Crashed)
                end = AttemptEnd::Canceled;
            recordMove(context, assignment, end, call->head().status_);
            if (end == AttemptEnd::Answered) {
                context.parts_.quarantines_.completed(context.fingerprint_);
                CallerResponse response = respond(context, assignment, std::move(call));
                recordResult(context, "answered", response.status_, {});
                return response;
            }
            const bool deadlinePassed = end == AttemptEnd::Crashed && monotonicNow() >= assignment.deadline_;
            anyMayHaveRun = anyMayHaveRun || !provablyNotRun(end);
            context.parts_.dispatch_.release(assignment, { deadlinePassed ? AttemptEnd::Failed : end, 0 });
            if (end == AttemptEnd::Crashed && !deadlinePassed)
                context.parts_.dispatch_.forgive(
                    context.parts_.quarantines_.reportCrash(assignment.upstream_));
        } while (shouldRetry(context, end));
        if (anyMayHaveRun)
            markClaimUnknown(context);
        else
            releaseClaim(context);
        if (anyMayHaveRun && monotonicNow() >= context.deadline_)
            return refuse(context,
                { Reason::UpstreamTimeout, "no response before the deadline; the request may have run" });
        return refuse(context, rejectionForFailure(end, anyMayHaveRun));
    }

    CallerResponse processRequest(Context& context)
    {
        using Step = std::optional<Rejection> (*)(Context&);
        static constexpr std::array<Step, 7> steps { resolveRoute, setDeadline, authenticateCaller,
            checkBodySize, bufferSmallBody, checkQuarantine, takeRateToken };
        for (const Step step : steps) {
            if (const auto rejection = step(context))
                return refuse(context, *rejection);
        }
        if (auto response = claimIdempotencyKey(context))
            return std::move(*response);
        return dispatch(context);
    }

} // namespace detail

CallerResponse handleRequest(const PathParts& parts, const CallerRequest& request)
{
    detail::Context context { parts, request };
    ++parts.inFlight_;
    CallerResponse response = detail::processRequest(context);
    --parts.inFlight_;
    if (context.streaming_ ? !context.bodyConsumed_ : context.body_.empty())
        detail::discardBody(request);
    return response;
}

} // namespace turmericwing::host

// Internals shared by the dispatcher's source files: pending requests, per-service state and
// Dispatcher::Core.
#pragma once

#include "turmericwing/gateway/dispatcher.h"
#include "turmericwing/host/problem.h"
#include "turmericwing/routing/objectmemory.h"
#include "turmericwing/routing/scarcity.h"
#include "turmericwing/routing/waitline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwing::gateway {

using host::Reason;

namespace detail {

    /// Time that must be left before a request's expiry to admit, send or retry it.
    constexpr Duration minSendTime = std::chrono::milliseconds(10);

    /// A request from its arrival until its final response.
    struct PendingRequest {
        uint64_t id_ = 0;
        Request request_;
        std::shared_ptr<Exchange> exchange_;
        std::shared_ptr<const Catalog> catalog_;
        const Route* route_ = nullptr;
        /// Null on public routes without a valid key, or if no workspaces are configured.
        const WorkspaceSpec* workspace_ = nullptr;
        std::string requestId_;
        std::string service_;
        std::optional<uint64_t> object_;
        VersionFilter version_;
        std::vector<std::string> allowedRegions_; ///< Regions allowed to run the request; empty: any.
        /// The only allowed region, or one drawn from the service's region split; tried first.
        std::string preferredRegion_;
        TimePoint expiresAt_ {}; ///< Earlier of the caller's deadline and the route's timeout.
        bool quotaTaken_ = false;
        bool mayHaveRun_ = false; ///< Set once an upstream may have executed the request.
        /// An upstream had capacity at the last selection, but this host stops before it would answer.
        bool stopsTooSoon_ = false;
        std::vector<std::string> triedUpstreams_; ///< Ids, in the order of the attempts.
        bool givesWay_ = false; ///< Sent only to an upstream with an idle slot, else refused.
        std::string currentUpstream_; ///< Id for the attempt in flight; empty while none is.
        int64_t upstreamStartedMs_ = 0; ///< Start of the incarnation that gets the latest attempt.
        double expectedLatency_ = 0; ///< Expected seconds to the response of the latest attempt.
        double usualLatency_ = 0; ///< The same if work took the usual time at its upstream.
        double workFactor_ = 1; ///< Of the upstream of the latest attempt, as it was known when it was sent.
        TimePoint sentAt_ {};
        bool countedInRollout_ = false; ///< Whether the attempt in flight was counted as rollout evidence.
        std::shared_ptr<const Body> body_;
        UpstreamClient::Cancel cancel_;
        std::unique_ptr<boost::asio::steady_timer> timer_;
        /// The response has begun and is sent while it arrives; the attempt is not retried any more.
        bool responseBegun_ = false;
        std::optional<routing::LoadReport> reportedLoad_; ///< By the answer to the latest attempt.
        bool waitsForCaller_ = false; ///< The caller has not taken the latest part of the response.
        std::string lastError_; ///< Why the last attempt failed, or why none was made; empty if neither.
        std::optional<Response> upstreamFailure_; ///< Signed 5xx response, forwarded if no retry is allowed.
    };

    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    /// Dispatch state of one service on this host.
    struct ServiceState {
        routing::WaitQueue waitQueue_;
        routing::Scarcity scarcity_;
        bool scarcityLogged_ = false; ///< Whether the last log line said that the service is scarce.
        TimePoint scarcityLoggedAt_ {};
        /// Mean seconds that requests of a route take at an upstream, by the name of the route.
        std::map<std::string, double> routeWork_;
        routing::ObjectUseHistory objectUseHistory_;
        /// Mean seconds that an upstream takes for an object that it has not cached; 0 until known.
        double serviceTime_ = 0;
        bool passScheduled_ = false; ///< A pass over waitQueue_ is posted to the event loop.
    };

    /// Check whether an upstream has crashed whose connection broke.
    struct CrashCheck {
        routing::CrashReport report_; ///< Sent if it has.
        bool running_ = false; ///< A probe is on its way, or due.
        TimePoint endsAt_ {}; ///< Until then further breaks belong to the reported crash.
    };

    /// Whole milliseconds as decimal text, rounded towards zero.
    std::string milliseconds(Duration);

    /// Position class in the wait queue, from the priorities of workspace and route.
    routing::Rank rankOf(const PendingRequest&);

    /// Regions allowed to run a request: the home regions of its route or of its workspace, or those in both
    /// lists if both are set. Empty: any region.
    std::vector<std::string> homeRegions(const PendingRequest&);

    /// Region that the request prefers: its only allowed region, or one from the service's split. Requests
    /// for one object map to the same region, others by their position in the sequence of requests.
    std::string preferredRegionAt(const ServiceDemand&, const PendingRequest&, uint64_t position);

    /// Hash that identifies the same request of the same workspace across attempts, for the quarantine.
    routing::Fingerprint fingerprintOf(const PendingRequest&);

} // namespace detail

using detail::PendingRequest;
using detail::PendingRequestPtr;

struct Dispatcher::Core : std::enable_shared_from_this<Core> {
    Core(boost::asio::io_context& loop, State& state, UpstreamClient& upstreamClient, host::Metrics& metrics,
        DispatchOptions options)
        : loop_(loop)
        , state_(state)
        , upstreamClient_(upstreamClient)
        , metrics_(metrics)
        , options_(options)
    {
    }

    boost::asio::io_context& loop_;
    State& state_;
    UpstreamClient& upstreamClient_;
    host::Metrics& metrics_;
    const DispatchOptions options_;
    uint64_t nextId_ = 1;
    std::unordered_map<uint64_t, PendingRequestPtr> pendingRequests_;
    std::unordered_map<std::string, detail::ServiceState> services_;
    std::map<std::string, detail::CrashCheck> crashChecks_; ///< By upstream.

    void handle(Request&&, const std::shared_ptr<Exchange>&);
    std::optional<Reason> admit(PendingRequest&);
    std::optional<Reason> checkRequest(PendingRequest&) const;
    std::optional<Reason> authenticate(PendingRequest&) const;
    void startDispatch(const PendingRequestPtr&);
    void dispatch(const PendingRequestPtr&);
    routing::PickFailure tryDispatch(const PendingRequestPtr&, bool allowNonPreferred = false);
    routing::PickResult pickInRegions(
        const PendingRequest&, ServicePool&, const std::vector<std::string>& regions, bool allowNonPreferred);
    routing::PickFailure tryDispatchCounted(const PendingRequestPtr&, bool allowNonPreferred = false);
    routing::DemandClass demandClass(const PendingRequest&) const;
    int workClass(const PendingRequest&);
    bool drawGivesWay(const PendingRequest&);
    routing::PickResult pickUpstream(PendingRequest&, ServicePool&, bool allowNonPreferred);
    void enqueueOrRefuse(const PendingRequestPtr&);
    void turnAway(const PendingRequestPtr&, routing::ShortOfRoom);
    void countShortOfRoom(const PendingRequest&, routing::ShortOfRoom);
    void logScarcity(const std::string& service);
    void recordWork(const PendingRequest&, double observedSeconds);
    void sendAttempt(const PendingRequestPtr&, ServicePool&, const routing::Pick&);
    std::string attemptHead(const PendingRequest&, const routing::Target&, TimePoint now) const;
    routing::Permission permission(const PendingRequest&, const ServiceSpec*, const routing::Target&,
        const UpstreamRecord&, TimePoint now) const;
    routing::Permission limitPermission(const PendingRequest&, const UpstreamRecord&, TimePoint now) const;
    void choosePreferredRegion(PendingRequest&);
    void prepareColdBucket(ServicePool&, size_t index, TimePoint now);
    void onCallResult(const PendingRequestPtr&, UpstreamAnswer);
    void onResponse(const PendingRequestPtr&, Response, double observedSeconds);
    void applyUpstreamNotice(const PendingRequest&, const Response&);
    std::optional<routing::LoadReport> applyLoadReport(const PendingRequest&, const Response&);
    void recordTimes(
        PendingRequest&, routing::Target&, double observedSeconds, double workFactor, bool failed);
    void applyUpstreamLimit(const PendingRequest&, const Response&, const routing::UpstreamNotice&);
    TimePoint startDeadline(const PendingRequest&) const;
    void logFaultOnce(const PendingRequest&, const std::string& fault);
    void rejectLoadReport(const PendingRequest&, UpstreamRecord&);
    double presentWorkFactor(const PendingRequest&, TimePoint now);
    std::optional<TimePoint> pauseEnd(const PendingRequest&, TimePoint now);
    void onNotRun(const PendingRequestPtr&, const Response&);
    void onTransportError(const PendingRequestPtr&, const UpstreamAnswer&);
    void countForRollout(PendingRequest&, bool failed, bool slow);
    void countLateAttempts();
    double slowThreshold(const std::string& service);
    void checkForCrash(const std::string& upstream, TimePoint now);
    void addSuspects(routing::CrashReport&, const std::string& upstream) const;
    void probeForCrash(const std::string& upstream, const Address&, int probes);
    void onCrashProbe(const std::string& upstream, const Address&, int probes, bool refused);
    void reportCrash(routing::CrashReport);
    bool consumeRetry(const PendingRequest&);
    static Reason noUpstreamReason(const PendingRequest&);
    bool isTakingRequests(TimePoint arrivedAt) const;
    void endAtStop(const PendingRequestPtr&);
    void retryOrFinish(const PendingRequestPtr&, Reason);
    void onDeadline(const PendingRequestPtr&);
    void onCallerDisconnected(const PendingRequestPtr&);
    void endAttempt(PendingRequest&);
    AnswerSink answerSink(const PendingRequestPtr&);
    bool beginForwarding(PendingRequest&, const Response& head, uint64_t bodyBytes);
    void forwardPart(const PendingRequestPtr&, Body part, std::function<void()> onTaken);
    void abandonResponse(const PendingRequestPtr&, const std::string& reason);
    Headers callerHeaders(const Headers& upstreamHeaders) const;
    void forwardResponse(const PendingRequestPtr&, Response);
    void refuse(const PendingRequestPtr&, Reason);
    void endUnserved(const PendingRequestPtr&, Reason);
    void completeRequest(
        const PendingRequestPtr&, unsigned status, const char* result, const std::string& detail);
    void serveWaiting(const std::string& service);
    void scheduleServeWaiting(const std::string& service);
    Duration retryAfter(const PendingRequest&, Reason);
    routing::RetryOptions retryOptions(uint32_t attempts) const;
    double serviceTime(const std::string& service, const Route&);
    Explanation explain(const ExplainQuery&);
};

} // namespace turmericwing::gateway

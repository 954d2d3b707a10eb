// Request dispatcher: admission, upstream selection, sending, retries and the final response.
#pragma once

#include "turmericwing/gateway/answerstream.h"
#include "turmericwing/gateway/explain.h"
#include "turmericwing/gateway/http.h"
#include "turmericwing/gateway/listener.h"
#include "turmericwing/gateway/state.h"
#include "turmericwing/gateway/upstreams.h"
#include "turmericwing/host/metrics.h"
#include "turmericwing/routing/coldstart.h"

#include <memory>

namespace turmericwing::gateway {

struct DispatchOptions {
    routing::PickOptions pick_ {};
    routing::ColdStartOptions coldStart_ {};
    /// Fraction of the configured retry bound that this host spends. The rest is a margin, because hosts may
    /// disagree on the size of the fleet.
    double retryBudgetFraction_ = 0.6;
    /// Longest wait for an upstream, as a fraction of the route's latency target.
    double maxWaitFraction_ = 0.5;
    /// Limits of Retry-After before jitter, which makes it at most twice as long.
    Duration minRetryAfter_ = std::chrono::milliseconds(200);
    Duration maxRetryAfter_ = std::chrono::milliseconds(1500);
    DrainOptions drain_ {};
    StreamOptions stream_ {};
};

/// Serves requests on one event loop; not thread-safe.
class Dispatcher {
public:
    struct Core; ///< Internal, see dispatchcore.h.

    Dispatcher(boost::asio::io_context&, State&, UpstreamClient&, host::Metrics&, DispatchOptions = {});
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Admits a request and dispatches it, or refuses it. The response goes through the exchange.
    void handle(Request&&, const std::shared_ptr<Exchange>&);

    /// Returns where the request would go now, without sending it or recording anything.
    Explanation explain(const ExplainQuery&);

    /// Sends waiting requests for which there is capacity, refuses those that can no longer start in time,
    /// and counts late attempts as rollout evidence. Called several times a second, as the load reported by
    /// peers changes.
    void serveWaiting();

    /// Number of requests without a final response.
    size_t pendingCount() const;

    /// Refuses the requests that wait for an upstream, because the host takes no more requests.
    void refuseWaiting();

    /// Ends all requests with a final response: those that run with one that leaves open whether they have
    /// run, the others with a refusal.
    void endAll();

private:
    std::shared_ptr<Core> core_;
};

} // namespace turmericwing::gateway

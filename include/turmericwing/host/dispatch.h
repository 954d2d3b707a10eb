// Assignment of upstreams to request attempts on a host: fair admission, slots and load balancing. Each
// service is a shard with its own lock; request threads block here until an upstream is assigned or the
// request can no longer be served before its deadline.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/host/problem.h"
#include "turmericwing/host/snapshot.h"
#include "turmericwing/routing/retry.h"
#include "turmericwing/routing/slots.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace turmericwing::host {

/// One attempt that needs an upstream.
struct DispatchRequest {
    std::shared_ptr<const Snapshot> snapshot_;
    std::string service_;
    std::string route_;
    std::string workspace_; ///< Empty on open routes.
    double weight_ = 1;
    bool idempotent_ = false;
    std::string version_; ///< Only upstreams of this version are eligible.
    std::string upstreamRegion_; ///< Only upstreams of this region are eligible; empty for any region.
    TimePoint deadline_;
    std::vector<std::string> exclude_; ///< Upstreams of earlier attempts of this request, in order.
};

/// An upstream and one of its slots, reserved for one attempt. Pass it to Dispatch::release().
struct Assignment {
    std::string service_;
    std::string upstream_;
    std::string address_;
    std::string version_;
    std::string route_;
    TimePoint start_;
    TimePoint deadline_; ///< Of the attempt; limits the time for which the slot is held.
    uint64_t ticket_ = 0; ///< Identifies the slot within the service's shard.
};

/// Why no upstream was assigned. The request has not run.
struct Refusal {
    Reason reason_ = Reason::Overloaded;
    std::string detail_;
    Duration retryAfter_ { 0 }; ///< Suggested delay before the caller retries.
};

/// How an attempt ended.
enum class AttemptEnd {
    Answered, ///< A complete response; see AttemptResult::status_.
    NotSent, ///< No connection could be made; no byte was sent.
    Crashed, ///< The connection ended before any response byte.
    Failed, ///< Truncated, late or mismatched response; the upstream may still run the request.
    Canceled, ///< The caller aborted its request body. Not counted against the upstream, which may still run
              ///< the request.
    Overloaded, ///< The upstream rejected the request because of overload.
    Draining, ///< The upstream rejected the request because it is draining.
};

struct AttemptResult {
    AttemptEnd end_ = AttemptEnd::Answered;
    int status_ = 0; ///< HTTP status; used only with Answered.
};

/// State of one upstream for the operator API and metrics.
struct UpstreamStatus {
    std::string upstream_;
    std::string version_;
    std::string region_;
    uint32_t held_ = 0; ///< Slots that this host may use, free or in use.
    uint32_t free_ = 0;
    uint32_t inFlight_ = 0;
    bool drained_ = false;
    bool ejected_ = false;
    double latency_ = 0; ///< Latency estimate in seconds.
};

/// Response of an upstream's load endpoint. It may be outdated or wrong.
struct UpstreamReport {
    double usable_ = 1; ///< Fraction of its slots that the upstream can use, in [0, 1].
    bool draining_ = false;
};

struct DispatchState;

/// Assigns upstreams to attempts. Thread-safe.
class Dispatch {
public:
    /// Callbacks that send messages to other hosts. Called without locks held.
    struct Outbox {
        std::function<void(const std::string& host, const routing::BorrowRequest&)> borrow_;
        std::function<void(const std::string& host, const routing::LoanReturn&)> returnLoan_;
        std::function<void(const std::string& host, const routing::SlotRelease&)> release_;
    };

    Dispatch(std::string host, std::string region, uint64_t incarnation, const SharedState&, Outbox);
    ~Dispatch();

    /// Applies a new membership view or configuration.
    void apply(const Snapshot&);

    /// Blocks until an upstream is assigned, or refuses when the request cannot be served before its
    /// deadline. A refused request has not run.
    std::variant<Assignment, Refusal> acquire(const DispatchRequest&);

    /// Ends an attempt: frees its slot and updates the upstream's statistics. Unknown assignments are
    /// ignored.
    void release(const Assignment&, const AttemptResult&);

    /// Removes one error of each upstream from its error statistics, because a request that is
    /// quarantined now caused it.
    void forgive(const std::vector<std::string>& upstreams);

    /// Returns whether another attempt is allowed after the given failure; if so, consumes retry budget.
    bool mayRetry(const std::string& service, const routing::FailedAttempt&);

    /// Applies the response of an upstream's load endpoint.
    void report(const std::string& service, const std::string& upstream, const UpstreamReport&);

    /// Sets the upstreams that the platform's list marks as leaving; clears the mark of all others.
    void setLeaving(const std::set<std::string>& upstreams);

    /// Lends a slot to another host; empty when no slot can be lent.
    std::optional<routing::Loan> lend(const routing::BorrowRequest&);
    /// Takes over a lent slot; a loan that is not needed is returned to the lender at once.
    void acceptLoan(const std::string& lender, const routing::Loan&);
    /// A borrower has returned a slot of this host.
    void applyReturn(const routing::LoanReturn&);
    /// A previous home of a slot has released it.
    void applyRelease(const routing::SlotRelease&);

    /// Expires loans, returns idle loans and sends slot releases again. Called by the control loop.
    void tick();

    /// State of the service's upstreams, ordered by name; empty for an unknown service.
    std::vector<UpstreamStatus> status(const std::string& service) const;

private:
    std::unique_ptr<DispatchState> state_;
};

} // namespace turmericwing::host

// Upstream capacity on a live host: fair admission, slots and choice of an upstream for each attempt. Each
// service is a shard with its own lock; request threads wait here until an upstream is assigned or the wait
// is hopeless.
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

struct DispatchRequest {
    std::shared_ptr<const Snapshot> snapshot_;
    std::string service_;
    std::string route_;
    std::string workspace_; ///< Empty on open routes.
    double weight_ = 1;
    bool idempotent_ = false;
    std::string version_; ///< Only upstreams of this version.
    std::string upstreamRegion_; ///< Only upstreams of this region; empty for any.
    TimePoint deadline_;
    std::vector<std::string> exclude_; ///< Upstreams that earlier attempts used.
};

/// An upstream with a slot for one attempt.
struct Assignment {
    std::string service_;
    std::string upstream_;
    std::string address_;
    std::string version_;
    std::string route_;
    TimePoint start_;
    TimePoint deadline_; ///< Of the attempt; the slot is held until then at the latest.
    uint64_t ticket_ = 0; ///< Identifies the slot within the service's shard.
};

struct Refusal {
    Reason reason_ = Reason::Overloaded;
    std::string detail_;
    Duration retryAfter_ { 0 };
};

enum class AttemptEnd {
    Answered, ///< A whole response; see status.
    NotSent, ///< No connection.
    Crashed, ///< The connection ended before any response byte.
    Failed, ///< Short, late or mismatched response; the upstream may still run the request.
    Canceled, ///< The caller broke its body off; says nothing of the upstream, which may still run the
              ///< request.
    Overloaded, ///< The upstream shed the request.
    Draining, ///< The upstream takes no new work.
};

struct AttemptResult {
    AttemptEnd end_ = AttemptEnd::Answered;
    int status_ = 0;
};

/// What operators and metrics see of one upstream.
struct UpstreamStatus {
    std::string upstream_;
    std::string version_;
    std::string region_;
    uint32_t held_ = 0; ///< Slots of this host.
    uint32_t free_ = 0;
    uint32_t inFlight_ = 0;
    bool drained_ = false;
    bool ejected_ = false;
    double latency_ = 0; ///< Seconds.
};

/// From an upstream's load endpoint, which may lag or mislead.
struct UpstreamReport {
    double usable_ = 1; ///< Part of its slots that it can use, in [0, 1].
    bool draining_ = false;
};

struct DispatchState;

class Dispatch {
public:
    /// Sends messages to hosts; called without locks held.
    struct Outbox {
        std::function<void(const std::string& host, const routing::BorrowRequest&)> borrow_;
        std::function<void(const std::string& host, const routing::LoanReturn&)> giveBack_;
        std::function<void(const std::string& host, const routing::SlotRelease&)> release_;
    };

    Dispatch(std::string host, std::string region, uint64_t incarnation, const SharedState&, Outbox);
    ~Dispatch();

    /// Applies a new view or configuration.
    void apply(const Snapshot&);

    /// Waits for an upstream until the request's deadline. A refused request has not run.
    std::variant<Assignment, Refusal> acquire(const DispatchRequest&);

    /// Ends an attempt.
    void release(const Assignment&, const AttemptResult&);

    /// Crashes on these upstreams are explained by a quarantined request.
    void forgive(const std::vector<std::string>& upstreams);

    /// Whether another attempt may be made, given how the last one ended. Spends from the retry budget.
    bool mayRetry(const std::string& service, const routing::FailedAttempt&);

    /// Takes what an upstream says of itself.
    void report(const std::string& service, const std::string& upstream, const UpstreamReport&);

    /// Upstreams that the platform's list shows as leaving; all others are not.
    void setLeaving(const std::set<std::string>& upstreams);

    std::optional<routing::Loan> lend(const routing::BorrowRequest&);
    void acceptLoan(const std::string& lender, const routing::Loan&);
    void takeReturn(const routing::LoanReturn&);
    void takeRelease(const routing::SlotRelease&);

    /// Expires loans and waits, returns idle loans, repeats releases. Called by the control loop.
    void tick();

    std::vector<UpstreamStatus> status(const std::string& service) const;

private:
    std::unique_ptr<DispatchState> state_;
};

} // namespace turmericwing::host

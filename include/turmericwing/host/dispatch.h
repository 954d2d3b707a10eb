// Upstream capacity on a live host: fair admission, slots and choice of an upstream for each attempt. Each service
// is a shard with its own lock; request threads wait here until an upstream is assigned or the wait is hopeless.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/host/problem.h"
#include "turmericwing/host/snapshot.h"

#include <cstdint>
#include <memory>
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
    Overloaded, ///< The upstream shed the request.
    Draining, ///< The upstream takes no new work.
};

struct AttemptResult {
    AttemptEnd end_ = AttemptEnd::Answered;
    int status_ = 0;
    bool poisoned_ = false; ///< The request is quarantined, so a crash is not held against the upstream.
};

struct DispatchState;

class Dispatch {
public:
    /// Sends messages to hosts; called without locks held.
    struct Outbox;

    Dispatch(std::string host, uint64_t incarnation, const SharedState&, Outbox);
    ~Dispatch();

    /// Waits for an upstream until the request's deadline. A refused request has not run.
    std::variant<Assignment, Refusal> acquire(const DispatchRequest&);

    /// Ends an attempt.
    void release(const Assignment&, const AttemptResult&);

    /// Whether another attempt may be made: the retry budget of the service.
    bool mayRetry(const std::string& service);

private:
    std::unique_ptr<DispatchState> state_;
};

} // namespace turmericwing::host

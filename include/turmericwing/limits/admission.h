// Admission control for one service: start-time fair queueing over workspaces, with a start deadline for each
// request.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace turmericwing::limits {

struct AdmissionOptions {
    /// Service time that is assumed until the first request has finished.
    Duration initialService_ = std::chrono::milliseconds(50);
    double serviceGain_ = 0.05; ///< Weight of a new sample in the moving average of the service time; 0 to 1.
    size_t maxQueued_ = 10'000; ///< Queued requests of all workspaces together; bounds memory.
    /// Number of requests that a workspace below its share may start ahead of the backlog of others. With 0,
    /// a short burst of a small workspace is started only at the rate of its share.
    double credit_ = 8;
    bool fair_ = true; ///< False only in tests: requests start in order of arrival.
    /// False only in tests: requests are queued even if they will miss their deadline.
    bool refuseEarly_ = true;
};

/// A request for which admit() decides.
struct AdmissionRequest {
    uint64_t id_ = 0; ///< Unique among queued and running requests.
    std::string workspace_;
    double weight_ = 1; ///< Weight of the workspace; must be greater than 0.
    TimePoint startBy_; ///< Start deadline. The request must start before this time.
    friend auto operator<=>(const AdmissionRequest&, const AdmissionRequest&) = default;
};

enum class AdmissionDecision {
    Start, ///< Start now; call finishAdmitted() when the request ends.
    Queued, ///< A later call of finishAdmitted() or pollAdmission() reports it as started or refused.
    Refused, ///< Cannot start before its deadline, the queue is full or the weight is invalid; not run.
};

/// Entry of a workspace's queue.
struct QueuedRequest {
    uint64_t id_ = 0;
    double startTag_ = 0; ///< Virtual time; requests start in the order of their start tags.
    TimePoint startBy_;
};

/// Queue of one workspace. Invariant: start tags increase within a queue.
struct WorkspaceQueue {
    std::deque<QueuedRequest> queue_;
    double finishTag_ = 0; ///< Finish tag of the workspace's last admitted request, in virtual time.
    double weight_ = 1;
};

/// Scheduler state of one service. Invariants: running_ exceeds the concurrency only after the concurrency
/// was lowered; virtualTime_ never decreases; every queued id is in exactly one queue.
struct Admission {
    std::map<std::string, WorkspaceQueue> workspaces_;
    double virtualTime_ = 0;
    size_t running_ = 0;
    size_t queued_ = 0;
    double serviceSeconds_ = 0; ///< Moving average of the service time; 0 before the first sample.
};

/// Ids of queued requests whose state has changed.
struct AdmissionChanges {
    std::vector<uint64_t> start_; ///< To be started now; counted in Admission::running_.
    std::vector<uint64_t> refuse_; ///< Their deadline passed in the queue; they were not run.
};

/// Returns the expected wait of a new request of `workspace`. Only requests that fair queueing starts earlier
/// are counted, so the backlog of another workspace adds at most that workspace's share.
Duration expectedWait(
    const Admission&, const std::string& workspace, size_t concurrency, const AdmissionOptions&);

/// Starts, queues or refuses a new request. `concurrency` is the number of requests that may run at the same
/// time.
AdmissionDecision admit(
    Admission&, const AdmissionRequest&, size_t concurrency, TimePoint now, const AdmissionOptions&);

/// Records the end of a started request and returns the queued requests that start in its place, and those
/// whose turn came after their deadline. `service` is the run time of the request.
AdmissionChanges finishAdmitted(
    Admission&, Duration service, size_t concurrency, TimePoint now, const AdmissionOptions&);

/// Refuses queued requests whose deadline has passed and starts others if slots are free, for example after
/// `concurrency` was raised. Must be called on every tick.
AdmissionChanges pollAdmission(Admission&, size_t concurrency, TimePoint now, const AdmissionOptions&);

/// Removes a queued request. Returns false if no request with this id is queued.
bool cancelQueued(Admission&, uint64_t id);

} // namespace turmericwing::limits

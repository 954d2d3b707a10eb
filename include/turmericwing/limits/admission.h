// Fair admission of one service: start-time fair queueing over workspaces with deadlines.
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
    Duration initialService_ = std::chrono::milliseconds(50); ///< Service time before any was measured.
    double serviceGain_ = 0.05; ///< Weight of a new measurement in the mean service time.
    size_t maxQueued_ = 10'000; ///< Per service; bounds memory.
    /// Requests that a workspace below its share may send ahead of a backlog of others. Without it a short
    /// burst of a small workspace waits at the pace of its share.
    double credit_ = 8;
    bool fair_ = true; ///< Off only in tests: first come, first served.
    bool refuseEarly_ = true; ///< Off only in tests: queue whatever the deadline says.
};

struct AdmissionRequest {
    uint64_t id_ = 0; ///< Unique among queued and running requests.
    std::string workspace_;
    double weight_ = 1; ///< Share of the workspace; greater than 0.
    TimePoint startBy_; ///< Useless if it starts later.
    friend auto operator<=>(const AdmissionRequest&, const AdmissionRequest&) = default;
};

enum class AdmissionDecision {
    Start, ///< Runs now; call finishAdmitted() at its end.
    Queued, ///< Will be named by a later call or expire.
    Refused, ///< Cannot start in time; not run.
};

struct QueuedRequest {
    uint64_t id_ = 0;
    double startTag_ = 0; ///< Virtual time at which the request is due.
    TimePoint startBy_;
};

/// Queue of one workspace. Invariant: tags rise within a queue.
struct WorkspaceQueue {
    std::deque<QueuedRequest> queue_;
    double finishTag_ = 0; ///< Finish tag of its last request.
    double weight_ = 1;
};

/// Invariants: running_ exceeds the bound only after the bound was lowered; virtualTime_ never falls; every
/// queued id is in exactly one queue.
struct Admission {
    std::map<std::string, WorkspaceQueue> workspaces_;
    double virtualTime_ = 0;
    size_t running_ = 0;
    size_t queued_ = 0;
    double serviceSeconds_ = 0; ///< Mean service time; 0 before the first measurement.
};

struct AdmissionChanges {
    std::vector<uint64_t> start_;
    std::vector<uint64_t> refuse_; ///< Their deadline passed in the queue; not run.
};

/// Expected wait of a new request in the queue of `workspace`. It counts only requests that fair queueing
/// serves first, so another workspace's backlog adds at most its own share.
Duration expectedWait(
    const Admission&, const std::string& workspace, size_t concurrency, const AdmissionOptions&);

/// Decides on a new request. `concurrency` is the number of requests that may run at once.
AdmissionDecision admit(
    Admission&, const AdmissionRequest&, size_t concurrency, TimePoint now, const AdmissionOptions&);

/// Ends a started request and names those that start in its place. `service` is its run time.
AdmissionChanges finishAdmitted(
    Admission&, Duration service, size_t concurrency, TimePoint now, const AdmissionOptions&);

/// Expires queued requests and starts others, for example after the bound was raised. Call on every tick.
AdmissionChanges pollAdmission(Admission&, size_t concurrency, TimePoint now, const AdmissionOptions&);

/// Removes a queued request. Returns false if it is not queued.
bool cancelQueued(Admission&, uint64_t id);

} // namespace turmericwing::limits

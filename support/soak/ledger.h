// Records of what callers sent and upstreams executed in a soak run, and the invariants checked on them.
#pragma once

#include "turmericwing/base/time.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwing::soak {

/// One request as its caller sent it and saw its result.
struct Attempt {
    std::string id_;
    bool write_ = false; ///< A write must be executed at most once.
    std::string workspace_; ///< Workspace that owns the caller's API key.
    std::string host_; ///< Name of the host that the request was sent to.
    TimePoint sentAt_ {};
    TimePoint endedAt_ {};
    int status_ = 0; ///< HTTP status; 0 if the connection closed without a complete response.
    std::string body_;
    std::string signature_;
};

/// One request as an upstream began to execute it.
struct Execution {
    std::string id_;
    std::string upstream_;
    TimePoint at_ {};
    std::string workspace_;
    std::string request_; ///< Method, target and body, separated by spaces.
    bool keyReceived_ = false; ///< The upstream received the caller's API key.
};

/// An upstream that announced that it is draining.
struct UpstreamDrain {
    std::string upstream_;
    TimePoint at_ {};
};

/// One request as it reached an upstream, executed or refused.
struct Arrival {
    std::string id_;
    std::string upstream_;
    TimePoint at_ {};
};

/// What an upstream announced in its answer to a request.
struct Announcement {
    std::string id_; ///< Of the answered request.
    std::string upstream_;
    TimePoint at_ {};
    TimePoint pausedUntil_ {}; ///< End of the pause that it asked for; zero if it is leaving.
};

/// What was affected by a fault.
enum class FaultKind {
    Process, ///< The process was killed or paused.
    Start, ///< A new process is loading its configuration and state.
    Stop, ///< A graceful stop was requested.
    Store, ///< The store or the connection to it was faulty.
};

/// Interval in which a host was affected by a fault. Invariants with a time bound do not hold during the
/// interval and shortly after it.
struct FaultInterval {
    FaultKind kind_ = FaultKind::Process;
    std::string host_; ///< Empty if all hosts are affected.
    TimePoint from_ {};
    TimePoint to_ {};
};

/// All records of a run.
struct Records {
    std::vector<Attempt> attempts_;
    std::vector<Execution> executions_;
    std::vector<UpstreamDrain> drains_;
    std::vector<Arrival> arrivals_;
    std::vector<Announcement> announcements_;
    std::vector<FaultInterval> faultIntervals_;
};

/// A violated invariant and a description of the records that show it.
struct Violation {
    std::string invariant_;
    std::string detail_;
    friend auto operator<=>(const Violation&, const Violation&) = default;
};

/// Limits of the invariants with a time bound.
struct CheckOptions {
    Duration drainTime_ = std::chrono::milliseconds(2500); ///< Drain-time limit of the users' requirements.
    /// Store-contact limit of the users' requirements: a host that had a fault from this long
    /// before a drain until the late request may send that request.
    Duration storeContactBound_ = std::chrono::seconds(3);
    /// Limits of the users' requirements for requests to an upstream that asked for a pause.
    Duration pauseGrace_ = std::chrono::milliseconds(500);
    size_t maxDuringPause_ = 2;
};

/// Response body that `upstream` sends to the request `id`.
std::string expectedBody(const std::string& id, const std::string& upstream);
/// X-Response-Seal header that `upstream` sends to the request `id`.
std::string expectedSignature(const std::string& id, const std::string& upstream);
/// Method, target and body of the request `id`, in the form of `Execution::request_`.
std::string expectedRequest(const std::string& id, bool write);

/// Returns all violations: a write that was executed twice; a request rejected as not executed that was
/// executed; a success that no upstream sent or that was modified on the way; an execution that no caller
/// requested, that was modified, under another workspace, or with the API key; a request to a drained
/// upstream; an executed request that got no response from a host without faults; requests from a host that
/// has passed on an announcement of leaving or a pause.
std::vector<Violation> checkRecords(const Records&, const CheckOptions&);

/// Thread-safe collection of the records of a run.
class Ledger {
public:
    void add(Attempt attempt) { add(records_.attempts_, std::move(attempt)); }
    void add(Execution execution) { add(records_.executions_, std::move(execution)); }
    void add(UpstreamDrain drain) { add(records_.drains_, std::move(drain)); }
    void add(Arrival arrival) { add(records_.arrivals_, std::move(arrival)); }
    void add(Announcement announcement) { add(records_.announcements_, std::move(announcement)); }
    void add(FaultInterval interval) { add(records_.faultIntervals_, std::move(interval)); }

    Records copy() const
    {
        std::lock_guard lock(mutex_);
        return records_;
    }

private:
    template <typename T> void add(std::vector<T>& records, T record)
    {
        std::lock_guard lock(mutex_);
        records.push_back(std::move(record));
    }

    mutable std::mutex mutex_;
    Records records_;
};

} // namespace turmericwing::soak

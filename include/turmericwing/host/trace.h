// The most recent requests of a host, kept in memory so that operators can see how a request was routed and
// why. Contains no keys and no bodies.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwing::host {

/// One finished request.
struct RequestTrace {
    std::string requestId_;
    WallTime at_;
    std::string service_;
    std::string route_;
    std::string workspace_;
    std::string result_; ///< "answered" or the reason of the refusal.
    int status_ = 0;
    std::string detail_; ///< Explanation of the result; may be empty.
    std::vector<std::string> upstreams_; ///< Upstream of each attempt, in order.
    uint64_t revision_ = 0; ///< Configuration revision that the request used.
    Duration duration_ { 0 };
};

/// Ring buffer of request traces. Thread-safe.
class TraceLog {
public:
    /// Adds a trace; drops the oldest one when the buffer is full.
    void add(RequestTrace);

    /// Traces that match all non-empty arguments, newest first, at most `limit`.
    std::vector<RequestTrace> search(const std::string& requestId, const std::string& service,
        const std::string& workspace, size_t limit) const;

private:
    static constexpr size_t capacity = 4096;
    mutable std::mutex mutex_;
    std::deque<RequestTrace> entries_; ///< Oldest first, at most `capacity`.
};

} // namespace turmericwing::host

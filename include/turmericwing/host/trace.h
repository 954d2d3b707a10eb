// The last requests of a host, kept in memory so that operators can ask why a request went where it did.
// Holds no keys and no bodies.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwing::host {

struct RequestTrace {
    std::string requestId_;
    WallTime at_;
    std::string service_;
    std::string route_;
    std::string workspace_;
    std::string result_; ///< "answered" or the reason of the refusal.
    int status_ = 0;
    std::string detail_;
    std::vector<std::string> upstreams_; ///< One for each attempt.
    uint64_t revision_ = 0;
    Duration duration_ { 0 };
};

class TraceLog {
public:
    void add(RequestTrace);

    /// Newest first, at most `limit`, those that match the non-empty arguments.
    std::vector<RequestTrace> search(const std::string& requestId, const std::string& service,
        const std::string& workspace, size_t limit) const;

private:
    static constexpr size_t capacity = 4096;
    mutable std::mutex mutex_;
    std::deque<RequestTrace> entries_; ///< Oldest first, at most `capacity`.
};

} // namespace turmericwing::host

// Requests that a caller sends on one connection before it has the answers to earlier ones: which of them may
// run side by side, and what becomes of them when the connection closes. Answers go out in the order of the
// requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace turmericwing::gateway {

struct PipelinedRequest {
    uint64_t number_ = 0;
    bool mayOverlap_ = false; ///< It may run beside others that may, too.
    bool isLast_ = false; ///< The caller, or a fault of the request, ends the connection after its answer.
    bool isStarted_ = false;
    friend bool operator==(const PipelinedRequest&, const PipelinedRequest&) = default;
};

struct Pipeline {
    size_t maxRequests_ = 8;
    std::deque<PipelinedRequest> requests_ {}; ///< Without a complete answer, in the order of their arrival.
};

/// Whether a further request may be read: nothing is read ahead behind one that has to run alone.
bool mayReadNext(const Pipeline&);

/// Returns the requests that start now, and marks them as started. While the connection is about to close,
/// none starts behind another.
std::vector<uint64_t> startRequests(Pipeline&, bool isClosing);

/// Whether the connection closes after the answer to the first request. A connection that is about to close
/// does so after the last request that has started.
bool closesAfterFirst(const Pipeline&, bool isClosing);

} // namespace turmericwing::gateway

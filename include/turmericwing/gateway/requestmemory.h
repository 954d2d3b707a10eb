// The budget for requests that the listeners of a host share, with what ends the requests that must yield.
#pragma once

#include "turmericwing/gateway/requestbudget.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace turmericwing::gateway {

struct RequestMemory {
    RequestBudget budget_ {};
    uint64_t lastNumber_ = 0; ///< Of a request reader.
    /// Called when the unfinished request of a reader has lost its room; by the number of the reader.
    std::unordered_map<uint64_t, std::function<void()>> onEnded_ {};
    uint64_t connectionsClosed_ = 0; ///< In favour of new connections.
};

/// Counts bytes as held until the result is destroyed.
std::shared_ptr<const void> holdBytes(const std::shared_ptr<RequestMemory>&, uint64_t bytes);

} // namespace turmericwing::gateway

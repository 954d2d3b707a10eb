// Memory for the answers of upstreams on this host: the bytes held at one time, and which answer ends first
// when there is no room left. A faulty upstream may write an answer without end.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace turmericwing::gateway {

struct AnswerBudget {
    /// Most bytes held, up to one read of a connection more. A body that grows is copied, so that it may
    /// take twice its size for a moment.
    uint64_t limit_ = uint64_t { 40 } << 20;
    uint64_t heldBytes_ = 0; ///< Of unfinished answers, and of complete ones that are not yet sent on.
    /// Bytes of each unfinished answer, by its number.
    std::unordered_map<uint64_t, uint64_t> unfinished_ {};
};

/// Sets the bytes that an unfinished answer holds.
void holdUnfinished(AnswerBudget&, uint64_t answer, uint64_t bytes);

/// Removes an unfinished answer that has ended, if it is known.
void releaseUnfinished(AnswerBudget&, uint64_t answer);

/// Returns the answer that must end because there is no room: the largest unfinished one.
std::optional<uint64_t> answerToEnd(const AnswerBudget&);

/// Counts the bytes of a complete answer as held until the result is destroyed.
std::shared_ptr<const void> holdComplete(const std::shared_ptr<AnswerBudget>&, uint64_t bytes);

} // namespace turmericwing::gateway

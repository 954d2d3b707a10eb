// Memory for the answers of upstreams on this host: the bytes held at one time, and which answer ends first
// when there is no room left. A faulty upstream may write an answer without end.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace turmericwing::gateway {

/// An answer, or a part of one, that a connection is sending to its caller.
struct SendingAnswer {
    uint64_t sentBytes_ = 0; ///< At its last progress.
    TimePoint progressAt_ {}; ///< Of its last progress, or when it began.
    friend bool operator==(const SendingAnswer&, const SendingAnswer&) = default;
};

struct AnswerBudget {
    uint64_t limit_ = uint64_t { 40 } << 20; ///< Most bytes held, up to one read of a connection more.
    uint64_t heldBytes_ = 0; ///< Of unfinished answers, and of complete ones that are not yet sent on.
    /// Bytes of each unfinished answer, by its number.
    std::unordered_map<uint64_t, uint64_t> unfinished_ {};
    /// By the number of the connection.
    std::unordered_map<uint64_t, SendingAnswer> sending_ {};
};

/// Sets the bytes that an unfinished answer holds.
void holdUnfinished(AnswerBudget&, uint64_t answer, uint64_t bytes);

/// Removes an unfinished answer that has ended, if it is known.
void releaseUnfinished(AnswerBudget&, uint64_t answer);

/// Returns the answer that must end because there is no room: the largest unfinished one.
std::optional<uint64_t> answerToEnd(const AnswerBudget&);

/// Records that a connection begins to send an answer or a part of one.
void beginSending(AnswerBudget&, uint64_t connection, TimePoint now);

/// Records the bytes that the system has taken of it in all.
void recordSent(AnswerBudget&, uint64_t connection, uint64_t sentBytes, TimePoint now);

/// Records that it has been sent, or has ended.
void endSending(AnswerBudget&, uint64_t connection);

/// Returns the connection whose caller has read nothing for longest, at least since `since`; not `except`.
std::optional<uint64_t> unreadAnswer(
    const AnswerBudget&, TimePoint since, std::optional<uint64_t> except = {});

/// Counts the bytes of a complete answer as held until the result is destroyed.
std::shared_ptr<const void> holdComplete(const std::shared_ptr<AnswerBudget>&, uint64_t bytes);

} // namespace turmericwing::gateway

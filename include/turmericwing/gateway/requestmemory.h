// The memory that the listeners and the upstream client of a host share: who may hold how much of it, and
// what ends the requests that must yield.
#pragma once

#include "turmericwing/gateway/answerbudget.h"
#include "turmericwing/gateway/hostmemory.h"
#include "turmericwing/gateway/requestbudget.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace turmericwing::gateway {

struct RequestMemory {
    RequestBudget budget_ {};
    HostMemory host_ {}; ///< Without a limit, requests and answers are bounded apart.
    std::shared_ptr<AnswerBudget> answers_ = std::make_shared<AnswerBudget>();
    uint64_t bodyBytes_ = 0; ///< Part of the held bytes of requests that is claimed for bodies.
    uint64_t lastNumber_ = 0; ///< Of a request reader.
    /// Called when the unfinished request of a reader has lost its room; by the number of the reader.
    std::unordered_map<uint64_t, std::function<void()>> onEnded_ {};
    /// Called when the answer that a connection sends has to end, as its caller does not read it; by the
    /// number of the connection's reader.
    std::unordered_map<uint64_t, std::function<void()>> onUnread_ {};
    uint64_t connectionsClosed_ = 0; ///< In favour of new connections.
    uint64_t unreadCount_ = 0; ///< Answers that ended because their callers did not read them.
};

/// Returns the memory of a host that may use `memoryBytes` in all.
std::shared_ptr<RequestMemory> makeRequestMemory(uint64_t memoryBytes);

/// Claims room for an unfinished request, see claimRoom(), and ends the requests that yield, and then answers
/// that their callers do not read. Returns whether there is room.
Room claimMemory(RequestMemory&, uint64_t request, uint64_t bytes, TimePoint now);

/// Whether a new connection has room. Unfinished requests end for it as for a small request.
bool claimConnection(RequestMemory&, TimePoint now);

/// Whether there is room for bytes behind an unanswered request, which nobody needs yet.
bool hasRoomToReadAhead(const RequestMemory&, uint64_t bytes);

/// Sets the limit of answers to what the others leave, and ends answers beyond it that their callers do not
/// read.
void updateAnswerLimit(RequestMemory&, TimePoint now);

/// Ends all answers of which their callers have read nothing since `since`.
void endUnreadAnswers(RequestMemory&, TimePoint since);

/// Counts bytes as held until the result is destroyed; `bodyBytes` of them are of a body.
std::shared_ptr<const void> holdBytes(
    const std::shared_ptr<RequestMemory>&, uint64_t bytes, uint64_t bodyBytes);

} // namespace turmericwing::gateway

// Memory for the requests of callers on this host: the bytes held at one time, and which request waits or
// ends when there is no room. Callers may send many large bodies at once and stop before their end.
#pragma once

#include "turmericwing/base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmericwing::gateway {

struct RequestBudgetOptions {
    uint64_t limit_ = uint64_t { 72 } << 20; ///< Most bytes of all requests together.
    uint64_t reserve_ = uint64_t { 6 } << 20; ///< Part of the limit that only small requests may use.
    uint64_t smallBytes_ = uint64_t { 48 } << 10; ///< Largest small request, with its head.
    /// A request makes progress when it has received this many bytes since its last progress, so that a
    /// caller that sends single bytes does not.
    uint64_t progressBytes_ = uint64_t { 64 } << 10;
    Duration stallTime_ = std::chrono::seconds(1); ///< Without progress, after which a request may end.
    size_t maxWaiting_ = 64; ///< Waiting requests hold memory of the system that is not counted here.
    friend bool operator==(const RequestBudgetOptions&, const RequestBudgetOptions&) = default;
};

/// Returns the options of a host whose requests, and all else that it holds, may use `limitBytes`.
RequestBudgetOptions requestBudgetOptions(uint64_t limitBytes);

/// A request that has not been read completely.
struct UnfinishedRequest {
    uint64_t bytes_ = 0; ///< That it may hold.
    uint64_t receivedBytes_ = 0; ///< At its last progress.
    TimePoint progressAt_ {}; ///< Of its last progress, or of its first byte.
    uint64_t wantedBytes_ = 0; ///< That it waits for; 0 if it does not wait.
    TimePoint waitsSince_ {};
    friend bool operator==(const UnfinishedRequest&, const UnfinishedRequest&) = default;
};

struct RequestBudget {
    RequestBudgetOptions options_ {};
    uint64_t takenBytes_ = 0; ///< Part of the limit that others than requests use now.
    uint64_t lastingBytes_ = 0; ///< Part of it that they still use when their answers have been sent.
    uint64_t heldBytes_ = 0; ///< Of unfinished requests and of complete ones that have not ended.
    uint64_t largeBytes_ = 0; ///< Part of them that large requests hold.
    std::unordered_map<uint64_t, UnfinishedRequest> unfinished_ {}; ///< By the number of the request.
    uint64_t refusedCount_ = 0; ///< Requests that found no room.
    uint64_t endedCount_ = 0; ///< Unfinished requests that ended in favour of others.
};

enum class Room {
    Granted,
    Waits, ///< Ask again later; do not read on until then.
    Refused,
};

struct Claim {
    Room room_ = Room::Granted;
    std::vector<uint64_t> ended_ {}; ///< Requests that have to end now; no longer in the budget.
    friend bool operator==(const Claim&, const Claim&) = default;
};

/// Asks that an unfinished request may hold `bytes` in all. Where there is no room,
/// - requests without progress end, the one that stopped first before others, but a small one only for
/// another;
/// - for a small request, the largest unfinished one ends next;
/// - a large request waits, unless it holds the room of a large one already, for which others may wait: then
///   it is refused.
Claim claimRoom(RequestBudget&, uint64_t request, uint64_t bytes, TimePoint now);

/// Records the bytes that an unfinished request has received in all.
void recordReceived(RequestBudget&, uint64_t request, uint64_t receivedBytes, TimePoint now);

/// Removes an unfinished request, if it is known. Returns the bytes that it held, which are free again.
uint64_t releaseRequest(RequestBudget&, uint64_t request);

/// Changes the bytes that one request holds, from `from` to `to`.
void changeHeld(RequestBudget&, uint64_t from, uint64_t to);

/// Whether the request makes no progress, and does not wait for this host.
bool isStalled(const RequestBudget&, const UnfinishedRequest&, TimePoint now);

/// Whether there is room for bytes behind an unanswered request, which nobody needs yet.
bool hasRoomToReadAhead(const RequestBudget&, uint64_t bytes);

/// Number of requests that wait for room.
size_t waitingCount(const RequestBudget&);

} // namespace turmericwing::gateway

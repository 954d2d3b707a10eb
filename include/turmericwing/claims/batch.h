// Batches of conditional writes: group commit within a request budget, and read-back after a lost response.
//
// The caller sends the requests and reports their outcomes:
//     enqueueWrite() -> nextBatch() -> table -> handleBatchResponse() or handleBatchLost() -> takeReadBack()
//     -> handleReadBack()
// Each write ends with exactly one WriteResult.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::claims {

struct BatchOptions {
    Duration groupDelay_ = std::chrono::milliseconds(2); ///< A write waits this long for others in its batch.
    size_t maxBatch_ = 64; ///< Maximum number of writes in one request.
    /// Rate and burst of this host's requests to the table, which allows 200 writes/s over all hosts and
    /// counts the request of a batch as one write. While the budget is used up, writes wait and batches grow.
    double requestsPerSecond_ = 15;
    double requestBurst_ = 15;
    size_t maxInFlight_ = 4; ///< Maximum number of batches without a response.
    size_t maxQueued_ = 2000; ///< Maximum number of queued writes.
    bool readBack_ = true; ///< False only in tests: a write with a lost response is reported as not sent.
};

/// A conditional write of a row. `value_` contains a nonce that distinguishes it from the writes of others.
struct PendingWrite {
    uint64_t id_ = 0; ///< Chosen by the requester, unique among pending writes.
    std::string key_;
    std::string value_;
    uint64_t expectedVersion_ = 0; ///< 0 if the row must not exist.
    TimePoint deadline_; ///< Abandoned at this time: NotSent, or Unknown if it may have been sent.
    bool maybeSent_ = false; ///< An earlier attempt may have taken effect or may still do so.
    friend auto operator<=>(const PendingWrite&, const PendingWrite&) = default;
};

/// How a write ended.
enum class WriteStatus {
    Applied, ///< The write took effect.
    Conflict, ///< Another writer was first; current_ is its row, if known.
    NotSent, ///< Has had no effect and will have none.
    Unknown, ///< May have taken effect, or may still do so.
};

/// A row as returned by the table.
struct CurrentRow {
    std::string value_;
    uint64_t version_ = 0;
    friend auto operator<=>(const CurrentRow&, const CurrentRow&) = default;
};

struct WriteResult {
    uint64_t id_ = 0;
    WriteStatus status_ = WriteStatus::Unknown;
    std::optional<CurrentRow> current_; ///< The row after the write, or that of the other writer, if known.
    friend auto operator<=>(const WriteResult&, const WriteResult&) = default;
};

/// Writes that are sent in one request.
struct Batch {
    uint64_t number_ = 0;
    std::vector<PendingWrite> writes_;
};

/// Invariants: a write is in exactly one of queue_, inFlight_, readBacks_ and reading_; a batch holds at most
/// one write for each key.
struct WriteBatcher {
    std::deque<std::pair<PendingWrite, TimePoint>> queue_; ///< Each with the time at which it was queued.
    std::map<uint64_t, Batch> inFlight_; ///< By number of the batch.
    std::deque<PendingWrite> readBacks_; ///< Writes whose row is to be read.
    std::map<uint64_t, PendingWrite> reading_; ///< Writes whose row is being read, by id of the write.
    uint64_t nextNumber_ = 1;
    TimePoint budgetEmptyAt_; ///< The budget is (now - budgetEmptyAt_) · rate, capped at the burst.
};

/// Queues a write. Returns false if the queue is full; the write is not sent then.
bool enqueueWrite(WriteBatcher&, PendingWrite, TimePoint now, const BatchOptions&);

/// Returns the batch to send now, if one is due. Queued writes whose time has passed are added to `results`.
std::optional<Batch> nextBatch(
    WriteBatcher&, TimePoint now, const BatchOptions&, std::vector<WriteResult>& results);

/// Returns the time at which nextBatch() should be called again; TimePoint::max() if no batch becomes due
/// before a write is queued or a batch ends.
TimePoint nextBatchAt(const WriteBatcher&, TimePoint now, const BatchOptions&);

/// Outcome of one write of a batch, in the order of the batch.
struct TableOutcome {
    bool applied_ = false;
    std::optional<CurrentRow> current_; ///< The row after the request, if the table returned it.
};

/// Handles the table's response to a batch and returns the results of writes that have ended. A response with
/// a wrong number of outcomes is treated as lost; one to an unknown batch is ignored.
std::vector<WriteResult> handleBatchResponse(
    WriteBatcher&, uint64_t number, const std::vector<TableOutcome>&, TimePoint now, const BatchOptions&);

/// Handles a request that was certainly not sent. Its writes end as NotSent, or as Unknown if they had an
/// earlier attempt.
std::vector<WriteResult> handleBatchNotSent(WriteBatcher&, uint64_t number);

/// Handles a lost response. The row of each write is read back until the write's time has passed.
std::vector<WriteResult> handleBatchLost(WriteBatcher&, uint64_t number, const BatchOptions&);

/// Returns the write whose row is to be read next, if any. Writes whose time has passed are added to
/// `results` as Unknown.
std::optional<PendingWrite> takeReadBack(WriteBatcher&, TimePoint now, std::vector<WriteResult>& results);

/// Handles the row that a read-back returned. If the row is as it was before the write, the write may still
/// be in transit: the same conditional write is queued again, and at most one of the two takes effect.
std::vector<WriteResult> handleReadBack(
    WriteBatcher&, uint64_t id, const std::optional<CurrentRow>& row, TimePoint now);

/// Handles a failed read-back, which is repeated until the write's time has passed.
void handleReadBackFailed(WriteBatcher&, uint64_t id);

} // namespace turmericwing::claims

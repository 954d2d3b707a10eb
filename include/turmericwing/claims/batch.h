// Batches of conditional writes: group commit under a write budget, and read back after a lost response.
//
// The caller sends what it is given and reports back:
//     enqueueWrite() -> nextBatch() -> table -> batchAnswered() or batchLost() -> takeReadBack() ->
//     readAnswered()
// Each write ends exactly once, in WriteResult.
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
    Duration groupDelay_ = std::chrono::milliseconds(2); ///< A write waits this long for company.
    size_t maxBatch_ = 64; ///< Writes in one request.
    /// Requests to the table per second and their burst for this host; 200 writes/s over all hosts. One
    /// request of a batch counts as one write. Without budget, writes wait and batches grow.
    double requestsPerSecond_ = 15;
    double requestBurst_ = 15;
    size_t maxInFlight_ = 4; ///< Batches.
    size_t maxQueued_ = 2000;
    bool readBack_ = true; ///< Off only in tests: a lost response counts as not written.
};

/// A write of a row that carries `nonce`, which tells it from writes of others.
struct PendingWrite {
    uint64_t id_ = 0; ///< Chosen by the requester, unique among pending writes.
    std::string key_;
    std::string value_;
    uint64_t expectedVersion_ = 0; ///< 0 if the row must be absent.
    TimePoint giveUpAt_; ///< Dropped after this: NotSent, or Unknown if it was sent before.
    bool maybeSent_ = false; ///< An earlier attempt may still take effect.
    friend auto operator<=>(const PendingWrite&, const PendingWrite&) = default;
};

enum class WriteStatus {
    Applied,
    Conflict, ///< Another writer was first; current_ is its row, if the table told.
    NotSent, ///< Provably had and will have no effect.
    Unknown, ///< May have taken effect, or may still do so.
};

struct CurrentRow {
    std::string value_;
    uint64_t version_ = 0;
    friend auto operator<=>(const CurrentRow&, const CurrentRow&) = default;
};

struct WriteResult {
    uint64_t id_ = 0;
    WriteStatus status_ = WriteStatus::Unknown;
    std::optional<CurrentRow> current_;
    friend auto operator<=>(const WriteResult&, const WriteResult&) = default;
};

struct Batch {
    uint64_t number_ = 0;
    std::vector<PendingWrite> writes_;
};

/// Invariants: a write is in exactly one of queue_, inFlight_, readBacks_ and reading_; a batch holds at most
/// one write for each key.
struct WriteBatcher {
    std::deque<std::pair<PendingWrite, TimePoint>> queue_; ///< With the time of arrival.
    std::map<uint64_t, Batch> inFlight_;
    std::deque<PendingWrite> readBacks_;
    std::map<uint64_t, PendingWrite> reading_; ///< By id of the write.
    uint64_t nextNumber_ = 1;
    TimePoint budgetEmptyAt_; ///< The budget is (now - budgetEmptyAt_) · rate, capped at the burst.
};

/// Returns false if the queue is full; nothing was sent.
bool enqueueWrite(WriteBatcher&, PendingWrite, TimePoint now, const BatchOptions&);

/// The batch to send now, if one is due. Writes that waited too long are added to `results`.
std::optional<Batch> nextBatch(
    WriteBatcher&, TimePoint now, const BatchOptions&, std::vector<WriteResult>& results);

/// When nextBatch() should be called again; TimePoint::max() if only an event can change something.
TimePoint nextBatchAt(const WriteBatcher&, TimePoint now, const BatchOptions&);

/// Outcome of one write of a batch, in the order of the batch.
struct TableOutcome {
    bool applied_ = false;
    std::optional<CurrentRow> current_;
};

/// Routes the table's response. An unknown number or a wrong count of outcomes is treated as lost.
std::vector<WriteResult> batchAnswered(
    WriteBatcher&, uint64_t number, const std::vector<TableOutcome>&, TimePoint now, const BatchOptions&);

/// The request was provably not sent; that is said of each write that had no earlier attempt.
std::vector<WriteResult> batchNotSent(WriteBatcher&, uint64_t number);

/// The response was lost; each write is read back until its time has passed.
std::vector<WriteResult> batchLost(WriteBatcher&, uint64_t number, const BatchOptions&);

/// The next row to read, if any. Writes whose time has passed are added to `results` as Unknown.
std::optional<PendingWrite> takeReadBack(WriteBatcher&, TimePoint now, std::vector<WriteResult>& results);

/// What a read back showed. If the row is as it was before the write, the write may still be on its way: the
/// same conditional write is queued again, and at most one of the two takes effect.
std::vector<WriteResult> readAnswered(
    WriteBatcher&, uint64_t id, const std::optional<CurrentRow>& row, TimePoint now);

/// The read failed; it is repeated until the write's time has passed.
void readFailed(WriteBatcher&, uint64_t id);

} // namespace turmericwing::claims

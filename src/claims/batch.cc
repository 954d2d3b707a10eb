// Queue, budget and read-back of conditional writes.
#include "turmericwing/claims/batch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericwing::claims {

namespace detail {

    Duration requestCost(const BatchOptions& options)
    {
        return Duration(static_cast<int64_t>(1e6 / std::max(options.requestsPerSecond_, 1e-3)));
    }

    // Time at which the budget was empty, moved forward so that idle time yields at most the burst.
    TimePoint budgetStart(const WriteBatcher& batcher, TimePoint now, const BatchOptions& options)
    {
        const auto burst = Duration(static_cast<int64_t>(
            static_cast<double>(requestCost(options).count()) * std::max(1.0, options.requestBurst_)));
        return std::max(batcher.budgetEmptyAt_, now - burst);
    }

    WriteResult abandonedResult(const PendingWrite& write)
    {
        return { write.id_, write.maybeSent_ ? WriteStatus::Unknown : WriteStatus::NotSent, std::nullopt };
    }

    // Derives the result of a write from the current row; nothing if the write may still take effect.
    std::optional<WriteResult> resultFromRow(const PendingWrite& write, const CurrentRow& row)
    {
        if (row.value_ == write.value_)
            return WriteResult { write.id_, WriteStatus::Applied, row };
        if (row.version_ <= write.expectedVersion_)
            return std::nullopt;
        // With two or more newer versions, this write may have been applied and then replaced.
        const bool mayHaveReplaced = write.maybeSent_ && row.version_ > write.expectedVersion_ + 1;
        return WriteResult { write.id_, mayHaveReplaced ? WriteStatus::Unknown : WriteStatus::Conflict, row };
    }

} // namespace detail

bool enqueueWrite(WriteBatcher& batcher, PendingWrite write, TimePoint now, const BatchOptions& options)
{
    if (batcher.queue_.size() >= options.maxQueued_)
        return false;
    batcher.queue_.emplace_back(std::move(write), now);
    return true;
}

std::optional<Batch> nextBatch(
    WriteBatcher& batcher, TimePoint now, const BatchOptions& options, std::vector<WriteResult>& results)
{
    std::erase_if(batcher.queue_, [&](const auto& entry) {
        if (entry.first.deadline_ > now)
            return false;
        results.push_back(detail::abandonedResult(entry.first));
        return true;
    });
    if (nextBatchAt(batcher, now, options) > now)
        return std::nullopt;
    Batch batch;
    std::set<std::string> keys;
    for (auto it = batcher.queue_.begin();
         it != batcher.queue_.end() && batch.writes_.size() < options.maxBatch_;) {
        if (keys.insert(it->first.key_).second) {
            batch.writes_.push_back(std::move(it->first));
            it = batcher.queue_.erase(it);
        } else {
            ++it;
        }
    }
    batcher.budgetEmptyAt_ = detail::budgetStart(batcher, now, options) + detail::requestCost(options);
    batch.number_ = batcher.nextNumber_++;
    batcher.inFlight_[batch.number_] = batch;
    return batch;
}

TimePoint nextBatchAt(const WriteBatcher& batcher, TimePoint now, const BatchOptions& options)
{
    if (batcher.queue_.empty() || batcher.inFlight_.size() >= options.maxInFlight_)
        return TimePoint::max();
    const TimePoint groupDueAt = batcher.queue_.size() >= options.maxBatch_
        ? now
        : batcher.queue_.front().second + options.groupDelay_;
    return std::max(groupDueAt, detail::budgetStart(batcher, now, options) + detail::requestCost(options));
}

std::vector<WriteResult> handleBatchResponse(WriteBatcher& batcher, uint64_t number,
    const std::vector<TableOutcome>& outcomes, TimePoint, const BatchOptions& options)
{
    const auto found = batcher.inFlight_.find(number);
    if (found == batcher.inFlight_.end())
        return {};
    if (found->second.writes_.size() != outcomes.size())
        return handleBatchLost(batcher, number, options);
    std::vector<WriteResult> results;
    for (size_t i = 0; i < outcomes.size(); ++i) {
        auto& write = found->second.writes_[i];
        if (outcomes[i].applied_) {
            results.push_back({ write.id_, WriteStatus::Applied, outcomes[i].current_ });
            continue;
        }
        const auto result
            = outcomes[i].current_ ? detail::resultFromRow(write, *outcomes[i].current_) : std::nullopt;
        // Without a row, the conflict may be with an earlier attempt of the same write.
        if (result)
            results.push_back(*result);
        else if (write.maybeSent_)
            batcher.readBacks_.push_back(std::move(write));
        else
            results.push_back({ write.id_, WriteStatus::Conflict, outcomes[i].current_ });
    }
    batcher.inFlight_.erase(found);
    return results;
}

std::vector<WriteResult> handleBatchNotSent(WriteBatcher& batcher, uint64_t number)
{
    std::vector<WriteResult> results;
    const auto found = batcher.inFlight_.find(number);
    if (found == batcher.inFlight_.end())
        return results;
    for (const auto& write : found->second.writes_)
        results.push_back(detail::abandonedResult(write));
    batcher.inFlight_.erase(found);
    return results;
}

std::vector<WriteResult> handleBatchLost(WriteBatcher& batcher, uint64_t number, const BatchOptions& options)
{
    std::vector<WriteResult> results;
    const auto found = batcher.inFlight_.find(number);
    if (found == batcher.inFlight_.end())
        return results;
    for (auto& write : found->second.writes_) {
        write.maybeSent_ = true;
        if (options.readBack_)
            batcher.readBacks_.push_back(std::move(write));
        else
            results.push_back({ write.id_, WriteStatus::NotSent, std::nullopt });
    }
    batcher.inFlight_.erase(found);
    return results;
}

std::optional<PendingWrite> takeReadBack(
    WriteBatcher& batcher, TimePoint now, std::vector<WriteResult>& results)
{
    while (!batcher.readBacks_.empty()) {
        PendingWrite write = std::move(batcher.readBacks_.front());
        batcher.readBacks_.pop_front();
        if (write.deadline_ > now) {
            batcher.reading_[write.id_] = write;
            return write;
        }
        results.push_back(detail::abandonedResult(write));
    }
    return std::nullopt;
}

std::vector<WriteResult> handleReadBack(
    WriteBatcher& batcher, uint64_t id, const std::optional<CurrentRow>& row, TimePoint now)
{
    const auto found = batcher.reading_.find(id);
    if (found == batcher.reading_.end())
        return {};
    PendingWrite write = std::move(found->second);
    batcher.reading_.erase(found);
    if (row) {
        if (const auto result = detail::resultFromRow(write, *row))
            return { *result };
    }
    batcher.queue_.emplace_front(std::move(write), now);
    return {};
}

void handleReadBackFailed(WriteBatcher& batcher, uint64_t id)
{
    const auto found = batcher.reading_.find(id);
    if (found == batcher.reading_.end())
        return;
    batcher.readBacks_.push_back(std::move(found->second));
    batcher.reading_.erase(found);
}

} // namespace turmericwing::claims

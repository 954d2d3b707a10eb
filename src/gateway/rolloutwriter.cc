// Writes start and end of rollouts to the store.
#include "rolloutwriter.h"

#include "turmericwing/host/log.h"

#include <algorithm>

namespace turmericwing::gateway {

using host::logEvent;
using host::LogLevel;
using rollout::Ramp;
using rollout::RampState;

namespace {

    constexpr const char* rolloutsTable = "rollouts";
    /// Shortest time between two writes for a service; does not apply after a successful one.
    constexpr Duration writeRetryDelay = std::chrono::milliseconds(700);
    /// Time per host over which the hosts spread their reads after a restore of the store.
    constexpr Duration restoreInterval = std::chrono::milliseconds(10);
    constexpr Duration readRetryDelay = std::chrono::milliseconds(500); ///< After a failed read.

    const char* stateText(RampState state)
    {
        switch (state) {
        case RampState::Running:
            return "running";
        case RampState::Complete:
            return "complete";
        case RampState::Reverted:
            break;
        }
        return "reverted";
    }

} // namespace

void logRamp(const Ramp& ramp, const char* source)
{
    logEvent(LogLevel::Info, "rollout",
        { { "service", ramp.service_ }, { "to", ramp.version_ }, { "state", stateText(ramp.state_) },
            { "start_ms", std::to_string(ramp.startMs_) }, { "source", source } });
}

namespace detail {

    RolloutWriter::RolloutWriter(State& state, TableStore& store)
        : state_(state)
        , store_(store)
    {
    }

    void RolloutWriter::readRollouts()
    {
        if (reading_)
            return;
        reading_ = true;
        store_.read_(rolloutsTable, [this](const Result<TableRead>& answer) {
            reading_ = false;
            if (!answer) {
                nextReadAt_ = monotonicNow() + readRetryDelay;
                logEvent(LogLevel::Warning, "rollouts-unread", { { "reason", answer.error().message_ } });
                return;
            }
            onRead(answer.value());
        });
    }

    void RolloutWriter::onRead(const TableRead& read)
    {
        if (read.era_ < state_.storeEra_)
            return; // Answered before the store was restored; read again at the next call.
        tableRead_ = true;
        rows_.clear();
        for (const StoredRow& row : read.rows_) {
            rows_[row.key_].version_ = row.version_;
            const auto stored = decodeRamp(row.value_);
            if (!stored) {
                logEvent(LogLevel::Warning, "rollout-unreadable",
                    { { "key", row.key_ }, { "reason", stored.error().message_ } });
                continue;
            }
            rows_[row.key_].ramp_ = stored.value().ramp_;
            if (mergeRamp(state_.rollouts_, stored.value()))
                logRamp(stored.value().ramp_, "store");
        }
    }

    void RolloutWriter::onStoreRestored(TimePoint now)
    {
        tableRead_ = false;
        for (const auto& [service, known] : state_.rollouts_.ramps_)
            unchecked_.insert(service);
        const auto hosts = static_cast<double>(state_.fleet_.peers_.size() + 1);
        if (!isDesignatedWriter(state_.fleet_, now))
            nextReadAt_ = now
                + std::chrono::duration_cast<Duration>(restoreInterval * (hosts * uniform(state_.random_)));
    }

    /// Whether the ramp has to be written again after a restore of the store.
    bool RolloutWriter::isLost(const RampRecord& known)
    {
        if (!unchecked_.contains(known.ramp_.service_))
            return false;
        const auto row = rows_.find(known.ramp_.service_);
        if (row == rows_.end() || row->second.ramp_ != known.ramp_)
            return true;
        unchecked_.erase(known.ramp_.service_);
        return false;
    }

    void RolloutWriter::startAndEndRollouts(TimePoint now)
    {
        if (!tableRead_ && !reading_ && now >= nextReadAt_)
            readRollouts();
        if (!tableRead_ || !state_.reachesStore_ || isDraining(state_)
            || !isDesignatedWriter(state_.fleet_, now))
            return;
        for (const OrderRecord& order : unstartedOrders(state_.rollouts_, now)) {
            const int64_t start = storeNow(state_, now);
            const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(order.order_.duration_);
            const Ramp ramp { order.order_.service_, order.order_.version_, start, start + time.count() };
            write(now, { ramp, order.rowVersion_, order.era_, {} });
        }
        for (const auto& [service, known] : state_.rollouts_.ramps_) {
            if (isLost(known)) {
                write(now, storedRamp(known, known.ramp_));
                continue;
            }
            if (known.ramp_.state_ != RampState::Running)
                continue;
            const RampState end = endOf(now, known);
            if (end != RampState::Running)
                finish(now, known, end);
            else if (isCheckpointDue(now, known))
                write(now, storedRamp(known, known.ramp_));
        }
    }

    /// State that the ramp should have. What a version was found bad by holds whatever else is unknown; any
    /// other end needs a view of the fleet, whose answers and requests in flight decide.
    RampState RolloutWriter::endOf(TimePoint now, const RampRecord& known) const
    {
        if (known.foundBad_)
            return RampState::Reverted;
        if (!hasFleetView(state_, now))
            return RampState::Running;
        return rollout::rampEnd(
            known.ramp_, storeNow(state_, now), oldInFlight(known.ramp_), known.evidence_);
    }

    /// Whether a part of the ramp's time has passed since its counts were last stored.
    bool RolloutWriter::isCheckpointDue(TimePoint now, const RampRecord& known)
    {
        if (!hasFleetView(state_, now) || !ledgerTotal(known.ledger_).fromStart_)
            return false;
        const auto row = rows_.find(known.ramp_.service_);
        const int64_t writtenMs = row == rows_.end() ? 0 : row->second.writtenMs_;
        return rollout::passedCheckpoints(known.ramp_, storeNow(state_, now))
            > rollout::passedCheckpoints(known.ramp_, writtenMs);
    }

    uint32_t RolloutWriter::oldInFlight(const Ramp& ramp) const
    {
        uint32_t sum = 0;
        const auto pool = state_.directory_.services_.find(ramp.service_);
        if (pool == state_.directory_.services_.end())
            return sum;
        for (const routing::Target& target : pool->second.targets_) {
            if (target.version_ != ramp.version_)
                sum += routing::totalInFlight(target);
        }
        return sum;
    }

    /// The ramp with what this host knows of its order and answers.
    StoredRamp RolloutWriter::storedRamp(const RampRecord& known, const Ramp& ramp)
    {
        return { ramp, known.orderVersion_, known.orderEra_, ledgerTotal(known.ledger_) };
    }

    /// Logs on what the end of a rollout was decided.
    void RolloutWriter::logDecision(TimePoint now, const RampRecord& known, RampState state) const
    {
        const rollout::RampCounts& total = known.tests_.seen_;
        logEvent(LogLevel::Info, "rollout-decided",
            { { "service", known.ramp_.service_ }, { "to", known.ramp_.version_ },
                { "state", stateText(state) }, { "found_bad", known.foundBad_ ? "yes" : "no" },
                { "answers", std::to_string(total.new_) }, { "failed", std::to_string(total.newFailed_) },
                { "old_answers", std::to_string(total.old_) },
                { "peers", std::to_string(activeReports(state_.fleet_, now).size()) } });
    }

    void RolloutWriter::finish(TimePoint now, const RampRecord& known, RampState state)
    {
        if (now >= writeBlockedUntil_[known.ramp_.service_])
            logDecision(now, known, state);
        Ramp ended = known.ramp_;
        ended.state_ = state;
        write(now, storedRamp(known, ended));
    }

    void RolloutWriter::write(TimePoint now, const StoredRamp& stored)
    {
        const std::string& service = stored.ramp_.service_;
        TimePoint& writeBlockedUntil = writeBlockedUntil_[service];
        if (now < writeBlockedUntil)
            return;
        writeBlockedUntil = now + writeRetryDelay;
        const auto known = rows_.find(service);
        const uint64_t expected = known == rows_.end() ? 0 : known->second.version_;
        const StoredRow row { .table_ = rolloutsTable, .key_ = service, .value_ = encodeRamp(stored) };
        const Transaction transaction { .expected_ = { { rolloutsTable, service, expected } },
            .writes_ = { row, state_.protocol_.encodeRolloutStatus_(stored.ramp_) } };
        store_.transact_(
            transaction, [this, stored](const Result<TableRead>& answer) { onWritten(stored, answer); });
    }

    void RolloutWriter::onWritten(const StoredRamp& stored, const Result<TableRead>& answer)
    {
        const Ramp& ramp = stored.ramp_;
        if (answer) {
            writeBlockedUntil_.erase(ramp.service_);
            rows_[ramp.service_] = { answer.value().version_, ramp, storeNow(state_, monotonicNow()) };
            if (mergeRamp(state_.rollouts_, stored))
                logRamp(ramp, "this host");
            return;
        }
        logEvent(LogLevel::Warning, "rollout-write-failed",
            { { "service", ramp.service_ }, { "state", stateText(ramp.state_) },
                { "reason", answer.error().message_ } });
        // Another host may have written the row, or this write took effect but its answer was lost.
        readRollouts();
    }

} // namespace detail

} // namespace turmericwing::gateway

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
            tableRead_ = true;
            for (const StoredRow& row : answer.value().rows_) {
                const auto stored = decodeRamp(row.value_);
                if (!stored) {
                    logEvent(LogLevel::Warning, "rollout-unreadable",
                        { { "key", row.key_ }, { "reason", stored.error().message_ } });
                    continue;
                }
                const Ramp& ramp = stored.value().ramp_;
                if (mergeRamp(state_.rollouts_, ramp, stored.value().orderVersion_, row.version_))
                    logRamp(ramp, "store");
            }
        });
    }

    void RolloutWriter::startAndEndRollouts(TimePoint now)
    {
        if (!tableRead_ && !reading_ && now >= nextReadAt_)
            readRollouts();
        if (!tableRead_ || !state_.reachesStore_ || isDraining(state_)
            || !isDesignatedWriter(state_.fleet_, now))
            return;
        for (const OrderRecord& order : unstartedOrders(state_.rollouts_)) {
            const int64_t start = storeNow(state_, now);
            const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(order.order_.duration_);
            const Ramp ramp { order.order_.service_, order.order_.version_, start, start + time.count() };
            const auto known = state_.rollouts_.ramps_.find(ramp.service_);
            const uint64_t expected = known == state_.rollouts_.ramps_.end() ? 0 : known->second.rowVersion_;
            write(now, ramp, order.rowVersion_, expected);
        }
        for (const auto& [service, known] : state_.rollouts_.ramps_) {
            if (known.ramp_.state_ != RampState::Running)
                continue;
            const RampState end = known.foundBad_ ? RampState::Reverted
                                                  : rollout::rampEnd(known.ramp_, storeNow(state_, now),
                                                      oldInFlight(known.ramp_), known.evidence_);
            if (end != RampState::Running)
                finish(now, known, end);
        }
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

    void RolloutWriter::finish(TimePoint now, const RampRecord& known, RampState state)
    {
        Ramp ended = known.ramp_;
        ended.state_ = state;
        write(now, ended, known.orderVersion_, known.rowVersion_);
    }

    void RolloutWriter::write(
        TimePoint now, const Ramp& ramp, uint64_t orderVersion, uint64_t expectedVersion)
    {
        TimePoint& writeBlockedUntil = writeBlockedUntil_[ramp.service_];
        if (now < writeBlockedUntil)
            return;
        writeBlockedUntil = now + writeRetryDelay;
        const StoredRow row {
            .table_ = rolloutsTable, .key_ = ramp.service_, .value_ = encodeRamp(ramp, orderVersion)
        };
        const Transaction transaction { .expected_ = { { rolloutsTable, ramp.service_, expectedVersion } },
            .writes_ = { row, state_.protocol_.encodeRolloutStatus_(ramp) } };
        store_.transact_(transaction, [this, ramp, orderVersion](const Result<TableRead>& answer) {
            onWritten(ramp, orderVersion, answer);
        });
    }

    void RolloutWriter::onWritten(const Ramp& ramp, uint64_t orderVersion, const Result<TableRead>& answer)
    {
        if (answer) {
            writeBlockedUntil_.erase(ramp.service_);
            mergeRamp(state_.rollouts_, ramp, orderVersion, answer.value().version_);
            return logRamp(ramp, "this host");
        }
        logEvent(LogLevel::Warning, "rollout-write-failed",
            { { "service", ramp.service_ }, { "state", stateText(ramp.state_) },
                { "reason", answer.error().message_ } });
        // Another host may have written the row, or this write took effect but its answer was lost.
        readRollouts();
    }

} // namespace detail

} // namespace turmericwing::gateway

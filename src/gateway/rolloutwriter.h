// Writes start and end of rollouts to the store. One host does so, in transactions that are conditional on
// the row version.
#pragma once

#include "turmericwing/gateway/state.h"
#include "turmericwing/gateway/tablestore.h"

#include <map>
#include <set>
#include <string>

namespace turmericwing::gateway {

/// Logs the state of a rollout. `source` says where this host learned it.
void logRamp(const rollout::Ramp&, const char* source);

} // namespace turmericwing::gateway

namespace turmericwing::gateway::detail {

/// Not thread-safe; lives on the gateway's event loop.
class RolloutWriter {
public:
    RolloutWriter(State&, TableStore&);

    /// Reads all rollouts from the store: at start, and after a failed write, because another host may have
    /// written first. Does nothing while a read is in progress.
    void readRollouts();

    /// Starts and ends rollouts if this host is the first by name of those that reach the store, and stores
    /// their counts from time to time. Called several times a second.
    void startAndEndRollouts(TimePoint now);

    /// The store was restored from an older copy: reads all rollouts again, and writes those that the copy
    /// has not or has in an earlier state.
    void onStoreRestored(TimePoint now);

private:
    /// A rollout's row in the store.
    struct Row {
        uint64_t version_ = 0;
        rollout::Ramp ramp_; ///< Empty if the row is unreadable.
        int64_t writtenMs_ = 0; ///< On the store's clock, when this host wrote the row; 0 if it did not.
    };

    void onRead(const TableRead&);
    bool isLost(const RampRecord&);
    void write(TimePoint now, const StoredRamp&);
    void onWritten(const StoredRamp&, const Result<TableRead>&);
    rollout::RampState endOf(TimePoint now, const RampRecord&) const;
    bool isCheckpointDue(TimePoint now, const RampRecord&);
    static StoredRamp storedRamp(const RampRecord&, const rollout::Ramp&);
    void logDecision(TimePoint now, const RampRecord&, rollout::RampState) const;
    void finish(TimePoint now, const RampRecord&, rollout::RampState);
    /// Requests of all hosts in flight at upstreams of other versions.
    uint32_t oldInFlight(const rollout::Ramp&) const;

    State& state_;
    TableStore& store_;
    bool tableRead_ = false; ///< Whether the table was read at least once in this era of the store.
    std::map<std::string, Row> rows_; ///< By service, as last read or written by this host.
    std::set<std::string> unchecked_; ///< Services whose row may be lost by a restore of the store.
    bool reading_ = false;
    /// By service: a write is in progress or has just failed.
    std::map<std::string, TimePoint> writeBlockedUntil_;
    TimePoint nextReadAt_ {}; ///< Earliest time of a retry after a failed read.
};

} // namespace turmericwing::gateway::detail

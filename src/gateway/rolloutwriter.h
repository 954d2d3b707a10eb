// Start and end of rollouts, written to the store by one host under conditions.
#pragma once

#include "turmericwing/gateway/state.h"
#include "turmericwing/gateway/tablestore.h"

#include <map>
#include <string>

namespace turmericwing::gateway {

/// Logs what is now known of a rollout, and from whom.
void logRamp(const rollout::Ramp&, const char* source);

} // namespace turmericwing::gateway

namespace turmericwing::gateway::detail {

class RolloutWriter {
public:
    RolloutWriter(State&, TableStore&);

    /// Reads all rollouts from the store, at start and after a lost race.
    void read();

    /// Starts and ends rollouts if this host is the first one. Called several times a second.
    void act(TimePoint now);

private:
    void write(TimePoint now, const rollout::Ramp&, uint64_t order, uint64_t expectedVersion);
    void onWritten(const rollout::Ramp&, uint64_t order, const Result<TableRead>&);
    void finish(TimePoint now, const KnownRamp&, rollout::RampState);
    uint32_t oldInFlight(const rollout::Ramp&) const;

    State& state_;
    TableStore& store_;
    bool known_ = false; ///< The table was read.
    bool reading_ = false;
    std::map<std::string, TimePoint> busyUntil_; ///< By service: a write runs, or failed a moment ago.
    TimePoint readAgainAt_ {};
};

} // namespace turmericwing::gateway::detail

// The owner of a move: collects the hosts' statistics, raises the share step by step, trips, and proposes the
// final state.
//
// The owner is one host per view. Its proposals are conditional on the record that it saw, and a final record
// never changes, so a move is declared done or rolled back exactly once, also by two hosts that both take
// themselves for the owner. The share that is handed out is never above the written one.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/rollout/share.h"
#include "turmericwing/rollout/test.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericwing::rollout {

enum class Wish { Run, Hold, RollBack };

/// A move as the operator published it.
struct MovePlan {
    std::string name_ {};
    double cap_ = 0.1; ///< Largest increase of the share in one step, in (0, 1].
    int64_t stepMs_ = 0; ///< Shortest time between two steps.
    int64_t startMs_ = 0;
    int64_t deadlineMs_ = 0;
    Wish wish_ = Wish::Run;
};

struct ControllerOptions {
    double firstShare_ = 0.01; ///< Most that a version may get that is bad from the start.
    double controlShare_ = 0.05; ///< Stays with the old side until the end, for comparison.
    TestOptions errors_ {};
    TestOptions latency_ {};
    double excess_ = 0.05; ///< Excluded over all routes before a step.
    double routeExcess_ = 0.5; ///< Excluded for each route before a step.
    double hurriedRouteExcess_ = 0.9; ///< The same when the deadline leaves no more time.
    double slowFactor_ = 2; ///< Slow is more than this multiple of the old side's mean latency.
    /// A good version may be slower than the old one by this factor, as its caches are cold at first.
    double slowTolerance_ = 1.5;
    uint64_t leastRequests_ = 20; ///< On the new side before a step, also when time is short.
    /// Time that a step takes beside stepMs_: write, activation delay, reports.
    int64_t stepOverheadMs_ = 4000;
    bool testErrors_ = true; ///< Only for tests.
    bool testLatency_ = true; ///< Only for tests.
    bool waitForEvidence_ = true; ///< Only for tests.
};

/// Counts of one route on one host since the host's process saw the move.
struct RouteStats {
    Comparison errors_ {};
    Comparison slow_ {}; ///< Requests slower than the limits that the owner sent.
    double oldLatency_ = 0; ///< Sum over successful requests of the old side, in seconds.
    friend bool operator==(const RouteStats&, const RouteStats&) = default;
};

/// Report of a host. Counts are sums, so lost and repeated reports do no harm.
struct HostStats {
    std::string host_ {};
    uint64_t incarnation_ = 0;
    std::map<std::string, RouteStats> routes_ {};
    bool tripped_ = false;
    friend bool operator==(const HostStats&, const HostStats&) = default;
};

struct RouteState {
    RouteStats period_ {}; ///< Since the last tick.
    Comparison step_ {}; ///< Errors since the step began.
    SequentialTest errors_ {};
    SequentialTest latency_ {};
    double meanLatency_ = 0; ///< Of the old side, in seconds.
};

struct Controller {
    ControllerOptions options_ {};
    std::map<std::string, RouteState> routes_ {};
    std::map<std::string, HostStats> hosts_ {}; ///< Last report of each host.
    MoveRecord record_ {};
    int64_t stepSinceMs_ = 0; ///< When this owner first saw the current step in effect.
    bool tripped_ = false; ///< Never cleared.
    std::string reason_ {};
};

/// A conditional change of the record in the head.
struct Proposal {
    MoveRecord expected_;
    MoveRecord next_;
};

struct MoveActions {
    double share_ = 0; ///< To hand out with reports' answers.
    bool tripped_ = false; ///< To send to all hosts until the record is final.
    std::optional<Proposal> proposal_;
};

/// Latencies above which hosts count a request as slow.
struct SlowLimits {
    Duration old_ {};
    Duration new_ {};
};

/// Nothing until the old side's latency is known.
std::optional<SlowLimits> slowLimits(const Controller&, const std::string& route);

void addReport(Controller&, const HostStats&);

/// A trip that another host sent.
void addTrip(Controller&, const std::string& reason);

/// One step of the owner, every 200 ms to 1 s. `record` is in effect on this host; `storeUp` says that the
/// head was read within its lease from the store itself.
MoveActions tickMove(Controller&, int64_t nowMs, const MovePlan&, const MoveRecord& record, bool storeUp);

/// The record after a proposal; nothing if the proposal no longer applies. The writer of the head calls this
/// on the row that its conditional write replaces.
std::optional<MoveRecord> applyProposal(const MoveRecord& current, const Proposal&);

/// Tests of the requests of one host, for its own trip without the owner. `options` as the owner's; `hosts`
/// is the number of hosts that share the false alarm rate.
struct LocalTrip {
    std::map<std::string, RouteState> routes_ {};
};

/// Adds the counts of one period, about 1 s. True if the host must trip.
bool addLocalPeriod(LocalTrip&, const ControllerOptions& options, uint32_t hosts,
    const std::map<std::string, RouteStats>& period);

} // namespace turmericwing::rollout

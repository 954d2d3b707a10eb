// Controller of a move, run by its owner: collects the hosts' statistics, raises the share step by step,
// trips the move if the new side is bad, and proposes the final state.
//
// Each view has one host as the owner. Its proposals are conditional on the record that it saw, and a final
// record never changes, so a move is declared done or rolled back exactly once, even if two hosts both
// consider themselves the owner. The granted share never exceeds the written one.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/rollout/share.h"
#include "turmericwing/rollout/test.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericwing::rollout {

/// What the operator wants a move to do.
enum class MoveCommand { Run, Hold, RollBack };

/// A move as the operator published it.
struct MovePlan {
    std::string name_ {};
    double cap_ = 0.1; ///< Largest increase of the share in one step, in (0, 1].
    int64_t stepMs_ = 0; ///< Shortest time between two steps.
    int64_t startMs_ = 0; ///< No step before this time.
    int64_t deadlineMs_ = 0; ///< The move is rolled back if it is not done by this time.
    MoveCommand command_ = MoveCommand::Run;
};

struct ControllerOptions {
    /// Share of the first step, which limits the requests to a version that is bad from the start.
    double firstShare_ = 0.01;
    double controlShare_ = 0.05; ///< Share that the old side keeps until the last step, for comparison.
    TestOptions errors_ {};
    TestOptions latency_ {};
    double excess_ = 0.05; ///< Excess failure rate over all routes that must be excluded before a step.
    double routeExcess_ = 0.5; ///< The same for each route.
    double urgentRouteExcess_ = 0.9; ///< For each route when the deadline leaves no more time.
    double slowFactor_ = 2; ///< A request is slow above this multiple of the old side's mean latency.
    /// A good version may be slower than the old one by this factor, because its caches are cold at first.
    double slowTolerance_ = 1.5;
    uint64_t minRequests_ = 20; ///< On the new side before a step, even when time is short.
    /// Time that a step takes in addition to stepMs_, for the write, the activation delay and the reports.
    int64_t stepOverheadMs_ = 4000;
    bool testErrors_ = true; ///< False only in tests.
    bool testLatency_ = true; ///< False only in tests.
    bool waitForEvidence_ = true; ///< False only in tests.
};

/// Counts of one route on one host, since its process first saw the move or for one period.
struct RouteStats {
    Comparison errors_ {};
    Comparison slow_ {}; ///< Failures are requests slower than the limits that the owner sent.
    double oldLatency_ = 0; ///< Sum over successful requests on the old side, in seconds.
    friend bool operator==(const RouteStats&, const RouteStats&) = default;
};

/// Report of a host. Counts are cumulative, so lost and repeated reports do not distort them.
struct HostStats {
    std::string host_ {};
    uint64_t incarnation_ = 0;
    std::map<std::string, RouteStats> routes_ {};
    bool tripped_ = false;
    friend bool operator==(const HostStats&, const HostStats&) = default;
};

/// Tests of one route.
struct RouteState {
    RouteStats period_ {}; ///< Since the last tick.
    Comparison step_ {}; ///< Requests and errors since the step began.
    SequentialTest errors_ {};
    SequentialTest latency_ {};
    double meanLatency_ = 0; ///< Moving average of the old side, in seconds.
};

/// State of the owner of a move.
struct Controller {
    ControllerOptions options_ {};
    std::map<std::string, RouteState> routes_ {};
    std::map<std::string, HostStats> hosts_ {}; ///< Last report of each host.
    MoveRecord record_ {};
    int64_t stepStartMs_ = 0; ///< When this owner first saw the current step in effect; 0 before.
    bool tripped_ = false; ///< Never cleared.
    std::string reason_ {}; ///< Reason of the trip.
};

/// A conditional change of the record in the head.
struct Proposal {
    MoveRecord expected_;
    MoveRecord next_;
};

/// What the owner has to send and write after a tick.
struct MoveActions {
    double share_ = 0; ///< To be granted in replies to reports.
    bool tripped_ = false; ///< To be sent to all hosts until the record is final.
    std::optional<Proposal> proposal_;
};

/// Latencies above which hosts count a request as slow.
struct SlowLimits {
    Duration old_ {};
    Duration new_ {};
};

/// Returns the limits of a route; nothing until the old side's latency is known.
std::optional<SlowLimits> slowLimits(const Controller&, const std::string& route);

/// Adds the increases since the host's last report, and trips the move if the host has tripped. Late reports,
/// and those of an older incarnation, are not counted.
void addReport(Controller&, const HostStats&);

/// Trips the move, for example because another host sent a trip. Keeps the reason of an earlier trip.
void addTrip(Controller&, const std::string& reason);

/// Control loop of the owner, to be called every 200 ms to 1 s. `record` is the one in effect on this host.
/// `storeUp` is true if the head was read from the store itself, within its lease.
MoveActions tickMove(Controller&, int64_t nowMs, const MovePlan&, const MoveRecord& record, bool storeUp);

/// Returns the record after a proposal; nothing if the proposal no longer applies. The writer of the head
/// calls this on the row that its conditional write replaces.
std::optional<MoveRecord> applyProposal(const MoveRecord& current, const Proposal&);

/// Tests of the requests of one host, which trip the move on this host without the owner.
struct LocalTrip {
    std::map<std::string, RouteState> routes_ {};
};

/// Adds the counts of one period of about 1 s. Returns true if the host must trip. `options` are those of the
/// owner; `hosts` is the number of hosts that share the false alarm rate.
bool addLocalPeriod(LocalTrip&, const ControllerOptions& options, uint32_t hosts,
    const std::map<std::string, RouteStats>& period);

} // namespace turmericwing::rollout

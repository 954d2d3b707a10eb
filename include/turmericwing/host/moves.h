// Moves on a host: assigns requests to the old or new side, reports results to the owner of each move, and
// acts as the owner of the moves that this host owns.
#pragma once

#include "turmericwing/host/snapshot.h"
#include "turmericwing/peer/message.h"
#include "turmericwing/rollout/controller.h"
#include "turmericwing/rollout/share.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::host {

/// The version and region that serve one request.
struct MoveSide {
    std::string version_; ///< Only upstreams of this version.
    std::string region_; ///< Only upstreams of this region; empty for any region.
    std::string move_; ///< The running move that counts the request; empty if there is none.
    bool new_ = false; ///< Whether the request goes to the new side of `move_`.
};

/// The moves of the configuration in force. Thread-safe.
class Moves {
public:
    /// Callbacks for messages and head changes. Called without locks held.
    struct Outbox {
        /// Sends a report to the owner. The reply goes to acceptShare() with the time at which the report was
        /// sent.
        std::function<void(const std::string& owner, const peer::MoveStats&)> report_;
        /// Sends a trip to all hosts.
        std::function<void(const peer::MoveTrip&)> trip_;
        /// Writes a proposal to the head asynchronously.
        std::function<void(const std::string& move, const rollout::Proposal&)> propose_;
    };

    Moves(std::string host, std::string region, uint64_t incarnation, Outbox);

    /// Applies a new membership view or configuration.
    void apply(const Snapshot&);

    /// Assigns a request to a side and counts it. Without a move, the service's own version serves it.
    MoveSide choose(const model::Service&, const std::string& route);

    /// Counts the outcome of an attempt on the side that choose() returned. Ignored outside a running move.
    void record(const MoveSide&, const std::string& route, bool failed, Duration latency);

    /// The owner's reply to a report. The share is 0 when this host does not own the move.
    peer::MoveShare answer(const peer::MoveStats&);
    /// Applies the owner's reply to the report sent at `sentAt`.
    void acceptShare(const peer::MoveShare&, TimePoint sentAt);
    /// Stops the move's new side on this host because another host has tripped the move. The owner records
    /// the reason.
    void acceptTrip(const peer::MoveTrip&);

    /// Runs the local test, sends reports and makes the owner's decisions, at most every 400 ms. Called by
    /// the control loop. `storeUp`: the head was read from the store itself within the lease.
    void tick(bool storeUp);

private:
    /// A move of the configuration and this host's state of it.
    struct TrackedMove {
        model::Move move_;
        std::string owner_; ///< Host that owns the move in the current view.
        rollout::HostMove hostMove_; ///< Share and trip of this host.
        rollout::HostStats stats_; ///< Of this host, cumulative.
        std::map<std::string, rollout::RouteStats>
            statsAtLastTest_; ///< stats_ at the time of the last local test.
        rollout::LocalTrip localTrip_;
        std::map<std::string, rollout::SlowLimits> slowLimits_; ///< By route, from the owner.
        rollout::Controller controller_; ///< Used only on the owner.
        rollout::MoveRecord record_; ///< From the head in force.
        rollout::MoveActions ownerActions_; ///< The owner's last decision.
        bool tripBroadcast_ = false; ///< The trip has been broadcast, by this or another host.
    };
    /// Calls to the outbox, made after the lock is released.
    struct OutboxCalls {
        std::vector<std::pair<std::string, peer::MoveStats>> reports_;
        std::vector<peer::MoveTrip> trips_;
        std::vector<std::pair<std::string, rollout::Proposal>> proposals_;
    };

    void tickHost(TrackedMove&, OutboxCalls&);
    void tickOwner(TrackedMove&, bool storeUp, OutboxCalls&);

    const std::string host_;
    const std::string region_;
    const uint64_t incarnation_;
    const Outbox outbox_;
    std::mutex mutex_;
    std::map<std::string, TrackedMove> moves_;
    uint32_t hostCount_ = 1;
    TimePoint nextTick_;
};

/// The record of a move in a head; the default record if the move has not started.
rollout::MoveRecord moveRecord(const control::Head&, const std::string& move);

/// Adds a move's record to a head or replaces it.
void putMoveRecord(control::Head&, const std::string& move, const rollout::MoveRecord&);

} // namespace turmericwing::host

// Moves on a live host: which requests go to the new side, reports to the owner of each move, and the owner's
// part on the host that owns it.
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

/// Where one request goes.
struct MoveSide {
    std::string version_; ///< Version whose upstreams serve it.
    std::string region_; ///< Region whose upstreams serve it; empty for any.
    std::string move_; ///< The move that counts it; empty outside moves.
    bool new_ = false;
};

class Moves {
public:
    /// Called without locks held.
    struct Outbox {
        /// Sends a report to the owner; the answer goes to acceptShare with the time at which it was sent.
        std::function<void(const std::string& owner, const peer::MoveStats&)> report_;
        std::function<void(const peer::MoveTrip&)> trip_;
        /// Writes a proposal to the head, asynchronously.
        std::function<void(const std::string& move, const rollout::Proposal&)> propose_;
    };

    Moves(std::string host, std::string region, uint64_t incarnation, Outbox);

    void apply(const Snapshot&);

    /// Side for a request of a service outside or inside a move; counts it.
    MoveSide choose(const model::Service&, const std::string& route);

    /// Outcome of an attempt that choose() assigned.
    void record(const MoveSide&, const std::string& route, bool failed, Duration latency);

    /// Owner's answer to a report.
    peer::MoveShare answer(const peer::MoveStats&);
    void acceptShare(const peer::MoveShare&, TimePoint sentAt);
    void acceptTrip(const peer::MoveTrip&);

    /// Reports and owner's decisions; call on every tick.
    void tick(bool storeUp);

private:
    struct Entry {
        model::Move move_;
        std::string owner_; ///< Host that owns the move in the current view.
        rollout::HostMove host_;
        rollout::HostStats stats_; ///< Cumulative, of this host.
        std::map<std::string, rollout::RouteStats> lastPeriod_; ///< stats_ at the last local test.
        rollout::LocalTrip local_;
        std::map<std::string, rollout::SlowLimits> limits_;
        rollout::Controller controller_; ///< Used by the owner only.
        rollout::MoveRecord record_; ///< In force.
        rollout::MoveActions actions_; ///< The owner's last decision.
        bool announced_ = false; ///< The local trip has been broadcast.
    };
    struct Work {
        std::vector<std::pair<std::string, peer::MoveStats>> reports_;
        std::vector<peer::MoveTrip> trips_;
        std::vector<std::pair<std::string, rollout::Proposal>> proposals_;
    };

    void tickHost(Entry&, Work&);
    void tickOwner(Entry&, bool storeUp, Work&);

    const std::string host_;
    const std::string region_;
    const uint64_t incarnation_;
    const Outbox outbox_;
    std::mutex mutex_;
    std::map<std::string, Entry> moves_;
    uint32_t hosts_ = 1;
    TimePoint nextTick_;
};

/// The record of a move in a head; a move without one has not started.
rollout::MoveRecord moveRecord(const control::Head&, const std::string& move);

/// Puts a record into a head.
void putMoveRecord(control::Head&, const std::string& move, const rollout::MoveRecord&);

} // namespace turmericwing::host

// Assignment of requests to the sides of moves, the local test, and the owner's decisions.
#include "turmericwing/host/moves.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/host/log.h"

#include <algorithm>

namespace turmericwing::host {

namespace detail {

    /// Interval of local tests, reports and owner's decisions.
    constexpr auto moveTickInterval = std::chrono::milliseconds(400);

    control::MovePhase toPhase(rollout::Phase phase)
    {
        switch (phase) {
        case rollout::Phase::Running:
            return control::MovePhase::Running;
        case rollout::Phase::Done:
            return control::MovePhase::Done;
        case rollout::Phase::RolledBack:
            break;
        }
        return control::MovePhase::RolledBack;
    }

    rollout::Phase fromPhase(control::MovePhase phase)
    {
        switch (phase) {
        case control::MovePhase::Running:
            return rollout::Phase::Running;
        case control::MovePhase::Done:
            return rollout::Phase::Done;
        case control::MovePhase::RolledBack:
            break;
        }
        return rollout::Phase::RolledBack;
    }

    rollout::MoveCommand commandOf(model::MoveState state)
    {
        switch (state) {
        case model::MoveState::Running:
            return rollout::MoveCommand::Run;
        case model::MoveState::Held:
            return rollout::MoveCommand::Hold;
        case model::MoveState::RolledBack:
            break;
        }
        return rollout::MoveCommand::RollBack;
    }

    /// The host that owns a move, by rendezvous hashing; empty without members.
    std::string ownerOf(const control::Head& head, const std::string& move)
    {
        const auto ownerMember = std::max_element(head.members_.begin(), head.members_.end(),
            [&](const control::Member& a, const control::Member& b) {
                return rendezvousWeight(move, a.host_) < rendezvousWeight(move, b.host_);
            });
        return ownerMember == head.members_.end() ? std::string() : ownerMember->host_;
    }

    /// Counts that were added between two cumulative statistics.
    rollout::RouteStats difference(const rollout::RouteStats& now, const rollout::RouteStats& before)
    {
        const auto minus = [](const rollout::Comparison& a, const rollout::Comparison& b) {
            return rollout::Comparison { a.new_ - b.new_, a.newFailed_ - b.newFailed_, a.old_ - b.old_,
                a.oldFailed_ - b.oldFailed_ };
        };
        return { minus(now.errors_, before.errors_), minus(now.slow_, before.slow_),
            now.oldLatency_ - before.oldLatency_ };
    }

    void countOutcome(rollout::Comparison& comparison, bool newSide, bool failed)
    {
        (newSide ? comparison.new_ : comparison.old_) += 1;
        if (failed)
            (newSide ? comparison.newFailed_ : comparison.oldFailed_) += 1;
    }

} // namespace detail

rollout::MoveRecord moveRecord(const control::Head& head, const std::string& move)
{
    for (const control::MoveStatus& status : head.moves_) {
        if (status.name_ == move)
            return { status.step_, status.share_, detail::fromPhase(status.phase_), status.reason_ };
    }
    return {};
}

void putMoveRecord(control::Head& head, const std::string& move, const rollout::MoveRecord& record)
{
    const control::MoveStatus status { move, record.step_, record.share_, detail::toPhase(record.phase_),
        record.reason_ };
    for (control::MoveStatus& existing : head.moves_) {
        if (existing.name_ == move) {
            existing = status;
            return;
        }
    }
    head.moves_.push_back(status);
}

Moves::Moves(std::string host, std::string region, uint64_t incarnation, Outbox outbox)
    : host_(std::move(host))
    , region_(std::move(region))
    , incarnation_(incarnation)
    , outbox_(std::move(outbox))
{
}

void Moves::apply(const Snapshot& snapshot)
{
    std::lock_guard lock(mutex_);
    hostCount_ = static_cast<uint32_t>(std::max<size_t>(1, snapshot.head_.members_.size()));
    std::erase_if(
        moves_, [&](const auto& entry) { return !model::find(snapshot.set_->moves_, entry.first); });
    for (const model::Move& move : snapshot.set_->moves_) {
        TrackedMove& entry = moves_[move.name_];
        entry.move_ = move;
        entry.owner_ = detail::ownerOf(snapshot.head_, move.name_);
        entry.stats_.host_ = host_;
        entry.stats_.incarnation_ = incarnation_;
        entry.record_ = moveRecord(snapshot.head_, move.name_);
        rollout::setRecord(entry.hostMove_, entry.record_);
        for (const Version& newer : snapshot.newer_) {
            const rollout::MoveRecord learned = moveRecord(newer.head_, move.name_);
            if (learned.phase_ == rollout::Phase::RolledBack)
                rollout::setRecord(entry.hostMove_, learned);
        }
        if (snapshot.stoppedMoves_.count(move.name_) > 0)
            rollout::trip(entry.hostMove_);
    }
}

MoveSide Moves::choose(const model::Service& service, const std::string& route)
{
    MoveSide side { service.version_, {}, {}, false };
    std::lock_guard lock(mutex_);
    const TimePoint now = monotonicNow();
    for (auto& [name, entry] : moves_) {
        const model::Move& move = entry.move_;
        if (move.service_ != service.name_)
            continue;
        const bool betweenRegions = !move.toRegion_.empty();
        if (betweenRegions && move.fromRegion_ != region_)
            continue;
        if (!betweenRegions && side.version_ != move.fromVersion_)
            continue;
        const bool done = entry.hostMove_.record_.phase_ == rollout::Phase::Done;
        const bool takesNew = done || rollout::routeToNewSide(entry.hostMove_, now, route);
        if (takesNew && betweenRegions)
            side.region_ = move.toRegion_;
        else if (takesNew)
            side.version_ = move.toVersion_;
        if (!done && entry.hostMove_.record_.phase_ == rollout::Phase::Running) {
            side.move_ = name;
            side.new_ = takesNew;
        }
    }
    return side;
}

void Moves::record(const MoveSide& side, const std::string& route, bool failed, Duration latency)
{
    if (side.move_.empty())
        return;
    std::lock_guard lock(mutex_);
    const auto found = moves_.find(side.move_);
    if (found == moves_.end())
        return;
    TrackedMove& entry = found->second;
    rollout::RouteStats& stats = entry.stats_.routes_[route];
    detail::countOutcome(stats.errors_, side.new_, failed);
    if (failed)
        return;
    if (!side.new_)
        stats.oldLatency_ += seconds(latency);
    if (const auto limit = entry.slowLimits_.find(route); limit != entry.slowLimits_.end())
        detail::countOutcome(
            stats.slow_, side.new_, latency > (side.new_ ? limit->second.new_ : limit->second.old_));
}

peer::MoveShare Moves::answer(const peer::MoveStats& report)
{
    std::lock_guard lock(mutex_);
    peer::MoveShare share { report.move_, 0, 0, false, {}, {} };
    const auto found = moves_.find(report.move_);
    if (found == moves_.end() || found->second.owner_ != host_)
        return share;
    TrackedMove& entry = found->second;
    rollout::addReport(entry.controller_, report.stats_);
    share.step_ = entry.controller_.record_.step_;
    share.share_ = entry.ownerActions_.share_;
    share.tripped_ = entry.ownerActions_.tripped_;
    for (const auto& [route, state] : entry.controller_.routes_) {
        if (const auto limits = rollout::slowLimits(entry.controller_, route)) {
            share.slowRoutes_.push_back(route);
            share.slowLimitsUs_.push_back(static_cast<uint64_t>(limits->old_.count()));
            share.slowLimitsUs_.push_back(static_cast<uint64_t>(limits->new_.count()));
        }
    }
    return share;
}

void Moves::acceptShare(const peer::MoveShare& share, TimePoint sentAt)
{
    std::lock_guard lock(mutex_);
    const auto found = moves_.find(share.move_);
    if (found == moves_.end())
        return;
    TrackedMove& entry = found->second;
    if (share.tripped_)
        rollout::trip(entry.hostMove_);
    rollout::setGrant(entry.hostMove_, sentAt, share.step_, share.share_);
    if (share.slowLimitsUs_.size() != share.slowRoutes_.size() * 2)
        return;
    for (size_t i = 0; i < share.slowRoutes_.size(); ++i) {
        entry.slowLimits_[share.slowRoutes_[i]]
            = { Duration(static_cast<int64_t>(share.slowLimitsUs_[2 * i])),
                  Duration(static_cast<int64_t>(share.slowLimitsUs_[2 * i + 1])) };
    }
}

void Moves::acceptTrip(const peer::MoveTrip& trip)
{
    std::lock_guard lock(mutex_);
    const auto found = moves_.find(trip.move_);
    if (found == moves_.end())
        return;
    rollout::trip(found->second.hostMove_);
    found->second.tripBroadcast_ = true;
    if (found->second.owner_ == host_)
        rollout::addTrip(found->second.controller_, trip.reason_);
}

void Moves::tickHost(TrackedMove& entry, OutboxCalls& calls)
{
    std::map<std::string, rollout::RouteStats> period;
    for (const auto& [route, stats] : entry.stats_.routes_)
        period[route] = detail::difference(stats, entry.statsAtLastTest_[route]);
    entry.statsAtLastTest_ = entry.stats_.routes_;
    if (!entry.hostMove_.tripped_
        && rollout::addLocalPeriod(entry.localTrip_, entry.controller_.options_, hostCount_, period)) {
        rollout::trip(entry.hostMove_);
        logEvent(
            LogLevel::Warning, "move-tripped", { { "move", entry.move_.name_ }, { "by", "local test" } });
    }
    entry.stats_.tripped_ = entry.hostMove_.tripped_;
    const bool rolledBack = entry.record_.phase_ == rollout::Phase::RolledBack
        || entry.move_.state_ == model::MoveState::RolledBack;
    if (entry.hostMove_.tripped_ && !entry.tripBroadcast_ && !rolledBack) {
        entry.tripBroadcast_ = true;
        calls.trips_.push_back({ entry.move_.name_, "local test on " + host_ });
    }
    if (entry.record_.phase_ == rollout::Phase::Running)
        calls.reports_.emplace_back(entry.owner_, peer::MoveStats { entry.move_.name_, entry.stats_ });
}

void Moves::tickOwner(TrackedMove& entry, bool storeUp, OutboxCalls& calls)
{
    const model::Move& move = entry.move_;
    const rollout::MovePlan plan { move.name_, move.cap_, move.stepMs_, move.startMs_, move.deadlineMs_,
        detail::commandOf(move.state_) };
    const bool wasTripped = entry.controller_.tripped_;
    entry.ownerActions_ = rollout::tickMove(entry.controller_, wallNow().ms_, plan, entry.record_, storeUp);
    if (entry.controller_.tripped_ && !wasTripped) {
        logEvent(LogLevel::Warning, "move-tripped",
            { { "move", move.name_ }, { "by", entry.controller_.reason_ } });
        rollout::trip(entry.hostMove_);
        entry.tripBroadcast_ = true;
        calls.trips_.push_back({ move.name_, entry.controller_.reason_ });
    }
    if (entry.ownerActions_.proposal_)
        calls.proposals_.emplace_back(move.name_, *entry.ownerActions_.proposal_);
}

void Moves::tick(bool storeUp)
{
    OutboxCalls calls;
    {
        std::lock_guard lock(mutex_);
        const TimePoint now = monotonicNow();
        if (now < nextTick_)
            return;
        nextTick_ = now + detail::moveTickInterval;
        for (auto& [name, entry] : moves_) {
            tickHost(entry, calls);
            if (entry.owner_ == host_)
                tickOwner(entry, storeUp, calls);
        }
    }
    for (const peer::MoveTrip& trip : calls.trips_)
        outbox_.trip_(trip);
    for (const auto& [owner, report] : calls.reports_) {
        if (owner == host_)
            acceptShare(answer(report), monotonicNow());
        else
            outbox_.report_(owner, report);
    }
    for (const auto& [move, proposal] : calls.proposals_)
        outbox_.propose_(move, proposal);
}

} // namespace turmericwing::host

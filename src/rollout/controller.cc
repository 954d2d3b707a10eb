// Tests, steps and proposals of the owner of a move.
#include "turmericwing/rollout/controller.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::rollout {

namespace detail {

    uint64_t increase(uint64_t now, uint64_t before) { return now > before ? now - before : 0; }

    Comparison increase(const Comparison& now, const Comparison& before)
    {
        return { increase(now.new_, before.new_), increase(now.newFailed_, before.newFailed_),
            increase(now.old_, before.old_), increase(now.oldFailed_, before.oldFailed_) };
    }

    /// Divides the false alarm rate: one half is for the owner, one half for trips of single hosts. Each half
    /// is divided among the routes, with two tests each.
    TestOptions withSharedAlarmRate(TestOptions options, size_t routes, size_t testers)
    {
        options.tests_ = static_cast<uint32_t>(4 * std::max<size_t>(1, routes) * testers);
        return options;
    }

    /// Adds the period to the tests of a route. Returns the name of the test that found the new side bad, or
    /// an empty string.
    std::string runTests(RouteState& route, const ControllerOptions& options, size_t routes, size_t testers)
    {
        const TestOptions errors = withSharedAlarmRate(options.errors_, routes, testers);
        const TestOptions latency = withSharedAlarmRate(options.latency_, routes, testers);
        addPeriod(route.errors_, errors, route.period_.errors_);
        addPeriod(route.latency_, latency, route.period_.slow_);
        if (options.testErrors_ && isBad(route.errors_, errors))
            return "errors";
        if (options.testLatency_ && isBad(route.latency_, latency))
            return "latency";
        return {};
    }

    void endPeriod(RouteState& route)
    {
        const Comparison& errors = route.period_.errors_;
        const uint64_t succeeded = errors.old_ - std::min(errors.old_, errors.oldFailed_);
        if (succeeded > 0) {
            const double mean = route.period_.oldLatency_ / static_cast<double>(succeeded);
            // The average changes slowly, so that a slow version is still detected after a short disturbance.
            const double weight
                = route.meanLatency_ == 0 ? 1 : std::min(0.05, static_cast<double>(succeeded) / 1000);
            route.meanLatency_ += weight * (mean - route.meanLatency_);
        }
        route.step_ += errors;
        route.period_ = {};
    }

    /// Returns the share of the step after the one with `share`.
    double nextShare(const MovePlan& plan, const ControllerOptions& options, double share)
    {
        if (share <= 0)
            return std::min(plan.cap_, options.firstShare_);
        const double last = 1 - std::min(plan.cap_, options.controlShare_);
        return std::min(share + plan.cap_, last);
    }

    /// Returns the number of steps from `share` to the end, including the last one.
    int64_t stepsLeft(const MovePlan& plan, const ControllerOptions& options, double share)
    {
        int64_t steps = 1;
        const double last = 1 - std::min(plan.cap_, options.controlShare_);
        if (share <= 0) {
            ++steps;
            share = std::min(plan.cap_, options.firstShare_);
        }
        return steps + static_cast<int64_t>(std::ceil(std::max(0.0, last - share) / plan.cap_ - 1e-9));
    }

    /// Returns whether a test has some evidence against the new side; its share is not raised then.
    bool isDoubtful(const RouteState& route, const ControllerOptions& options)
    {
        const double limit = std::log(10.0);
        return (options.testErrors_ && logEvidence(route.errors_) > limit)
            || (options.testLatency_ && logEvidence(route.latency_) > limit);
    }

    /// Returns whether the step has shown the new side to be good. With `hurry` less evidence is required,
    /// because evidence from rare routes may take longer than the move.
    bool hasEvidence(const Controller& controller, bool hurry)
    {
        const ControllerOptions& options = controller.options_;
        if (!options.waitForEvidence_)
            return true;
        Comparison sum;
        for (const auto& [name, route] : controller.routes_) {
            const Comparison& step = route.step_;
            sum += step;
            if (isDoubtful(route, options))
                return false;
            const double expected = controller.record_.share_ * static_cast<double>(step.old_ + step.new_);
            const bool rare = hurry ? expected < 2 : step.old_ + step.new_ == 0;
            const double excess = hurry ? options.urgentRouteExcess_ : options.routeExcess_;
            if (!rare && !excludesExcess(step, options.errors_, excess))
                return false;
        }
        if (sum.new_ < options.minRequests_)
            return false;
        return hurry || excludesExcess(sum, options.errors_, options.excess_);
    }

    void tripMove(Controller& controller, const std::string& reason)
    {
        if (controller.tripped_)
            return;
        controller.tripped_ = true;
        controller.reason_ = reason;
    }

    /// Returns the next record; the current one if nothing is to change.
    MoveRecord nextRecord(const Controller& controller, int64_t nowMs, const MovePlan& plan)
    {
        const MoveRecord& record = controller.record_;
        const ControllerOptions& options = controller.options_;
        MoveRecord next = record;
        const auto rolledBack = [&](const std::string& reason) {
            return MoveRecord { record.step_ + 1, 0, Phase::RolledBack, reason };
        };
        if (controller.tripped_)
            return rolledBack(controller.reason_);
        if (plan.command_ == MoveCommand::RollBack)
            return rolledBack("operator");
        if (nowMs >= plan.deadlineMs_)
            return rolledBack("deadline passed");
        if (plan.command_ == MoveCommand::Hold || nowMs < plan.startMs_)
            return next;
        if (record.share_ > 0) {
            if (nowMs < controller.stepStartMs_ + plan.stepMs_)
                return next;
            // Waits for evidence as long as the deadline allows, with the time of one step in reserve.
            const int64_t needed
                = (stepsLeft(plan, options, record.share_) + 1) * (plan.stepMs_ + options.stepOverheadMs_);
            if (!hasEvidence(controller, nowMs + needed >= plan.deadlineMs_))
                return next;
        }
        ++next.step_;
        if (record.share_ >= 1 - std::min(plan.cap_, options.controlShare_) - 1e-9) {
            next.share_ = 1;
            next.phase_ = Phase::Done;
        } else {
            next.share_ = nextShare(plan, options, record.share_);
        }
        return next;
    }

} // namespace detail

std::optional<SlowLimits> slowLimits(const Controller& controller, const std::string& route)
{
    const auto found = controller.routes_.find(route);
    if (found == controller.routes_.end() || found->second.meanLatency_ <= 0)
        return std::nullopt;
    const double limit = controller.options_.slowFactor_ * found->second.meanLatency_ * 1e6;
    return SlowLimits { Duration(static_cast<int64_t>(limit)),
        Duration(static_cast<int64_t>(limit * controller.options_.slowTolerance_)) };
}

void addReport(Controller& controller, const HostStats& stats)
{
    if (stats.tripped_)
        detail::tripMove(controller, "tripped by " + stats.host_);
    const auto found = controller.hosts_.find(stats.host_);
    const bool known = found != controller.hosts_.end();
    if (known && stats.incarnation_ < found->second.incarnation_)
        return;
    const bool same = known && found->second.incarnation_ == stats.incarnation_;
    // The first report of a process contains counts from before this owner; only later increases are added.
    if (same) {
        for (const auto& [name, route] : stats.routes_) {
            const auto old = found->second.routes_.find(name);
            const RouteStats before = old == found->second.routes_.end() ? RouteStats {} : old->second;
            RouteStats& period = controller.routes_[name].period_;
            period.errors_ += detail::increase(route.errors_, before.errors_);
            period.slow_ += detail::increase(route.slow_, before.slow_);
            period.oldLatency_ += std::max(0.0, route.oldLatency_ - before.oldLatency_);
        }
        // A report that arrives after a later one must not be counted again.
        for (const auto& [name, route] : stats.routes_) {
            RouteStats& kept = controller.hosts_[stats.host_].routes_[name];
            if (route.errors_.old_ + route.errors_.new_ >= kept.errors_.old_ + kept.errors_.new_)
                kept = route;
        }
        return;
    }
    controller.hosts_[stats.host_] = stats;
}

void addTrip(Controller& controller, const std::string& reason) { detail::tripMove(controller, reason); }

MoveActions tickMove(
    Controller& controller, int64_t nowMs, const MovePlan& plan, const MoveRecord& record, bool storeUp)
{
    if (controller.record_.phase_ == Phase::Running && record != controller.record_) {
        controller.record_ = record;
        controller.stepStartMs_ = nowMs;
        for (auto& [name, route] : controller.routes_)
            route.step_ = {};
    }
    if (controller.stepStartMs_ == 0)
        controller.stepStartMs_ = nowMs;
    for (auto& [name, route] : controller.routes_) {
        std::string failed = detail::runTests(route, controller.options_, controller.routes_.size(), 1);
        if (!failed.empty() && controller.record_.phase_ == Phase::Running)
            detail::tripMove(controller, failed.append(" on route ").append(name));
        detail::endPeriod(route);
    }
    MoveActions actions;
    if (controller.record_.phase_ != Phase::Running) {
        actions.share_ = controller.record_.phase_ == Phase::Done ? 1 : 0;
        return actions;
    }
    actions.tripped_ = controller.tripped_;
    if (!controller.tripped_ && plan.command_ != MoveCommand::RollBack)
        actions.share_ = controller.record_.share_;
    // Without the store nothing can be written, so no final phase may be declared and no share raised.
    if (!storeUp)
        return actions;
    const MoveRecord next = detail::nextRecord(controller, nowMs, plan);
    if (next != controller.record_)
        actions.proposal_ = Proposal { controller.record_, next };
    return actions;
}

std::optional<MoveRecord> applyProposal(const MoveRecord& current, const Proposal& proposal)
{
    if (current.phase_ != Phase::Running)
        return std::nullopt;
    // A rollback also replaces a step that another owner has written meanwhile; a step does not.
    if (proposal.next_.phase_ == Phase::RolledBack) {
        MoveRecord next = proposal.next_;
        next.step_ = current.step_ + 1;
        return next;
    }
    if (current != proposal.expected_)
        return std::nullopt;
    return proposal.next_;
}

bool addLocalPeriod(LocalTrip& local, const ControllerOptions& options, uint32_t hosts,
    const std::map<std::string, RouteStats>& period)
{
    bool bad = false;
    for (const auto& [name, stats] : period) {
        RouteState& route = local.routes_[name];
        route.period_ = stats;
        const size_t routes = std::max(local.routes_.size(), period.size());
        bad = !detail::runTests(route, options, routes, std::max(1u, hosts)).empty() || bad;
    }
    return bad;
}

} // namespace turmericwing::rollout

// Tests the owner of a move, by simulation of ten hosts and by single steps.
#include "turmericwing/base/random.h"
#include "turmericwing/rollout/controller.h"

#include <doctest/doctest.h>

#include <cmath>
#include <functional>

using namespace turmericwing;
using namespace turmericwing::rollout;
using namespace std::chrono_literals;

namespace {

const std::string routeNames[3] = { "status", "order", "photo" };
const double routeParts[3] = { 0.7, 0.25, 0.05 };

/// Failure rate and latency factor of the new version, by route, time and share.
struct Behaviour {
    double failures_ = 0;
    double latency_ = 1;
};
using Version = std::function<Behaviour(int route, double seconds, double share)>;

struct RunResult {
    MoveRecord record_;
    double endedAt_ = 0; ///< Seconds.
    double badAt_ = -1; ///< Time of the first request to a bad version, in seconds; -1 if none.
    double shareOfNew_ = 0; ///< Fraction of all requests that went to the new version before the trip.
    double stepShare_ = 0; ///< Share in the record when the move tripped.
    uint64_t newAfterTrip_ = 0; ///< Requests to the new version 2 s or more after the trip.
    uint64_t finals_ = 0; ///< Number of final records written.
};

struct RunOptions {
    Version version_ = [](int, double, double) { return Behaviour {}; };
    ControllerOptions controller_ {};
    double perSecond_ = 200;
    double deadline_ = 900;
    bool noise_ = true; ///< In short episodes, both versions fail and are slow.
};

RunResult run(uint64_t seed, const RunOptions& options)
{
    Random random(seed);
    const MovePlan plan { .name_ = "m",
        .cap_ = 0.1,
        .stepMs_ = 20000,
        .startMs_ = 1000,
        .deadlineMs_ = static_cast<int64_t>(1000 * options.deadline_) };
    Controller controller { .options_ = options.controller_ };
    std::vector<HostMove> hosts(10);
    std::vector<LocalTrip> local(10);
    std::vector<HostStats> stats(10);
    std::vector<std::map<std::string, RouteStats>> periods(10);
    for (size_t i = 0; i < 10; ++i)
        stats[i].host_ = "h" + std::to_string(i);
    MoveRecord written;
    MoveRecord effective;
    int64_t effectiveAt = 0;
    RunResult result;
    uint64_t total = 0;
    uint64_t onNew = 0;
    int64_t trippedAt = -1;
    int64_t episodeEnds = 0;
    double owed = 0;
    int64_t endsAt = INT64_MAX;
    std::normal_distribution<double> normal;
    std::optional<SlowLimits> limits[3];
    for (int64_t ms = 1000; ms < std::min<int64_t>(endsAt, 1000000); ms += 100) {
        const TimePoint now { std::chrono::milliseconds(ms) };
        if (options.noise_ && uniform(random) < 0.001)
            episodeEnds = ms + 10000;
        const bool episode = ms < episodeEnds;
        for (int r = 0; r < 3; ++r)
            limits[r] = slowLimits(controller, routeNames[r]);
        for (owed += options.perSecond_ * 0.2 * uniform(random); owed >= 1; --owed) {
            const size_t h = random() % 10;
            const double drawn = uniform(random);
            const int r = drawn < routeParts[0] ? 0 : drawn < routeParts[0] + routeParts[1] ? 1 : 2;
            const bool isNew = routeToNewSide(hosts[h], now, routeNames[r]);
            const double since = static_cast<double>(ms) / 1000;
            const Behaviour behaviour = isNew ? options.version_(r, since, written.share_) : Behaviour {};
            if (result.badAt_ < 0 && (behaviour.failures_ > 0.1 || behaviour.latency_ > 2))
                result.badAt_ = since;
            const bool failed = uniform(random) < 0.005 + behaviour.failures_ + (episode ? 0.3 : 0);
            const double latency
                = 0.05 * std::exp(0.5 * normal(random)) * behaviour.latency_ * (episode ? 4 : 1);
            const auto& limit = limits[r];
            const bool slow = !failed && limit && latency > seconds(isNew ? limit->new_ : limit->old_);
            const Comparison error { isNew, isNew && failed, !isNew, !isNew && failed };
            const Comparison late { isNew, isNew && slow, !isNew, !isNew && slow };
            for (RouteStats* route : { &stats[h].routes_[routeNames[r]], &periods[h][routeNames[r]] }) {
                route->errors_ += error;
                route->slow_ += limit ? late : Comparison {};
                route->oldLatency_ += !isNew && !failed ? latency : 0;
            }
            ++total;
            onNew += isNew ? 1 : 0;
            if (isNew && trippedAt >= 0 && ms >= trippedAt + 2000)
                ++result.newAfterTrip_;
        }
        if (ms % 1000 == 0) {
            for (size_t h = 0; h < 10; ++h) {
                stats[h].tripped_
                    = stats[h].tripped_ || addLocalPeriod(local[h], controller.options_, 10, periods[h]);
                if (stats[h].tripped_)
                    trip(hosts[h]);
                periods[h].clear();
            }
        }
        if (ms % 500 != 0)
            continue;
        // Each report is lost, sent once or sent twice.
        for (const HostStats& report : stats) {
            for (uint64_t copies = random() % 3; copies > 0; --copies)
                addReport(controller, report);
        }
        if (ms >= effectiveAt)
            effective = written;
        const MoveActions actions = tickMove(controller, ms, plan, effective, true);
        for (HostMove& host : hosts) {
            setRecord(host, effective);
            setGrant(host, now, effective.step_, actions.share_);
            if (actions.tripped_)
                trip(host);
        }
        if (actions.tripped_ && trippedAt < 0) {
            trippedAt = ms;
            result.shareOfNew_ = static_cast<double>(onNew) / static_cast<double>(total);
            result.stepShare_ = written.share_;
            result.endedAt_ = static_cast<double>(ms) / 1000;
        }
        if (!actions.proposal_)
            continue;
        if (const auto next = applyProposal(written, *actions.proposal_)) {
            written = *next;
            effectiveAt = ms + 2500;
            if (next->phase_ == Phase::Running)
                continue;
            ++result.finals_;
            endsAt = ms + 10000;
            if (trippedAt < 0)
                result.endedAt_ = static_cast<double>(ms) / 1000;
        }
    }
    result.record_ = written;
    return result;
}

Version failing(double rate, int onlyRoute = -1, double from = 0, double fromShare = 0)
{
    return [=](int route, double since, double share) {
        const bool bad = (onlyRoute < 0 || route == onlyRoute) && since >= from && share >= fromShare;
        return Behaviour { bad ? rate : 0, 1 };
    };
}

RouteStats counts(uint64_t onNew, uint64_t newFailed, uint64_t old, uint64_t oldFailed)
{
    return { { onNew, newFailed, old, oldFailed }, {}, 0 };
}

const MovePlan shortPlan {
    .name_ = "m", .cap_ = 0.5, .stepMs_ = 1000, .startMs_ = 1000, .deadlineMs_ = 100000
};

} // namespace

TEST_CASE("bad versions are stopped within the first percent or the current step")
{
    // Guards against a bad version that gets many requests, and against requests to it after the trip.
    struct Case {
        std::string name_;
        Version version_;
        bool fromStart_;
    };
    const Case cases[] = { { "fails at once, all", failing(1), true },
        { "fails at once, 30%", failing(0.3), true }, { "one route of 5%, all", failing(1, 2), true },
        { "one route of 25%, half", failing(0.5, 1), true },
        { "slow by 3",
            [](int, double, double) {
                return Behaviour { 0, 3 };
            },
            true },
        { "30% after 200 s", failing(0.3, -1, 200), false },
        { "30% from share 0.3", failing(0.3, -1, 0, 0.3), false } };
    for (const Case& one : cases) {
        std::vector<double> times;
        double most = 0;
        for (uint64_t seed = 0; seed < 40; ++seed) {
            CAPTURE(one.name_);
            CAPTURE(seed);
            const RunResult result = run(seed, { .version_ = one.version_ });
            CHECK(result.record_.phase_ == Phase::RolledBack);
            CHECK(result.record_.reason_ != "deadline passed");
            CHECK(result.finals_ == 1);
            CHECK(result.newAfterTrip_ == 0);
            const double limit = one.fromStart_ ? 0.01 : result.stepShare_;
            CHECK(result.shareOfNew_ <= limit);
            most = std::max(most, result.shareOfNew_);
            times.push_back(result.endedAt_ - result.badAt_);
        }
        std::sort(times.begin(), times.end());
        MESSAGE(one.name_, ": share of requests before the trip at most ", 100 * most,
            "%, time to trip median ", times[20], " s, longest ", times.back(), " s");
    }
}

TEST_CASE("moves to good versions are done by the deadline")
{
    // Guards against false alarms, and against waiting for evidence until the deadline is missed.
    struct Case {
        std::string name_;
        RunOptions options_;
        int minDone_; ///< Minimum number of moves done, of 100; -1 if fewer than 99 must be done.
    };
    RunOptions cold;
    cold.version_ = [](int, double since, double) { return Behaviour { 0, since < 60 ? 1.5 : 1.0 }; };
    RunOptions quiet;
    quiet.perSecond_ = 30;
    RunOptions fixed;
    fixed.controller_.errors_.compare_ = false;
    const Case cases[] = { { "noise", {}, 99 }, { "cold caches", cold, 99 }, { "30 requests/s", quiet, 99 },
        { "without comparison", fixed, -1 } };
    for (const Case& one : cases) {
        int done = 0;
        double latest = 0;
        for (uint64_t seed = 0; seed < 100; ++seed) {
            const RunResult result = run(seed, one.options_);
            CHECK(result.finals_ == 1);
            if (result.record_.phase_ != Phase::Done || result.endedAt_ > 900)
                continue;
            ++done;
            latest = std::max(latest, result.endedAt_);
        }
        MESSAGE(one.name_, ": ", done, " of 100 done, latest after ", latest, " s of 900");
        CHECK((one.minDone_ >= 0 ? done >= one.minDone_ : done < 99));
    }
}

TEST_CASE("without its tests or without evidence the owner does not stop bad versions")
{
    // Guards against simulations that do not exercise the mechanisms.
    RunOptions errors { .version_ = failing(0.3) };
    errors.controller_.testErrors_ = false;
    CHECK(run(1, errors).shareOfNew_ == 0);
    RunOptions latency { .version_ = [](int, double, double) { return Behaviour { 0, 3 }; } };
    latency.controller_.testLatency_ = false;
    CHECK(run(1, latency).record_.phase_ == Phase::Done);
    RunOptions withoutWaiting { .version_ = failing(1, 2), .perSecond_ = 30 };
    int over = 0;
    for (const bool wait : { true, false }) {
        withoutWaiting.controller_.waitForEvidence_ = wait;
        over = 0;
        for (uint64_t seed = 0; seed < 40; ++seed)
            over += run(seed, withoutWaiting).shareOfNew_ > 0.01 ? 1 : 0;
        CHECK((over == 0) == wait);
    }
}

TEST_CASE("steps follow the cap, the step time, the operator and the deadline")
{
    // Guards against a raise of the share that is too large or too early, or that is made while the move is
    // held or after it has ended.
    Controller controller { .options_ = { .waitForEvidence_ = false } };
    MoveRecord record;
    CHECK_FALSE(tickMove(controller, 999, shortPlan, record, true).proposal_);
    std::vector<double> shares;
    int64_t now = 1000;
    while (record.phase_ == Phase::Running) {
        const auto actions = tickMove(controller, now, shortPlan, record, true);
        CHECK(actions.share_ == record.share_);
        now += 100;
        if (!actions.proposal_)
            continue;
        record = *applyProposal(record, *actions.proposal_);
        shares.push_back(record.share_);
    }
    CHECK(shares == std::vector<double> { 0.01, 0.51, 0.95, 1 });
    CHECK(now >= 1000 + 3 * 1000);
    CHECK(tickMove(controller, now, shortPlan, record, true).share_ == 1);

    Controller held { .options_ = { .waitForEvidence_ = false } };
    MovePlan plan = shortPlan;
    plan.command_ = MoveCommand::Hold;
    const MoveRecord half { 2, 0.51 };
    CHECK_FALSE(tickMove(held, 2000, plan, half, true).proposal_);
    CHECK_FALSE(tickMove(held, 9000, plan, half, true).proposal_);
    CHECK(tickMove(held, 9000, plan, half, true).share_ == 0.51);
    plan.command_ = MoveCommand::RollBack;
    const MoveActions back = tickMove(held, 9100, plan, half, true);
    CHECK(back.share_ == 0);
    CHECK(back.proposal_->next_ == MoveRecord { 3, 0, Phase::RolledBack, "operator" });
}

TEST_CASE("a deadline that passes while the store is down changes nothing")
{
    // Guards against a final phase that is declared but not written, and against a share that is raised
    // without the store.
    Controller controller { .options_ = { .waitForEvidence_ = false } };
    const MoveRecord half { 2, 0.51 };
    for (int64_t now = 1000; now < 200000; now += 500) {
        const MoveActions actions = tickMove(controller, now, shortPlan, half, false);
        CHECK(actions.share_ == 0.51);
        CHECK_FALSE(actions.proposal_);
    }
    const auto late = tickMove(controller, 200000, shortPlan, half, true).proposal_;
    REQUIRE(late);
    CHECK(late->next_ == MoveRecord { 3, 0, Phase::RolledBack, "deadline passed" });
    // A trip takes effect without the store.
    addTrip(controller, "errors");
    const MoveActions tripped = tickMove(controller, 200500, shortPlan, half, false);
    CHECK(tripped.tripped_);
    CHECK(tripped.share_ == 0);
}

TEST_CASE("a move is declared once and a trip is never undone")
{
    // Guards against two owners that declare different final phases, and against a tripped version that gets
    // traffic again.
    const MoveRecord last { 5, 0.95 };
    const Proposal done { last, { 6, 1, Phase::Done } };
    const Proposal back { { 4, 0.9 }, { 5, 0, Phase::RolledBack, "errors" } };
    const auto first = applyProposal(last, done);
    REQUIRE(first);
    CHECK_FALSE(applyProposal(*first, back));
    CHECK_FALSE(applyProposal(*first, done));
    CHECK(applyProposal(last, back)->step_ == 6);
    CHECK_FALSE(applyProposal({ 4, 0.9 }, done));
    // A new owner learns of a trip from the report of any host.
    Controller controller { .options_ = { .waitForEvidence_ = false } };
    addReport(controller, { .host_ = "h", .tripped_ = true });
    for (int64_t now = 1000; now < 50000; now += 500) {
        const MoveActions actions = tickMove(controller, now, shortPlan, last, true);
        CHECK(actions.share_ == 0);
        CHECK(actions.proposal_->next_.phase_ == Phase::RolledBack);
    }
}

TEST_CASE("reports that are repeated, late or from a new process are counted once")
{
    // Guards against evidence that grows with repeated messages.
    Controller controller;
    const auto report = [&](uint64_t incarnation, RouteStats stats) {
        addReport(controller, { .host_ = "h", .incarnation_ = incarnation, .routes_ = { { "r", stats } } });
    };
    report(1, counts(100, 50, 900, 0));
    report(1, counts(110, 51, 990, 0));
    report(1, counts(110, 51, 990, 0));
    report(1, counts(105, 50, 950, 0));
    report(1, counts(120, 51, 1080, 1));
    report(2, counts(10, 10, 10, 0));
    report(1, counts(200, 100, 2000, 1));
    const Comparison& period = controller.routes_.at("r").period_.errors_;
    CHECK(period.new_ == 20);
    CHECK(period.newFailed_ == 1);
    CHECK(period.old_ == 180);
    CHECK(period.oldFailed_ == 1);
}

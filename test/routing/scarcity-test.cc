// Tests of admission under scarcity. Guards against a load in which less urgent requests of other hosts take
// the room that more urgent ones need, which no queue on one host prevents.
#include "turmericwing/base/hash.h"
#include "turmericwing/routing/pick.h"
#include "turmericwing/routing/scarcity.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace turmericwing;
using namespace turmericwing::routing;

namespace {

const TimePoint start { std::chrono::seconds(100) };
const DemandClass urgent { { 0, 0 }, "urgent" };
const DemandClass other { { 0, 1 }, "other" };

void addDemand(Scarcity& scarcity, const DemandClass& key, int requests, int turnedAway, int workClass = 1)
{
    for (int i = 0; i < requests; ++i) {
        recordDemand(scarcity, key, workClass, start);
        if (i < turnedAway)
            recordTurnedAway(scarcity, key, start);
        else
            recordSent(scarcity, key, start);
    }
}

struct Job {
    size_t host_ = 0;
    size_t rank_ = 0;
    int arrived_ = 0;
};

struct Served {
    std::array<int, 2> asked_ {};
    std::array<int, 2> sent_ {};
    std::array<int, 2> onTime_ {};
    double served(size_t rank) const { return static_cast<double>(sent_[rank]) / asked_[rank]; }
    double onTime(size_t rank) const { return static_cast<double>(onTime_[rank]) / asked_[rank]; }
};

/// Ten hosts send 1.5 times what four upstreams can run, a fifth of it urgent with half of the objective.
/// Loads of peers are known 100 ms late. Without `reserve_`, all ranks share the same bounds, which is the
/// rule without scarcity.
struct Fleet {
    static constexpr size_t hosts = 10;
    static constexpr size_t upstreams = 4;
    static constexpr int workTicks = 20; ///< Of 10 ms.
    static constexpr std::array<int, 2> objectiveTicks { 30, 60 };
    bool givesWay_ = true;
    Random random_ { 7 };
    std::vector<std::vector<Target>> views_ { hosts };
    std::vector<Scarcity> scarcity_ { hosts };
    std::array<std::vector<Job>, upstreams> queues_ {}; ///< The first `slots_` run.
    std::array<std::vector<int>, upstreams> ends_ {};
    Served served_;

    Fleet()
    {
        for (auto& view : views_) {
            for (size_t i = 0; i < upstreams; ++i)
                view.push_back({ .id_ = "u" + std::to_string(i), .hash_ = i, .region_ = "a", .slots_ = 3 });
        }
    }

    void exchangeLoads()
    {
        for (size_t i = 0; i < upstreams; ++i) {
            for (auto& view : views_) {
                view[i].peerInFlight_ = static_cast<uint32_t>(queues_[i].size()) - view[i].inFlight_;
                renewAllowance(view[i], {}, hosts - 1, random_);
            }
        }
    }

    void endJobs(size_t index, int tick)
    {
        auto& queue = queues_[index];
        auto& ends = ends_[index];
        for (size_t i = 0; i < ends.size();) {
            if (ends[i] > tick) {
                ++i;
                continue;
            }
            const Job job = queue[i];
            served_.onTime_[job.rank_] += tick <= job.arrived_ + objectiveTicks[job.rank_] ? 1 : 0;
            recordEnded(views_[job.host_][index]);
            queue.erase(queue.begin() + static_cast<ptrdiff_t>(i));
            ends.erase(ends.begin() + static_cast<ptrdiff_t>(i));
        }
        while (ends.size() < std::min<size_t>(3, queue.size()))
            ends.push_back(tick + workTicks);
    }

    void send(size_t rank, int tick)
    {
        const size_t host = random_() % hosts;
        const DemandClass& key = rank == 0 ? urgent : other;
        const TimePoint now = start + std::chrono::milliseconds(10) * tick;
        recordDemand(scarcity_[host], key, 1, now);
        const bool idleOnly = givesWay_ && uniform(random_) < shedFraction(scarcity_[host], key);
        const PickRequest request { .region_ = "a",
            .object_ = hash64(std::to_string(random_() % 100)),
            .missSeconds_ = 0.2,
            .slotSeconds_ = 0.2,
            .idleOnly_ = idleOnly };
        const auto found = pickTarget(
            views_[host], {}, request, now, [](const Target&) { return Permission::Now; },
            [](const Target&) { return 0.001; });
        ++served_.asked_[rank];
        if (!found.pick_)
            return recordTurnedAway(scarcity_[host], key, now);
        ++served_.sent_[rank];
        recordSent(scarcity_[host], key, now);
        recordSent(views_[host][found.pick_->index_]);
        queues_[found.pick_->index_].push_back({ host, rank, tick });
    }

    Served run()
    {
        for (int tick = 0; tick < 3000; ++tick) {
            if (tick % 10 == 0)
                exchangeLoads();
            for (size_t i = 0; i < upstreams; ++i)
                endJobs(i, tick);
            if (uniform(random_) < 0.9)
                send(uniform(random_) < 0.2 ? 0 : 1, tick);
        }
        return served_;
    }
};

} // namespace

TEST_CASE("ranks that compete on different hosts: the less urgent requests give way")
{
    Fleet shared;
    shared.givesWay_ = false;
    const Served before = shared.run();
    const Served after = Fleet().run();
    MESSAGE("served, urgent: ", before.served(0), " without and ", after.served(0),
        " with shedding; others: ", before.served(1), " and ", after.served(1));
    MESSAGE("on time, urgent: ", before.onTime(0), " and ", after.onTime(0), "; others: ", before.onTime(1),
        " and ", after.onTime(1));
    CHECK(before.served(0) < before.served(1) + 0.05);
    CHECK(after.served(0) > after.served(1));
    CHECK(after.served(0) > before.served(0) + 0.15);
    CHECK(after.served(1) > 0.25);
    CHECK(after.sent_[0] + after.sent_[1] > 0.95 * (before.sent_[0] + before.sent_[1]));
}

TEST_CASE("without pressure, or without competing classes, nothing gives way")
{
    Scarcity calm;
    addDemand(calm, urgent, 50, 0);
    addDemand(calm, other, 50, 1);
    CHECK_FALSE(isScarce(calm));
    Scarcity single;
    addDemand(single, other, 100, 50);
    CHECK(shedFraction(single, other) == 0);
    CHECK_FALSE(isScarce(single));
    Scarcity few;
    addDemand(few, urgent, 1, 0);
    addDemand(few, other, 1, 1);
    CHECK(shedFraction(few, other) < 0.5);
}

TEST_CASE("the lowest priority gives way first, then the most work, and the most urgent never")
{
    Scarcity scarcity;
    const DemandClass costly { { 0, 1 }, "costly" };
    const DemandClass last { { 0, 2 }, "last" };
    addDemand(scarcity, urgent, 100, 10);
    addDemand(scarcity, other, 100, 10, workClass(0.1));
    addDemand(scarcity, costly, 100, 10, workClass(0.8));
    addDemand(scarcity, last, 20, 2, workClass(0.1));
    CHECK(shedFraction(scarcity, last) == scarcity.options_.maxShedFraction_);
    CHECK(shedFraction(scarcity, costly) > 0.05);
    CHECK(shedFraction(scarcity, costly) < 0.2);
    CHECK(shedFraction(scarcity, other) == 0);
    CHECK(shedFraction(scarcity, urgent) == 0);
}

TEST_CASE("a class that is served far less often than the service does not give way")
{
    Scarcity scarcity;
    addDemand(scarcity, urgent, 100, 20);
    addDemand(scarcity, other, 20, 15);
    CHECK(shedFraction(scarcity, other) == 0);
}

TEST_CASE("old pressure fades")
{
    Scarcity scarcity;
    addDemand(scarcity, urgent, 50, 10);
    addDemand(scarcity, other, 50, 10);
    REQUIRE(shedFraction(scarcity, other) > 0.3);
    for (int i = 0; i < 20; ++i)
        recordDemand(scarcity, i % 2 == 0 ? urgent : other, 1, start + std::chrono::seconds(15));
    CHECK_FALSE(isScarce(scarcity));
}

TEST_CASE("a request that gives way still uses an idle slot")
{
    const auto pick = [](uint32_t inFlight) {
        const std::vector<Target> targets {
            { .id_ = "u", .region_ = "a", .slots_ = 3, .inFlight_ = inFlight }
        };
        const PickRequest request { .region_ = "a", .object_ = 7, .idleOnly_ = true };
        return pickTarget(
            targets, {}, request, start, [](const Target&) { return Permission::Now; },
            [](const Target&) { return 0.001; });
    };
    CHECK(pick(2).pick_);
    CHECK(pick(3).failure_ == PickFailure::NoneAvailable);
}

// Tests of reported load. Guards against acting on reports that are stale, out of order, or told to all
// hosts.
#include "turmericwing/routing/reportedload.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/routing/pick.h"

#include <doctest/doctest.h>

#include <string>

using namespace turmericwing;
using namespace turmericwing::routing;

namespace {

const TimePoint start { std::chrono::seconds(100) };
const ReportedLoadOptions options {};

TimePoint after(int64_t ms) { return start + std::chrono::milliseconds(ms); }

} // namespace

TEST_CASE("the answer to the attempt that was sent last tells the load")
{
    // Answers arrive out of order: one that took long was sent before those that overtook it.
    ReportedLoad load;
    CHECK(applyReport(load, { 3, 0, 9, 250 }, after(100), after(300), 3));
    CHECK_FALSE(applyReport(load, { 3, 0, 9, 100 }, after(0), after(400), 3));
    CHECK(workFactor(load, options, after(300)) == doctest::Approx(2.5));
    CHECK(applyReport(load, { 3, 0, 9, 100 }, after(200), after(500), 3));
    CHECK(workFactor(load, options, after(500)) == doctest::Approx(1));
}

TEST_CASE("a report is forgotten within a second, also by a host that was suspended")
{
    ReportedLoad load;
    applyReport(load, { 9, 11, 9, 250 }, after(0), after(0), 5);
    CHECK(workFactor(load, options, after(0)) == doctest::Approx(2.5));
    CHECK(hiddenLoad(load, options, after(0)) == doctest::Approx(15));
    CHECK(workFactor(load, options, after(200)) == doctest::Approx(1.75));
    CHECK(workFactor(load, options, after(1500)) < 1.01);
    CHECK(hiddenLoad(load, options, after(3000)) < 0.1);
}

TEST_CASE("a report that says nothing of work changes nothing")
{
    ReportedLoad load;
    CHECK(workFactor(load, options, start) == 1);
    CHECK(hiddenLoad(load, options, start) == 0);
    applyReport(load, { 9, 11, 9 }, start, start, 0);
    CHECK(workFactor(load, options, start) == 1);
    CHECK(hiddenLoad(load, options, start) == 0);
}

TEST_CASE("an upstream that says it is slow now is not held to be slow")
{
    // Its neighbours on the machine change many times a second; the moving average lasts for seconds.
    CHECK(excludeReportedWork(0.5, 0.2, 2.5) == doctest::Approx(0.2));
    CHECK(excludeReportedWork(1, 0.2, 2.5) == doctest::Approx(0.4));
    CHECK(excludeReportedWork(0.15, 0.2, 2.5) == doctest::Approx(0.15));
    Target told { .id_ = "a", .slownessAt_ = start };
    Target silent = told;
    for (int i = 0; i < 20; ++i) {
        recordAnswer(told, {}, start, excludeReportedWork(0.5, 0.2, 2.5), 0.2, false);
        recordAnswer(silent, {}, start, 0.5, 0.2, false);
    }
    CHECK(told.slowness_ == doctest::Approx(1));
    CHECK(silent.slowness_ > 2);
}

namespace {

constexpr uint32_t herdSlots = 9;
constexpr size_t herdUpstreams = 60;
constexpr int serviceTicks = 26; ///< Of 10 ms.
constexpr int reportTicks = 10;
constexpr size_t queueLength = 27;

struct HerdJob {
    size_t host_ = 0;
    int end_ = 0; ///< Tick; 0 while it waits.
};

/// Stepped in virtual time: upstreams with slots and a queue, and what each host knows of them.
struct Herd {
    std::vector<std::vector<HerdJob>> upstreams_ { herdUpstreams };
    std::vector<std::vector<Target>> views_ {};
    Random random_ { 5 };
    int sent_ = 0;
    int rejected_ = 0;
    int waited_ = 0; ///< Requests that found no free slot.
};

Herd makeHerd(size_t hosts)
{
    Herd herd;
    std::vector<Target> view;
    for (size_t i = 0; i < herdUpstreams; ++i) {
        const std::string id = "u" + std::to_string(i);
        view.push_back({ .id_ = id, .hash_ = hash64(id), .slots_ = herdSlots, .slownessAt_ = start });
    }
    herd.views_.assign(hosts, view);
    return herd;
}

void endHerdJobs(Herd& herd, size_t index, int tick)
{
    auto& jobs = herd.upstreams_[index];
    std::erase_if(jobs, [&](const HerdJob& job) {
        if (job.end_ == 0 || tick < job.end_)
            return false;
        recordEnded(herd.views_[job.host_][index]);
        return true;
    });
    for (size_t i = 0; i < jobs.size() && i < herdSlots; ++i) {
        if (jobs[i].end_ == 0)
            jobs[i].end_ = tick + serviceTicks;
    }
}

void exchangeHerdLoads(Herd& herd)
{
    for (size_t i = 0; i < herdUpstreams; ++i) {
        uint32_t sum = 0;
        uint32_t users = 0;
        for (const auto& view : herd.views_) {
            sum += view[i].inFlight_;
            users += view[i].inFlight_ > 0 ? 1 : 0;
        }
        for (auto& view : herd.views_) {
            view[i].peerInFlight_ = sum - view[i].inFlight_;
            renewAllowance(view[i], {}, users - (view[i].inFlight_ > 0 ? 1 : 0), herd.random_);
        }
    }
}

void sendHerdRequest(Herd& herd, int tick, bool spread)
{
    const size_t host = herd.random_() % herd.views_.size();
    auto& view = herd.views_[host];
    const PickRequest request {
        .missSeconds_ = 0.26, .slotSeconds_ = 0.26, .random_ = spread ? &herd.random_ : nullptr
    };
    const auto result = pickTarget(
        view, {}, request, after(10 * tick), [](const Target&) { return Permission::Now; },
        [](const Target&) { return 0.001; });
    ++herd.sent_;
    if (!result.pick_)
        return;
    auto& jobs = herd.upstreams_[result.pick_->index_];
    if (jobs.size() >= herdSlots + queueLength) {
        ++herd.rejected_;
        return recordRejection(view[result.pick_->index_], {}, after(10 * tick));
    }
    herd.waited_ += jobs.size() >= herdSlots ? 1 : 0;
    jobs.push_back({ host, jobs.size() < herdSlots ? tick + serviceTicks : 0 });
    recordSent(view[result.pick_->index_]);
}

/// Runs 10 s in which the upstreams are used to 60%.
Herd runHerd(size_t hosts, bool spread)
{
    constexpr int requestsPerTick = static_cast<int>(0.6 * herdSlots * herdUpstreams / serviceTicks);
    Herd herd = makeHerd(hosts);
    for (int tick = 1; tick <= 1000; ++tick) {
        if (tick % reportTicks == 0)
            exchangeHerdLoads(herd);
        for (size_t i = 0; i < herdUpstreams; ++i)
            endHerdJobs(herd, i, tick);
        for (int i = 0; i < requestsPerTick; ++i)
            sendHerdRequest(herd, tick, spread);
    }
    return herd;
}

} // namespace

TEST_CASE("hosts that know the same loads do not all choose the same upstream")
{
    // Guards against a herd: the loads of peers are a tenth of a second old and the same on all hosts, so the
    // least loaded upstreams fill with the requests of all of them while most have free slots.
    for (const size_t hosts : { 11, 94, 810 }) {
        const Herd spread = runHerd(hosts, true);
        const Herd lowest = runHerd(hosts, false);
        MESSAGE(hosts, " hosts, waited for a slot: spread ", spread.waited_, ", lowest ", lowest.waited_,
            "; rejected ", spread.rejected_, ", ", lowest.rejected_, " of ", spread.sent_);
        CHECK(spread.rejected_ == 0);
        CHECK(spread.waited_ * 2 < lowest.waited_);
    }
}

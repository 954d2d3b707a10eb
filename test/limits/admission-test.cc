// Tests admission control with a simulated service.
#include "turmericwing/limits/admission.h"

#include "turmericwing/base/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

using namespace turmericwing;
using namespace turmericwing::limits;

namespace {

using std::chrono::milliseconds;

TimePoint at(int64_t us) { return TimePoint(std::chrono::hours(1) + Duration(us)); }

struct Totals {
    double refused_ = 0; ///< Fraction of all requests.
    double p99Ms_ = 0; ///< 99th percentile of the wait of started requests.
};

// Simulates Poisson arrivals of eight workspaces of equal weight; "w0" sends `factor` times its share. The
// service runs 16 requests of 20 ms on average in parallel, and "w1" to "w7" use 70% of it. Returns the
// totals of "w1" to "w7" and stores those of "w0" in `large`.
Totals simulate(double factor, AdmissionOptions options, Totals* large = nullptr)
{
    Random random(7);
    Admission admission;
    constexpr size_t concurrency = 16;
    const double share = 0.8 * concurrency / 0.02 / 8;
    std::multiset<std::pair<int64_t, int64_t>> running; // End and service time.
    std::map<uint64_t, std::pair<int, int64_t>> queued;
    std::vector<int64_t> waits[2];
    uint64_t count[2] = { 0, 0 };
    uint64_t refused[2] = { 0, 0 };
    double next[8];
    for (double& n : next)
        n = 0;
    const auto begin = [&](int w, int64_t arrived, int64_t now) {
        waits[w != 0].push_back(now - arrived);
        const int64_t service = 10'000 + static_cast<int64_t>(random() % 20'000);
        running.emplace(now + service, service);
    };
    const auto apply = [&](const AdmissionChanges& changes, int64_t now) {
        for (const uint64_t id : changes.start_)
            begin(queued.at(id).first, queued.at(id).second, now);
        for (const uint64_t id : changes.refuse_)
            ++refused[queued.at(id).first != 0];
    };
    uint64_t id = 0;
    while (true) {
        const auto w = static_cast<int>(std::min_element(next, next + 8) - next);
        const auto now = static_cast<int64_t>(next[w]);
        if (now > 30'000'000)
            break;
        while (!running.empty() && running.begin()->first <= now) {
            const auto [end, service] = *running.begin();
            running.erase(running.begin());
            apply(finishAdmitted(admission, Duration(service), concurrency, at(end), options), end);
        }
        apply(pollAdmission(admission, concurrency, at(now), options), now);
        next[w] += -std::log(1 - uniform(random)) * 1e6 / (share * (w == 0 ? factor : 1));
        ++count[w != 0];
        queued[++id] = { w, now };
        switch (admit(admission, { id, "w" + std::to_string(w), 1, at(now + 200'000) }, concurrency, at(now),
            options)) {
        case AdmissionDecision::Start:
            begin(w, now, now);
            break;
        case AdmissionDecision::Refused:
            ++refused[w != 0];
            break;
        case AdmissionDecision::Queued:
            break;
        }
        REQUIRE(admission.running_ <= concurrency);
        REQUIRE(admission.running_ == running.size());
    }
    Totals totals[2];
    for (const int i : { 0, 1 }) {
        std::sort(waits[i].begin(), waits[i].end());
        totals[i] = { static_cast<double>(refused[i]) / static_cast<double>(count[i]),
            static_cast<double>(waits[i][waits[i].size() * 99 / 100]) / 1000 };
    }
    if (large)
        *large = totals[0];
    std::printf("admission factor=%g fair=%d early=%d: others refused %.4f%% p99 wait %.1f ms, large %.1f%% "
                "%.1f ms\n",
        factor, options.fair_, options.refuseEarly_, totals[1].refused_ * 100, totals[1].p99Ms_,
        totals[0].refused_ * 100, totals[0].p99Ms_);
    return totals[1];
}

} // namespace

TEST_CASE("a workspace at ten times its share does not delay others")
{
    // Guards against a workspace whose backlog delays the requests of others or has them refused.
    const Totals baseline = simulate(1, {});
    const Totals overloaded = simulate(10, {});
    CHECK(overloaded.refused_ <= baseline.refused_ + 0.001);
    // A request in service may have to end first: at most the longest service time, 30 ms, over 16 slots.
    CHECK(overloaded.p99Ms_ <= baseline.p99Ms_ + 30.0 / 16 * 2);
    const Totals unfair = simulate(10, { .fair_ = false });
    CHECK(unfair.refused_ > 0.05);
    CHECK(simulate(10, { .credit_ = 0 }).p99Ms_ > baseline.p99Ms_ + 30.0 / 16 * 2);
}

TEST_CASE("requests that cannot start in time are refused at once")
{
    // Guards against queueing requests that are certain to miss their deadline.
    Admission admission;
    const AdmissionOptions options { .initialService_ = milliseconds(100) };
    CHECK(admit(admission, { 1, "a", 1, at(1000) }, 1, at(0), options) == AdmissionDecision::Start);
    CHECK(admit(admission, { 2, "a", 1, at(99'000) }, 1, at(0), options) == AdmissionDecision::Refused);
    CHECK(admit(admission, { 3, "a", 1, at(150'000) }, 1, at(0), options) == AdmissionDecision::Queued);
    CHECK(admit(admission, { 4, "a", 1, at(150'000) }, 1, at(0), options) == AdmissionDecision::Refused);
    CHECK(admit(admission, { 5, "b", 1, at(0) }, 1, at(0), options) == AdmissionDecision::Refused);
    CHECK(admit(admission, { 6, "b", 1, at(300'000) }, 1, at(0), options) == AdmissionDecision::Queued);
    CHECK(cancelQueued(admission, 6));
    CHECK_FALSE(cancelQueued(admission, 6));
    CHECK(pollAdmission(admission, 1, at(150'000), options).refuse_ == std::vector<uint64_t> { 3 });
    CHECK(finishAdmitted(admission, milliseconds(160), 1, at(160'000), options).start_.empty());
    CHECK(admission.queued_ == 0);
    // Without early refusal, a request that will miss its deadline is queued.
    Admission withoutEarlyRefusal;
    const AdmissionOptions off { .initialService_ = milliseconds(100), .refuseEarly_ = false };
    CHECK(admit(withoutEarlyRefusal, { 1, "a", 1, at(1000) }, 1, at(0), off) == AdmissionDecision::Start);
    CHECK(admit(withoutEarlyRefusal, { 2, "a", 1, at(99'000) }, 1, at(0), off) == AdmissionDecision::Queued);
}

TEST_CASE("queued workspaces are served in proportion to their weights and none starves")
{
    // Guards against starvation of a workspace of low weight, and against weights that have no effect.
    CHECK(rc::check([] {
        Admission admission;
        const AdmissionOptions options { .refuseEarly_ = false };
        const int heavy = *rc::gen::inRange(1, 9);
        uint64_t id = 0;
        RC_ASSERT(admit(admission, { ++id, "x", 1, at(1) }, 1, at(0), options) == AdmissionDecision::Start);
        for (int i = 0; i < 200; ++i) {
            admit(admission, { ++id, "heavy", static_cast<double>(heavy), at(1'000'000) }, 1, at(0), options);
            admit(admission, { ++id, "light", 1, at(1'000'000) }, 1, at(0), options);
        }
        int light = 0;
        // Both workspaces use up their credit within the first 16 requests.
        for (int i = -30; i < 100; ++i) {
            const auto started = finishAdmitted(admission, milliseconds(1), 1, at(i + 30), options).start_;
            RC_ASSERT(started.size() == 1u);
            light += i >= 0 && started[0] % 2 == 1;
        }
        RC_ASSERT(std::abs(light - 100.0 / (heavy + 1)) <= 2);
    }));
}

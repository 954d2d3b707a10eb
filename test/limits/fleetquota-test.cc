// Simulates hosts that report their admissions to each other with a delay. Guards against hosts that together
// admit more than a workspace's rate and burst, and against refusals within them.
#include "turmericwing/limits/fleetquota.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace turmericwing;
using namespace turmericwing::limits;

namespace {

constexpr double windowSeconds = 5; ///< Window of the bound that users rely on.
constexpr double stepSeconds = 0.02;

struct Fleet {
    size_t hosts_ = 10;
    /// Number of hosts, from the first, that hear only each other and are not heard by the rest.
    size_t partitioned_ = 0;
    double reportEvery_ = 0.1; ///< Seconds between two reports.
    double delay_ = 0.06; ///< Seconds from a report to its receipt.
};

struct Counts {
    double arrived_ = 0;
    double admitted_ = 0;
    double worstWindow_ = 0; ///< Largest number of admissions in one window.
};

/// Simulates a workspace with callers at all hosts for `length` seconds. `demand` gives its requests/s by
/// time.
template <typename DemandAt>
Counts simulate(const Fleet& fleet, BucketLimits limits, double length, const DemandAt& demand)
{
    const TimePoint start { std::chrono::seconds(100) };
    Random random(11);
    std::vector<FleetQuota> quotas(fleet.hosts_);
    struct Report {
        double at_;
        std::vector<double> demand_;
        std::vector<uint32_t> admitted_;
    };
    std::deque<Report> reports;
    std::vector<uint32_t> seen(fleet.hosts_, 0);
    std::vector<double> seenDemand(fleet.hosts_, 0);
    Counts counts;
    std::deque<std::pair<double, double>> window;
    double windowSum = 0;
    double nextReport = 0;
    for (double at = 0; at < length; at += stepSeconds) {
        if (at >= nextReport) {
            nextReport = at + fleet.reportEvery_;
            Report report { at + fleet.delay_, {}, {} };
            for (const FleetQuota& quota : quotas) {
                report.demand_.push_back(quota.demand_);
                report.admitted_.push_back(quota.admitted_);
            }
            reports.push_back(report);
        }
        std::vector<uint32_t> newlyAdmitted(fleet.hosts_, 0);
        while (!reports.empty() && reports.front().at_ <= at) {
            for (size_t i = 0; i < fleet.hosts_; ++i) {
                newlyAdmitted[i] += reports.front().admitted_[i] - seen[i];
                seen[i] = reports.front().admitted_[i];
                seenDemand[i] = reports.front().demand_[i];
            }
            reports.pop_front();
        }
        double admittedNow = 0;
        for (size_t i = 0; i < fleet.hosts_; ++i) {
            double peerDemand = 0;
            uint32_t peersAdmitted = 0;
            size_t heard = 1;
            for (size_t j = 0; j < fleet.hosts_; ++j) {
                if (j == i || (i < fleet.partitioned_) != (j < fleet.partitioned_))
                    continue;
                peerDemand += seenDemand[j];
                peersAdmitted += newlyAdmitted[j];
                ++heard;
            }
            const auto now = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
            updateQuota(quotas[i], {}, now, limits,
                static_cast<double>(heard) / static_cast<double>(fleet.hosts_), peerDemand, peersAdmitted);
            std::poisson_distribution<int> arrivals(
                demand(at) * stepSeconds / static_cast<double>(fleet.hosts_));
            for (int n = arrivals(random); n > 0; --n) {
                counts.arrived_ += 1;
                admittedNow += admit(quotas[i], {}, random) ? 1 : 0;
            }
        }
        counts.admitted_ += admittedNow;
        windowSum += admittedNow;
        window.emplace_back(at, admittedNow);
        while (window.front().first <= at - windowSeconds) {
            windowSum -= window.front().second;
            window.pop_front();
        }
        counts.worstWindow_ = std::max(counts.worstWindow_, windowSum);
    }
    return counts;
}

/// The number of admissions in a window that users accept.
double bound(BucketLimits limits) { return (limits.rate_ * windowSeconds + limits.burst_) * 1.1 + 20; }

} // namespace

TEST_CASE("a workspace whose demand jumps far above its usual rate stays within its bound")
{
    // The usual demand is the rate / 1.6; it jumps at once to 7.5 times that.
    for (const double rate : { 20.0, 50.0, 325.0 }) {
        for (const Fleet& fleet :
            { Fleet { 10 }, Fleet { 11 }, Fleet { 76, 0, 0.4 }, Fleet { 85, 0, 0.45 } }) {
            const BucketLimits limits { rate, rate };
            const auto counts = simulate(
                fleet, limits, 20, [&](double at) { return at > 6 && at < 13 ? rate * 4.7 : rate / 1.6; });
            CHECK(counts.worstWindow_ <= bound(limits));
            CHECK(counts.admitted_ >= 0.9 * (rate * 7 + rate / 1.6 * 13));
        }
    }
}

TEST_CASE("hosts stay within the bound while a third of them is partitioned from the rest")
{
    for (const size_t hosts : { 11, 76, 85 }) {
        const BucketLimits limits { 100, 100 };
        const Fleet fleet { hosts, hosts / 3, static_cast<double>(hosts) / 200 };
        const auto counts = simulate(fleet, limits, 20, [](double at) { return at > 6 ? 470.0 : 62.0; });
        CHECK(counts.worstWindow_ <= bound(limits));
    }
}

TEST_CASE("requests within the rate are admitted, also when few come in at each of many hosts")
{
    // Callers of a small workspace send to every host. If the rate were divided among the hosts, each part
    // would hold less than one request.
    for (const size_t hosts : { 10, 85 }) {
        const auto counts
            = simulate({ hosts }, { 20, 20 }, 60, [](double at) { return at < 30 ? 12.0 : 18.0; });
        CHECK(counts.admitted_ >= 0.995 * counts.arrived_);
    }
}

TEST_CASE("an admission whose request no upstream ran is put back")
{
    Random random(1);
    FleetQuota quota;
    updateQuota(quota, {}, TimePoint(std::chrono::seconds(1)), { 10, 10 }, 1, 0, 0);
    REQUIRE(admit(quota, {}, random));
    cancelAdmission(quota);
    CHECK(quota.level_ == 0);
    CHECK(quota.admitted_ == 0);
}

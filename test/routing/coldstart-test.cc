// Tests of cold start limits. Guards against hosts that together exceed the rate of a cold upstream.
#include "turmericwing/routing/coldstart.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmericwing;
using namespace turmericwing::routing;

namespace {

std::vector<std::string> hostNames(size_t count)
{
    std::vector<std::string> names;
    for (size_t i = 0; i < count; ++i)
        names.push_back("host-" + std::to_string(i));
    return names;
}

/// Highest number of requests from all hosts in any second, when each host sends at its limit.
double worstSecond(const ColdStartOptions& options, size_t hostCount, double rate)
{
    const TimePoint start { std::chrono::seconds(100) };
    const auto names = hostNames(hostCount);
    std::vector<limits::Bucket> buckets;
    for (const std::string& name : names) {
        if (ownsColdStart(options, "upstream-1", name, names))
            buckets.push_back(makeColdStartBucket(options, rate, start));
    }
    std::vector<TimePoint> sent;
    for (TimePoint now = start; now < start + std::chrono::seconds(5); now += std::chrono::milliseconds(5)) {
        for (auto& bucket : buckets) {
            while (limits::takeTokens(bucket, 1, now))
                sent.push_back(now);
        }
    }
    size_t most = 0;
    for (size_t i = 0, first = 0; i < sent.size(); ++i) {
        while (sent[first] <= sent[i] - std::chrono::seconds(1))
            ++first;
        most = std::max(most, i - first + 1);
    }
    return static_cast<double>(most);
}

} // namespace

TEST_CASE("all hosts together stay below the rate of a cold upstream")
{
    // The bound required by the users is rate x 1.5 + slack; checked for the lowest rates and largest fleets
    // of their sites.
    for (const size_t hosts : { 1, 10, 11, 76, 85 }) {
        CHECK(worstSecond({}, hosts, 4.6) <= 4.6 * 1.5 + 5);
        CHECK(worstSecond({}, hosts, 14) <= 14 * 1.5 + 5);
    }
}

TEST_CASE("a cold upstream has owners in a fleet of any size")
{
    for (const size_t hosts : { 1, 2, 3, 11 }) {
        const auto names = hostNames(hosts);
        const auto owners = std::count_if(names.begin(), names.end(),
            [&](const std::string& name) { return ownsColdStart({}, "upstream-1", name, names); });
        CHECK(owners == static_cast<long>(std::min<size_t>(2, hosts)));
    }
}

// bench-steering: measures steering at the planned size: 140,000 client blocks, 90 sites, 810 hosts.
#include "turmericwing/base/random.h"
#include "turmericwing/steering/lookup.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>

using namespace turmericwing;
using namespace turmericwing::steering;

namespace {

std::string numbered(const char* prefix, size_t i) { return prefix + std::to_string(1000 + i); }

model::ObjectSet makePlannedSet(Random& random)
{
    model::ObjectSet set;
    for (size_t i = 0; i < 9; ++i)
        set.regions_.push_back({ numbered("r", i) });
    for (size_t i = 0; i < 23; ++i)
        set.failureDomains_.push_back({ numbered("d", i), numbered("r", i % 9) });
    for (size_t i = 0; i < 90; ++i)
        set.sites_.push_back({ numbered("s", i), numbered("d", i % 23), 1 + static_cast<uint32_t>(i % 3) });
    set.services_ = { { "photos", "v1" } };
    for (size_t i = 0; i < 8; ++i)
        set.workspaces_.push_back({ numbered("w", i), numbered("r", i), 100, 100, 1 });
    for (uint32_t i = 0; i < 140000; ++i)
        set.clientBlocks_.push_back({ i << 14, 18, static_cast<uint16_t>(random() % 9) });
    return set;
}

/// Resident memory in MB; 0 if /proc/self/statm cannot be read.
double residentMb()
{
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * 4096 / 1e6;
}

double secondsSince(TimePoint start) { return seconds(monotonicNow() - start); }

} // namespace

int main()
{
    Random random(1);
    const model::ObjectSet set = makePlannedSet(random);
    control::Head head;
    for (size_t i = 0; i < 810; ++i)
        head.members_.push_back({ numbered("h", i), 1, numbered("r", i % 23 % 9), numbered("d", i % 23),
            "10.0.0.1:80", "10.0.0.1:81", control::MemberState::Live });
    const double before = residentMb();

    TimePoint start = monotonicNow();
    SteeringState state = startSteering(set, {});
    std::printf("assign, all sites up: %.1f ms\n", secondsSince(start) * 1e3);
    std::vector<bool> siteUp(set.sites_.size(), true);
    siteUp[17] = false;
    start = monotonicNow();
    const auto target = assignBlocks(set, {}, siteUp);
    size_t moved = 0;
    for (size_t i = 0; i < target.size(); ++i)
        moved += target[i] != state.target_[i] ? 1 : 0;
    std::printf("assign, one site down: %.1f ms, %zu blocks moved\n", secondsSince(start) * 1e3, moved);

    start = monotonicNow();
    LookupTable table = buildLookupTable(set, head, {}, state.current_, {});
    std::printf("build lookup table: %.1f ms\n", secondsSince(start) * 1e3);
    start = monotonicNow();
    refreshHosts(table, set, head, { "h1003" });
    std::printf("refresh hosts: %.1f ms\n", secondsSince(start) * 1e3);
    std::printf("memory of steering: %.1f MB\n", residentMb() - before);

    constexpr size_t lookups = 1000000;
    size_t hostCount = 0;
    start = monotonicNow();
    for (size_t i = 0; i < lookups; ++i)
        hostCount += lookup(table, "photos", set.workspaces_[i % 8].name_, static_cast<uint32_t>(random()), i)
                         .value()
                         .hosts_.size();
    std::printf("lookups: %.0f per second on one core, %.1f hosts each\n",
        static_cast<double>(lookups) / secondsSince(start), static_cast<double>(hostCount) / lookups);
    return 0;
}

// model-bench: parses and checks an object set of the planned size (section 1.4 of the design page). Exits
// with 1 if a target is missed. Targets: 1 s and 64 MB for 140,000 client blocks.
#include "turmericwing/model/parse.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace turmericwing;

namespace {

std::string makePlannedText(int blocks)
{
    constexpr int regions = 9;
    constexpr int domains = 23;
    constexpr int sites = 90;
    std::string text = "[service s]\nversion = s-v1\ntypical-ms = 20\n[version s-v1]\nservice = s\n";
    const auto number = [](int value) { return std::to_string(value); };
    for (int i = 0; i < regions; ++i)
        text += "[region r" + number(i) + "]\n";
    for (int i = 0; i < domains; ++i)
        text += "[failure-domain d" + number(i) + "]\nregion = r" + number(i % regions) + "\n";
    for (int i = 0; i < sites; ++i)
        text += "[site s" + number(i) + "]\nfailure-domain = d" + number(i % domains) + "\n";
    for (int i = 0; i < domains; ++i)
        text += "[upstream u" + number(i) + "]\nservice = s\nversion = s-v1\nfailure-domain = d" + number(i)
            + "\naddress = 127.0.0.1:" + number(9000 + i) + "\nslots = 9\nconnections = 400\n";
    for (int region = 0; region < regions; ++region) {
        text += "[client-blocks b" + number(region) + "]\nregion = r" + number(region) + "\n";
        for (int i = region; i < blocks; i += regions)
            text += "block = " + number(1 + (i >> 16)) + "." + number((i >> 8) & 255) + "." + number(i & 255)
                + ".0/24\n";
    }
    return text;
}

} // namespace

int main()
{
    constexpr int blocks = 140'000;
    constexpr int runs = 11;
    const std::vector<model::Source> sources { { "planned.ini", makePlannedText(blocks) } };
    std::vector<double> times;
    for (int run = 0; run < runs; ++run) {
        const auto start = std::chrono::steady_clock::now();
        const auto parsed = model::parseSet(sources);
        times.push_back(std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
        if (!parsed.faults_.empty() || parsed.set_.clientBlocks_.size() != blocks) {
            std::fprintf(stderr, "unexpected result: %zu faults\n", parsed.faults_.size());
            return 1;
        }
    }
    std::sort(times.begin(), times.end());
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const double megabytes = static_cast<double>(usage.ru_maxrss) / 1024;
    std::printf("%d client blocks, %zu bytes: median %.3f s, worst %.3f s of %d; peak memory of the process "
                "%.1f MB\n",
        blocks, sources.front().text_.size(), times[runs / 2], times.back(), runs, megabytes);
    return times.back() <= 1 && megabytes <= 64 ? 0 : 1;
}

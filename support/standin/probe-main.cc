// probe: polls one route on each host and checks when a change took effect on every host and that it
// persisted.
#include "loadgen.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(hosts, "", "caller addresses, separated by commas");
DEFINE_string(target, "", "path of the request, with the service");
DEFINE_string(key, "", "API key of the request; empty on open routes");
DEFINE_string(until, "", "the change has taken effect while rejections have this reason");
DEFINE_string(until_not, "", "the change has taken effect while rejections have another reason or none");
DEFINE_uint32(bound_ms, 3000, "the change must have taken effect after this time");
DEFINE_uint32(duration_ms, 6000, "length of the run, above the bound, at most 60,000");
DEFINE_uint32(interval_ms, 100, "time between requests to the same host");

namespace turmericwing::standin {

namespace {

    struct HostResult {
        std::string address_;
        uint64_t changedResponses_ = 0; ///< Number of responses with the change in effect.
        /// When the last request without the change was sent, after the start; -1 if none.
        double lastUnchangedMs_ = -1;
        std::string lastReason_;
    };

    /// A host that cannot confirm that its configuration is current rejects requests, which neither proves
    /// nor disproves the change.
    bool isInconclusive(const std::string& reason)
    {
        return reason == "stale-configuration" || reason == "not-ready" || reason == "draining";
    }

    void pollHost(HostResult& result, TimePoint start)
    {
        const TimePoint end = start + std::chrono::milliseconds(std::min(FLAGS_duration_ms, 60'000U));
        httplib::Client client("http://" + result.address_);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.set_read_timeout(std::chrono::seconds(2));
        httplib::Request request;
        request.method = "GET";
        request.path = FLAGS_target;
        if (!FLAGS_key.empty())
            request.headers.emplace("Authorization", "Bearer " + FLAGS_key);
        for (TimePoint sent = monotonicNow(); sent < end; sent = monotonicNow()) {
            result.lastReason_ = exchange(client, request).reason_;
            const bool inForce = FLAGS_until.empty() ? result.lastReason_ != FLAGS_until_not
                                                     : result.lastReason_ == FLAGS_until;
            if (!isInconclusive(result.lastReason_)) {
                if (inForce)
                    ++result.changedResponses_;
                else
                    result.lastUnchangedMs_
                        = 1e3 * seconds(std::chrono::duration_cast<Duration>(sent - start));
            }
            std::this_thread::sleep_until(sent + std::chrono::milliseconds(FLAGS_interval_ms));
        }
    }

    int runProbe()
    {
        const TimePoint start = monotonicNow();
        std::vector<HostResult> results;
        std::istringstream list(FLAGS_hosts);
        for (std::string address; std::getline(list, address, ',');)
            results.push_back({ .address_ = address });
        std::vector<std::thread> threads;
        threads.reserve(results.size());
        for (HostResult& result : results)
            threads.emplace_back([&result, start] { pollHost(result, start); });
        for (auto& thread : threads)
            thread.join();
        bool passed = !results.empty();
        for (const HostResult& result : results) {
            const bool inForce = result.changedResponses_ > 0 && result.lastUnchangedMs_ <= FLAGS_bound_ms;
            passed = passed && inForce;
            std::printf("%s %s: last old response %.0f ms, %lu under the change, last reason '%s'\n",
                inForce ? "ok" : "FAILED", result.address_.c_str(), result.lastUnchangedMs_,
                result.changedResponses_, result.lastReason_.c_str());
        }
        return passed ? 0 : 1;
    }

} // namespace

} // namespace turmericwing::standin

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("probe --hosts A,B --target /service/path (--until REASON | --until_not REASON)\n"
                            "Exit codes: 0 in force within the bound on every host, 1 not, 2 wrong usage.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_hosts.empty() || FLAGS_target.empty() || FLAGS_until.empty() == FLAGS_until_not.empty()
        || FLAGS_duration_ms <= FLAGS_bound_ms) {
        std::cerr << "probe: wrong usage (see --help)\n";
        return 2;
    }
    return turmericwing::standin::runProbe();
}

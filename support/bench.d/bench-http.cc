// bench-http: load over HTTP on loopback for support/bench. Each mode prints one line of figures.
//   overhead  requests at a fixed rate, alternating every second between the upstream and the host
//   lookups   lookups in a closed loop, without a pause between requests
//   ready     waits until /readyz of the operator port responds with 200; prints ms since --sinceNs
#include <gflags/gflags.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

DEFINE_string(host, "", "caller address (overhead, lookups) or operator address (ready), ip:port");
DEFINE_string(upstream, "", "address of the upstream");
DEFINE_string(key, "", "API key of the workspace");
DEFINE_string(service, "bench", "service, also the first segment of the path");
DEFINE_string(query, "", "additional parameters of each lookup, for example &client=10.1.2.3");
DEFINE_int32(rate, 1000, "requests/s");
DEFINE_int32(threads, 16, "connections");
DEFINE_int32(turns, 10, "turns of one second for each side, after one warm-up turn");
DEFINE_uint64(sinceNs, 0, "wall clock time in ns at which the host was started");

namespace {

using Clock = std::chrono::steady_clock;

httplib::Client connect(const std::string& address)
{
    httplib::Client client("http://" + address);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(5);
    return client;
}

/// Latencies of successful requests, and the number of failed ones.
struct Samples {
    std::vector<double> ms_;
    size_t failed_ = 0;
};

/// Sends one connection's share of the rate for one second. A request that starts late, because the previous
/// response was late, is measured from the time at which it was due.
void runTurn(httplib::Client& client, const std::string& path, const httplib::Headers& headers,
    Clock::time_point first, Samples& samples)
{
    const auto interval = std::chrono::nanoseconds(1'000'000'000LL * FLAGS_threads / FLAGS_rate);
    auto previousEnd = first;
    for (auto due = first; due < first + std::chrono::seconds(1); due += interval) {
        std::this_thread::sleep_until(due);
        const auto start = previousEnd > due ? due : Clock::now();
        const auto response = client.Get(path, headers);
        previousEnd = Clock::now();
        if (response && response->status == 200)
            samples.ms_.push_back(std::chrono::duration<double, std::milli>(previousEnd - start).count());
        else
            ++samples.failed_;
    }
}

/// Value at the share (0 to 1) of sorted values; -1 without values.
double percentile(std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return -1;
    return sorted[std::min(
        sorted.size() - 1, static_cast<size_t>(share * static_cast<double>(sorted.size())))];
}

/// Waits until a host that has just started has obtained its rate shares. Returns false if no request
/// succeeds within 30 s.
bool waitUntilServed(const httplib::Headers& headers)
{
    auto host = connect(FLAGS_host);
    const auto deadline = Clock::now() + std::chrono::seconds(30);
    while (Clock::now() < deadline) {
        const auto response = host.Get("/" + FLAGS_service + "/read", headers);
        if (response && response->status == 200) {
            std::this_thread::sleep_for(std::chrono::seconds(2)); // Token buckets start empty.
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

int overhead()
{
    const httplib::Headers keyed { { "Authorization", "Bearer " + FLAGS_key } };
    if (!waitUntilServed(keyed)) {
        std::puts("-1 -1 -1 -1 -1 -1 0 0 0 0");
        return 1;
    }
    const size_t threads = static_cast<size_t>(FLAGS_threads);
    std::vector<Samples> direct(threads);
    std::vector<Samples> viaHost(threads);
    const auto begin = Clock::now() + std::chrono::milliseconds(100);
    std::vector<std::thread> workers;
    for (size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&, i] {
            auto upstream = connect(FLAGS_upstream);
            auto host = connect(FLAGS_host);
            const httplib::Headers plain { { "Turmericwing-Request-Id", "bench" },
                { "Turmericwing-Deadline-Ms", "2000" } };
            const auto startOffset
                = std::chrono::nanoseconds(1'000'000'000LL * static_cast<int64_t>(i) / FLAGS_rate);
            Samples warmUp;
            for (int turn = -1; turn < FLAGS_turns; ++turn) {
                const auto start = begin + std::chrono::seconds(2 * (turn + 1)) + startOffset;
                runTurn(upstream, "/read", plain, start, turn < 0 ? warmUp : direct[i]);
                runTurn(host, "/" + FLAGS_service + "/read", keyed, start + std::chrono::seconds(1),
                    turn < 0 ? warmUp : viaHost[i]);
            }
        });
    }
    for (std::thread& worker : workers)
        worker.join();
    const auto mergeAndSort = [](const std::vector<Samples>& parts) {
        Samples all;
        for (const Samples& part : parts) {
            all.ms_.insert(all.ms_.end(), part.ms_.begin(), part.ms_.end());
            all.failed_ += part.failed_;
        }
        std::sort(all.ms_.begin(), all.ms_.end());
        return all;
    };
    Samples directSamples = mergeAndSort(direct);
    Samples hostSamples = mergeAndSort(viaHost);
    std::printf("%.3f %.3f %.3f %.3f %.3f %.3f %zu %zu %zu %zu\n", percentile(directSamples.ms_, 0.5),
        percentile(hostSamples.ms_, 0.5),
        percentile(hostSamples.ms_, 0.5) - percentile(directSamples.ms_, 0.5),
        percentile(directSamples.ms_, 0.99), percentile(hostSamples.ms_, 0.99),
        percentile(hostSamples.ms_, 0.99) - percentile(directSamples.ms_, 0.99), directSamples.ms_.size(),
        hostSamples.ms_.size(), directSamples.failed_, hostSamples.failed_);
    return directSamples.failed_ + hostSamples.failed_ == 0 ? 0 : 1;
}

int lookups()
{
    std::atomic<size_t> succeeded { 0 };
    std::atomic<size_t> failed { 0 };
    const auto begin = Clock::now();
    const auto end = begin + std::chrono::seconds(FLAGS_turns);
    std::string path = "/v1/lookup?service=";
    path.append(FLAGS_service).append(FLAGS_query);
    std::vector<std::thread> workers;
    workers.reserve(static_cast<size_t>(FLAGS_threads));
    for (int i = 0; i < FLAGS_threads; ++i) {
        workers.emplace_back([&] {
            auto client = connect(FLAGS_host);
            while (Clock::now() < end) {
                const auto response = client.Get(path);
                ++(response && response->status == 200 ? succeeded : failed);
            }
        });
    }
    for (std::thread& worker : workers)
        worker.join();
    const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    std::printf("%.0f %zu\n", static_cast<double>(succeeded) / seconds, failed.load());
    return failed == 0 ? 0 : 1;
}

int ready()
{
    auto client = connect(FLAGS_host);
    client.set_connection_timeout(1);
    for (const auto deadline = Clock::now() + std::chrono::seconds(20); Clock::now() < deadline;) {
        const auto response = client.Get("/readyz");
        if (response && response->status == 200) {
            const auto now = std::chrono::duration_cast<std::chrono::nanoseconds>(
                std::chrono::system_clock::now().time_since_epoch());
            std::printf(
                "%.0f\n", static_cast<double>(now.count() - static_cast<int64_t>(FLAGS_sinceNs)) / 1e6);
            return 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    std::puts("-1");
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bench-http overhead|lookups|ready [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string mode = argc == 2 ? argv[1] : "";
    if (mode == "overhead")
        return overhead();
    if (mode == "lookups")
        return lookups();
    if (mode == "ready")
        return ready();
    std::fputs("usage: bench-http overhead|lookups|ready [flags]\n", stderr);
    return 2;
}

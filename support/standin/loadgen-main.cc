// loadgen: sends the requests of a plan to the hosts of a deployment as callers do, checks every response,
// and compares what callers were told with what the simulated upstreams executed.
#include "loadgen.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/base/random.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

DEFINE_string(plan, "", "plan file, see loadgen.h");
DEFINE_string(hosts, "", "caller addresses for lookups, separated by commas");
DEFINE_string(upstreams, "", "one address of each standin-upstream process, separated by commas");
DEFINE_double(seconds, 20, "length of the run, at most 600");
DEFINE_uint64(limit, 100'000, "maximum number of requests");
DEFINE_uint64(seed, 1, "seed of the arrival times");
DEFINE_uint32(threads, 256, "maximum number of requests in flight, up to 512");
DEFINE_uint32(attempts, 4, "maximum number of attempts per request");
DEFINE_string(over_rate, "", "workspaces whose planned rate exceeds their limit, separated by commas");
DEFINE_string(json, "", "file for the results as JSON");

namespace turmericwing::standin {

using Json = nlohmann::json;

namespace {

    constexpr auto lookupTimeout = std::chrono::seconds(1);
    constexpr auto pauseBeforeResend = std::chrono::milliseconds(100);
    constexpr auto settleTime = std::chrono::seconds(1);
    constexpr uint32_t maximumThreads = 512;

    /// Hosts close idle connections after 5 s; a request sent at that moment would be counted as a broken
    /// connection.
    constexpr auto maximumIdle = std::chrono::seconds(2);
    constexpr double maximumSeconds = 600;

    std::vector<std::string> splitList(const std::string& list)
    {
        std::vector<std::string> parts;
        std::istringstream stream(list);
        for (std::string part; std::getline(stream, part, ',');)
            parts.push_back(part);
        return parts;
    }

    /// Caches lookup responses by service and workspace for their time to live. Thread-safe.
    class LookupCache {
    public:
        explicit LookupCache(std::vector<std::string> seeds)
            : seeds_(std::move(seeds))
        {
        }

        /// Returns addresses in order of preference; empty if no host answers a lookup.
        std::vector<std::string> hosts(const std::string& service, const std::string& workspace)
        {
            Entry& entry = find(service + "/" + workspace);
            std::lock_guard lock(entry.mutex_);
            if (monotonicNow() >= entry.expires_)
                refresh(entry, "/v1/lookup?service=" + service + "&workspace=" + workspace);
            return monotonicNow() < entry.expires_ ? entry.hosts_ : std::vector<std::string>();
        }

    private:
        struct Entry {
            std::mutex mutex_;
            std::vector<std::string> hosts_;
            TimePoint expires_ {};
        };

        Entry& find(const std::string& name)
        {
            std::lock_guard lock(mutex_);
            return entries_[name];
        }

        void refresh(Entry& entry, const std::string& target)
        {
            std::vector<std::string> candidates = entry.hosts_;
            candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
            for (const std::string& address : candidates) {
                const TimePoint sent = monotonicNow();
                httplib::Client client("http://" + address);
                client.set_connection_timeout(lookupTimeout);
                client.set_read_timeout(lookupTimeout);
                const auto result = client.Get(target);
                const Json json = result ? Json::parse(result->body, nullptr, false) : Json();
                if (!result || result->status != 200 || !json.is_object())
                    continue;
                entry.hosts_.clear();
                for (const Json& host : json.at("hosts"))
                    entry.hosts_.push_back(host.at("address"));
                // The time to live counts from the request, since the response may be as old as that.
                entry.expires_ = sent + std::chrono::seconds(json.at("ttl").get<int64_t>());
                return;
            }
        }

        const std::vector<std::string> seeds_;
        std::mutex mutex_;
        std::map<std::string, Entry> entries_;
    };

    /// Pool of clients with one keep-alive connection each, shared by all threads.
    class ClientPool {
    public:
        std::unique_ptr<httplib::Client> acquire(const std::string& address)
        {
            {
                std::lock_guard lock(mutex_);
                auto& idle = idle_[address];
                while (!idle.empty()) {
                    auto [client, idleSince] = std::move(idle.back());
                    idle.pop_back();
                    if (monotonicNow() - idleSince < maximumIdle)
                        return std::move(client);
                }
            }
            auto client = std::make_unique<httplib::Client>("http://" + address);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_connection_timeout(std::chrono::seconds(1));
            return client;
        }

        void release(const std::string& address, std::unique_ptr<httplib::Client> client)
        {
            std::lock_guard lock(mutex_);
            idle_[address].emplace_back(std::move(client), monotonicNow());
        }

    private:
        std::mutex mutex_;
        std::map<std::string, std::vector<std::pair<std::unique_ptr<httplib::Client>, TimePoint>>> idle_;
    };

    /// Counts and latencies of one workspace and route.
    struct RouteStats {
        uint64_t sent_ = 0;
        uint64_t answered_ = 0;
        uint64_t errors_ = 0; ///< Upstream responses with a status other than 200.
        uint64_t unknown_ = 0;
        std::map<std::string, uint64_t> refused_; ///< Rejected requests by the reason of the last attempt.
        std::vector<double> latencyMs_; ///< Latencies of answered requests, counted from the planned time.
    };

    /// Counts of the requests planned for one second.
    struct SecondStats {
        uint64_t sent_ = 0;
        uint64_t refused_ = 0;
        uint64_t unknown_ = 0;
    };

    /// Results of all threads.
    struct Results {
        std::mutex mutex_;
        std::map<std::pair<std::string, std::string>, RouteStats> routeStats_; ///< By workspace and route.
        std::map<std::string, ReportedResult> reported_;
        /// By second of the plan, without the workspaces of --over_rate.
        std::map<int64_t, SecondStats> seconds_;
        std::map<std::string, uint64_t> attempts_; ///< By reason; "" if answered.
        std::map<std::string, uint64_t> brokenByHost_;
        uint64_t incomplete_ = 0;
        uint64_t swapped_ = 0;
        uint64_t replayed_ = 0;
        double latestStartMs_ = 0;
    };

    /// One planned request and the result of its attempts.
    struct PlannedRequest {
        const PlanLine& line_;
        std::string path_;
        std::string body_;
        std::string key_;
        Duration at_; ///< Planned offset from the start of the run.
        TimePoint dueAt_; ///< When the request is to be sent.
        ReportedResult reported_;
        Exchange last_ { .outcome_ = Outcome::NotExecuted, .reason_ = "no-lookup" };
    };

    class Worker {
    public:
        Worker(LookupCache& lookups, ClientPool& clients, Results& results,
            const std::vector<std::string>& overRate)
            : lookups_(lookups)
            , clients_(clients)
            , results_(results)
            , overRate_(overRate.begin(), overRate.end())
        {
        }

        void run(PlannedRequest& planned)
        {
            std::set<std::string> tried;
            for (uint32_t attempt = 0; attempt < FLAGS_attempts; ++attempt) {
                const auto hosts = lookups_.hosts(planned.line_.service_, planned.line_.workspace_);
                if (hosts.empty())
                    break;
                const auto next = std::find_if(
                    hosts.begin(), hosts.end(), [&](const auto& host) { return !tried.contains(host); });
                const std::string address = next == hosts.end() ? hosts.front() : *next;
                tried.insert(address);
                planned.last_ = send(planned, address);
                recordAttempt(planned, address);
                if (planned.last_.outcome_ == Outcome::Answered || planned.last_.reason_ == "outcome-unknown")
                    break;
                if (planned.last_.outcome_ == Outcome::NotExecuted
                    && !isRetryableOnAnotherHost(planned.last_.reason_))
                    break;
                if (planned.last_.outcome_ == Outcome::Unknown)
                    std::this_thread::sleep_for(pauseBeforeResend);
            }
            recordResult(planned);
        }

    private:
        Exchange send(const PlannedRequest& planned, const std::string& address)
        {
            httplib::Request request;
            request.method = planned.line_.method_;
            request.path = "/" + planned.line_.service_ + planned.path_;
            request.body = planned.body_;
            request.headers
                = { { "Authorization", "Bearer " + planned.line_.key_ }, { "Idempotency-Key", planned.key_ },
                      { "Turmericwing-Timeout-Ms", std::to_string(planned.line_.timeout_.count()) } };
            if (!planned.body_.empty())
                request.headers.emplace("Content-Type", "application/octet-stream");
            auto client = clients_.acquire(address);
            client->set_read_timeout(planned.line_.timeout_ + std::chrono::seconds(1));
            Exchange result = exchange(*client, request);
            clients_.release(address, std::move(client));
            return result;
        }

        void recordAttempt(PlannedRequest& planned, const std::string& address)
        {
            planned.reported_.answered_
                |= planned.last_.outcome_ == Outcome::Answered && planned.last_.status_ == 200;
            planned.reported_.mayHaveExecuted_ |= planned.last_.outcome_ != Outcome::NotExecuted;
            std::lock_guard lock(results_.mutex_);
            ++results_.attempts_[planned.last_.reason_];
            if (planned.last_.connectionBroken_)
                ++results_.brokenByHost_[address];
        }

        void recordResult(const PlannedRequest& planned)
        {
            const Exchange& last = planned.last_;
            const bool succeeded = last.outcome_ == Outcome::Answered && last.status_ == 200;
            const BodyCheck check
                = succeeded ? checkBody(last.response_, planned.path_, planned.body_) : BodyCheck::Valid;
            std::lock_guard lock(results_.mutex_);
            results_.reported_[planned.line_.workspace_ + "/" + planned.key_] = planned.reported_;
            results_.incomplete_ += check == BodyCheck::Incomplete;
            results_.swapped_ += check == BodyCheck::Swapped;
            results_.replayed_ += last.response_.has_header("Turmericwing-Replayed");
            RouteStats& stats = results_.routeStats_[{ planned.line_.workspace_,
                planned.line_.method_ + " /" + planned.line_.service_ + planned.line_.path_ }];
            ++stats.sent_;
            if (!overRate_.contains(planned.line_.workspace_)) {
                SecondStats& second = results_.seconds_[static_cast<int64_t>(seconds(planned.at_))];
                ++second.sent_;
                second.refused_ += last.outcome_ != Outcome::Answered && !planned.reported_.mayHaveExecuted_;
                second.unknown_ += last.outcome_ != Outcome::Answered && planned.reported_.mayHaveExecuted_;
            }
            if (last.outcome_ == Outcome::Answered) {
                ++(last.status_ == 200 ? stats.answered_ : stats.errors_);
                stats.latencyMs_.push_back(
                    1e3 * seconds(std::chrono::duration_cast<Duration>(monotonicNow() - planned.dueAt_)));
            } else if (planned.reported_.mayHaveExecuted_) {
                ++stats.unknown_;
            } else {
                ++stats.refused_[last.reason_];
            }
        }

        LookupCache& lookups_;
        ClientPool& clients_;
        Results& results_;
        const std::set<std::string> overRate_;
    };

    /// Returns the sums of the simulated upstreams' counters; empty if one does not respond.
    Json upstreamStats()
    {
        Json sum { { "executed", 0 }, { "overSlots", 0 }, { "authorizationSeen", 0 } };
        std::map<std::string, uint64_t> byKey;
        for (const std::string& address : splitList(FLAGS_upstreams)) {
            httplib::Client client("http://" + address);
            client.set_read_timeout(std::chrono::seconds(10));
            const auto result = client.Get("/stats?scope=all&full=1");
            const Json json = result ? Json::parse(result->body, nullptr, false) : Json();
            if (!json.is_object())
                return {};
            for (const auto& [name, value] : sum.items())
                value = value.get<uint64_t>() + json.at(name).get<uint64_t>();
            for (const auto& [key, count] : json.at("byKey").items())
                byKey[key] += count.get<uint64_t>();
        }
        sum["byKey"] = byKey;
        return sum;
    }

    void sendPlan(const std::vector<PlanLine>& plan, Results& results)
    {
        const auto length
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_seconds));
        const auto arrivals = schedule(plan, length, FLAGS_limit, FLAGS_seed);
        Random random = makeRandom();
        const std::string runId = randomId(random).substr(0, 8);
        LookupCache lookups(splitList(FLAGS_hosts));
        ClientPool clients;
        std::atomic<size_t> next = 0;
        const TimePoint start = monotonicNow() + std::chrono::milliseconds(100);
        std::vector<std::thread> threads;
        for (uint32_t i = 0; i < FLAGS_threads; ++i)
            threads.emplace_back([&] {
                Worker worker(lookups, clients, results, splitList(FLAGS_over_rate));
                for (size_t n = next++; n < arrivals.size(); n = next++) {
                    const PlanLine& line = plan[arrivals[n].line_];
                    const std::string name = runId + "-" + std::to_string(n);
                    PlannedRequest planned { line, line.path_ + "/" + name, {}, name, arrivals[n].at_,
                        start + arrivals[n].at_, { .nonIdempotent_ = line.nonIdempotent_ } };
                    while (planned.body_.size() < line.bodyBytes_)
                        planned.body_ += sha256Hex(name + std::to_string(planned.body_.size()));
                    planned.body_.resize(line.bodyBytes_);
                    std::this_thread::sleep_until(planned.dueAt_);
                    const double lateMs = 1e3
                        * seconds(std::chrono::duration_cast<Duration>(monotonicNow() - planned.dueAt_));
                    {
                        std::lock_guard lock(results.mutex_);
                        results.latestStartMs_ = std::max(results.latestStartMs_, lateMs);
                    }
                    worker.run(planned);
                }
            });
        for (auto& thread : threads)
            thread.join();
    }

    Json toJson(const RouteStats& stats)
    {
        return { { "sent", stats.sent_ }, { "answered", stats.answered_ }, { "errors", stats.errors_ },
            { "unknown", stats.unknown_ }, { "refused", stats.refused_ },
            { "p50Ms", quantile(stats.latencyMs_, 0.5) }, { "p99Ms", quantile(stats.latencyMs_, 0.99) },
            { "maxMs", quantile(stats.latencyMs_, 1) } };
    }

    void printStats(const std::string& workspace, const std::string& route, const RouteStats& stats)
    {
        std::string refused;
        for (const auto& [reason, count] : stats.refused_)
            refused += " " + reason + "=" + std::to_string(count);
        std::printf("%-15s %-28s %6lu %8lu %6lu %7lu %8.1f %8.1f %8.1f %s\n", workspace.c_str(),
            route.c_str(), stats.sent_, stats.answered_, stats.errors_, stats.unknown_,
            quantile(stats.latencyMs_, 0.5), quantile(stats.latencyMs_, 0.99), quantile(stats.latencyMs_, 1),
            refused.c_str());
    }

    Json report(const Results& results, const Json& before, const Json& after)
    {
        std::printf("%-15s %-28s %6s %8s %6s %7s %8s %8s %8s  %s\n", "workspace", "route", "sent", "answered",
            "errors", "unknown", "p50 ms", "p99 ms", "max ms", "refused");
        Json rows = Json::array();
        RouteStats total;
        for (const auto& [name, stats] : results.routeStats_) {
            printStats(name.first, name.second, stats);
            Json row = toJson(stats);
            row["workspace"] = name.first;
            row["route"] = name.second;
            rows.push_back(row);
            total.sent_ += stats.sent_;
            total.answered_ += stats.answered_;
            total.errors_ += stats.errors_;
            total.unknown_ += stats.unknown_;
            for (const auto& [reason, count] : stats.refused_)
                total.refused_[reason] += count;
            total.latencyMs_.insert(total.latencyMs_.end(), stats.latencyMs_.begin(), stats.latencyMs_.end());
        }
        printStats("all", "", total);
        const ExecutionFaults executionFaults = findExecutionFaults(
            results.reported_, after.at("byKey").get<std::map<std::string, uint64_t>>());
        const auto increase = [&](const char* name) {
            return after.at(name).get<uint64_t>() - before.at(name).get<uint64_t>();
        };
        const Json checks { { "duplicateExecutions", executionFaults.duplicates_ },
            { "falseNotRun", executionFaults.falseNotExecuted_ },
            { "answeredNotRun", executionFaults.answeredNotExecuted_ },
            { "overSlots", increase("overSlots") }, { "authorizationSeen", increase("authorizationSeen") },
            { "incompleteResponses", results.incomplete_ }, { "swappedResponses", results.swapped_ } };
        Json perSecond = Json::array();
        SecondStats withinRate;
        std::printf("\nsecond: refused/unknown of sent, workspaces within their rate\n");
        for (const auto& [number, second] : results.seconds_) {
            std::printf("%ld: %lu/%lu of %lu%s", number, second.refused_, second.unknown_, second.sent_,
                number % 5 == 4 ? "\n" : "   ");
            perSecond.push_back({ { "second", number }, { "sent", second.sent_ },
                { "refused", second.refused_ }, { "unknown", second.unknown_ } });
            withinRate.sent_ += second.sent_;
            withinRate.refused_ += second.refused_;
        }
        std::printf("\n");
        const double refusedShare = static_cast<double>(withinRate.refused_)
            / static_cast<double>(std::max<uint64_t>(withinRate.sent_, 1));
        return { { "refusedWithinRate", refusedShare }, { "perSecond", perSecond }, { "rows", rows },
            { "total", toJson(total) }, { "checks", checks }, { "examples", executionFaults.examples_ },
            { "executed", increase("executed") }, { "attempts", results.attempts_ },
            { "brokenByHost", results.brokenByHost_ }, { "replayed", results.replayed_ },
            { "latestStartMs", results.latestStartMs_ } };
    }

    int runLoadgen()
    {
        std::ifstream file(FLAGS_plan, std::ios::binary);
        const std::string text(std::istreambuf_iterator<char>(file), {});
        const auto plan = parsePlan(text);
        if (!plan || plan.value().empty()) {
            std::cerr << "loadgen: " << FLAGS_plan << ": "
                      << (plan ? "plan contains no requests" : plan.error().message_) << "\n";
            return 2;
        }
        const Json before = upstreamStats();
        if (FLAGS_upstreams.empty() || before.empty()) {
            std::cerr << "loadgen: an upstream listed in --upstreams does not respond\n";
            return 2;
        }
        Results results;
        sendPlan(plan.value(), results);
        std::this_thread::sleep_for(settleTime);
        const Json after = upstreamStats();
        if (after.empty()) {
            std::cerr << "loadgen: an upstream stopped responding during the run\n";
            return 1;
        }
        const Json json = report(results, before, after);
        if (!FLAGS_json.empty())
            std::ofstream(FLAGS_json) << json.dump(2) << "\n";
        bool passed = json["total"]["answered"] > 0;
        for (const auto& [name, value] : json["checks"].items()) {
            std::cout << name << " " << value << "\n";
            passed = passed && value == 0;
        }
        for (const char* name :
            { "refusedWithinRate", "executed", "replayed", "attempts", "brokenByHost", "latestStartMs" })
            std::cout << name << " " << json[name] << "\n";
        for (const Json& example : json["examples"])
            std::cout << "  " << example.get<std::string>() << "\n";
        return passed ? 0 : 1;
    }

} // namespace

} // namespace turmericwing::standin

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("loadgen --plan FILE --hosts A,B --upstreams C,D\n"
                            "Exit codes: 0 all checks passed, 1 a check failed, 2 wrong usage.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_threads = std::clamp<uint32_t>(FLAGS_threads, 1, turmericwing::standin::maximumThreads);
    FLAGS_seconds = std::min(FLAGS_seconds, turmericwing::standin::maximumSeconds);
    return turmericwing::standin::runLoadgen();
}

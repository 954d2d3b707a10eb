// loadgen: sends the requests of a plan to the hosts of a deployment as callers do, checks every response,
// and compares what callers were told with what the upstream stand-ins ran.
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
DEFINE_string(upstreams, "", "one address of each upstream stand-in process, separated by commas");
DEFINE_double(seconds, 20, "length of the run, at most 600");
DEFINE_uint64(limit, 100'000, "most requests");
DEFINE_uint64(seed, 1, "seed of the arrival times");
DEFINE_uint32(threads, 256, "requests in flight at most, up to 512");
DEFINE_uint32(attempts, 4, "attempts of one request at most");
DEFINE_string(over_rate, "", "workspaces that the plan drives above their rate, separated by commas");
DEFINE_string(json, "", "file for the results as JSON");

namespace turmericwing::standin {

using Json = nlohmann::json;

namespace {

    constexpr auto lookupTimeout = std::chrono::seconds(1);
    constexpr auto pauseBeforeResend = std::chrono::milliseconds(100);
    constexpr auto settleTime = std::chrono::seconds(1);
    constexpr uint32_t maximumThreads = 512;

    /// Hosts close idle connections after 5 s; a request sent at that moment would look like a cut one.
    constexpr auto maximumIdle = std::chrono::seconds(2);
    constexpr double maximumSeconds = 600;

    std::vector<std::string> splitList(const std::string& list)
    {
        std::vector<std::string> words;
        std::istringstream stream(list);
        for (std::string word; std::getline(stream, word, ',');)
            words.push_back(word);
        return words;
    }

    /// Lookup answers by service and workspace, kept for their time to live.
    class Lookups {
    public:
        explicit Lookups(std::vector<std::string> seeds)
            : seeds_(std::move(seeds))
        {
        }

        /// Addresses in order of preference; empty when no host answers a lookup.
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
                // The answer is as old as its request.
                entry.expires_ = sent + std::chrono::seconds(json.at("ttl").get<int64_t>());
                return;
            }
        }

        const std::vector<std::string> seeds_;
        std::mutex mutex_;
        std::map<std::string, Entry> entries_;
    };

    /// Clients with one connection each, shared by all threads.
    class Clients {
    public:
        std::unique_ptr<httplib::Client> take(const std::string& address)
        {
            {
                std::lock_guard lock(mutex_);
                auto& idle = idle_[address];
                while (!idle.empty()) {
                    auto [client, since] = std::move(idle.back());
                    idle.pop_back();
                    if (monotonicNow() - since < maximumIdle)
                        return std::move(client);
                }
            }
            auto client = std::make_unique<httplib::Client>("http://" + address);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_connection_timeout(std::chrono::seconds(1));
            return client;
        }

        void giveBack(const std::string& address, std::unique_ptr<httplib::Client> client)
        {
            std::lock_guard lock(mutex_);
            idle_[address].emplace_back(std::move(client), monotonicNow());
        }

    private:
        std::mutex mutex_;
        std::map<std::string, std::vector<std::pair<std::unique_ptr<httplib::Client>, TimePoint>>> idle_;
    };

    struct Tally {
        uint64_t sent_ = 0;
        uint64_t answered_ = 0;
        uint64_t errors_ = 0; ///< Answered by an upstream with a status other than 200.
        uint64_t unknown_ = 0;
        std::map<std::string, uint64_t> refused_; ///< By the reason of the last attempt.
        std::vector<double> latencyMs_; ///< Of answered requests, from the planned time.
    };

    struct Second {
        uint64_t sent_ = 0;
        uint64_t refused_ = 0;
        uint64_t unknown_ = 0;
    };

    /// Results of all threads.
    struct Results {
        std::mutex mutex_;
        std::map<std::pair<std::string, std::string>, Tally> tallies_; ///< By workspace and route.
        std::map<std::string, Told> told_;
        std::map<int64_t, Second> seconds_; ///< By second of the plan, without workspaces above their rate.
        std::map<std::string, uint64_t> attempts_; ///< By reason, "" when answered.
        std::map<std::string, uint64_t> brokenByHost_;
        uint64_t incomplete_ = 0;
        uint64_t swapped_ = 0;
        uint64_t replayed_ = 0;
        double latestStartMs_ = 0;
    };

    /// One request with all its attempts.
    struct Job {
        const PlanLine& line_;
        std::string path_;
        std::string body_;
        std::string key_;
        Duration at_; ///< Planned time after the start of the run.
        TimePoint planned_;
        Told told_;
        Exchange last_ { .outcome_ = Outcome::NotRun, .reason_ = "no-lookup" };
    };

    class Worker {
    public:
        Worker(Lookups& lookups, Clients& clients, Results& results, const std::vector<std::string>& overRate)
            : lookups_(lookups)
            , clients_(clients)
            , results_(results)
            , overRate_(overRate.begin(), overRate.end())
        {
        }

        void run(Job& job)
        {
            std::set<std::string> tried;
            for (uint32_t attempt = 0; attempt < FLAGS_attempts; ++attempt) {
                const auto hosts = lookups_.hosts(job.line_.service_, job.line_.workspace_);
                if (hosts.empty())
                    break;
                const auto next = std::find_if(
                    hosts.begin(), hosts.end(), [&](const auto& host) { return !tried.contains(host); });
                const std::string address = next == hosts.end() ? hosts.front() : *next;
                tried.insert(address);
                job.last_ = send(job, address);
                note(job, address);
                if (job.last_.outcome_ == Outcome::Answered || job.last_.reason_ == "outcome-unknown")
                    break;
                if (job.last_.outcome_ == Outcome::NotRun && !worthAnotherHost(job.last_.reason_))
                    break;
                if (job.last_.outcome_ == Outcome::Unknown)
                    std::this_thread::sleep_for(pauseBeforeResend);
            }
            finish(job);
        }

    private:
        Exchange send(const Job& job, const std::string& address)
        {
            httplib::Request request;
            request.method = job.line_.method_;
            request.path = "/" + job.line_.service_ + job.path_;
            request.body = job.body_;
            request.headers
                = { { "Authorization", "Bearer " + job.line_.key_ }, { "Idempotency-Key", job.key_ },
                      { "Turmericwing-Timeout-Ms", std::to_string(job.line_.timeout_.count()) } };
            if (!job.body_.empty())
                request.headers.emplace("Content-Type", "application/octet-stream");
            auto client = clients_.take(address);
            client->set_read_timeout(job.line_.timeout_ + std::chrono::seconds(1));
            Exchange result = exchange(*client, request);
            clients_.giveBack(address, std::move(client));
            return result;
        }

        void note(Job& job, const std::string& address)
        {
            job.told_.answered_ |= job.last_.outcome_ == Outcome::Answered && job.last_.status_ == 200;
            job.told_.mayHaveRun_ |= job.last_.outcome_ != Outcome::NotRun;
            std::lock_guard lock(results_.mutex_);
            ++results_.attempts_[job.last_.reason_];
            if (job.last_.broken_)
                ++results_.brokenByHost_[address];
        }

        void finish(const Job& job)
        {
            const Exchange& last = job.last_;
            const bool whole = last.outcome_ == Outcome::Answered && last.status_ == 200;
            const BodyCheck check
                = whole ? checkBody(last.response_, job.path_, job.body_) : BodyCheck::Whole;
            std::lock_guard lock(results_.mutex_);
            results_.told_[job.line_.workspace_ + "/" + job.key_] = job.told_;
            results_.incomplete_ += check == BodyCheck::Incomplete;
            results_.swapped_ += check == BodyCheck::Swapped;
            results_.replayed_ += last.response_.has_header("Turmericwing-Replayed");
            Tally& tally = results_.tallies_[{
                job.line_.workspace_, job.line_.method_ + " /" + job.line_.service_ + job.line_.path_ }];
            ++tally.sent_;
            if (!overRate_.contains(job.line_.workspace_)) {
                Second& second = results_.seconds_[static_cast<int64_t>(seconds(job.at_))];
                ++second.sent_;
                second.refused_ += last.outcome_ != Outcome::Answered && !job.told_.mayHaveRun_;
                second.unknown_ += last.outcome_ != Outcome::Answered && job.told_.mayHaveRun_;
            }
            if (last.outcome_ == Outcome::Answered) {
                ++(last.status_ == 200 ? tally.answered_ : tally.errors_);
                tally.latencyMs_.push_back(
                    1e3 * seconds(std::chrono::duration_cast<Duration>(monotonicNow() - job.planned_)));
            } else if (job.told_.mayHaveRun_) {
                ++tally.unknown_;
            } else {
                ++tally.refused_[last.reason_];
            }
        }

        Lookups& lookups_;
        Clients& clients_;
        Results& results_;
        const std::set<std::string> overRate_;
    };

    /// Sums of the upstream stand-ins' counters; empty when one does not answer.
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

    void runAll(const std::vector<PlanLine>& plan, Results& results)
    {
        const auto length
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_seconds));
        const auto arrivals = schedule(plan, length, FLAGS_limit, FLAGS_seed);
        Random random = makeRandom();
        const std::string runId = randomId(random).substr(0, 8);
        Lookups lookups(splitList(FLAGS_hosts));
        Clients clients;
        std::atomic<size_t> next = 0;
        const TimePoint start = monotonicNow() + std::chrono::milliseconds(100);
        std::vector<std::thread> threads;
        for (uint32_t i = 0; i < FLAGS_threads; ++i)
            threads.emplace_back([&] {
                Worker worker(lookups, clients, results, splitList(FLAGS_over_rate));
                for (size_t n = next++; n < arrivals.size(); n = next++) {
                    const PlanLine& line = plan[arrivals[n].line_];
                    const std::string name = runId + "-" + std::to_string(n);
                    Job job { line, line.path_ + "/" + name, {}, name, arrivals[n].at_,
                        start + arrivals[n].at_, { .once_ = line.once_ } };
                    while (job.body_.size() < line.bodyBytes_)
                        job.body_ += sha256Hex(name + std::to_string(job.body_.size()));
                    job.body_.resize(line.bodyBytes_);
                    std::this_thread::sleep_until(job.planned_);
                    const double lateMs
                        = 1e3 * seconds(std::chrono::duration_cast<Duration>(monotonicNow() - job.planned_));
                    {
                        std::lock_guard lock(results.mutex_);
                        results.latestStartMs_ = std::max(results.latestStartMs_, lateMs);
                    }
                    worker.run(job);
                }
            });
        for (auto& thread : threads)
            thread.join();
    }

    Json toJson(const Tally& tally)
    {
        return { { "sent", tally.sent_ }, { "answered", tally.answered_ }, { "errors", tally.errors_ },
            { "unknown", tally.unknown_ }, { "refused", tally.refused_ },
            { "p50Ms", quantile(tally.latencyMs_, 0.5) }, { "p99Ms", quantile(tally.latencyMs_, 0.99) },
            { "maxMs", quantile(tally.latencyMs_, 1) } };
    }

    void print(const std::string& workspace, const std::string& route, const Tally& tally)
    {
        std::string refused;
        for (const auto& [reason, count] : tally.refused_)
            refused += " " + reason + "=" + std::to_string(count);
        std::printf("%-15s %-28s %6lu %8lu %6lu %7lu %8.1f %8.1f %8.1f %s\n", workspace.c_str(),
            route.c_str(), tally.sent_, tally.answered_, tally.errors_, tally.unknown_,
            quantile(tally.latencyMs_, 0.5), quantile(tally.latencyMs_, 0.99), quantile(tally.latencyMs_, 1),
            refused.c_str());
    }

    Json report(const Results& results, const Json& before, const Json& after)
    {
        std::printf("%-15s %-28s %6s %8s %6s %7s %8s %8s %8s  %s\n", "workspace", "route", "sent", "answered",
            "errors", "unknown", "p50 ms", "p99 ms", "max ms", "refused");
        Json rows = Json::array();
        Tally total;
        for (const auto& [name, tally] : results.tallies_) {
            print(name.first, name.second, tally);
            Json row = toJson(tally);
            row["workspace"] = name.first;
            row["route"] = name.second;
            rows.push_back(row);
            total.sent_ += tally.sent_;
            total.answered_ += tally.answered_;
            total.errors_ += tally.errors_;
            total.unknown_ += tally.unknown_;
            for (const auto& [reason, count] : tally.refused_)
                total.refused_[reason] += count;
            total.latencyMs_.insert(total.latencyMs_.end(), tally.latencyMs_.begin(), tally.latencyMs_.end());
        }
        print("all", "", total);
        const Verdict verdict
            = judge(results.told_, after.at("byKey").get<std::map<std::string, uint64_t>>());
        const auto grown = [&](const char* name) {
            return after.at(name).get<uint64_t>() - before.at(name).get<uint64_t>();
        };
        const Json checks { { "duplicateExecutions", verdict.duplicates_ },
            { "falseNotRun", verdict.falseNotRun_ }, { "answeredNotRun", verdict.answeredNotRun_ },
            { "overSlots", grown("overSlots") }, { "authorizationSeen", grown("authorizationSeen") },
            { "incompleteResponses", results.incomplete_ }, { "swappedResponses", results.swapped_ } };
        Json perSecond = Json::array();
        Second within;
        std::printf("\nsecond: refused/unknown of sent, workspaces within their rate\n");
        for (const auto& [number, second] : results.seconds_) {
            std::printf("%ld: %lu/%lu of %lu%s", number, second.refused_, second.unknown_, second.sent_,
                number % 5 == 4 ? "\n" : "   ");
            perSecond.push_back({ { "second", number }, { "sent", second.sent_ },
                { "refused", second.refused_ }, { "unknown", second.unknown_ } });
            within.sent_ += second.sent_;
            within.refused_ += second.refused_;
        }
        std::printf("\n");
        const double refusedShare
            = static_cast<double>(within.refused_) / static_cast<double>(std::max<uint64_t>(within.sent_, 1));
        return { { "refusedWithinRate", refusedShare }, { "perSecond", perSecond }, { "rows", rows },
            { "total", toJson(total) }, { "checks", checks }, { "examples", verdict.examples_ },
            { "executed", grown("executed") }, { "attempts", results.attempts_ },
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
                      << (plan ? "no requests in the plan" : plan.error().message_) << "\n";
            return 2;
        }
        const Json before = upstreamStats();
        if (FLAGS_upstreams.empty() || before.empty()) {
            std::cerr << "loadgen: an upstream stand-in of --upstreams does not answer\n";
            return 2;
        }
        Results results;
        runAll(plan.value(), results);
        std::this_thread::sleep_for(settleTime);
        const Json after = upstreamStats();
        if (after.empty()) {
            std::cerr << "loadgen: an upstream stand-in stopped during the run\n";
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

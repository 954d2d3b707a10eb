// Simulated fleet in which a fifth of a service's upstreams leaves within two seconds while no host reads the
// store. Guards against requests to upstreams that have left, and against a move of their requests that
// overruns the budgets of retries, cold starts and regional shifts or gathers at one neighbour.
#include "turmericwing/base/hash.h"
#include "turmericwing/routing/coldstart.h"
#include "turmericwing/routing/pick.h"
#include "turmericwing/routing/regionsplit.h"
#include "turmericwing/routing/retry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

using namespace turmericwing;
using namespace turmericwing::routing;
using std::chrono::milliseconds;

namespace {

constexpr auto tick = milliseconds(10);
constexpr int reportTicks = 10;
constexpr int endTick = 4000;
constexpr int firstLeaves = 2000; ///< The first upstream leaves at this tick, the last within 2 s of it.
constexpr int leavePeriod = 200;
constexpr int drainTicks = 250;
constexpr int serveTicks = 350; ///< From an upstream's leaving to the end of its process.
constexpr int workTicks = 30;
constexpr int maxWaitTicks = 20;
constexpr int shiftWindowTicks = 200;
constexpr uint32_t slots = 3;
constexpr size_t perRegion = 20;
constexpr size_t hostCount = 6;
constexpr double requestsPerTick = 2.4; ///< 60% of all slots.
constexpr double coldRate = 14;
const TimePoint start { std::chrono::seconds(100) };

TimePoint timeOf(int at) { return start + at * tick; }

/// How hosts learn that an upstream leaves.
enum class Source {
    None, ///< Only from connections that fail after its end: the store cannot be reached.
    Store, ///< From its entry, at once on all hosts.
    Answers,
};

struct Job {
    size_t upstream_ = 0;
    uint64_t object_ = 0;
    int sentAt_ = 0;
    int received_ = 0;
    uint32_t attempts_ = 1;
    std::vector<std::string> tried_;
};

struct Host {
    std::string name_;
    std::string region_;
    std::vector<Target> targets_;
    std::vector<Job> running_;
    std::vector<Job> waiting_;
    std::map<size_t, limits::Bucket> coldBuckets_;
    std::map<size_t, int> heardAt_; ///< By upstream, the first answer that announced its leaving.
    RetryBudget retries_;
    RegionSplit split_;
};

struct Outcome {
    int requests_ = 0;
    int late_ = 0; ///< Sent later than the drain time after the host had received an announcement.
    int retries_ = 0;
    int brokenThoughHeard_ = 0; ///< Broke off at an upstream that the host knew to be leaving when it sent.
    int failed_ = 0; ///< Refused, or without a token for a retry.
    double neighbourGrowth_ = 0; ///< Largest growth of a staying upstream's rate, as a factor.
    int coldPeak_ = 0; ///< Most requests that a cold upstream gets in a second.
    double shift_ = 0; ///< Largest change of the share that runs in the other region, by window.
};

class Fleet {
public:
    explicit Fleet(Source source)
        : source_(source)
    {
        for (size_t i = 0; i < 2 * perRegion; ++i) {
            const std::string region = i < perRegion ? "a" : "b";
            targets_.push_back({ .id_ = region + std::to_string(i),
                .hash_ = hash64(region + std::to_string(i)),
                .region_ = region,
                .slots_ = slots,
                .coldUntil_ = isCold(i) ? TimePoint::max() : TimePoint(),
                .slownessAt_ = start });
        }
        for (size_t i = 0; i < hostCount; ++i)
            names_.push_back("h" + std::to_string(i));
        for (size_t i = 0; i < hostCount; ++i)
            addHost(i);
    }

    Outcome run()
    {
        for (int at = 0; at < endTick; ++at) {
            for (Host& host : hosts_)
                endJobs(host, at);
            for (const double total = at * requestsPerTick; arrived_ < total; arrived_ += 1)
                receive(hosts_[random_() % hostCount], at);
            for (Host& host : hosts_)
                serveWaiting(host, at);
            if (at % reportTicks == 0)
                exchangeReports(at);
        }
        measureRates();
        return outcome_;
    }

private:
    static bool isCold(size_t upstream) { return upstream % perRegion == 1; }
    static bool isLeaving(size_t upstream) { return upstream % 5 == 0; }

    static int leavesAt(size_t upstream)
    {
        return firstLeaves + static_cast<int>(upstream) * leavePeriod / static_cast<int>(2 * perRegion);
    }

    void addHost(size_t index)
    {
        Host host { .name_ = names_[index], .region_ = index % 2 == 0 ? "a" : "b", .targets_ = targets_ };
        for (size_t i = 0; i < targets_.size(); ++i) {
            std::vector<std::string> regional;
            for (size_t other = 0; other < hostCount; ++other) {
                if (targets_[i].region_ == (other % 2 == 0 ? "a" : "b"))
                    regional.push_back(names_[other]);
            }
            if (isCold(i) && host.region_ == targets_[i].region_
                && ownsColdStart({}, targets_[i].id_, host.name_, regional))
                host.coldBuckets_[i] = makeColdStartBucket({}, coldRate, start);
        }
        hosts_.push_back(std::move(host));
    }

    void receive(Host& host, int at)
    {
        ++outcome_.requests_;
        earnRetryToken(host.retries_, retryOptions_);
        Job job { .object_ = hash64(std::to_string(random_() % 400)), .received_ = at };
        if (!send(host, job, at, false))
            host.waiting_.push_back(std::move(job));
    }

    /// Sends the request where the dispatcher would; false if no upstream has room.
    bool send(Host& host, Job job, int at, bool allowNonPreferred)
    {
        std::string region = regionAtPosition(host.split_, {}, splitPosition(job.object_));
        if (region.empty())
            region = host.region_;
        const std::vector<std::string> regions { region };
        const PickRequest request { .region_ = host.region_,
            .object_ = job.object_,
            .homeRegions_ = &regions,
            .except_ = &job.tried_,
            .allowNonPreferred_ = allowNonPreferred };
        const auto permit = [&](const Target& target) {
            const auto index = static_cast<size_t>(&target - host.targets_.data());
            if (!isCold(index))
                return Permission::Now;
            const auto bucket = host.coldBuckets_.find(index);
            if (bucket == host.coldBuckets_.end())
                return Permission::Never;
            return limits::availableTokens(bucket->second, timeOf(at)) > 0 ? Permission::Now
                                                                           : Permission::Later;
        };
        const auto distance
            = [&](const Target& target) { return target.region_ == host.region_ ? 0.001 : 0.04; };
        const auto result = pickTarget(host.targets_, {}, request, timeOf(at), permit, distance);
        if (!result.pick_)
            return false;
        job.upstream_ = result.pick_->index_;
        job.sentAt_ = at;
        job.tried_.push_back(host.targets_[job.upstream_].id_);
        recordSent(host.targets_[job.upstream_]);
        if (const auto bucket = host.coldBuckets_.find(job.upstream_); bucket != host.coldBuckets_.end())
            limits::takeTokens(bucket->second, 1, timeOf(at));
        count(host, job, at);
        host.running_.push_back(std::move(job));
        return true;
    }

    void count(const Host& host, const Job& job, int at)
    {
        sent_[job.upstream_].push_back(at);
        const auto heard = host.heardAt_.find(job.upstream_);
        outcome_.late_ += heard != host.heardAt_.end() && at > heard->second + drainTicks ? 1 : 0;
        const auto window = static_cast<size_t>(at / shiftWindowTicks);
        auto& [away, all] = windows_[{ host.region_, window }];
        away += targets_[job.upstream_].region_ != host.region_ ? 1 : 0;
        all += 1;
    }

    void endJobs(Host& host, int at)
    {
        std::vector<Job> ended;
        for (auto job = host.running_.begin(); job != host.running_.end();) {
            if (isOver(*job, at)) {
                ended.push_back(std::move(*job));
                job = host.running_.erase(job);
            } else
                ++job;
        }
        for (Job& job : ended)
            end(host, std::move(job), at);
    }

    static bool hasEnded(size_t upstream, int at)
    {
        return isLeaving(upstream) && at >= leavesAt(upstream) + serveTicks;
    }

    static bool isOver(const Job& job, int at)
    {
        return at >= job.sentAt_ + workTicks || hasEnded(job.upstream_, at);
    }

    void end(Host& host, Job job, int at)
    {
        Target& target = host.targets_[job.upstream_];
        recordEnded(target);
        if (!hasEnded(job.upstream_, at)) {
            recordAnswer(target, {}, timeOf(at), 0.3, 0.3, false);
            if (isLeaving(job.upstream_) && at >= leavesAt(job.upstream_)) {
                host.heardAt_.try_emplace(job.upstream_, at);
                if (source_ == Source::Answers)
                    applyNotice(target.announced_, {}, timeOf(at), { .leaving_ = true });
            }
            return;
        }
        const auto heard = host.heardAt_.find(job.upstream_);
        const bool knew = heard != host.heardAt_.end() && heard->second < job.sentAt_;
        outcome_.brokenThoughHeard_ += knew ? 1 : 0;
        recordConnectionFailure(target, {}, timeOf(at));
        const FailedAttempt failed { .idempotent_ = true,
            .byteMayBeSent_ = true,
            .attempts_ = job.attempts_,
            .deadline_ = timeOf(job.received_ + 250) };
        if (!spendRetryToken(host.retries_, retryOptions_, timeOf(at), failed)) {
            ++outcome_.failed_;
            return;
        }
        ++outcome_.retries_;
        ++job.attempts_;
        if (!send(host, job, at, true))
            ++outcome_.failed_;
    }

    void serveWaiting(Host& host, int at)
    {
        std::vector<Job> still;
        for (Job& job : host.waiting_) {
            const bool last = at >= job.received_ + maxWaitTicks;
            if (send(host, job, at, last))
                continue;
            if (last)
                ++outcome_.failed_;
            else
                still.push_back(std::move(job));
        }
        host.waiting_ = std::move(still);
    }

    void exchangeReports(int at)
    {
        for (Host& host : hosts_) {
            std::map<std::string, RegionLoad> loads { { "a", { "a", 0, 36 } }, { "b", { "b", 0, 36 } } };
            for (size_t i = 0; i < host.targets_.size(); ++i) {
                Target& target = host.targets_[i];
                target.peerInFlight_ = 0;
                uint32_t peers = 0;
                for (const Host& peer : hosts_) {
                    if (&peer == &host || peer.targets_[i].inFlight_ == 0)
                        continue;
                    target.peerInFlight_ += peer.targets_[i].inFlight_;
                    ++peers;
                }
                if (source_ == Source::Store && isLeaving(i) && at >= leavesAt(i))
                    target.usable_ = false;
                renewAllowance(target, {}, peers, random_);
                const bool capacity = target.usable_ && !target.announced_.leaving_ && !isCold(i);
                loads[target.region_].capacity_ += capacity ? target.slots_ : 0;
            }
            const auto target = targetSplit({}, host.region_, { loads["a"], loads["b"] });
            host.split_ = host.split_.empty()
                ? target
                : stepSplitTowards({}, host.split_, target, {}, reportTicks * seconds(tick));
        }
    }

    void measureRates()
    {
        const int before = firstLeaves;
        for (const auto& [upstream, times] : sent_) {
            const auto between = [&](int from, int to) {
                return static_cast<double>(
                    std::count_if(times.begin(), times.end(), [&](int at) { return at >= from && at < to; }));
            };
            if (isCold(upstream)) {
                for (int from = 0; from < endTick; ++from)
                    outcome_.coldPeak_
                        = std::max(outcome_.coldPeak_, static_cast<int>(between(from, from + 100)));
            } else if (!isLeaving(upstream)) {
                const double rate = std::max(1.0, between(0, before)) / before;
                outcome_.neighbourGrowth_ = std::max(
                    outcome_.neighbourGrowth_, between(before, endTick) / (endTick - before) / rate);
            }
        }
        for (const auto& [key, window] : windows_) {
            const auto next = windows_.find({ key.first, key.second + 1 });
            if (key.second == 0 || next == windows_.end())
                continue;
            const double change = next->second.first / next->second.second - window.first / window.second;
            outcome_.shift_ = std::max(outcome_.shift_, std::abs(change));
        }
    }

    const Source source_;
    const RetryOptions retryOptions_ { .ratio_ = 0.12, .burst_ = 6, .maxAttempts_ = 2 };
    std::vector<std::string> names_;
    std::vector<Target> targets_;
    std::vector<Host> hosts_;
    std::map<size_t, std::vector<int>> sent_; ///< Ticks at which each upstream was sent a request.
    /// By region and window: the requests that ran in the other region, and all.
    std::map<std::pair<std::string, size_t>, std::pair<double, double>> windows_;
    double arrived_ = 0;
    Random random_ { 11 };
    Outcome outcome_;
};

} // namespace

TEST_CASE("a fifth of a service that leaves within two seconds is spread as by a drain, within the budgets")
{
    const Outcome ignored = Fleet(Source::None).run();
    const Outcome drained = Fleet(Source::Store).run();
    const Outcome heard = Fleet(Source::Answers).run();
    for (const Outcome* outcome : { &ignored, &drained, &heard })
        MESSAGE("requests ", outcome->requests_, ", late ", outcome->late_, ", retries ", outcome->retries_,
            ", broken though heard ", outcome->brokenThoughHeard_, ", failed ", outcome->failed_, ", growth ",
            outcome->neighbourGrowth_, ", cold ", outcome->coldPeak_, ", shift ", outcome->shift_);
    // Without the announcements, requests go to the upstreams until they end and break off there.
    CHECK(ignored.late_ > 0);
    CHECK(ignored.brokenThoughHeard_ > 0);
    // A host that has had no request for an upstream in its last seconds cannot know.
    CHECK(heard.late_ == 0);
    CHECK(heard.brokenThoughHeard_ == 0);
    CHECK(heard.retries_ + heard.failed_ < (ignored.retries_ + ignored.failed_) / 2);
    CHECK(heard.retries_ <= 0.2 * heard.requests_);
    // A quarter more requests for each staying upstream, if they spread evenly.
    CHECK(heard.neighbourGrowth_ <= 1.1 * drained.neighbourGrowth_);
    CHECK(heard.coldPeak_ <= 1.5 * coldRate + 5);
    CHECK(heard.shift_ <= 0.15);
}

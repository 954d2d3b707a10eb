// Randomised soak test: injects external faults into gateway processes and checks invariants on what callers
// and upstreams observe. A seed determines the sequence of faults; the timing of the processes differs
// between runs.
#include "world.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <unistd.h>

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(count, 1, "number of runs, each with the next seed");
DEFINE_uint64(seconds, 15, "seconds of fault injection in a run");
DEFINE_uint64(hosts, 5, "number of gateway processes");
DEFINE_uint64(upstreams, 6, "number of upstreams");
DEFINE_uint64(callers, 10, "number of callers, each with one request at a time");
DEFINE_string(program, "build/src/daemon/turmericwingd", "path of the gateway program");
DEFINE_string(logs, "", "directory for the logs of failed runs; a temporary directory by default");

namespace turmericwing::soak {

namespace {

    /// Recovery-time limit of the users' requirements.
    constexpr auto recoveryTime = std::chrono::seconds(15);
    constexpr auto steadyTime = std::chrono::seconds(4);
    constexpr double minServedShare = 0.99; ///< Share of requests that succeed without faults.
    constexpr auto pollInterval = std::chrono::milliseconds(20);
    /// Drain-time limit of the users' requirements.
    constexpr auto drainTime = std::chrono::milliseconds(2500);

    /// The environment and the actions that are scheduled in it.
    struct FaultInjector {
        World& world_;
        boost::asio::io_context& proxies_;
        std::multimap<TimePoint, std::function<void()>> scheduled_; ///< Ends of faults and delayed actions.
        /// A generator of their own keeps the sequence of the other faults of a seed.
        Random announcements_;
        TimePoint nextAnnouncementAt_ {};
    };

    void scheduleAfter(FaultInjector& injector, Duration delay, std::function<void()> action)
    {
        injector.scheduled_.emplace(monotonicNow() + delay, std::move(action));
    }

    Duration randomDuration(Random& random, int fromMs, int toMs)
    {
        return std::chrono::milliseconds(
            fromMs + static_cast<int>(random() % static_cast<uint64_t>(toMs - fromMs)));
    }

    HostProcess& randomHost(World& world) { return *world.hosts_[world.random_() % world.hosts_.size()]; }

    Upstream& randomUpstream(World& world)
    {
        return *world.upstreams_[world.random_() % world.upstreams_.size()];
    }

    LinkFault randomLinkFault(Random& random)
    {
        static constexpr LinkFault faults[]
            = { LinkFault::Delayed, LinkFault::Reset, LinkFault::Silent, LinkFault::OneWay };
        return faults[random() % std::size(faults)];
    }

    std::string injectHostFault(FaultInjector& injector)
    {
        World& world = injector.world_;
        HostProcess& host = randomHost(world);
        switch (world.random_() % 5) {
        case 0:
            killHost(world, host);
            return "kill " + host.name_;
        case 1:
            pauseHost(world, host, true);
            scheduleAfter(
                injector, randomDuration(world.random_, 200, 3000), [&] { pauseHost(world, host, false); });
            return "pause " + host.name_;
        case 2:
            reloadHost(host);
            return "reload " + host.name_;
        default:
            stopHostGracefully(world, host);
            return "stop " + host.name_;
        }
    }

    std::string injectStoreFault(FaultInjector& injector)
    {
        World& world = injector.world_;
        const Duration duration = randomDuration(world.random_, 300, 5000);
        const TimePoint now = monotonicNow();
        if (world.random_() % 2 == 0) {
            HostProcess& host = randomHost(world);
            host.storeProxy_->setFault(randomLinkFault(world.random_));
            world.ledger_.add(FaultInterval { FaultKind::Store, host.name_, now, now + duration });
            scheduleAfter(injector, duration, [&host] { host.storeProxy_->setFault(LinkFault::None); });
            return "store link of " + host.name_;
        }
        world.ledger_.add(FaultInterval { FaultKind::Store, "", now, now + duration });
        standin::RowFaults faults;
        switch (world.random_() % 5) {
        case 0:
            faults.refuse_ = true;
            break;
        case 1:
            faults.drop_ = true;
            break;
        case 2:
            faults.loseResponses_ = true;
            break;
        case 3:
            faults.delay_ = std::chrono::milliseconds(300);
            break;
        default:
            world.store_.dropHistory();
            return "store drops its history";
        }
        world.store_.setFaults(faults);
        scheduleAfter(injector, duration, [&world] { world.store_.setFaults({}); });
        return "store fault";
    }

    /// Drains an upstream and adds another. The draining upstream keeps serving for a while, as the users'
    /// upstreams do.
    void retireUpstream(FaultInjector& injector, Upstream& upstream)
    {
        World& world = injector.world_;
        registerUpstream(world, upstream, "draining");
        world.ledger_.add(UpstreamDrain { upstream.id_, monotonicNow() });
        scheduleAfter(injector, drainTime + std::chrono::seconds(1), [&world, &upstream] {
            world.store_.remove("servers", upstream.id_);
            upstream.server_.shutDown();
        });
        addUpstream(world, injector.proxies_);
    }

    std::string injectUpstreamFault(FaultInjector& injector)
    {
        World& world = injector.world_;
        Upstream& upstream = randomUpstream(world);
        const Duration duration = randomDuration(world.random_, 300, 4000);
        const auto enableForAWhile = [&](std::atomic<bool>& fault) {
            fault = true;
            scheduleAfter(injector, duration, [&fault] { fault = false; });
        };
        switch (world.random_() % 6) {
        case 0:
            enableForAWhile(upstream.faults_.dropResponses_);
            return "lost responses of " + upstream.id_;
        case 1:
            enableForAWhile(upstream.faults_.truncateResponses_);
            return "truncated responses of " + upstream.id_;
        case 2:
            enableForAWhile(upstream.faults_.slow_);
            return "slow " + upstream.id_;
        case 3:
            upstream.server_.breakConnections();
            return "broken connections of " + upstream.id_;
        case 4:
            retireUpstream(injector, upstream);
            return "retire " + upstream.id_;
        default:
            upstream.proxy_->setFault(randomLinkFault(world.random_));
            scheduleAfter(injector, duration, [&upstream] { upstream.proxy_->setFault(LinkFault::None); });
            return "link of " + upstream.id_;
        }
    }

    /// An upstream announces its leaving only in its answers, serves on past the drain time, and ends.
    /// Another one is added. Its entry says that it is ready until then.
    void leaveByAnswers(FaultInjector& injector, Upstream& upstream)
    {
        World& world = injector.world_;
        upstream.leaving_ = true;
        scheduleAfter(injector, drainTime + std::chrono::seconds(2), [&world, &upstream] {
            world.store_.remove("servers", upstream.id_);
            upstream.server_.shutDown();
        });
        addUpstream(world, injector.proxies_);
    }

    std::string injectAnnouncement(FaultInjector& injector)
    {
        World& world = injector.world_;
        Random& random = injector.announcements_;
        Upstream& upstream = *world.upstreams_[random() % world.upstreams_.size()];
        if (upstream.leaving_)
            return "none";
        if (random() % 3 == 0) {
            leaveByAnswers(injector, upstream);
            return "leaving by answers of " + upstream.id_;
        }
        upstream.pausedUntil_ = monotonicNow() + randomDuration(random, 800, 4000);
        return "pause asked by " + upstream.id_;
    }

    void runScheduled(FaultInjector& injector)
    {
        while (!injector.scheduled_.empty() && injector.scheduled_.begin()->first <= monotonicNow()) {
            const auto action = std::move(injector.scheduled_.begin()->second);
            injector.scheduled_.erase(injector.scheduled_.begin());
            action();
        }
        reapHosts(injector.world_);
        std::this_thread::sleep_for(pollInterval);
    }

    /// Injects faults one at a time and in bursts; faults may overlap.
    void injectFaults(FaultInjector& injector, TimePoint end)
    {
        World& world = injector.world_;
        TimePoint next = monotonicNow();
        while (monotonicNow() < end) {
            runScheduled(injector);
            if (monotonicNow() >= injector.nextAnnouncementAt_) {
                std::cout << "fault: " << injectAnnouncement(injector) << "\n";
                injector.nextAnnouncementAt_
                    = monotonicNow() + randomDuration(injector.announcements_, 200, 1500);
            }
            if (monotonicNow() < next)
                continue;
            const uint64_t kind = world.random_() % 10;
            std::string description = "configuration";
            if (kind < 4)
                description = injectHostFault(injector);
            else if (kind < 6)
                description = injectStoreFault(injector);
            else if (kind < 9)
                description = injectUpstreamFault(injector);
            else
                publishConfiguration(world);
            std::cout << "fault: " << description << "\n";
            const bool burst = world.random_() % 4 == 0;
            next = monotonicNow() + (burst ? Duration::zero() : randomDuration(world.random_, 100, 1500));
        }
    }

    void endFaults(FaultInjector& injector)
    {
        while (!injector.scheduled_.empty())
            runScheduled(injector);
        publishConfiguration(injector.world_);
        for (const TimePoint end = monotonicNow() + recoveryTime; monotonicNow() < end;)
            runScheduled(injector);
    }

    void checkSteadyState(FaultInjector& injector)
    {
        World& world = injector.world_;
        const TimePoint begin = monotonicNow();
        while (monotonicNow() < begin + steadyTime)
            runScheduled(injector);
        const auto add = [&](const char* invariant, const std::string& detail) {
            world.violations_.push_back({ invariant, detail });
        };
        for (const auto& host : world.hosts_) {
            if (!isReady(*host))
                add("hosts become ready again after faults", host->name_);
            const int current = probeHost(world, *host, rotatingKey(world.configVersion_));
            const int withdrawn = probeHost(world, *host, rotatingKey(world.configVersion_ - 1));
            if (current != 200)
                add("the published key is accepted",
                    host->name_ + " returned status " + std::to_string(current));
            if (withdrawn != 401)
                add("the withdrawn key is rejected",
                    host->name_ + " returned status " + std::to_string(withdrawn));
        }
        size_t sent = 0;
        size_t served = 0;
        for (const Attempt& attempt : world.ledger_.copy().attempts_) {
            if (attempt.sentAt_ < begin || attempt.sentAt_ >= begin + steadyTime)
                continue;
            ++sent;
            served += attempt.status_ == 200 ? 1 : 0;
        }
        if (static_cast<double>(served) < minServedShare * static_cast<double>(sent) || sent == 0)
            add("requests succeed again after faults",
                std::to_string(served) + " of " + std::to_string(sent));
    }

    /// Runs one seed. Returns whether no invariant was violated.
    bool run(uint64_t seed, const std::string& directory)
    {
        std::filesystem::create_directories(directory);
        boost::asio::io_context proxies(1);
        const auto work = boost::asio::make_work_guard(proxies);
        std::thread proxyThread([&] { proxies.run(); });
        World world({ .program_ = FLAGS_program,
            .directory_ = directory,
            .hosts_ = FLAGS_hosts,
            .upstreams_ = FLAGS_upstreams,
            .callers_ = FLAGS_callers,
            .seed_ = seed });
        startWorld(world, proxies);
        FaultInjector injector { world, proxies, {}, Random(~seed) };
        injectFaults(injector, monotonicNow() + std::chrono::seconds(FLAGS_seconds));
        endFaults(injector);
        checkSteadyState(injector);
        stopWorld(world);
        const Records records = world.ledger_.copy();
        auto violations = checkRecords(records, {});
        violations.insert(violations.end(), world.violations_.begin(), world.violations_.end());
        for (const Violation& violation : violations)
            std::cout << "violation: " << violation.invariant_ << ": " << violation.detail_ << "\n";
        std::cout << "seed " << seed << ": " << records.attempts_.size() << " requests, "
                  << records.executions_.size() << " runs, " << violations.size() << " violations\n"
                  << std::flush;
        for (const auto& upstream : world.upstreams_)
            upstream->server_.shutDown();
        proxies.stop();
        proxyThread.join();
        return violations.empty();
    }

} // namespace

} // namespace turmericwing::soak

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs gateway processes under random faults and checks invariants\n\n"
        "  soak --seed N --count N\n\nExit codes: 0 no violations, 1 an invariant was violated.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string base = FLAGS_logs.empty()
        ? (std::filesystem::temp_directory_path() / ("soak-" + std::to_string(getpid()))).string()
        : FLAGS_logs;
    uint64_t failed = 0;
    for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_count; ++seed) {
        const std::string directory = base + "/" + std::to_string(seed);
        if (turmericwing::soak::run(seed, directory)) {
            std::filesystem::remove_all(directory);
            continue;
        }
        ++failed;
        std::cout << "logs: " << directory << "\n" << std::flush;
    }
    std::cout << FLAGS_count - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}

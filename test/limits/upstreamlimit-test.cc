// Simulates hosts that share the request rates that upstreams name as their limits. Guards against a fleet
// that together sends an upstream far more than its limit, also while hosts start, freeze or are cut off, and
// against hosts that leave a limit unused or do not notice its end.
#include "turmericwing/limits/upstreamlimit.h"

#include "turmericwing/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace turmericwing;
using namespace turmericwing::limits;

namespace {

constexpr double stepSeconds = 0.02;
constexpr double windowSeconds = 4; ///< Window of the bound that users rely on.
constexpr double settlingSeconds = 3; ///< From the first answer with a limit until the bound holds.
constexpr double serviceSeconds = 0.3; ///< From a request until its answer is received.
constexpr size_t upstreamCount = 20;
constexpr size_t sharerUpdateSteps = 10; ///< Hosts look every so many steps which hosts are alive.

TimePoint timeAt(double at)
{
    return TimePoint(std::chrono::seconds(100))
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
}

struct Span {
    double from_ = 0;
    double to_ = 0;
    bool includes(double at) const { return at >= from_ && at < to_; }
};

/// A fleet, its upstreams' limit, and what happens to its hosts.
struct Scenario {
    size_t hosts_ = 10;
    double limit_ = 5; ///< Requests/s of each upstream; named in answers during `limited_`.
    Span limited_ { 2, 30 };
    double demand_ = 300; ///< Requests/s of the callers of all hosts.
    size_t disturbedHosts_ = 0; ///< The first hosts; they are what the spans below concern.
    Span frozen_ {}; ///< They do nothing and hear nothing; what was sent to them is read afterwards.
    Span cutOff_ {}; ///< They neither hear the other hosts nor are heard, and serve their callers.
    Span absent_ {}; ///< They are stopped, and start afterwards without any knowledge.
    double length_ = 30;

    double reportInterval() const { return hosts_ < 24 ? 0.1 : 1; }
    double reportDelay() const { return hosts_ < 24 ? 0.06 : 0.4; }
    double reportLifetime() const { return hosts_ < 24 ? 1.5 : 3.5; }
    bool isDisturbed(size_t host, const Span& span, double at) const
    {
        return host < disturbedHosts_ && span.includes(at);
    }
};

struct HeardStatement {
    size_t upstream_ = 0;
    LimitStatement statement_;
};

struct Answer {
    double at_ = 0;
    double sentAt_ = 0;
    size_t upstream_ = 0;
    bool limited_ = false;
};

struct SimulatedHost {
    std::string name_;
    std::vector<UpstreamLimit> limits_ { upstreamCount };
    std::vector<double> heardUntil_; ///< By host; when its last report expires.
    LimitSharers sharers_;
    std::deque<Answer> answers_; ///< On their way to this host, in the order of their arrival.
};

struct Report {
    double at_ = 0; ///< Of the receipt.
    double sentAt_ = 0;
    size_t sender_ = 0;
    std::vector<HeardStatement> statements_;
};

struct Counts {
    /// Largest number of requests to one upstream in a window, from all hosts.
    size_t worstWindow_ = 0;
    double limitedRequests_ = 0; ///< In the last 10 s in which the limit is named, at all upstreams.
    /// Seconds from the end of the limit until all hosts know it; negative if some never did.
    double endKnownAfter_ = -1;
};

class Simulation {
public:
    explicit Simulation(const Scenario& scenario)
        : scenario_(scenario)
        , arrivals_(upstreamCount)
    {
        for (size_t i = 0; i < scenario_.hosts_; ++i) {
            hosts_.push_back({ .name_ = "host-" + std::to_string(i) });
            hosts_.back().heardUntil_.assign(scenario_.hosts_, scenario_.reportLifetime());
            hosts_.back().sharers_.self_ = hosts_.back().name_;
        }
    }

    Counts run()
    {
        double nextReport = 0;
        for (double at = 0; at < scenario_.length_; at += stepSeconds) {
            if (at >= nextReport) {
                nextReport = at + scenario_.reportInterval();
                sendReports(at);
            }
            receiveReports(at);
            for (size_t i = 0; i < hosts_.size(); ++i)
                stepHost(i, at);
            countWindows(at);
            ++step_;
        }
        return counts_;
    }

private:
    bool isRunning(size_t host, double at) const
    {
        return !scenario_.isDisturbed(host, scenario_.frozen_, at)
            && !scenario_.isDisturbed(host, scenario_.absent_, at);
    }

    void sendReports(double at)
    {
        for (size_t i = 0; i < hosts_.size(); ++i) {
            if (!isRunning(i, at))
                continue;
            Report report { at + scenario_.reportDelay(), at, i, {} };
            for (size_t upstream = 0; upstream < upstreamCount; ++upstream) {
                const LimitStatement& statement = hosts_[i].limits_[upstream].statement_;
                if (statement.source_ == LimitSource::Answer && statement.heardAt_ > TimePoint())
                    report.statements_.push_back({ upstream, statement });
            }
            reports_.push_back(std::move(report));
        }
    }

    void receiveReports(double at)
    {
        while (!reports_.empty() && reports_.front().at_ <= at) {
            const Report report = std::move(reports_.front());
            reports_.pop_front();
            for (size_t i = 0; i < hosts_.size(); ++i) {
                const bool apart = scenario_.isDisturbed(i, scenario_.cutOff_, at)
                    != scenario_.isDisturbed(report.sender_, scenario_.cutOff_, at);
                if (i != report.sender_ && !apart && isRunning(i, at))
                    receiveReport(hosts_[i], report, at);
            }
        }
    }

    /// Clocks of hosts differ, so a report tells the age of what it holds.
    void receiveReport(SimulatedHost& host, const Report& report, double at)
    {
        host.heardUntil_[report.sender_] = at + scenario_.reportLifetime();
        for (const HeardStatement& heard : report.statements_) {
            const Duration age = timeAt(report.sentAt_) - heard.statement_.heardAt_;
            const LimitStatement statement
                = peerStatement({}, timeAt(at), heard.statement_.rate_, age, LimitSource::Peer);
            learn(host, heard.upstream_, statement, at);
        }
    }

    void learn(SimulatedHost& host, size_t upstream, const LimitStatement& statement, double at)
    {
        UpstreamLimit& limit = host.limits_[upstream];
        if (applyStatement(limit, {}, timeAt(at), statement))
            assignPart(limit, {}, timeAt(at), std::to_string(upstream), host.sharers_);
    }

    void stepHost(size_t index, double at)
    {
        SimulatedHost& host = hosts_[index];
        if (scenario_.isDisturbed(index, scenario_.absent_, at)) {
            host.limits_.assign(upstreamCount, {});
            host.answers_.clear();
            return;
        }
        if (!isRunning(index, at))
            return;
        if (step_ % sharerUpdateSteps == 0)
            updateSharers(index, at);
        while (!host.answers_.empty() && host.answers_.front().at_ <= at) {
            const Answer answer = host.answers_.front();
            host.answers_.pop_front();
            if (answer.limited_) {
                learn(host, answer.upstream_, { scenario_.limit_, timeAt(at) }, at);
            } else if (const auto end
                = statementWithoutLimit(host.limits_[answer.upstream_], timeAt(at), timeAt(answer.sentAt_))) {
                learn(host, answer.upstream_, *end, at);
            }
        }
        std::poisson_distribution<int> requests(
            scenario_.demand_ * stepSeconds / static_cast<double>(scenario_.hosts_));
        for (int i = requests(random_); i > 0; --i)
            sendRequest(host, at);
    }

    void updateSharers(size_t index, double at)
    {
        SimulatedHost& host = hosts_[index];
        LimitSharers sharers { .self_ = host.name_ };
        for (size_t i = 0; i < hosts_.size(); ++i) {
            if (i != index && at < host.heardUntil_[i])
                sharers.others_.push_back(hosts_[i].name_);
        }
        sharers.heardFraction_
            = static_cast<double>(sharers.others_.size() + 1) / static_cast<double>(scenario_.hosts_);
        if (sharers == host.sharers_)
            return;
        host.sharers_ = sharers;
        for (size_t upstream = 0; upstream < upstreamCount; ++upstream)
            assignPart(host.limits_[upstream], {}, timeAt(at), std::to_string(upstream), sharers);
    }

    /// Sends to the first of the upstreams, from one at random, that the host may send to now.
    void sendRequest(SimulatedHost& host, double at)
    {
        const size_t first = random_() % upstreamCount;
        for (size_t i = 0; i < upstreamCount; ++i) {
            const size_t upstream = (first + i) % upstreamCount;
            UpstreamLimit& limit = host.limits_[upstream];
            if (nextRequestAt(limit, timeAt(at)) != timeAt(at))
                continue;
            takeRequest(limit, timeAt(at));
            arrivals_[upstream].push_back(at);
            const bool limited = scenario_.limited_.includes(at + serviceSeconds);
            host.answers_.push_back({ at + serviceSeconds, at, upstream, limited });
            return;
        }
    }

    void countWindows(double at)
    {
        for (std::deque<double>& window : arrivals_) {
            while (!window.empty() && window.front() <= at - windowSeconds)
                window.pop_front();
            const double settled = scenario_.limited_.from_ + settlingSeconds + windowSeconds;
            if (at >= settled && scenario_.limited_.includes(at))
                counts_.worstWindow_ = std::max(counts_.worstWindow_, window.size());
            const Span last { scenario_.limited_.to_ - 10, scenario_.limited_.to_ };
            if (last.includes(at))
                counts_.limitedRequests_ += static_cast<double>(std::count(window.begin(), window.end(), at));
        }
        if (counts_.endKnownAfter_ >= 0 || at < scenario_.limited_.to_)
            return;
        const bool known = std::all_of(hosts_.begin(), hosts_.end(), [&](const SimulatedHost& host) {
            return std::none_of(host.limits_.begin(), host.limits_.end(),
                [&](const UpstreamLimit& limit) { return isLimited(limit, timeAt(at)); });
        });
        if (known)
            counts_.endKnownAfter_ = at - scenario_.limited_.to_;
    }

    const Scenario scenario_;
    size_t step_ = 0;
    Random random_ { 5 };
    std::vector<SimulatedHost> hosts_;
    std::deque<Report> reports_;
    std::vector<std::deque<double>> arrivals_; ///< By upstream; times of the requests of the last window.
    Counts counts_;
};

/// The number of requests in a window that users accept.
size_t bound(double limit) { return static_cast<size_t>(limit * windowSeconds * 1.5) + 5; }

const size_t fleetSizes[] = { 10, 85, 195 };

} // namespace

TEST_CASE("a fleet stays within an upstream's limit and uses it")
{
    // Guards against parts that add up to more than the limit, and against parts too small to be of use.
    for (const size_t hosts : fleetSizes) {
        for (const double limit : { 0.5, 2.0, 10.0, 40.0 }) {
            CAPTURE(hosts);
            CAPTURE(limit);
            // Enough for each owner to have a request at hand.
            const double offered = 3 * limit * upstreamCount + 2 * static_cast<double>(hosts);
            const Counts counts = Simulation({ .hosts_ = hosts, .limit_ = limit, .demand_ = offered }).run();
            CHECK(counts.worstWindow_ <= bound(limit));
            CHECK(counts.limitedRequests_ >= 0.7 * limit * 10 * upstreamCount);
        }
    }
}

TEST_CASE("hosts that start during a limit do not add to it")
{
    // They know of no limit, and there are as many of them as ever start at once.
    for (const size_t hosts : fleetSizes) {
        CAPTURE(hosts);
        const Counts counts = Simulation(
            { .hosts_ = hosts, .demand_ = 200, .disturbedHosts_ = hosts / 10, .absent_ = { 12, 15 } })
                                  .run();
        CHECK(counts.worstWindow_ <= bound(5));
    }
}

TEST_CASE("hosts that freeze and go on do not send what they saved up")
{
    // Guards against parts that fill without bound while a host does nothing.
    for (const size_t hosts : fleetSizes) {
        CAPTURE(hosts);
        const Counts counts = Simulation(
            { .hosts_ = hosts, .demand_ = 200, .disturbedHosts_ = hosts / 3, .frozen_ = { 11, 17 } })
                                  .run();
        CHECK(counts.worstWindow_ <= bound(5));
    }
}

TEST_CASE("hosts that are cut off from the others keep to their part of the limit")
{
    // Guards against two sides of a partition that each use the whole limit.
    for (const size_t hosts : fleetSizes) {
        for (const size_t cutOff : { size_t { 1 }, hosts / 3, hosts / 2 }) {
            CAPTURE(hosts);
            CAPTURE(cutOff);
            const Counts counts = Simulation(
                { .hosts_ = hosts, .demand_ = 200, .disturbedHosts_ = cutOff, .cutOff_ = { 11, 22 } })
                                      .run();
            CHECK(counts.worstWindow_ <= bound(5));
        }
    }
}

TEST_CASE("the end of a limit is known on all hosts soon, also of a limit of zero")
{
    // Guards against a limit that no request can find ended, and against old news that restore it.
    for (const size_t hosts : fleetSizes) {
        for (const double limit : { 0.0, 5.0 }) {
            CAPTURE(hosts);
            CAPTURE(limit);
            const Counts counts = Simulation(
                { .hosts_ = hosts, .limit_ = limit, .limited_ = { 2, 14 }, .demand_ = 200, .length_ = 48 })
                                      .run();
            CHECK(counts.worstWindow_ <= bound(limit));
            CHECK(counts.endKnownAfter_ >= 0);
            // At the latest by the lifetime of the limit, if no owner prefers the upstream.
            CHECK(counts.endKnownAfter_ <= (limit > 0 ? 4.0 : 32.0));
        }
    }
}

TEST_CASE("a host that is no owner learns at once that it may not send")
{
    // Without it the request would wait for a part that never comes.
    UpstreamLimit limit;
    LimitSharers sharers { .self_ = "h0" };
    for (int i = 1; i < 85; ++i)
        sharers.others_.push_back("h" + std::to_string(i));
    size_t owners = 0;
    std::vector<std::string> names = sharers.others_;
    names.push_back("h0");
    for (const std::string& name : names) {
        LimitSharers view { .self_ = name };
        std::copy_if(names.begin(), names.end(), std::back_inserter(view.others_),
            [&](const std::string& other) { return other != name; });
        limit = {};
        REQUIRE(applyStatement(limit, {}, timeAt(1), { 2.0, timeAt(1) }));
        assignPart(limit, {}, timeAt(1), "u", view);
        owners += nextRequestAt(limit, timeAt(1)) ? 1 : 0;
    }
    CHECK(owners == 6);
}

TEST_CASE("the latest statement holds, whoever heard it")
{
    // Guards against hosts that follow their own older answer against a later one of a peer.
    UpstreamLimit limit;
    CHECK(applyStatement(limit, {}, timeAt(5), { 4.0, timeAt(5) }));
    CHECK_FALSE(applyStatement(limit, {}, timeAt(6), { 9.0, timeAt(4), LimitSource::Peer }));
    CHECK(limitedRate(limit, {}, timeAt(6)) == 4.0);
    CHECK(applyStatement(limit, {}, timeAt(6), { std::nullopt, timeAt(5.5), LimitSource::Summary }));
    CHECK_FALSE(isLimited(limit, timeAt(6)));
    CHECK(nextRequestAt(limit, timeAt(6)) == timeAt(6));
}

TEST_CASE("an answer without a limit ends it only for a later request")
{
    // An answer that was made before the upstream was limited may arrive after one that names the limit.
    UpstreamLimit limit;
    CHECK_FALSE(statementWithoutLimit(limit, timeAt(1), timeAt(0)));
    REQUIRE(applyStatement(limit, {}, timeAt(5), { 4.0, timeAt(5) }));
    CHECK_FALSE(statementWithoutLimit(limit, timeAt(6), timeAt(4.9)));
    const auto end = statementWithoutLimit(limit, timeAt(6), timeAt(5.1));
    REQUIRE(end);
    CHECK(*end == LimitStatement { std::nullopt, timeAt(6) });
}

TEST_CASE("a limit that nobody hears again lapses")
{
    // Guards against a limit without end of an upstream that gets no requests.
    UpstreamLimit limit;
    const UpstreamLimitOptions options;
    REQUIRE(applyStatement(limit, options, timeAt(5), { 4.0, timeAt(5) }));
    CHECK(isLimited(limit, timeAt(5) + options.lifetime_ - Duration(1)));
    CHECK_FALSE(isLimited(limit, timeAt(5) + options.lifetime_));
}

TEST_CASE("limits out of range count as the nearest one that is in use")
{
    // Guards against a limit of 0 that can never end, and against overflow.
    UpstreamLimit limit;
    const UpstreamLimitOptions options;
    REQUIRE(applyStatement(limit, options, timeAt(1), { 0.0, timeAt(1) }));
    CHECK(limitedRate(limit, options, timeAt(1)) == options.minRate_);
    REQUIRE(applyStatement(limit, options, timeAt(2), { 1e300, timeAt(2) }));
    CHECK(limitedRate(limit, options, timeAt(2)) == options.maxRate_);
    assignPart(limit, options, timeAt(2), "u", { .self_ = "h" });
    CHECK(nextRequestAt(limit, timeAt(3)) == timeAt(3));
}

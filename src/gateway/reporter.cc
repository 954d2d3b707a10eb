// Schedule and receivers of the messages between hosts.
#include "reporter.h"

#include "turmericwing/host/log.h"

#include <algorithm>
#include <vector>

namespace turmericwing::gateway::detail {

using host::logEvent;
using host::LogLevel;

namespace {

    /// Limits the interval of reports, so that a host receives about this many reports/s at most.
    constexpr size_t reportsPerSecond = 200;
    constexpr size_t remoteReportsPerSecond = 70; ///< The same limit for reports between regions.
    /// The same limit within a failure domain, where summaries tell the rest.
    constexpr size_t domainReportsPerSecond = 100;
    /// Rounds of reports in which the first ones of a process are full, as some receivers have not started
    /// yet.
    constexpr uint64_t firstFullRounds = 10;
    /// Every so many rounds a report is full, for receivers that lost the ones before. A prime, so that it
    /// does not always fall on rounds without other regions.
    constexpr uint64_t fullReportRounds = 11;
    constexpr Duration nearSummaryInterval = std::chrono::milliseconds(250); ///< Within the region.
    constexpr Duration farSummaryInterval = std::chrono::seconds(1); ///< Between regions.
    /// Between regions while a workspace is near its rate or a request has crashed an upstream.
    constexpr Duration urgentSummaryInterval = std::chrono::milliseconds(400);
    /// Ticks are late by less than this; a message that is due then is not left to the next tick.
    constexpr Duration tickSlack = reportInterval / 20;

    std::vector<const Peer*> reportReceivers(const Fleet& fleet)
    {
        std::vector<const Peer*> receivers;
        for (const auto& [name, peer] : fleet.peers_) {
            if (receivesReports(fleet, peer))
                receivers.push_back(&peer);
        }
        return receivers;
    }

    /// Whether the last report of a live peer tells of a recent crash.
    bool hasPeerCrash(const State& state, TimePoint now)
    {
        return std::any_of(state.fleet_.peers_.begin(), state.fleet_.peers_.end(), [&](const auto& entry) {
            return isAlive(entry.second, now) && !entry.second.report_.crashes_.empty();
        });
    }

} // namespace

Reporter::Reporter(
    boost::asio::io_context& loop, State& state, std::function<void(const HostReport&)> onHeard)
    : state_(state)
    , socket_(loop, [this](const std::string& bytes) { onMessage(bytes); })
    , onHeard_(std::move(onHeard))
{
}

Result<void> Reporter::open(const Address& address) { return socket_.open(address); }

void Reporter::onMessage(const std::string& bytes)
{
    if (isSummary(bytes))
        onSummary(bytes);
    else if (isBriefReport(bytes))
        onBriefReport(bytes);
    else
        onReport(bytes);
}

void Reporter::reject(const char* event, const std::string& reason)
{
    ++rejected_;
    logEvent(LogLevel::Warning, event, { { "reason", reason } });
}

void Reporter::onReport(const std::string& bytes)
{
    const auto report = decodeReport(bytes);
    if (!report)
        return reject("report-unreadable", report.error().message_);
    receive(report.value());
}

void Reporter::onBriefReport(const std::string& bytes)
{
    auto brief = decodeBriefReport(bytes);
    if (!brief)
        return reject("report-unreadable", brief.error().message_);
    // A full report that was lost is sent again within a few rounds.
    if (const auto report = expandReport(state_.fleet_, std::move(brief.value())))
        receive(*report);
}

void Reporter::receive(const HostReport& report)
{
    const TimePoint now = monotonicNow();
    const auto known = state_.fleet_.peers_.find(report.name_);
    const bool wasAlive = known != state_.fleet_.peers_.end() && isAlive(known->second, now);
    if (!receiveReport(state_.fleet_, now, report))
        return;
    if (!wasAlive)
        logEvent(LogLevel::Info, "peer-heard", { { "peer", report.name_ } });
    onHeard_(report);
}

void Reporter::onSummary(const std::string& bytes)
{
    auto message = decodeSummary(bytes);
    if (!message)
        return reject("summary-unreadable", message.error().message_);
    const HostReport& sums = message.value().summary_.sums_;
    const auto region = state_.settings_.regionOf_.find(sums.failureDomain_);
    if (region == state_.settings_.regionOf_.end() || region->second != sums.region_)
        return reject("summary-rejected", "unknown failure domain " + sums.failureDomain_);
    const TimePoint now = monotonicNow();
    const auto known = state_.fleet_.domains_.find(sums.failureDomain_);
    const bool sameAggregator = known != state_.fleet_.domains_.end() && now < known->second.aliveUntil_
        && known->second.summary_.sums_.name_ == sums.name_;
    if (!receiveSummary(state_.fleet_, now, message.value().summary_))
        return;
    if (!sameAggregator) {
        logEvent(LogLevel::Info, "domain-heard",
            { { "failure-domain", sums.failureDomain_ }, { "aggregator", sums.name_ },
                { "members", std::to_string(message.value().summary_.members_.size()) } });
        // The new aggregator is now the one that gets the summaries of this host.
        nextNearSummary_ = {};
        nextFarSummary_ = {};
    }
    onHeard_(sums);
    if (message.value().forward_)
        forward(std::move(message.value()));
}

void Reporter::forward(SummaryMessage message)
{
    message.forward_ = false;
    const std::string bytes = encodeSummary(message);
    const TimePoint now = monotonicNow();
    for (const auto& [name, peer] : state_.fleet_.peers_) {
        if (peer.report_.failureDomain_ != state_.settings_.failureDomain_ || !isAlive(peer, now))
            continue;
        socket_.send(peer.peerAddress_, bytes);
        forwardedBytes_ += bytes.size();
    }
}

void Reporter::sendDue(TimePoint now)
{
    while (!state_.observedCrashes_.empty() && now >= state_.observedCrashes_.front().reportUntil_)
        state_.observedCrashes_.pop_front();
    if (now >= nextReport_)
        sendReports(now);
    const bool aggregates
        = usesSummaries(state_.fleet_) && isAggregator(state_.fleet_, now, isDraining(state_));
    if (aggregates && !wasAggregator_) {
        nextNearSummary_ = {};
        nextFarSummary_ = {};
    }
    wasAggregator_ = aggregates;
    if (aggregates)
        sendSummaries(now);
}

void Reporter::sendAtOnce(TimePoint now)
{
    nextReport_ = {};
    nextRemoteReport_ = {};
    nextNearSummary_ = {};
    nextFarSummary_ = {};
    sendDue(now);
}

void Reporter::sendReports(TimePoint now)
{
    const std::vector<const Peer*> receivers = reportReceivers(state_.fleet_);
    const bool large = usesSummaries(state_.fleet_);
    const bool urgent = isNearLimit(state_.quotas_) || isDraining(state_) || !state_.observedCrashes_.empty();
    // Hosts of other regions share few upstreams with this host, and traffic between regions is expensive.
    const bool toAllRegions = large || now >= nextRemoteReport_;
    const FleetOptions& options = state_.fleet_.options_;
    const size_t perSecond = large ? domainReportsPerSecond : reportsPerSecond;
    nextReport_ = now + sendInterval(options, receivers.size(), perSecond, reportInterval) - tickSlack;
    if (toAllRegions) {
        const size_t remotePerSecond = urgent ? reportsPerSecond : remoteReportsPerSecond;
        nextRemoteReport_
            = now + sendInterval(options, receivers.size(), remotePerSecond, reportInterval) - tickSlack;
    }
    const HostReport report = makeReport(state_, now, ++sequence_);
    const std::string full = encodeReport(report);
    const std::string brief = encodeBriefReport(report);
    const bool fullRound = ++reportRounds_ <= firstFullRounds || reportRounds_ % fullReportRounds == 0;
    for (const Peer* peer : receivers) {
        const bool alive = isAlive(*peer, now);
        const bool frequent = peer->report_.region_ == state_.settings_.region_ || !alive;
        if (!frequent && !toAllRegions)
            continue;
        const std::string& bytes = fullRound || !alive ? full : brief;
        socket_.send(peer->peerAddress_, bytes);
        reportBytes_ += bytes.size();
    }
}

void Reporter::sendSummaries(TimePoint now)
{
    const bool urgent = isNearLimit(state_.quotas_) || isDraining(state_) || !state_.observedCrashes_.empty()
        || hasPeerCrash(state_, now);
    // A need that arises between two regular summaries does not wait for the next regular one.
    if (urgent)
        nextFarSummary_ = std::min(nextFarSummary_, lastFarSummary_ + urgentSummaryInterval - tickSlack);
    const bool nearDue = now >= nextNearSummary_;
    const bool farDue = now >= nextFarSummary_;
    if (!nearDue && !farDue)
        return;
    std::vector<SummaryTarget> near;
    std::vector<SummaryTarget> far;
    for (SummaryTarget& target : summaryTargets(state_.fleet_, now, state_.random_)) {
        const auto view = state_.fleet_.domains_.find(target.failureDomain_);
        const bool heard = view != state_.fleet_.domains_.end() && now < view->second.aliveUntil_;
        const bool frequent = !heard || target.region_ == state_.settings_.region_;
        (frequent ? near : far).push_back(std::move(target));
    }
    if (nearDue) {
        nextNearSummary_ = now + nearSummaryInterval - tickSlack;
        sendSummary(now, ReportStream::NearDomains, near);
    }
    if (farDue) {
        lastFarSummary_ = now;
        nextFarSummary_ = now + (urgent ? urgentSummaryInterval : farSummaryInterval) - tickSlack;
        sendSummary(now, ReportStream::FarDomains, far);
    }
}

void Reporter::sendSummary(TimePoint now, ReportStream stream, const std::vector<SummaryTarget>& targets)
{
    if (targets.empty())
        return;
    const std::string bytes
        = encodeSummary({ .summary_ = makeSummary(state_, now, ++sequence_, stream), .forward_ = true });
    for (const SummaryTarget& target : targets) {
        socket_.send(target.peerAddress_, bytes);
        summaryBytes_ += bytes.size();
    }
}

void Reporter::exportTo(host::Metrics& metrics) const
{
    const char* const name = "turmericwing_peer_bytes_sent";
    metrics.setGauge(name, "kind", "report", static_cast<double>(reportBytes_));
    metrics.setGauge(name, "kind", "summary", static_cast<double>(summaryBytes_));
    metrics.setGauge(name, "kind", "forwarded-summary", static_cast<double>(forwardedBytes_));
    metrics.setGauge("turmericwing_peer_messages_rejected", "", "", static_cast<double>(rejected_));
}

} // namespace turmericwing::gateway::detail

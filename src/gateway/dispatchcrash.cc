// Recognition of upstreams that crash, from connections that break, and the reports about them.
#include "dispatchcore.h"

#include "turmericwing/host/log.h"

#include <algorithm>

namespace turmericwing::gateway {

using host::logEvent;
using host::LogLevel;

namespace detail {

    /// Time for which reports to peers include a crash.
    constexpr Duration crashReportDuration = std::chrono::seconds(3);
    constexpr int crashProbes = 2; ///< Most probes of one check.
    constexpr Duration crashProbeInterval = std::chrono::milliseconds(200);
    /// Connections to an upstream that break within it after its crash was reported belong to that crash.
    constexpr Duration crashDedupWindow = std::chrono::milliseconds(500);

} // namespace detail

/// Probes an upstream whose connection broke and reports a crash if a probe is refused; a broken connection
/// is no proof. A crash fails every request in flight at the upstream, so the report names them all, also
/// those whose connections break while the check runs.
void Dispatcher::Core::checkForCrash(const std::string& upstream, TimePoint now)
{
    std::erase_if(crashChecks_,
        [&](const auto& entry) { return !entry.second.running_ && now >= entry.second.endsAt_; });
    const auto last = crashChecks_.find(upstream);
    if (last != crashChecks_.end()) {
        if (last->second.running_)
            addSuspects(last->second.report_, upstream);
        return;
    }
    const UpstreamRef ref = findUpstream(state_.directory_, upstream);
    // An upstream that has announced its end breaks off what still runs without a crash.
    if (!ref.record_ || ref.record_->leavingSeen_ || ref.target_->announced_.leaving_)
        return;
    const UpstreamEntry& entry = ref.record_->entry_;
    detail::CrashCheck& check = crashChecks_[upstream];
    check.running_ = true;
    check.report_ = { .id_ = { state_.settings_.name_, state_.incarnation_, ++state_.crashSerial_ },
        .upstream_ = upstream + "/" + std::to_string(entry.startedMs_),
        .at_ = evidenceNow(state_, now) };
    addSuspects(check.report_, upstream);
    probeForCrash(upstream, entry.address_, detail::crashProbes);
}

/// Adds the requests in flight at the upstream.
void Dispatcher::Core::addSuspects(routing::CrashReport& report, const std::string& upstream) const
{
    for (const auto& [id, pending] : pendingRequests_) {
        if (pending->currentUpstream_ != upstream)
            continue;
        const routing::Fingerprint print = detail::fingerprintOf(*pending);
        const bool isKnown = std::any_of(report.suspects_.begin(), report.suspects_.end(),
            [&](const routing::CrashSuspect& suspect) { return suspect.fingerprint_ == print; });
        if (!isKnown)
            report.suspects_.push_back(
                { print, { std::max<int64_t>(0, evidenceNow(state_, pending->sentAt_).ms_) } });
    }
}

void Dispatcher::Core::probeForCrash(const std::string& upstream, const Address& address, int probes)
{
    upstreamClient_.probe(address, [self = shared_from_this(), upstream, address, probes](bool refused) {
        self->onCrashProbe(upstream, address, probes, refused);
    });
}

/// Ends the check, or probes once more: the connections of a process that ends may close before its listening
/// socket does, and a probe may be lost.
void Dispatcher::Core::onCrashProbe(
    const std::string& upstream, const Address& address, int probes, bool refused)
{
    const auto check = crashChecks_.find(upstream);
    if (check == crashChecks_.end())
        return;
    if (refused) {
        check->second.running_ = false;
        check->second.endsAt_ = monotonicNow() + detail::crashDedupWindow;
        return reportCrash(std::move(check->second.report_));
    }
    if (probes <= 1) {
        crashChecks_.erase(check);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop_, detail::crashProbeInterval);
    timer->async_wait(
        [self = shared_from_this(), timer, upstream, address, probes](boost::system::error_code cancelled) {
            if (!cancelled)
                self->probeForCrash(upstream, address, probes - 1);
        });
}

void Dispatcher::Core::reportCrash(routing::CrashReport report)
{
    const auto change
        = routing::addCrashReport(state_.quarantine_, evidenceNow(state_, monotonicNow()), report);
    logEvent(LogLevel::Info, "upstream-crashed",
        { { "upstream", report.upstream_ }, { "suspects", std::to_string(report.suspects_.size()) },
            { "quarantined", std::to_string(change.records_.size()) } });
    state_.observedCrashes_.push_back({ std::move(report), monotonicNow() + detail::crashReportDuration });
}

} // namespace turmericwing::gateway

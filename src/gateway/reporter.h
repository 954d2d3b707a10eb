// Exchange of state between hosts: sends this host's reports and, as aggregator of its failure domain, its
// summaries, and receives those of the peers.
#pragma once

#include "peers.h"

#include "turmericwing/gateway/state.h"
#include "turmericwing/host/metrics.h"

#include <functional>

namespace turmericwing::gateway::detail {

/// Shortest interval of reports.
constexpr Duration reportInterval = std::chrono::milliseconds(100);

class Reporter {
public:
    /// `onHeard` is called for each new report of a peer, and for the sums of each new summary.
    Reporter(boost::asio::io_context&, State&, std::function<void(const HostReport&)> onHeard);

    /// Binds the address for messages of peers. Errors: Unavailable.
    Result<void> open(const Address&);

    /// Sends the messages that are due. Called at least every `reportInterval`.
    void sendDue(TimePoint now);

    /// Sends to all receivers now, because the host has just started or begins to stop.
    void sendAtOnce(TimePoint now);

    /// Exports the bytes sent so far by kind of message, and the number of rejected messages.
    void exportTo(host::Metrics&) const;

private:
    void onMessage(const std::string& bytes);
    void onReport(const std::string& bytes);
    void onBriefReport(const std::string& bytes);
    void receive(const HostReport&);
    void onSummary(const std::string& bytes);
    void reject(const char* event, const std::string& reason);
    void forward(SummaryMessage);
    void sendReports(TimePoint now);
    void sendSummaries(TimePoint now);
    void sendSummary(TimePoint now, ReportStream, const std::vector<SummaryTarget>&);

    State& state_;
    PeerSocket socket_;
    std::function<void(const HostReport&)> onHeard_;
    uint64_t sequence_ = 0; ///< Of the last report or summary.
    TimePoint nextReport_ {};
    TimePoint nextRemoteReport_ {}; ///< Between regions, in a fleet without summaries.
    TimePoint nextNearSummary_ {};
    TimePoint nextFarSummary_ {};
    TimePoint lastFarSummary_ {};
    bool wasAggregator_ = false; ///< At the last sendDue().
    uint64_t reportRounds_ = 0;
    uint64_t reportBytes_ = 0;
    uint64_t summaryBytes_ = 0;
    uint64_t forwardedBytes_ = 0;
    uint64_t rejected_ = 0; ///< Messages that could not be read or named an unknown failure domain.
};

} // namespace turmericwing::gateway::detail

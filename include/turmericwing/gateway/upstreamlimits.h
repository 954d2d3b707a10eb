// Limits that upstreams name in their answers, as this host knows them: from its own answers and from the
// reports of its peers. limits/upstreamlimit.h decides what a host may send.
#pragma once

#include "turmericwing/gateway/directory.h"
#include "turmericwing/gateway/fleet.h"
#include "turmericwing/gateway/report.h"
#include "turmericwing/limits/upstreamlimit.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwing::gateway {

/// State of the limits beside that of each upstream, which its UpstreamRecord has.
struct UpstreamLimits {
    limits::UpstreamLimitOptions options_ {};
    /// Hosts that share the limits of a region's upstreams, by region: those of the region itself, which send
    /// most requests there, or all hosts if none of it is alive or, under "", the region is not known. Kept
    /// up to date only while limits are known.
    std::map<std::string, limits::LimitSharers> sharers_ {};
    TimePoint knownUntil_ {}; ///< When the last limit that is known expires.
    /// Latest statements of peers since the last update, by incarnationHash.
    std::unordered_map<uint32_t, limits::LimitStatement> heard_ {};
};

/// A change of the limit in force of one upstream.
struct LimitChange {
    std::string upstream_;
    std::string service_;
    std::optional<double> before_; ///< Requests/s from all hosts; empty if not limited.
    std::optional<double> after_;
    limits::LimitSource source_ = limits::LimitSource::Answer;
    friend bool operator==(const LimitChange&, const LimitChange&) = default;
};

/// What one answer of an upstream says about its limit.
struct LimitAnswer {
    routing::Incarnation sender_;
    std::optional<double> rate_; ///< Requests/s; empty if the answer names none.
    TimePoint requestSentAt_ {};
    bool ran_ = true; ///< False for a refusal, which ends no limit by naming none.
};

/// Applies an answer that was received now. Returns the change of the limit in force, if there is one. The
/// answer of an incarnation that is not listed has no effect.
std::optional<LimitChange> recordLimit(
    UpstreamLimits&, Directory&, const Fleet&, TimePoint now, const LimitAnswer&);

/// Keeps the statements in a peer's report, or in the summary of a failure domain, for the next update.
void hearLimits(UpstreamLimits&, const Fleet&, TimePoint now, const HostReport&);

/// Applies what was heard, and computes this host's parts anew if the live hosts have changed. Returns the
/// changes.
std::vector<LimitChange> updateLimits(UpstreamLimits&, Directory&, const Fleet&, TimePoint now);

/// The statements for a report of this host, or for the summary of its failure domain: those that it, or a
/// host of the failure domain, has heard from upstreams lately.
std::vector<LimitReport> limitsToReport(
    const UpstreamLimits&, const Directory&, TimePoint now, bool forSummary);

/// Number of upstreams that are limited now.
size_t limitedCount(const UpstreamLimits&, const Directory&, TimePoint now);

/// Slots of an upstream that its limit lets be used, if a request holds one for `slotSeconds` on average.
double usableSlots(
    const UpstreamLimits&, const UpstreamRecord&, TimePoint now, uint32_t slots, double slotSeconds);

} // namespace turmericwing::gateway

// Load that an upstream reports in its answers, and what it still says some time later.
//
// A host hears an upstream only when one of its own requests is answered, and the reported figures change
// many times a second. A report therefore counts fully when it is received and loses its weight within some
// hundred milliseconds of monotonic time, so that a host that was suspended does not act on old figures. A
// report only adds load or work to what the host knows otherwise; it never draws requests to an upstream.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace turmericwing::routing {

/// Load that an upstream reports: numbers of requests and of slots, and how long work takes there now.
struct LoadReport {
    uint32_t running_ = 0;
    uint32_t waiting_ = 0;
    uint32_t slots_ = 0;
    /// Of the usual time; empty if the upstream does not say. Not 0.
    std::optional<uint32_t> workPercent_ {};
    friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

struct ReportedLoadOptions {
    Duration workHalfLife_ = std::chrono::milliseconds(200); ///< Of the reported work time.
    Duration hiddenHalfLife_ = std::chrono::milliseconds(300); ///< Of the load by unknown callers.
    double maxWorkFactor_ = 20; ///< Limit of what a report may claim.
};

/// Last report of one incarnation of an upstream. Invariant: no applied report was sent for a later attempt.
struct ReportedLoad {
    LoadReport report_ {};
    TimePoint sentAt_ {}; ///< When the attempt was sent whose answer has brought the report.
    TimePoint receivedAt_ {}; ///< Zero before the first report.
    uint32_t hidden_ = 0; ///< Requests at the upstream that this host did not know of.
    friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

/// Applies the report in the answer to an attempt sent at `sentAt`, when this host knew of `knownInFlight`
/// other requests at the upstream. Returns false, without effect, if a later attempt has brought a report.
bool applyReport(
    ReportedLoad&, const LoadReport&, TimePoint sentAt, TimePoint receivedAt, uint32_t knownInFlight);

/// How long work takes at the upstream now, as a multiple of the usual time: at least 1, and 1 if the
/// upstream does not say.
double workFactor(const ReportedLoad&, const ReportedLoadOptions&, TimePoint now);

/// How long the work of an answered attempt took as a multiple of the usual time, by the report that came
/// with the answer: at least 1, and 1 if the upstream does not say.
double answeredWorkFactor(const std::optional<LoadReport>&, const ReportedLoadOptions&);

/// Requests at the upstream from callers unknown to the fleet; 0 if the upstream says nothing of its work.
double hiddenLoad(const ReportedLoad&, const ReportedLoadOptions&, TimePoint now);

} // namespace turmericwing::routing

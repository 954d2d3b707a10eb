// Load balancing among the upstreams of a service, based on this host's own measurements, with outlier
// ejection and slow start. Selects among upstreams on which the host holds slots (slots.h); pick.h selects by
// expected response time, without slots that hosts hold.
//
// Load reports from upstreams may be stale or wrong. A report can only lower the number of slots that the
// host uses, not below a minimum fraction, and it expires.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::routing {

struct ChoiceOptions {
    Duration reportTtl_ = std::chrono::seconds(3); ///< Reports arrive every second; two may be lost.
    double minReportedFraction_ = 0.25; ///< Lower limit of a reported fraction, as reports may be wrong.
    Duration slowStartDuration_ = std::chrono::seconds(10); ///< 0 disables slow start.
    double slowStartMinFraction_ = 0.1; ///< Fraction of the slots at the start of slow start.
    Duration estimateHalfLife_ = std::chrono::seconds(10); ///< Lets an avoided upstream be tried again.
    double tieFactor_ = 1.1; ///< Scores up to this multiple of the best one count as equal.
    double newSampleWeight_ = 0.1; ///< Weight of a new sample in the moving averages.
    Duration overloadBackoff_ = std::chrono::milliseconds(250); ///< After a refusal without Retry-After.
    uint32_t ejectAfterErrors_ = 5; ///< Consecutive errors before ejection; 0 disables it.
    double ejectLatencyRatio_ = 3; ///< Multiple of the median latency that causes ejection; 0 disables it.
    uint32_t minLatencySamples_ = 20; ///< Samples before latencies are compared.
    Duration minOutlierLatency_ = std::chrono::milliseconds(50); ///< Lower latencies are never outliers.
    Duration baseEjectionTime_ = std::chrono::seconds(5); ///< Doubles with each ejection, up to 16 times.
    double maxEjectedFraction_ = 0.5; ///< Limit among a service's upstreams that do not drain.
    bool useLoad_ = true; ///< False ignores the scores and chooses at random. For tests only.
};

/// Reasons to send no new requests to an upstream. Each is set and cleared independently.
struct DrainReasons {
    bool head_ = false; ///< Drained in the control head.
    bool response_ = false; ///< The upstream announced it in a response.
    bool list_ = false; ///< Marked as leaving in the platform's upstream list, or absent from it.
    bool any() const { return head_ || response_ || list_; }
};

/// What this host has measured and been told about one upstream.
struct UpstreamState {
    std::string name_;
    std::string service_;
    std::string region_;
    uint32_t inFlight_ = 0;
    DrainReasons drain_;
    TimePoint coldUntil_ {}; ///< End of slow start.
    double reportedFraction_ = 1; ///< Fraction of its slots that the upstream reports as usable, in [0, 1].
    TimePoint reportExpires_ {};
    TimePoint pausedUntil_ {}; ///< End of the backoff after an overload response.
    double meanLatency_ = 0; ///< Moving average, in seconds.
    double errorRate_ = 0; ///< Moving average, in [0, 1].
    uint32_t samples_ = 0; ///< Latency samples since the last reset.
    TimePoint estimatedAt_ {}; ///< Last update of the averages.
    uint32_t consecutiveErrors_ = 0;
    /// Scales the ejection time. Reset after 10 x minLatencySamples_ samples without one.
    uint32_t ejections_ = 0;
    TimePoint ejectedUntil_ {};
};

/// The upstreams of all services as seen by one host.
struct ChoiceTable {
    std::string host_;
    ChoiceOptions options_ {};
    std::map<std::string, UpstreamState> upstreams_ {};
};

/// Adds an upstream; does nothing if it is already listed. `cold` begins slow start; pass false for upstreams
/// that already ran when this host started.
void addUpstream(ChoiceTable&, TimePoint now, const std::string& name, const std::string& service,
    const std::string& region, bool cold);

/// Removes an upstream; does nothing if it is unknown. Ends ejections of others early if they would exceed
/// the ejection limit.
void removeUpstream(ChoiceTable&, TimePoint now, const std::string& name);

/// Replaces the drain reasons, effective with the next choice. Clearing the last reason begins slow start.
void setDrain(ChoiceTable&, TimePoint now, const std::string& name, DrainReasons);

/// Records a load report. `usable` is the fraction of its slots that the upstream can use; it is clamped to
/// [minReportedFraction_, 1], and NaN is ignored.
void recordUsableFraction(ChoiceTable&, TimePoint now, const std::string& name, double usable);

/// Token bucket in bytes for this host's share of one direction of an inter-region link. Requests that
/// transfer more than expected make the level negative, and it has to refill before the next request.
struct LinkBudget {
    double bytesPerSecond_ = 0;
    double burstBytes_ = 0;
    double availableBytes_ = 0; ///< Starts at 0, so that a restarted process gets no second burst.
    TimePoint updatedAt_ {};
};

/// Whether the bucket holds `bytes`.
bool linkAllows(const LinkBudget&, TimePoint now, double bytes);
/// Withdraws `bytes`, whether or not they are available.
void chargeLink(LinkBudget&, TimePoint now, double bytes);

/// Slots of an upstream on this host: all that it holds (home and borrowed), and those that are free for a
/// request with the given deadline.
struct SlotCount {
    std::string upstream_;
    uint32_t held_ = 0;
    uint32_t free_ = 0;
};

struct ChoiceRequest {
    std::string service_;
    std::string region_; ///< Region of this host.
    double bytes_ = 0; ///< Expected size of request and response, for the link budget.
    std::string except_; ///< Upstream of the failed attempt; used only if there is no other.
    /// Whether an upstream that is in service, but has no free slot, counts as another one.
    bool waitForOther_ = false;
};

/// Returns the name of an upstream with a free slot, or nullopt if there is none. `links` holds the budgets
/// by region of the upstream; a region without a budget gets no requests from other regions. The caller
/// charges the link.
std::optional<std::string> chooseUpstream(const ChoiceTable&, TimePoint now, const ChoiceRequest&,
    const std::vector<SlotCount>&, const std::map<std::string, LinkBudget>& links, Random&);

/// How an attempt ended, as far as the choice is concerned.
enum class Outcome {
    Success,
    Error, ///< Connection error, timeout, or an invalid or 5xx response.
    Overload, ///< Rejected by the upstream as overloaded; causes backoff, not ejection.
    Ignored, ///< Cancelled by the caller, or a crash attributed to a quarantined request.
};

/// Counts a request in flight.
void beginRequest(ChoiceTable&, const std::string& name);

/// Removes a request from those in flight and updates the estimates. `retryAfter` is the Retry-After of an
/// overload response, 0 for none; backoff is limited to one second.
void endRequest(ChoiceTable&, TimePoint now, const std::string& name, Outcome, Duration latency,
    Duration retryAfter = Duration::zero());

/// Reverts one error that is now attributed to a quarantined request, and ends the ejection that consecutive
/// errors caused.
void revertError(ChoiceTable&, const std::string& name);

bool isEjected(const UpstreamState&, TimePoint now);

/// Number of the `held` slots, from 0 to all, that the host may use now; reduced by load reports and slow
/// start.
uint32_t effectiveBound(const ChoiceTable&, const UpstreamState&, TimePoint now, uint32_t held);

} // namespace turmericwing::routing

// Choice among the upstreams of a service, from what this host has seen itself.
//
// Load reports of upstreams may lag or mislead. They can lower the number of slots that the host uses, never
// raise it, never below a floor, and they expire.
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
    Duration reportLife_ = std::chrono::seconds(3); ///< Reports come every second; two may be lost.
    double reportFloor_ = 0.25; ///< Least part of the bound that a report leaves, as reports may be wrong.
    Duration slowStart_ = std::chrono::seconds(10); ///< 0 switches slow start off.
    double slowStartFloor_ = 0.1; ///< Part of the bound at the beginning of slow start.
    Duration estimateHalfLife_ = std::chrono::seconds(10); ///< So that an avoided upstream is tried again.
    double tie_ = 1.1; ///< Scores up to this multiple of the best are equal.
    double estimateWeight_ = 0.1; ///< Weight of a new sample.
    Duration overloadPause_ = std::chrono::milliseconds(250); ///< After a refusal without Retry-After.
    uint32_t ejectErrors_ = 5; ///< Consecutive errors that eject; 0 switches off.
    double ejectLatency_ = 3; ///< Multiple of the median latency that ejects; 0 switches off.
    uint32_t ejectLatencySamples_ = 20;
    Duration ejectLatencyLeast_ = std::chrono::milliseconds(50); ///< Smaller latencies are never outliers.
    Duration ejection_ = std::chrono::seconds(5); ///< First time; doubles with each up to 16 times.
    double maxEjected_ = 0.5; ///< Part of a service's usable upstreams.
    bool useLoad_ = true; ///< False chooses at random. Only for tests.
};

/// Why an upstream gets no new work. Each reason is set and cleared on its own.
struct DrainReasons {
    bool head_ = false; ///< Drained through the head.
    bool response_ = false; ///< Said so in a response.
    bool list_ = false; ///< Leaving or absent in the platform's list.
    bool any() const { return head_ || response_ || list_; }
};

struct UpstreamState {
    std::string name_;
    std::string service_;
    std::string region_;
    uint32_t inFlight_ = 0;
    DrainReasons drain_;
    TimePoint coldUntil_ {}; ///< End of slow start.
    double reported_ = 1; ///< Part of its slots that the upstream says it can use, in [0, 1].
    TimePoint reportExpires_ {};
    TimePoint pausedUntil_ {}; ///< Refused for overload.
    double latency_ = 0; ///< Seconds.
    double errors_ = 0; ///< Rate in [0, 1].
    uint32_t samples_ = 0;
    TimePoint estimated_ {};
    uint32_t consecutiveErrors_ = 0;
    uint32_t ejections_ = 0;
    TimePoint ejectedUntil_ {};
};

struct ChoiceTable {
    std::string host_;
    ChoiceOptions options_ {};
    std::map<std::string, UpstreamState> upstreams_ {};
};

/// Adds an upstream. `cold` starts its slow start; false for those that were there before this host started.
void addUpstream(ChoiceTable&, TimePoint now, const std::string& name, const std::string& service,
    const std::string& region, bool cold);

void removeUpstream(ChoiceTable&, TimePoint now, const std::string& name);

/// Takes effect at the next choice. An upstream whose last reason is cleared starts slowly.
void setDrain(ChoiceTable&, TimePoint now, const std::string& name, DrainReasons);

/// `usable` is the part of its slots that the upstream says it can use.
void reportLoad(ChoiceTable&, TimePoint now, const std::string& name, double usable);

/// This host's share of one direction of a link between regions. Bytes over the share become debt, which
/// later requests wait for.
struct LinkBudget {
    double bytesPerSecond_ = 0;
    double burstBytes_ = 0;
    double level_ = 0; ///< Starts empty, so that a new process does not spend a burst again.
    TimePoint updated_ {};
};

bool linkAllows(const LinkBudget&, TimePoint now, double bytes);
void chargeLink(LinkBudget&, TimePoint now, double bytes);

/// Slots of an upstream on this host: held (home and borrowed) and free for the request's deadline.
struct SlotCount {
    std::string upstream_;
    uint32_t held_ = 0;
    uint32_t free_ = 0;
};

struct ChoiceRequest {
    std::string service_;
    std::string region_; ///< Of this host.
    double bytes_ = 0; ///< Expected over the link, request and response.
    std::string except_; ///< Upstream of the failed attempt, avoided unless it is the only one.
};

/// Chooses an upstream with a free slot; nothing if there is none. `links` holds the budgets by region of the
/// upstream; without a budget no request goes to another region. The caller charges the link.
std::optional<std::string> chooseUpstream(const ChoiceTable&, TimePoint now, const ChoiceRequest&,
    const std::vector<SlotCount>&, const std::map<std::string, LinkBudget>& links, Random&);

enum class Outcome {
    Success,
    Error, ///< Connection error, timeout, or an invalid or 5xx response.
    Overload, ///< Refused for load; lowers the use of the upstream, does not count for ejection.
    Ignored, ///< Cancelled by the caller, or a crash explained by a quarantined request.
};

void beginRequest(ChoiceTable&, const std::string& name);

/// `retryAfter` is the upstream's wish with an overload refusal, 0 for none.
void endRequest(ChoiceTable&, TimePoint now, const std::string& name, Outcome, Duration latency,
    Duration retryAfter = Duration::zero());

/// Takes back an error that a request caused which was quarantined later.
void forgiveError(ChoiceTable&, const std::string& name);

bool isEjected(const UpstreamState&, TimePoint now);

/// Number of the `held` slots that the host uses now.
uint32_t effectiveBound(const ChoiceTable&, const UpstreamState&, TimePoint now, uint32_t held);

} // namespace turmericwing::routing

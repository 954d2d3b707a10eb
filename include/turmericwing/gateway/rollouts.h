// Rollouts on one host: which versions of a service may get requests, the share of each, and the
// response counts that decide whether the new version is bad. The store holds start and end of each rollout,
// and hosts also report both to each other.
//
// A ramp is identified by its version and its start on the store's clock. Row versions identify orders only
// within an era of the store: after the store was restored from an older copy, the order of a known ramp is
// recognised by its version of the software.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/report.h"
#include "turmericwing/rollout/ledger.h"
#include "turmericwing/rollout/ramp.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::gateway {

/// An operator's rollout order, with the version of its row in the store.
struct OrderRecord {
    RolloutOrder order_;
    uint64_t rowVersion_ = 0;
    uint64_t era_ = 0; ///< Era of the store to which rowVersion_ belongs.
};

/// The latest rollout of a service, with the evidence of this host. A ramp carries out a rollout order.
struct RampRecord {
    rollout::Ramp ramp_;
    uint64_t orderVersion_ = 0; ///< Row version of the operator's order.
    uint64_t orderEra_ = 0; ///< Era of the store to which orderVersion_ belongs.
    rollout::RampCounts counts_; ///< Answers counted on this host.
    rollout::EvidenceLedger ledger_; ///< Counts of all hosts, this one included.
    rollout::RampTests tests_; ///< Sequential tests over the counts of all hosts.
    /// From the counts of all hosts. A process that starts during the ramp does not know them yet.
    rollout::RampEvidence evidence_ = rollout::RampEvidence::Unproven;
    /// Found bad here or by a peer: the version gets no more requests, whatever the store says.
    bool foundBad_ = false;
};

/// All rollouts that this host knows.
struct Rollouts {
    std::map<std::string, OrderRecord> orders_; ///< By service.
    std::map<std::string, RampRecord> ramps_; ///< By service; the latest one.
    /// Since then, on the store's clock, this process counts answers and hears of those of others. Ramps that
    /// started before are known in part.
    int64_t observedSinceMs_ = 0;
    /// After a restore of the store: until then, orders may be older than the ramps and start none.
    TimePoint settlingEndsAt_ {};
};

/// A ramp with its order, as its row in the store holds it.
struct StoredRamp {
    rollout::Ramp ramp_;
    uint64_t orderVersion_ = 0; ///< Row version of the operator's order.
    uint64_t orderEra_ = 0; ///< Era of the store to which orderVersion_ belongs.
    rollout::RampTotal total_ {}; ///< Counts of all hosts when the row was written.
    friend bool operator==(const StoredRamp&, const StoredRamp&) = default;
};

/// Which versions may get a request.
struct VersionFilter {
    std::string only_; ///< If not empty, only this version.
    std::string except_; ///< If not empty, any version but this one.

    /// Whether both conditions hold for `version`.
    bool allows(const std::string& version) const
    {
        return (only_.empty() || version == only_) && (except_.empty() || version != except_);
    }
    friend bool operator==(const VersionFilter&, const VersionFilter&) = default;
};

/// Returns which versions may get one request, at random by the current share while a ramp runs. `base` is
/// the version that gets the traffic without a rollout, `storeMs` the time on the store's clock.
VersionFilter chooseVersionFilter(
    const Rollouts&, const std::string& service, const std::string& base, int64_t storeMs, Random&);

/// Merges a ramp from the store or from a peer. A ramp of a later order replaces the known one: within an era
/// the order with the higher row version, else that of the ramp that started later. An ended ramp does not
/// run again or change its result. Returns true if a ramp was added or changed.
bool mergeRamp(Rollouts&, const StoredRamp&);

/// Adds an order, which may be that of a known ramp.
void addOrder(Rollouts&, TimePoint now, const OrderRecord&);

/// The store was restored from an older copy.
void onStoreRestored(Rollouts&, TimePoint now);

/// Counts an answer as evidence for `version`. Does nothing if the service has no running ramp.
void countAnswer(Rollouts&, const std::string& service, const std::string& version, bool failed, bool slow);

/// An unanswered request that has taken longer than usual, as evidence for a version.
struct OverdueRequest {
    std::string service_;
    std::string version_;
};

/// Replaces the counts of overdue requests of all running ramps.
void countOverdue(Rollouts&, const std::vector<OverdueRequest>&);

/// Whether any service has a running ramp.
bool hasRunningRamp(const Rollouts&);

/// Updates the tests of all running ramps from the counts of this host and its peers. `peers` may hold the
/// sums of failure domains. What a peer found bad counts for a completed ramp, too. Returns the services
/// whose new version was found bad.
std::vector<std::string> evaluateRamps(Rollouts&, const std::vector<const HostReport*>& peers);

/// Adds what hosts had counted that are not among `reports` any more to the sums of a failure domain, so that
/// its sums do not decrease when a member ends.
void addEndedCounts(const Rollouts&, const std::vector<const HostReport*>& reports, HostReport& sums);

/// Orders that have no ramp yet, none while settling. The designated writer starts them.
std::vector<OrderRecord> unstartedOrders(const Rollouts&, TimePoint now);

/// The latest ramp of each service, running or ended, for the report of this host.
std::vector<RampReport> rampReports(const Rollouts&);

/// Encodes the store row of a ramp as JSON, in the gateway's own format.
std::string encodeRamp(const StoredRamp&);

/// Decodes the store row of a ramp. Errors: Invalid.
Result<StoredRamp> decodeRamp(const std::string& value);

} // namespace turmericwing::gateway

// State of the gateway. It is owned by the one event loop, and decisions are functions over these plain
// structs.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/directory.h"
#include "turmericwing/gateway/drain.h"
#include "turmericwing/gateway/fleet.h"
#include "turmericwing/gateway/protocol.h"
#include "turmericwing/gateway/quotas.h"
#include "turmericwing/gateway/rollouts.h"
#include "turmericwing/gateway/settings.h"
#include "turmericwing/gateway/upstreamlimits.h"
#include "turmericwing/routing/quarantine.h"
#include "turmericwing/routing/regionsplit.h"
#include "turmericwing/routing/retry.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace turmericwing::gateway {

/// Round-trip times that are used where none was measured.
struct RoundTripDefaults {
    Duration sameDomain_ = std::chrono::microseconds(400); ///< Within a failure domain.
    Duration sameRegion_ = std::chrono::milliseconds(2); ///< Between failure domains of a region.
    Duration otherRegion_ = std::chrono::milliseconds(80); ///< Between regions, until one is measured.
};

/// A crash that this host saw, and the time until which its reports to peers include it.
struct ObservedCrash {
    routing::CrashReport report_;
    TimePoint reportUntil_ {};
};

/// Request rate, smoothed over updates.
struct DemandRate {
    double requestCount_ = 0; ///< Requests since the last update.
    double rate_ = 0; ///< Requests/s.
    double slotSeconds_ = 0; ///< Mean seconds for which one occupies a slot; 0 if not measured separately.
};

/// Demand for one service at this host, and the split of its requests among regions.
struct ServiceDemand {
    DemandRate unbound_; ///< Requests that more than one region may run.
    std::map<std::string, DemandRate> bound_; ///< Requests with one home region, by that region.
    double slotSeconds_ = 0; ///< Mean seconds for which a request occupies a slot; 0 until measured.
    /// Last update without measured demand: no host had any, or this host had no split to start from.
    TimePoint lastUnmeasuredAt_ {};
    routing::RegionSplit split_; ///< Empty until the first update.
    /// Number of requests so far that several regions may run; determines the position in the split of a
    /// request without an object.
    uint64_t positionCount_ = 0;
};

/// Mutable state of one gateway process.
struct State {
    Settings settings_;
    Protocol protocol_;
    std::shared_ptr<const Catalog> catalog_; ///< Null until the first configuration is known.
    Directory directory_;
    Fleet fleet_;
    Quotas quotas_;
    UpstreamLimits upstreamLimits_;
    Rollouts rollouts_;
    routing::QuarantineTable quarantine_;
    std::deque<ObservedCrash> observedCrashes_;
    /// Number of crashes that were reported in each stream; tells which are next if a message cannot hold
    /// all.
    std::map<ReportStream, size_t> reportedCrashes_;
    std::map<std::string, routing::RetryBudget> retryBudgets_; ///< By service.
    /// Smoothed round-trip time in seconds by region, from connection set-up times.
    std::map<std::string, double> roundTrips_;
    RoundTripDefaults roundTripDefaults_;
    uint64_t incarnation_ = 0;
    uint64_t crashSerial_ = 0;
    std::optional<DrainSchedule> drain_; ///< Set once a graceful stop has begun.
    bool reachesStore_ = false;
    TimePoint tickedAt_ {}; ///< Last periodic update.
    /// Since then this process has run without a pause in which it may have missed reports of its peers.
    TimePoint attentiveSince_ {};
    TimePoint storeAnsweredAt_ {}; ///< Last answer from the store.
    /// Since then no gap between answers was long enough for entries to lapse.
    TimePoint storeReachableSince_ {};
    routing::RegionSplitOptions splitOptions_;
    std::map<std::string, ServiceDemand> demand_; ///< By service.
    TimePoint demandUpdatedAt_ {}; ///< Last update of demand_.
    uint64_t storeEra_ = 0; ///< Era of the last answer from the store; 0 until known.
    int64_t storeMs_ = 0; ///< The store's monotonic clock at storeReadAt_, in milliseconds.
    TimePoint storeReadAt_ {};
    Random random_ = makeRandom();
};

/// Estimate of the store's monotonic clock at `now`, in milliseconds.
int64_t storeNow(const State&, TimePoint now);

/// The store's clock as the time of crash evidence and quarantines. Hosts compare these times with each
/// other, and their times of day differ and may jump.
inline WallTime evidenceNow(const State& state, TimePoint now) { return { storeNow(state, now) }; }

/// Records an answer from the store. After a gap in which entries may lapse the time for which it has been
/// reachable starts anew.
void storeAnswered(State&, TimePoint now);

/// Milliseconds for which the store has answered without a gap in which entries may lapse; 0 if it does not
/// answer now.
uint32_t storeReachableMs(const State&, TimePoint now);

/// Records a periodic update. After a longer pause, as of a suspended process, beliefs about peers are old.
void recordTick(State&, TimePoint now);

/// Whether this host knows enough of the fleet to decide for it: it has run for the lifetime of a report
/// without a pause, and hears a peer unless no other host is registered. A host that has just started or was
/// suspended, or that is cut off from all others, does not.
bool hasFleetView(const State&, TimePoint now);

/// Whether a graceful stop has begun.
inline bool isDraining(const State& state) { return state.drain_.has_value(); }

/// Whether the host can serve requests: it has a configuration and the upstreams, and is not draining.
inline bool isReady(const State& state)
{
    return state.catalog_ && state.directory_.loaded_ && !isDraining(state);
}

/// Round-trip time to an upstream in seconds, measured or the default.
double roundTrip(const State&, const routing::Target&);

/// Resources of the host; unknown unless the settings hold the processor share.
HostCapacity hostCapacity(const Settings&);

/// Report of this host to its peers. Marks the demands of workspaces in it as reported in the stream.
HostReport makeReport(State&, TimePoint now, uint64_t sequence, ReportStream = ReportStream::Hosts);

/// Summary of this host and the live peers of its failure domain. Marks the demands of workspaces in it as
/// reported in the stream.
DomainSummary makeSummary(State&, TimePoint now, uint64_t sequence, ReportStream);

/// Updates the demand rates since the last call and moves the split of each service towards the one that
/// matches demand and capacity of the regions, in bounded steps.
void updateSplits(State&, TimePoint now);

/// Sums the requests that live peers have in flight at each upstream, and renews how many more requests this
/// host may send to it.
void applyPeerLoads(State&, TimePoint now, const routing::PickOptions&);

} // namespace turmericwing::gateway

// Everything that the gateway knows, on its one event loop. Decisions are functions over these plain parts.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/directory.h"
#include "turmericwing/gateway/fleet.h"
#include "turmericwing/gateway/protocol.h"
#include "turmericwing/gateway/quotas.h"
#include "turmericwing/gateway/rollouts.h"
#include "turmericwing/gateway/settings.h"
#include "turmericwing/routing/quarantine.h"
#include "turmericwing/routing/regionsplit.h"
#include "turmericwing/routing/retry.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace turmericwing::gateway {

/// One-way delays when nothing was measured.
struct DistanceOptions {
    Duration domain_ = std::chrono::microseconds(400); ///< Round trip within a failure domain.
    Duration region_ = std::chrono::milliseconds(2); ///< Round trip between failure domains of a region.
    Duration remote_ = std::chrono::milliseconds(80); ///< Round trip between regions, until one is measured.
};

/// A crash report with the time until which it stands in this host's reports.
struct OwnCrash {
    routing::CrashReport report_;
    TimePoint toldUntil_ {};
};

/// Requests/s, measured between updates.
struct DemandRate {
    double asked_ = 0; ///< Requests since the last update.
    double rate_ = 0;
};

/// Demand for one service at this host, and where its requests go.
struct ServiceDemand {
    DemandRate free_; ///< Of requests that more than one region may run.
    std::map<std::string, DemandRate> bound_; ///< Of those with one home region, by that region.
    double held_ = 0; ///< Mean seconds that a request holds a slot; 0 until known.
    TimePoint busySince_ {}; ///< Last moment without requests anywhere.
    routing::RegionSplit split_; ///< Empty until the first update.
    uint64_t drawn_ = 0; ///< Requests without an object, which spread evenly over the line of shares.
};

struct State {
    Settings settings_;
    Protocol protocol_;
    std::shared_ptr<const Catalog> catalog_; ///< Null until the first configuration is known.
    Directory directory_;
    Fleet fleet_;
    Quotas quotas_;
    Rollouts rollouts_;
    routing::QuarantineTable quarantine_;
    std::deque<OwnCrash> ownCrashes_;
    std::map<std::string, routing::RetryBudget> retries_; ///< By service.
    /// Round trip in seconds to a region, from set-up times of connections.
    std::map<std::string, double> roundTrips_;
    DistanceOptions distance_;
    uint64_t incarnation_ = 0;
    uint64_t crashSerial_ = 0;
    bool draining_ = false;
    bool reachesStore_ = false;
    TimePoint storeAnsweredAt_ {}; ///< Last answer.
    TimePoint storeHeldSince_ {}; ///< Answers have come without a gap that lets entries lapse.
    routing::RegionSplitOptions splitOptions_;
    std::map<std::string, ServiceDemand> demand_; ///< By service.
    TimePoint demandAt_ {}; ///< Last update of demand_.
    int64_t storeMs_ = 0; ///< The store's clock at storeReadAt_.
    TimePoint storeReadAt_ {};
    Random random_ = makeRandom();
};

/// Estimate of the store's clock.
int64_t storeNow(const State&, TimePoint now);

/// The store answered. A gap since the last answer starts the time anew for which it has been held.
void storeAnswered(State&, TimePoint now);

/// Time for which the store has answered without a long gap, in milliseconds; 0 if it does not answer now.
uint32_t storeHeldMs(const State&, TimePoint now);

/// Whether the host can serve: it knows a configuration and the upstreams, and is not draining.
inline bool isReady(const State& state)
{
    return state.catalog_ && state.directory_.loaded_ && !state.draining_;
}

/// Seconds to an upstream and back.
double roundTrip(const State&, const routing::Target&);

/// Caller addresses of the hosts that a caller should use: those of its failure domain if there are two or
/// more, else of its region, else all.
std::vector<std::string> lookupAddresses(const State&, TimePoint now, const LookupQuery&);

/// What this host tells its peers now.
HostReport makeReport(State&, TimePoint now, uint64_t serial);

/// Measures the demand since the last update and moves the splits of all services towards what demand and
/// room of the regions ask for.
void updateSplits(State&, TimePoint now);

/// Counts what peers have in flight at each upstream, and renews this host's allowances.
void applyPeerLoads(State&, TimePoint now, const routing::PickOptions&);

} // namespace turmericwing::gateway

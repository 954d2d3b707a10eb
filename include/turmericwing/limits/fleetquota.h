// Enforces a workspace's rate over all hosts without an owner that grants tokens.
//
// Every host estimates the level of one fleet-wide token bucket from its own admissions, counted at once, and
// from the admissions that its peers report. While the level is high, every request is admitted. When it
// falls, each request is admitted with the probability that brings the fleet back to the rate. No host needs
// a whole token of its own, so a workspace with few requests is not refused because they arrive at many
// hosts. The parts of the rate of hosts that are not heard stay with those hosts.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/limits/bucket.h"

#include <cstdint>

namespace turmericwing::limits {

struct FleetQuotaOptions {
    double demandWindowSeconds_ = 0.5; ///< Time constant of the moving average of the demand.
    double recoveryTimeSeconds_ = 1; ///< Time in which a surplus is spent or a deficit made up.
};

/// Estimate of one host for one workspace. Invariant: level_ - unreported_ is at most the burst. It may be
/// negative after several hosts admitted requests at the same moment.
struct FleetQuota {
    BucketLimits limits_ {}; ///< Of this host and the peers that it hears.
    double level_ = 0; ///< Estimated level of the fleet's bucket, in requests.
    /// Requests that peers have probably admitted since their last reports; not yet subtracted from level_.
    double unreported_ = 0;
    TimePoint updated_ {};
    double arrived_ = 0; ///< Requests that arrived at this host since the last update.
    double demand_ = 0; ///< Requests/s that arrive at this host.
    double peerDemand_ = 0; ///< Requests/s that arrive at the peers.
    uint32_t admitted_ = 0; ///< Requests admitted since this host started, less those put back; wraps around.
};

/// Updates the demand, refills the bucket and subtracts what peers have admitted since the last call. The
/// first call only sets the limits and the peers' demand. `heardFraction` is the fraction of all registered
/// hosts that are heard, including this one. `peersAdmitted` is negative if peers put back more admissions
/// than they made. `peersUnreported` is what they have probably admitted since their last reports, which may
/// be seconds old.
void updateQuota(FleetQuota&, const FleetQuotaOptions&, TimePoint now, BucketLimits fleet,
    double heardFraction, double peerDemand, int64_t peersAdmitted, double peersUnreported = 0);

/// Returns the probability, in [0, 1], with which the next request is admitted.
double admitProbability(const FleetQuota&, const FleetQuotaOptions&);

/// Counts an arriving request and returns whether it is admitted.
bool admit(FleetQuota&, const FleetQuotaOptions&, Random&);

/// Cancels an admission whose request no upstream has run. The level stays within the burst.
void cancelAdmission(FleetQuota&);

/// Returns the seconds until the level is expected to be back at 0: 0 if it is not negative, 3600 if the rate
/// is 0.
double recoverySeconds(const FleetQuota&);

} // namespace turmericwing::limits

// A workspace's rate over all hosts, kept without an owner.
//
// Every host estimates the level of one bucket for the whole fleet from its own admissions, which it counts
// at once, and from those of its peers, which they report. While the level is high it admits everything. When
// it falls, a host admits each request with the probability that brings the fleet back to the rate, which
// needs no whole tokens on each host: a workspace of few requests is not refused because they come in at many
// hosts. Hosts that are not heard keep their part of the rate.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/limits/bucket.h"

#include <cstdint>

namespace turmericwing::limits {

struct FleetQuotaOptions {
    double demandWindow_ = 0.5; ///< Seconds; time constant of the measured demand.
    double recoveryTime_ = 1; ///< Seconds in which a level other than 0 is spent or paid back.
};

/// Invariant: level_ is at most burst. It may be negative after hosts admitted at the same moment.
struct FleetQuota {
    BucketLimits limits_ {}; ///< Of the part of the fleet that is heard.
    double level_ = 0; ///< Requests.
    TimePoint updated_ {};
    double asked_ = 0; ///< Requests of callers at this host since the last update.
    double demand_ = 0; ///< Requests/s of callers at this host.
    double peerDemand_ = 0; ///< Requests/s at the peers.
    uint32_t admitted_ = 0; ///< Since the start of this host; wraps around.
};

/// Measures the demand, fills the bucket, and takes what peers have admitted since the last call. `heardPart`
/// is the /// part of all registered hosts that are heard, this one included. `peersAdmitted` is negative
/// when peers took back more admissions than they made.
void updateQuota(FleetQuota&, const FleetQuotaOptions&, TimePoint now, BucketLimits fleet, double heardPart,
    double peerDemand, int64_t peersAdmitted);

/// Probability with which the next request is admitted.
double admitProbability(const FleetQuota&, const FleetQuotaOptions&);

/// Admits one request or not.
bool admit(FleetQuota&, const FleetQuotaOptions&, Random&);

/// Takes back an admission whose request no upstream has run.
void putBackAdmission(FleetQuota&);

/// Seconds until the fleet is expected to be back at its rate.
double recoverySeconds(const FleetQuota&);

} // namespace turmericwing::limits

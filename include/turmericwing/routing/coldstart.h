// Rate limiting of requests to an upstream that has just started.
//
// A cold upstream crashes if the total request rate of all hosts exceeds its limit. Only a few hosts, its
// owners, may send to it. They are selected by rendezvous hashing among all registered hosts, and each gets
// an equal part of the rate and a burst of one. The total therefore stays below rate + owners in any second,
// even while hosts cannot reach each other.
#pragma once

#include "turmericwing/limits/bucket.h"

#include <string>
#include <vector>

namespace turmericwing::routing {

struct ColdStartOptions {
    uint32_t ownerCount_ = 2; ///< Hosts that may send to a cold upstream.
    /// Fraction of the rate in use; the rest covers differences between clocks.
    double rateUtilisation_ = 0.9;
};

/// Whether `host` is one of the owners of the upstream. `hosts` are the names of all registered hosts in the
/// upstream's region, or in all regions if it has none.
bool ownsColdStart(const ColdStartOptions&, const std::string& upstream, const std::string& host,
    const std::vector<std::string>& hosts);

/// Token bucket of one owner, empty at `since`. `ratePerSecond` is the limit of the upstream for all hosts.
limits::Bucket makeColdStartBucket(const ColdStartOptions&, double ratePerSecond, TimePoint since);

} // namespace turmericwing::routing

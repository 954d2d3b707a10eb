// Admission of requests to an upstream that has just started.
//
// A cold upstream crashes when the requests of all hosts together exceed its rate. A few hosts, chosen by
// rendezvous hashing among all registered ones, each get an equal part of that rate and a burst of one, so
// the sum over all hosts stays below rate + owners in any second, whichever hosts can hear each other.
#pragma once

#include "turmericwing/limits/bucket.h"

#include <string>
#include <vector>

namespace turmericwing::routing {

struct ColdStartOptions {
    uint32_t owners_ = 2; ///< Hosts that may send to one cold upstream.
    double useOfRate_ = 0.9; ///< Part of the rate that is spent; the rest covers clocks that differ.
};

/// Whether `host` is one of the owners of the upstream. `hosts` are the names of all registered hosts of the
/// upstream's region, or of all regions where it has none.
bool ownsColdStart(const ColdStartOptions&, const std::string& upstream, const std::string& host,
    const std::vector<std::string>& hosts);

/// Bucket of one owner; it is empty at `since`.
limits::Bucket makeColdStartBucket(const ColdStartOptions&, double ratePerSecond, TimePoint since);

} // namespace turmericwing::routing

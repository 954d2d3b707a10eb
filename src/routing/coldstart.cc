// Selection and rate limits of the hosts that may send to a cold upstream.
#include "turmericwing/routing/coldstart.h"

#include "turmericwing/base/hash.h"

#include <algorithm>

namespace turmericwing::routing {

bool ownsColdStart(const ColdStartOptions& options, const std::string& upstream, const std::string& host,
    const std::vector<std::string>& hosts)
{
    const uint64_t own = rendezvousWeight(upstream, host);
    const auto higher = std::count_if(hosts.begin(), hosts.end(),
        [&](const std::string& other) { return other != host && rendezvousWeight(upstream, other) > own; });
    return static_cast<uint32_t>(higher) < options.ownerCount_;
}

limits::Bucket makeColdStartBucket(const ColdStartOptions& options, double ratePerSecond, TimePoint since)
{
    const double rate
        = std::max(0.0, ratePerSecond) * options.rateUtilisation_ / std::max(options.ownerCount_, 1U);
    return limits::makeEmptyBucket({ rate, 1 }, since);
}

} // namespace turmericwing::routing

// Split of a rate among hosts by demand, without an owner.
//
// Every registered host has a guaranteed part, rate / hosts. Hosts that hear each other lend what they do not
// need to those that ask for more. Nobody uses the part of a host that is not heard, so that the sum stays
// within the rate also while hosts are cut off from each other.
#pragma once

#include <cstddef>
#include <vector>

namespace turmericwing::limits {

struct HostShareOptions {
    double headroom_ = 1.3; ///< A lender keeps this multiple of its demand.
    double keptPart_ = 0.2; ///< Least part of the guarantee that a lender keeps for a sudden rise.
};

/// Requests/s that a host may admit. `ownDemand` and `heardDemands` are requests/s that callers ask for at
/// this host and at each heard peer; `unheard` is the number of registered hosts that are not heard.
double hostShare(const HostShareOptions&, double rate, double ownDemand,
    const std::vector<double>& heardDemands, size_t unheard);

} // namespace turmericwing::limits

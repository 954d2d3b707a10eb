// Choice of the hosts that the answer of a lookup names.
//
// Callers choose one of the named addresses at random for each new connection. Where hosts have unequal
// resources, an answer names the larger ones several times, so that each host gets callers by its capacity.
// The set of named hosts doesn't depend on capacities: callers keep their connections to hosts that are still
// named, and every ready host gets some callers.
#pragma once

#include "turmericwing/gateway/state.h"

#include <cstddef>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct LookupOptions {
    size_t maxAddresses_ = 64; ///< Most addresses in an answer, repeated ones included.
    /// Memory set aside for the process itself, in MiB; the rest is for requests.
    double processMemoryMb_ = 48;
    /// Largest fraction of callers that one host gets because of its capacity. Bounds how many callers turn
    /// to the other hosts at the same time when it fails.
    double maxShare_ = 0.25;
    /// Bound in place of `maxShare_` for small groups: this many times an equal share.
    double maxShareOfEqual_ = 2;
    friend auto operator<=>(const LookupOptions&, const LookupOptions&) = default;
};

/// Returns for each host how often an answer names it, in the order of `hosts`: its capacity as a multiple of
/// the smallest one, rounded down, in the resource of which it has the smallest multiple. Resources that one
/// of the hosts doesn't know count as equal. All are 1 if the hosts are equal; more than `maxAddresses_`
/// hosts are 1 each, too, and the caller of the function has to choose among them.
std::vector<size_t> lookupRepeats(const LookupOptions&, const std::vector<HostCapacity>& hosts);

/// Caller addresses of ready hosts for a lookup, at most 64: those of the caller's failure domain if it has
/// at least two hosts, else those of its region, else all. Hosts are repeated by lookupRepeats().
std::vector<std::string> lookupAddresses(const State&, TimePoint now, const LookupQuery&);

} // namespace turmericwing::gateway

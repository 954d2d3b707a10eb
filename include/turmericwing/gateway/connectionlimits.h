// Shares of the host's descriptors: how many connections of callers are open at one time. The others are kept
// for upstreams, the store and other hosts.
#pragma once

#include <cstddef>
#include <cstdint>

namespace turmericwing::gateway {

struct ConnectionLimits {
    size_t callers_ = 0;
    size_t lookups_ = 0;
    size_t operators_ = 0; ///< For each listener of the operators.
    friend bool operator==(const ConnectionLimits&, const ConnectionLimits&) = default;
};

/// Returns the limits of a process that may open `descriptors` and use `memoryBytes`.
ConnectionLimits connectionLimits(uint64_t descriptors, uint64_t memoryBytes);

/// Returns the descriptors that the system lets the process open.
uint64_t systemDescriptorLimit();

} // namespace turmericwing::gateway

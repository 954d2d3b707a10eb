// Derives the number of connections from the limits of the process.
#include "turmericwing/gateway/connectionlimits.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace turmericwing::gateway {

namespace detail {

    // Parts of the descriptors. More than a quarter is left for upstreams, the store and peers.
    constexpr uint64_t callerDivisor = 2;
    constexpr uint64_t lookupDivisor = 8;
    constexpr uint64_t operatorDivisor = 32;
    constexpr uint64_t connectionMemory = uint64_t { 32 } << 10; ///< With the buffers of the system, bytes.
    constexpr size_t minConnections = 4;

} // namespace detail

ConnectionLimits connectionLimits(uint64_t descriptors, uint64_t memoryBytes)
{
    const auto share = [&](uint64_t part) {
        const uint64_t connections = std::min(part, memoryBytes / detail::connectionMemory);
        return std::max(static_cast<size_t>(connections), detail::minConnections);
    };
    return { .callers_ = share(descriptors / detail::callerDivisor),
        .lookups_ = share(descriptors / detail::lookupDivisor),
        .operators_ = share(descriptors / detail::operatorDivisor) };
}

uint64_t systemDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<uint32_t>::max();
    return limit.rlim_cur;
}

} // namespace turmericwing::gateway

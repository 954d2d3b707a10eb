// One bound for all memory of the process. What requests, answers and connections hold is counted exactly
// where it stands in blocks or in buffers of the system. Everything else (code, configuration, small objects,
// room that the allocator keeps) is measured, as no sum of estimates holds for it.
#pragma once

#include "turmericwing/base/time.h"

#include <cstddef>
#include <cstdint>

namespace turmericwing::gateway {

/// Received bytes of a connection that the system holds at most, while this process does not read them.
constexpr size_t callerWindowBytes = size_t { 16 } << 10;
constexpr size_t wideWindowBytes = size_t { 64 } << 10; ///< The same while a large body arrives.
constexpr size_t upstreamWindowBytes = size_t { 64 } << 10; ///< Of connections to upstreams.
constexpr size_t auxiliaryWindowBytes = size_t { 4 } << 10; ///< Of connections that have small requests only.

struct HostMemoryOptions {
    uint64_t limit_ = 0; ///< Most bytes of the process and of its connections; 0: no bound.
    uint64_t answerReserve_ = 0; ///< Part of the limit that requests leave to answers.
    uint64_t mostAnswerBytes_ = 0; ///< Most bytes of answers.
    uint64_t processBytes_ = 0; ///< Of the process without requests, until it has been measured.
    friend bool operator==(const HostMemoryOptions&, const HostMemoryOptions&) = default;
};

/// Returns the options of a host that may use `memoryBytes` in all.
HostMemoryOptions hostMemoryOptions(uint64_t memoryBytes);

/// Returns how many connections may wait in the queue of each listener of such a host. They hold received
/// bytes before they are accepted.
int listenQueueLength(uint64_t memoryBytes);

struct HostMemory {
    HostMemoryOptions options_ {};
    uint64_t unclaimedBytes_ = options_.processBytes_; ///< Resident, and held by no request or answer.
    uint64_t windowBytes_ = 0; ///< Received bytes of all open connections together, at most.
    TimePoint measureAt_ {}; ///< When the next measurement may follow.
    TimePoint trimAt_ {}; ///< When free memory may go back to the system again.
};

/// Returns the bytes that are neither of requests nor of answers.
uint64_t otherBytes(const HostMemory&);

/// Returns the resident bytes of this process, as the system counts them; 0 if it does not tell.
uint64_t residentBytes();

/// Measures the resident memory if it is time, as requests and answers hold `claimedBytes`, and gives free
/// memory back to the system if there is little room. `claimedHeapBytes` is the part of them that is outside
/// of blocks. Without effect while less than half of the limit is in use.
void measureMemory(HostMemory&, uint64_t claimedBytes, uint64_t claimedHeapBytes, TimePoint now);

} // namespace turmericwing::gateway

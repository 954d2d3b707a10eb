// Measures the memory of the process.
#include "turmericwing/gateway/hostmemory.h"

#include "turmericwing/gateway/blockpool.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fcntl.h>
#include <malloc.h>
#include <string_view>
#include <unistd.h>

namespace turmericwing::gateway {

namespace detail {

    /// Part of the memory above the limit: for what grows between two measurements.
    constexpr uint64_t marginDivisor = 16;
    constexpr uint64_t minMarginBytes = uint64_t { 3 } << 20;
    /// Part of the memory that the connections in the queue of the callers' listener may hold.
    constexpr uint64_t queueDivisor = 64;
    constexpr uint64_t auxiliaryListeners = 4;
    constexpr uint64_t minQueueLength = 64;
    constexpr uint64_t maxQueueLength = 1024;
    constexpr uint64_t answerReserveDivisor = 16;
    constexpr uint64_t mostAnswersDivisor = 4;
    constexpr uint64_t processDivisor = 4; ///< The process without requests takes no more of the memory.
    constexpr Duration measureInterval = std::chrono::milliseconds(50);
    constexpr Duration trimInterval = std::chrono::milliseconds(500);

    /// Returns the bytes that are neither claimed nor in blocks, of `resident` ones.
    uint64_t unclaimed(uint64_t resident, uint64_t claimedHeapBytes)
    {
        return resident - std::min(resident, usedBlockBytes() + claimedHeapBytes);
    }

} // namespace detail

HostMemoryOptions hostMemoryOptions(uint64_t memoryBytes)
{
    const uint64_t margin = std::max(memoryBytes / detail::marginDivisor, detail::minMarginBytes);
    const auto queued = static_cast<uint64_t>(listenQueueLength(memoryBytes));
    const uint64_t queueBytes
        = queued * (callerWindowBytes + detail::auxiliaryListeners * auxiliaryWindowBytes);
    return { .limit_ = memoryBytes - std::min(memoryBytes, margin + queueBytes),
        .answerReserve_ = memoryBytes / detail::answerReserveDivisor,
        .mostAnswerBytes_ = memoryBytes / detail::mostAnswersDivisor,
        .processBytes_ = memoryBytes / detail::processDivisor };
}

int listenQueueLength(uint64_t memoryBytes)
{
    const uint64_t length = memoryBytes / detail::queueDivisor / callerWindowBytes;
    return static_cast<int>(std::clamp(length, detail::minQueueLength, detail::maxQueueLength));
}

uint64_t otherBytes(const HostMemory& memory) { return memory.unclaimedBytes_ + memory.windowBytes_; }

uint64_t residentBytes()
{
    // "size resident ...", in pages (proc(5)).
    const int file = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return 0;
    std::array<char, 128> buffer {};
    const ssize_t size = read(file, buffer.data(), buffer.size());
    close(file);
    const std::string_view text(buffer.data(), static_cast<size_t>(std::max<ssize_t>(size, 0)));
    const size_t space = text.find(' ');
    if (space == std::string_view::npos)
        return 0;
    uint64_t pages = 0;
    std::from_chars(text.data() + space + 1, text.data() + text.size(), pages);
    return pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

void measureMemory(HostMemory& memory, uint64_t claimedBytes, uint64_t claimedHeapBytes, TimePoint now)
{
    const uint64_t limit = memory.options_.limit_;
    const auto used = [&] { return otherBytes(memory) + claimedBytes; };
    if (limit == 0 || now < memory.measureAt_ || used() < limit / 2)
        return;
    memory.measureAt_ = now + detail::measureInterval;
    uint64_t resident = residentBytes();
    if (resident == 0)
        return;
    memory.unclaimedBytes_ = detail::unclaimed(resident, claimedHeapBytes);
    if (now < memory.trimAt_ || used() < limit / 4 * 3)
        return;
    memory.trimAt_ = now + detail::trimInterval;
    releaseFreeBlocks();
    malloc_trim(0);
    resident = residentBytes();
    memory.unclaimedBytes_ = detail::unclaimed(resident, claimedHeapBytes);
}

} // namespace turmericwing::gateway

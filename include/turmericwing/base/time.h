// Time types and clocks. Decision code takes the current time as an argument and does not read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace turmericwing {

using Duration = std::chrono::microseconds;

/// A point in time on the host's monotonic clock. Not comparable between hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Time in milliseconds of a clock that hosts share: that of the Unix epoch for audit entries and deadlines
/// set by operators, that of the store for crash evidence of the gateway.
struct WallTime {
    int64_t ms_ = 0;
    friend auto operator<=>(const WallTime&, const WallTime&) = default;
};

/// Returns the monotonic time. Called only by the outer layers (host, programs).
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Returns the wall-clock time.
inline WallTime wallNow()
{
    using namespace std::chrono;
    return { duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count() };
}

/// Converts a duration to seconds, for computing rates.
inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace turmericwing

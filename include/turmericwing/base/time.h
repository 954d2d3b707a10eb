// Time types. Decision code takes the current time as an argument and never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace turmericwing {

using Duration = std::chrono::microseconds;

/// A point on the local monotonic clock. Not comparable between hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in milliseconds since the Unix epoch, for audit entries and operators' deadlines.
struct WallTime {
    int64_t ms_ = 0;
    friend auto operator<=>(const WallTime&, const WallTime&) = default;
};

/// Reads the monotonic clock. Only the outer layers (host, programs) call this.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Reads the wall clock.
inline WallTime wallNow()
{
    using namespace std::chrono;
    return { duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count() };
}

/// Seconds as a floating-point number, for rates.
inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace turmericwing

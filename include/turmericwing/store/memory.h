// An in-memory platform with injectable faults, for tests and for the platform stand-in.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/store/store.h"

#include <memory>

namespace turmericwing::store {

/// Faults of one client's view of the platform.
struct Faults {
    bool outage_ = false; ///< Every call fails as Unavailable and has no effect.
    Duration delay_ {}; ///< Added before each call takes effect.
    double lostResponse_ = 0; ///< Probability in [0, 1] that a write takes effect and reports Unknown.
    Duration hostListLag_ {}; ///< The host list is returned as it was this long ago.
    friend auto operator<=>(const Faults&, const Faults&) = default;
};

/// Clock, sleep and seed, replaceable so that a test can run in virtual time.
struct MemoryOptions {
    uint64_t seed_ = 1;
    std::function<TimePoint()> now_ = monotonicNow;
    std::function<void(Duration)> sleep_ {}; ///< Defaults to std::this_thread::sleep_for.
};

/// Number of calls that clients made, including those that failed.
struct MemoryCounters {
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    friend auto operator<=>(const MemoryCounters&, const MemoryCounters&) = default;
};

/// Thread-safe. Copies and platforms made from it share one state, which lives as long as any of them.
class MemoryPlatform {
public:
    explicit MemoryPlatform(MemoryOptions = {});

    /// The platform as `client` sees it. Faults set for the client replace the common ones, so that a test
    /// can partition a single host.
    Platform platform(const std::string& client = {}) const;

    /// Sets the common faults (empty client) or those of one client.
    void setFaults(const Faults&, const std::string& client = {});
    /// Lets the client follow the common faults again.
    void clearFaults(const std::string& client);
    Faults faults(const std::string& client = {}) const;

    void putHost(const HostEntry&);
    void removeHost(const std::string& name);
    MemoryCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::store

// In-memory platform with fault injection, for tests and the platform stand-in.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/store/store.h"

#include <memory>

namespace turmericwing::store {

/// Faults injected into the calls of a client.
struct Faults {
    bool outage_ = false; ///< Every call fails with Unavailable and has no effect.
    Duration delay_ {}; ///< Delay before each call takes effect.
    double lostResponse_ = 0; ///< Probability in [0, 1] that a write takes effect but returns Unknown.
    Duration hostListLag_ {}; ///< Age of the host list that is returned.
    friend auto operator<=>(const Faults&, const Faults&) = default;
};

/// Random seed, clock and sleep function. Tests replace the latter two to run in virtual time.
struct MemoryOptions {
    uint64_t seed_ = 1; ///< Of the generator that selects lost responses.
    std::function<TimePoint()> now_ = monotonicNow;
    std::function<void(Duration)> sleep_ {}; ///< Defaults to std::this_thread::sleep_for.
};

/// Number of calls by all clients, including failed calls.
struct MemoryCounters {
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    friend auto operator<=>(const MemoryCounters&, const MemoryCounters&) = default;
};

/// Thread-safe. Copies, and the Platform values returned by platform(), share one state and keep it alive.
class MemoryPlatform {
public:
    explicit MemoryPlatform(MemoryOptions = {});

    /// Returns the platform's services for `client`. Faults set for that client replace the default faults,
    /// so that a test can partition a single host.
    Platform platform(const std::string& client = {}) const;

    /// Sets the faults of one client, or the default faults if `client` is empty.
    void setFaults(const Faults&, const std::string& client = {});
    /// Makes the default faults apply to the client again.
    void clearFaults(const std::string& client);
    /// Returns the faults that apply to the client.
    Faults faults(const std::string& client = {}) const;

    /// Adds or replaces an entry of the host list.
    void putHost(const HostEntry&);
    /// Removes an entry of the host list; no effect if it is absent.
    void removeHost(const std::string& name);
    MemoryCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::store

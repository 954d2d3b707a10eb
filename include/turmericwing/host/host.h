// A host process: creates all components and connects them with each other.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/host/settings.h"

#include <memory>

namespace turmericwing::host {

/// One host. Call start once, then waitStopped.
class Host {
public:
    explicit Host(Settings);
    ~Host();

    /// Binds all ports and starts the control loop. Does not wait for the platform, so a host can start
    /// during an outage of it. Errors: Unavailable if a port cannot be bound.
    Result<void> start();

    /// Starts a graceful stop: leaves the view and the lookups, serves until cached lookups have expired, and
    /// lets requests in flight finish. May be called from any thread; further calls do nothing.
    void drain();

    /// Waits for a call of drain, runs the drain, then stops all threads.
    void waitStopped();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::host

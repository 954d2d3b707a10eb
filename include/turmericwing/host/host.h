// A running host: all parts wired together.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/host/settings.h"

#include <memory>

namespace turmericwing::host {

class Host {
public:
    explicit Host(Settings);
    ~Host();

    /// Binds all ports and starts the control loop. Does not wait for the platform: a host starts while it is
    /// down. Errors: Unavailable when a port cannot be bound.
    Result<void> start();

    /// Starts a graceful stop: leaves the view and lookups, serves until cached lookups have expired, lets
    /// requests end. May be called from any thread.
    void drain();

    /// Waits until a drain has finished, then stops everything.
    void waitStopped();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::host

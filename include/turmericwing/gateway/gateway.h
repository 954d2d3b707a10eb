// The gateway process: listeners, store, peers and periodic tasks, on one event loop.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/gateway/protocol.h"
#include "turmericwing/gateway/settings.h"
#include "turmericwing/gateway/tablestore.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace turmericwing::gateway {

struct GatewayOptions {
    std::string settingsPath_; ///< Reloaded when the file changes.
    Settings settings_;
    Protocol protocol_;
    TableStore store_;
};

class Gateway {
public:
    Gateway(boost::asio::io_context&, GatewayOptions);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Opens the listeners, registers the host and starts to follow the store. Errors: Unavailable if an
    /// address cannot be bound.
    Result<void> start();

    /// Shuts down gracefully: reports not ready at once, accepts requests until callers had time to switch to
    /// other hosts, finishes running requests, and stops the event loop before the host's stop time has
    /// passed.
    void drain();

    /// Reads the settings file again. On an error, logs it and keeps the current settings. Only the bounds
    /// and the regions of failure domains take effect at once, the other settings at the next start.
    void reload();

private:
    struct Core;
    std::shared_ptr<Core> core_;
};

} // namespace turmericwing::gateway

// The gateway process: listeners, store, peers, and the periodic duties, on one event loop.
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
    std::string settingsPath_; ///< Watched for changes.
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

    /// Opens the listeners and starts to follow the store. Errors: Unavailable if an address cannot be bound.
    Result<void> start();

    /// Stops gracefully: not ready from now on, serves until callers had time to learn of it, finishes what
    /// runs, and stops the event loop.
    void drain();

    /// Reads the settings again. Faulty ones are reported and the old ones stay.
    void reload();

private:
    struct Core;
    std::shared_ptr<Core> core_;
};

} // namespace turmericwing::gateway

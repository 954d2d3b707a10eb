// Loopback TCP proxy that injects faults into the connections that pass through it.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace turmericwing::soak {

enum class LinkFault {
    None,
    Delayed, ///< Each chunk of bytes is delayed.
    Reset, ///< Open and new connections are reset.
    Silent, ///< No bytes pass: on open connections forever, on new ones until the fault ends.
    OneWay, ///< No bytes pass from the target to the client until the fault ends.
};

/// Forwards TCP connections to a port of 127.0.0.1, subject to the current fault.
class Proxy {
public:
    /// Listens on a free port of 127.0.0.1 and connects to `targetPort` there. Throws
    /// boost::system::system_error if it cannot listen.
    Proxy(boost::asio::io_context&, uint16_t targetPort);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /// The port that the proxy listens on.
    uint16_t port() const;

    /// Applies a fault to open and new connections; `LinkFault::None` ends it. Thread-safe.
    void setFault(LinkFault);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::soak

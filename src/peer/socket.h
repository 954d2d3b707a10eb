// Event loop with WebSocket connections. Its implementation includes websocketpp and is compiled as C++17, so
// this header uses nothing newer.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace turmericwing::peer::detail {

/// Identifies a connection; never reused.
using SocketId = uint64_t;

/// Called on the loop's thread. A connection that is closed through SocketLoop::close reports no event.
struct SocketEvents {
    std::function<void(SocketId, bool inbound)> opened_;
    std::function<void(SocketId, const std::string& payload)> message_;
    std::function<void(SocketId)> pong_;
    std::function<void(SocketId)> closed_; ///< Also when a connection attempt fails.
};

/// All functions but post, run and stop are called on the loop's thread or before run.
class SocketLoop {
public:
    explicit SocketLoop(SocketEvents);
    ~SocketLoop();
    SocketLoop(const SocketLoop&) = delete;
    SocketLoop& operator=(const SocketLoop&) = delete;

    /// Returns the port, or 0 and the reason. Port 0 picks a free one.
    int listen(const std::string& ip, int port, std::string& error);
    /// Starts a connection attempt. Returns 0 when the address is malformed.
    SocketId connect(const std::string& address);
    /// Largest message accepted from now on; a larger one closes the connection.
    void limitMessages(SocketId, size_t bytes);
    /// False when the connection is not open.
    bool send(SocketId, const std::string& payload);
    void ping(SocketId);
    /// Bytes accepted by send that were not yet passed to the kernel.
    size_t buffered(SocketId) const;
    /// Ends the connection at once, without the closing handshake that a silent peer would not answer.
    void close(SocketId);
    void after(std::chrono::milliseconds, std::function<void()>);

    void post(std::function<void()>);
    /// Returns after stop.
    void run();
    void stop();
    /// Runs what was posted until now. Called after run has returned.
    void drain();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::peer::detail

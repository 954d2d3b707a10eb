// Event loop for WebSocket connections. The implementation includes websocketpp and is compiled as C++17, so
// this header must also compile as C++17.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace turmericwing::peer::detail {

/// Identifies a connection within a SocketLoop. Never 0, never reused.
using SocketId = uint64_t;

/// Event handlers, called on the loop's thread. After SocketLoop::close() a connection reports no events.
struct SocketEvents {
    std::function<void(SocketId, bool inbound)> onOpen_;
    std::function<void(SocketId, const std::string& payload)> onMessage_;
    std::function<void(SocketId)> onPong_;
    std::function<void(SocketId)> onClose_; ///< Also when a connection attempt fails.
};

/// Owns the listener and all connections. All functions except post(), run() and stop() must be called on the
/// thread that calls run(), or before run().
class SocketLoop {
public:
    explicit SocketLoop(SocketEvents);
    ~SocketLoop();
    SocketLoop(const SocketLoop&) = delete;
    SocketLoop& operator=(const SocketLoop&) = delete;

    /// Starts listening; port 0 selects a free port. Returns the port, or 0 and sets `error`.
    int listen(const std::string& ip, int port, std::string& error);
    /// Starts a connection attempt to "ip:port". Returns 0 if the address is malformed.
    SocketId connect(const std::string& address);
    /// Sets the maximum size of inbound messages; a larger message closes the connection.
    void setMaxMessageBytes(SocketId, size_t bytes);
    /// Sends a binary message. Returns false if the connection is not open.
    bool send(SocketId, const std::string& payload);
    void ping(SocketId);
    /// Bytes accepted by send() that have not yet been passed to the kernel.
    size_t bufferedBytes(SocketId) const;
    /// Closes the connection immediately, without the WebSocket closing handshake, which an unresponsive peer
    /// would not complete.
    void close(SocketId);
    /// Calls the task once after the delay, unless the loop is stopped before.
    void callAfter(std::chrono::milliseconds, std::function<void()>);

    /// Calls the task on the loop's thread. Thread-safe.
    void post(std::function<void()>);
    /// Processes events until stop() is called.
    void run();
    /// Closes the listener and all connections, then ends run(). Thread-safe.
    void stop();
    /// Runs the tasks that are still queued. Must be called after run() has returned.
    void runQueuedTasks();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::peer::detail

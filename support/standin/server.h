// HTTP server of the simulated platform, store and upstreams: cpp-httplib with one thread per connection and
// access to connections, so that a handler can close them or stop responding on them.
#pragma once

#include "turmericwing/base/time.h"

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace turmericwing::standin {

/// A connection that a handler is serving.
struct Connection {
    int fd_ = -1;
    TimePoint openedAt_;
    bool dropped_ = false; ///< Set by the handler: the connection is closed without a response.
};

/// HTTP server that serves each connection on its own thread.
class Server : public httplib::Server {
public:
    Server();
    ~Server() override;

    /// Binds and serves in a background thread. Port 0 picks a free one. Returns the port, 0 on failure.
    int start(const std::string& ip, int port);

    /// Stops listening, closes all connections and waits for their threads.
    void shutDown();

    /// Closes all open connections, as a process crash does; new connections are accepted.
    void breakConnections();

    /// Limits the number of concurrent connections; further ones are closed immediately. 0 means no limit.
    void limitConnections(size_t limit) { connectionLimit_ = limit; }
    /// Number of connections closed because of the limit or during shutdown.
    uint64_t connectionsRefused() const { return refusedConnections_; }
    /// Number of open connections.
    size_t connections() const;

    /// The connection of the request that the calling thread is handling.
    static Connection& currentConnection();

    /// Waits until the given time and returns true, or returns false as soon as the peer closes the current
    /// connection.
    static bool waitUntil(TimePoint);

private:
    bool process_and_close_socket(int fd) override;
    void serveConnection(Connection&);

    mutable std::mutex mutex_;
    std::set<int> openSockets_;
    std::atomic<bool> stopping_ = false;
    std::atomic<size_t> connectionLimit_ = 0;
    std::atomic<uint64_t> refusedConnections_ = 0;
    std::thread thread_;
};

} // namespace turmericwing::standin

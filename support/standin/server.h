// HTTP server of the stand-ins: cpp-httplib with a thread for each connection and control over connections,
// so that a handler can break or silence them.
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

class Server : public httplib::Server {
public:
    Server();
    ~Server() override;

    /// Binds and serves in a background thread. Port 0 picks a free one. Returns the port, 0 on failure.
    int start(const std::string& ip, int port);

    /// Breaks all connections and waits for their threads.
    void shutDown();

    /// Breaks all open connections, as a process crash does; new connections are accepted.
    void breakConnections();

    /// The number of connections served at once; further ones are closed at once. 0 means no limit.
    void limitConnections(size_t limit) { connectionLimit_ = limit; }
    uint64_t connectionsRefused() const { return refused_; }
    size_t connections() const;

    /// The connection of the request that the calling thread handles.
    static Connection& currentConnection();

    /// Waits until the time, or returns false earlier when the peer closed the current connection.
    static bool waitUntil(TimePoint);

private:
    bool process_and_close_socket(int fd) override;
    void serve(Connection&);

    mutable std::mutex mutex_;
    std::set<int> open_;
    std::atomic<bool> stopping_ = false;
    std::atomic<size_t> connectionLimit_ = 0;
    std::atomic<uint64_t> refused_ = 0;
    std::thread thread_;
};

} // namespace turmericwing::standin

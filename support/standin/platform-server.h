// Serves the in-memory platform over the platform's HTTP protocol.
#pragma once

#include "server.h"

#include "turmericwing/store/memory.h"

namespace turmericwing::standin {

/// Serves one client's view of a platform. Faults posted to this server apply to this view only, unless the
/// body contains `"all": true`.
class PlatformServer {
public:
    /// `client` names the view of the platform that is served.
    PlatformServer(store::MemoryPlatform, std::string client);

    /// Starts serving. Port 0 picks a free one. Returns the port, 0 on failure.
    int start(const std::string& ip, int port) { return server_.start(ip, port); }
    void stop() { server_.shutDown(); }

    /// Connections open at the time of the call stop responding; new ones work.
    void silenceConnections() { silentSince_ = monotonicNow(); }

private:
    void addTableRoutes();
    void addObjectAndHostRoutes();
    void addControlRoutes();

    store::MemoryPlatform memory_;
    std::string client_;
    store::Platform platform_;
    std::atomic<TimePoint> silentSince_ { TimePoint::min() };
    Server server_;
};

} // namespace turmericwing::standin

// The in-memory platform behind the platform's HTTP protocol.
#pragma once

#include "server.h"

#include "turmericwing/store/memory.h"

namespace turmericwing::standin {

/// Serves one client's view of a platform. Faults posted to this server concern this view only, unless they
/// say `"all": true`.
class PlatformServer {
public:
    PlatformServer(store::MemoryPlatform, std::string client);

    /// Port 0 picks a free one. Returns the port, 0 on failure.
    int start(const std::string& ip, int port) { return server_.start(ip, port); }
    void stop() { server_.shutDown(); }

    /// Connections open at the time of the call stop responding; new ones work.
    void silenceConnections() { silentSince_ = monotonicNow(); }

private:
    void routeTable();
    void routeObjectsAndHosts();
    void routeControl();

    store::MemoryPlatform memory_;
    std::string client_;
    store::Platform platform_;
    std::atomic<TimePoint> silentSince_ { TimePoint::min() };
    Server server_;
};

} // namespace turmericwing::standin

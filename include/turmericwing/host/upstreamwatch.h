// Polls the load and drain state of upstreams, and the platform's list for upstreams that are leaving.
#pragma once

#include "turmericwing/host/dispatch.h"
#include "turmericwing/host/executor.h"
#include "turmericwing/host/snapshot.h"
#include "turmericwing/store/store.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace turmericwing::host {

/// Polls the upstreams of one region in a thread of its own and passes the results to Dispatch.
class UpstreamWatch {
public:
    UpstreamWatch(std::string region, const SharedState&, store::HostList, Dispatch&, Executor&);
    ~UpstreamWatch();

    void start();
    /// Stops the thread after the current poll. Load probes on the executor may still be running.
    void stop();

private:
    void run();
    void pollUpstreams();
    void pollPlatformList();

    const std::string region_;
    const SharedState& state_;
    const store::HostList list_;
    Dispatch& dispatch_;
    Executor& executor_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace turmericwing::host

// Watches what upstreams and the platform's list say about upstreams: load, drain and leaving entries.
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

class UpstreamWatch {
public:
    UpstreamWatch(std::string region, const SharedState&, store::HostList, Dispatch&, Executor&);
    ~UpstreamWatch();

    void start();
    void stop();

private:
    void run();
    void pollUpstreams();
    void pollList();

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

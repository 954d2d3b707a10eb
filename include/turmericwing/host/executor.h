// A thread pool that grows on demand, for work that blocks on sockets. In a pool of fixed size, idle
// keep-alive connections would starve new ones, because cpp-httplib holds one thread for each open
// connection.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericwing::host {

/// Runs tasks in the order of their posting on up to a maximum number of threads.
class Executor {
public:
    /// At most `maxThreads` tasks run at once; further tasks wait.
    explicit Executor(size_t maxThreads);
    ~Executor();
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    /// Queues a task, and starts a thread for it if none is idle. After shutdown the task never runs.
    void post(std::function<void()> task);

    /// Waits until all queued tasks have run, then joins all threads.
    void shutdown();

private:
    void runTasks();

    std::mutex mutex_;
    std::condition_variable taskReady_;
    std::deque<std::function<void()>> tasks_;
    std::vector<std::thread> threads_; ///< At most maxThreads_.
    size_t idleThreads_ = 0; ///< Number of threads that wait for a task.
    const size_t maxThreads_;
    bool stopping_ = false;
};

} // namespace turmericwing::host

// A thread pool that grows on demand, for work that blocks on sockets. A fixed pool would let idle keep-alive
// connections starve new ones, because cpp-httplib holds one thread for each open connection.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericwing::host {

class Executor {
public:
    /// At most `maxThreads` tasks run at once; further tasks wait.
    explicit Executor(size_t maxThreads);
    ~Executor();
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    void post(std::function<void()> task);

    /// Runs the tasks that are queued, then joins all threads.
    void shutdown();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<std::function<void()>> tasks_;
    std::vector<std::thread> threads_; ///< Never more than maxThreads_.
    size_t idle_ = 0; ///< Threads that wait for a task.
    const size_t maxThreads_;
    bool stopping_ = false;
};

} // namespace turmericwing::host

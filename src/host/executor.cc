// Thread pool that grows on demand.
#include "turmericwing/host/executor.h"

namespace turmericwing::host {

Executor::Executor(size_t maxThreads)
    : maxThreads_(maxThreads)
{
}

Executor::~Executor() { shutdown(); }

void Executor::post(std::function<void()> task)
{
    std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    if (idleThreads_ < tasks_.size() && threads_.size() < maxThreads_ && !stopping_)
        threads_.emplace_back([this] { runTasks(); });
    taskReady_.notify_one();
}

void Executor::shutdown()
{
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
        threads.swap(threads_);
    }
    taskReady_.notify_all();
    for (std::thread& thread : threads)
        thread.join();
}

void Executor::runTasks()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        ++idleThreads_;
        taskReady_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        --idleThreads_;
        if (tasks_.empty())
            return;
        auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

} // namespace turmericwing::host

// Tests of the thread pool that grows on demand.
#include "turmericwing/host/executor.h"

#include <doctest/doctest.h>

#include <atomic>
#include <latch>

using namespace turmericwing::host;

TEST_CASE("tasks that wait for each other run concurrently")
{
    // Guards against idle connections that starve new ones, and against a wake-up that is lost while threads
    // start.
    for (int round = 0; round < 50; ++round) {
        std::latch met(8);
        Executor executor(8);
        for (int i = 0; i < 8; ++i)
            executor.post([&] { met.arrive_and_wait(); });
        met.wait();
    }
}

TEST_CASE("at most the given number of tasks run concurrently, and shutdown runs all")
{
    // Guards against a shutdown that drops queued tasks and against more threads than allowed.
    Executor executor(3);
    std::atomic<int> running = 0;
    std::atomic<int> most = 0;
    std::atomic<int> done = 0;
    for (int i = 0; i < 200; ++i)
        executor.post([&] {
            const int now = ++running;
            for (int seen = most; seen < now && !most.compare_exchange_weak(seen, now);) { }
            std::this_thread::yield();
            --running;
            ++done;
        });
    executor.shutdown();
    CHECK(done == 200);
    CHECK(most <= 3);
}

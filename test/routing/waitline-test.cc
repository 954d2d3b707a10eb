// Tests of the waiting queue. Guards against queueing requests that cannot start in time, and against urgent
// requests that wait behind others.
#include "turmericwing/routing/waitline.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::routing;

namespace {

const TimePoint start { std::chrono::seconds(100) };

Waiter makeWaiter(uint64_t id, Rank rank, std::chrono::milliseconds arrived = {})
{
    return { id, rank, start + arrived, start + arrived + std::chrono::milliseconds(200) };
}

/// A queue for which starts were recorded at `rate` requests/s.
WaitQueue makeQueue(int rate)
{
    WaitQueue queue;
    for (int i = 0; i < 200; ++i)
        recordStart(queue, start - std::chrono::seconds(1) + std::chrono::microseconds(1'000'000 / rate) * i);
    return queue;
}

} // namespace

TEST_CASE("overload: a request that cannot start in time is rejected on arrival")
{
    // More requests arrive than start. At 50 starts/s, about ten requests start within 200 ms.
    WaitQueue queue = makeQueue(50);
    size_t joined = 0;
    for (uint64_t id = 0; id < 100; ++id)
        joined += tryEnqueue(queue, makeWaiter(id, { 0, 1 }), start) ? 1 : 0;
    CHECK(joined >= 8);
    CHECK(joined <= 11);
}

TEST_CASE("overload: urgent requests start first and are not rejected because of others")
{
    WaitQueue queue = makeQueue(50);
    for (uint64_t id = 0; id < 100; ++id)
        tryEnqueue(queue, makeWaiter(id, { 0, 2 }), start);
    CHECK(tryEnqueue(queue, makeWaiter(1000, { 0, 1 }, std::chrono::milliseconds(5)), start));
    CHECK(queue.waiters_.front().id_ == 1000);
    CHECK(tryEnqueue(queue, makeWaiter(1001, { -1, 9 }, std::chrono::milliseconds(6)), start));
    CHECK(queue.waiters_.front().id_ == 1001);
}

TEST_CASE("within a rank requests start in order of arrival")
{
    WaitQueue queue = makeQueue(100);
    REQUIRE(tryEnqueue(queue, makeWaiter(2, { 0, 1 }, std::chrono::milliseconds(20)), start));
    REQUIRE(tryEnqueue(queue, makeWaiter(1, { 0, 1 }, std::chrono::milliseconds(10)), start));
    CHECK(queue.waiters_.front().id_ == 1);
}

TEST_CASE("expired requests are returned once")
{
    WaitQueue queue = makeQueue(100);
    REQUIRE(tryEnqueue(queue, makeWaiter(1, { 0, 1 }), start));
    CHECK(takeExpiredWaiters(queue, start + std::chrono::milliseconds(199)).empty());
    CHECK(takeExpiredWaiters(queue, start + std::chrono::milliseconds(200)) == std::vector<uint64_t> { 1 });
    CHECK(takeExpiredWaiters(queue, start + std::chrono::seconds(1)).empty());
    CHECK_FALSE(removeWaiter(queue, 1));
}

TEST_CASE("within a rank requests of far less work start first")
{
    WaitQueue queue = makeQueue(100);
    Waiter costly = makeWaiter(1, { 0, 1 });
    costly.workClass_ = workClass(0.8);
    Waiter cheap = makeWaiter(2, { 0, 1 }, std::chrono::milliseconds(5));
    cheap.workClass_ = workClass(0.1);
    Waiter urgent = makeWaiter(3, { 0, 0 }, std::chrono::milliseconds(5));
    urgent.workClass_ = workClass(2);
    REQUIRE(tryEnqueue(queue, costly, start));
    REQUIRE(tryEnqueue(queue, cheap, start));
    REQUIRE(tryEnqueue(queue, urgent, start));
    CHECK(queue.waiters_[0].id_ == 3);
    CHECK(queue.waiters_[1].id_ == 2);
    CHECK(workClass(0.2) == workClass(0.3));
    CHECK(workClass(0) == 0);
}

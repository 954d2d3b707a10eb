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
WaitLine makeLine(int rate)
{
    WaitLine line;
    for (int i = 0; i < 200; ++i)
        recordStart(line, start - std::chrono::seconds(1) + std::chrono::microseconds(1'000'000 / rate) * i);
    return line;
}

} // namespace

TEST_CASE("overload: a request that cannot start in time is rejected on arrival")
{
    // More requests arrive than start. At 50 starts/s, about ten requests start within 200 ms.
    WaitLine line = makeLine(50);
    size_t joined = 0;
    for (uint64_t id = 0; id < 100; ++id)
        joined += joinLine(line, makeWaiter(id, { 0, 1 }), start) ? 1 : 0;
    CHECK(joined >= 8);
    CHECK(joined <= 11);
}

TEST_CASE("overload: urgent requests start first and are not rejected because of others")
{
    WaitLine line = makeLine(50);
    for (uint64_t id = 0; id < 100; ++id)
        joinLine(line, makeWaiter(id, { 0, 2 }), start);
    CHECK(joinLine(line, makeWaiter(1000, { 0, 1 }, std::chrono::milliseconds(5)), start));
    CHECK(line.waiters_.front().id_ == 1000);
    CHECK(joinLine(line, makeWaiter(1001, { -1, 9 }, std::chrono::milliseconds(6)), start));
    CHECK(line.waiters_.front().id_ == 1001);
}

TEST_CASE("within a rank requests start in order of arrival")
{
    WaitLine line = makeLine(100);
    REQUIRE(joinLine(line, makeWaiter(2, { 0, 1 }, std::chrono::milliseconds(20)), start));
    REQUIRE(joinLine(line, makeWaiter(1, { 0, 1 }, std::chrono::milliseconds(10)), start));
    CHECK(line.waiters_.front().id_ == 1);
}

TEST_CASE("expired requests are returned once")
{
    WaitLine line = makeLine(100);
    REQUIRE(joinLine(line, makeWaiter(1, { 0, 1 }), start));
    CHECK(expiredWaiters(line, start + std::chrono::milliseconds(199)).empty());
    CHECK(expiredWaiters(line, start + std::chrono::milliseconds(200)) == std::vector<uint64_t> { 1 });
    CHECK(expiredWaiters(line, start + std::chrono::seconds(1)).empty());
    CHECK_FALSE(leaveLine(line, 1));
}

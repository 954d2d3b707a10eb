// Tests of connection reuse and stall detection.
#include "turmericwing/routing/connections.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::routing;
using namespace std::chrono_literals;

TEST_CASE("a connection is reused only if it is idle, recent and not suspect")
{
    // Guards against delivering the response to another request, and against reusing stalled connections.
    const TimePoint now { 1000s };
    const ConnectionOptions options;
    ConnectionHealth health;
    const PooledConnection good { .opened_ = now - 10s, .idleSince_ = now - 1900ms };
    CHECK(canReuse(good, health, options, now));
    CHECK_FALSE(canReuse(good, health, options, now + 100ms));
    PooledConnection bad = good;
    bad.outstanding_ = true;
    CHECK_FALSE(canReuse(bad, health, options, now));
    bad = good;
    bad.keepAlive_ = false;
    CHECK_FALSE(canReuse(bad, health, options, now));
    recordStall(health, now - 5s);
    recordStall(health, now - 20s);
    CHECK_FALSE(canReuse(good, health, options, now));
    CHECK(canReuse({ .opened_ = now - 5s, .idleSince_ = now }, health, options, now));
    CHECK(stallDeadline(now, now + 30s, options) == now + 5s);
    CHECK(stallDeadline(now, now + 3s, options) == now + 3s);
}

// Guards against an evacuation or a rollout order that ends because a restored store does not have it yet.
#include "turmericwing/gateway/orders.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start { std::chrono::seconds(100) };

/// Orders of one host, with an evacuation of a1 and a rollout of s.
struct Orders {
    UnconfirmedOrders unconfirmed_;
    Directory directory_ { .evacuated_ = { "a1" } };
    Rollouts rollouts_ { .orders_ = { { "s", {} } }, .ramps_ = {} };

    bool inForce() const { return directory_.evacuated_.contains("a1") && rollouts_.orders_.contains("s"); }
    void read(TimePoint now) { beginFullRead(unconfirmed_, directory_, rollouts_, now); }
    std::vector<std::string> expire(TimePoint now)
    {
        return expireOrders(unconfirmed_, directory_, rollouts_, now);
    }
};

} // namespace

TEST_CASE("without a restore, orders that a full read does not have end at once")
{
    Orders orders;
    orders.read(start);
    CHECK_FALSE(orders.inForce());
}

TEST_CASE("after a restore, missing orders stay in force for a while, and confirmed ones for good")
{
    Orders orders;
    onStoreRestored(orders.unconfirmed_, start);
    orders.read(start);
    CHECK(orders.expire(start + std::chrono::seconds(4)).empty());
    CHECK(orders.inForce());
    SUBCASE("not written again")
    {
        CHECK(orders.expire(start + std::chrono::seconds(5)) == std::vector<std::string> { "a1" });
        CHECK(orders.rollouts_.orders_.empty());
    }
    SUBCASE("written again")
    {
        orders.unconfirmed_.evacuations_.erase("a1");
        orders.unconfirmed_.rollouts_.erase("s");
        CHECK(orders.expire(start + std::chrono::seconds(5)).empty());
        CHECK(orders.inForce());
    }
}

// End-to-end tests of a gateway whose store comes back from an older copy. They guard against a host that
// misses what is written afterwards, and against one that forgets what the copy does not have yet.
#include "live.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// Takes the store away for a moment and brings it back from its last copy.
void restoreAfterOutage(Fixture& fixture)
{
    fixture.store_.setFaults({ .drop_ = true });
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    fixture.store_.restoreCopy();
    fixture.store_.setFaults({});
}

bool isAccepted(Fixture& fixture, const std::string& key)
{
    const auto answer = fixture.client()->Get("/read/x", fixture.headers("id-" + key, key));
    return answer && answer->status == 200;
}

} // namespace

TEST_CASE("a configuration that is written after the store was restored from an older copy takes effect")
{
    // The host asked for changes after a version that the store no longer had, and never read a row again.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    fixture.store_.put("op", "config", configuration(2, "key-2"));
    REQUIRE(eventually([&] { return isAccepted(fixture, "key-2"); }));
    fixture.store_.takeCopy();
    for (int i = 0; i < 20; ++i)
        upstream.publish("ready");
    fixture.store_.put("op", "config", configuration(3, "key-3"));
    REQUIRE(eventually([&] { return isAccepted(fixture, "key-3"); }));
    bool versionsOvertake = false;
    SUBCASE("before the versions have reached the known one") { versionsOvertake = false; }
    SUBCASE("when the versions have overtaken the known one") { versionsOvertake = true; }
    if (versionsOvertake) {
        fixture.store_.setFaults({ .drop_ = true });
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        fixture.store_.restoreCopy();
        fixture.store_.put("op", "config", configuration(4, "key-4"));
        for (int i = 0; i < 40; ++i)
            upstream.publish("ready");
        fixture.store_.setFaults({});
    } else {
        restoreAfterOutage(fixture);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        CHECK(isAccepted(fixture, "key-3"));
        const uint64_t calls = fixture.store_.calls();
        std::this_thread::sleep_for(std::chrono::seconds(1));
        CHECK(fixture.store_.calls() - calls < 8);
        fixture.store_.put("op", "config", configuration(3, "key-3"));
        fixture.store_.put("op", "config", configuration(4, "key-4"));
    }
    CHECK(eventually([&] { return isAccepted(fixture, "key-4"); }));
    CHECK_FALSE(isAccepted(fixture, "key-2"));
}

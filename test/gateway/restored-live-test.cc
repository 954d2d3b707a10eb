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

/// Makes an upstream refuse all requests as full, so that they go to any other upstream that may be used.
void refuseAsFull(Upstream& upstream)
{
    upstream.handler_ = [](const httplib::Request&, httplib::Response& response) {
        response.status = 503;
        response.set_header("X-Not-Run", "1");
    };
}

/// Sends requests one after the other for a while, and returns how many succeeded.
int sendRequests(Fixture& fixture, Duration time)
{
    int served = 0;
    const auto client = fixture.client();
    const TimePoint end = monotonicNow() + time;
    for (int i = 0; monotonicNow() < end; ++i) {
        const auto answer
            = client->Get("/read/" + std::to_string(i), fixture.headers("id-" + std::to_string(i)));
        served += answer && answer->status == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return served;
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
        // The last retry of a call comes 1 s later, and its table, hosts and rollouts are read then.
        std::this_thread::sleep_for(std::chrono::seconds(2));
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

TEST_CASE("upstreams that have left are not used again when the store is restored from an older copy")
{
    // The copy has them as ready. Requests reached upstreams that the host knew to be leaving or gone.
    Fixture fixture;
    Upstream staying(fixture.store_, "u1");
    Upstream leaving(fixture.store_, "u2");
    Upstream gone(fixture.store_, "u3");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    refuseAsFull(staying);
    fixture.store_.takeCopy();
    Upstream added(fixture.store_, "u4");
    leaving.publish("draining");
    fixture.store_.remove("servers", "u3");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const int sentLeaving = leaving.requests_;
    const int sentGone = gone.requests_;
    restoreAfterOutage(fixture);
    const int sentAdded = added.requests_;
    CHECK(sendRequests(fixture, std::chrono::milliseconds(700)) > 10);
    CHECK(added.requests_ > sentAdded);
    refuseAsFull(added);
    sendRequests(fixture, std::chrono::milliseconds(700));
    leaving.publish("draining");
    fixture.store_.remove("servers", "u3");
    added.publish("ready");
    sendRequests(fixture, std::chrono::milliseconds(2000));
    CHECK(leaving.requests_ == sentLeaving);
    CHECK(gone.requests_ == sentGone);
}

TEST_CASE("an evacuation that the restored copy of the store does not have yet stays in force")
{
    Fixture fixture;
    Upstream staying(fixture.store_, "u1");
    Upstream evacuated(fixture.store_, "u2", "a2");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    refuseAsFull(staying);
    fixture.store_.takeCopy();
    fixture.store_.put("op", "evacuate/a2", "{}");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    const int before = evacuated.requests_;
    restoreAfterOutage(fixture);
    sendRequests(fixture, std::chrono::milliseconds(1500));
    fixture.store_.put("op", "evacuate/a2", "{}");
    sendRequests(fixture, std::chrono::seconds(5));
    CHECK(evacuated.requests_ == before);
    fixture.store_.remove("op", "evacuate/a2");
    CHECK(eventually([&] {
        sendRequests(fixture, std::chrono::milliseconds(100));
        return evacuated.requests_ > before;
    }));
}

TEST_CASE("a host's row in the list of hosts is written again after the store was restored")
{
    Fixture fixture;
    fixture.store_.takeCopy();
    Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    REQUIRE(eventually([&] { return fixture.store_.get("hosts", "h1").has_value(); }));
    fixture.store_.setFaults({ .drop_ = true });
    fixture.store_.restoreCopy();
    CHECK_FALSE(fixture.store_.get("hosts", "h1").has_value());
    fixture.store_.setFaults({});
    CHECK(eventually([&] { return fixture.store_.get("hosts", "h1").has_value(); }));
}

TEST_CASE("a rollout that has ended does not run again when the store is restored from an older copy")
{
    // The copy has neither the rollout nor its status, and the order is written again.
    Fixture fixture;
    Upstream before(fixture.store_, "u1");
    Upstream after(fixture.store_, "u2", "a1", "v2");
    after.handler_ = [](const httplib::Request&, httplib::Response& response) { response.status = 500; };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    fixture.store_.takeCopy();
    const std::string order = R"({"service":"s","to":"v2","duration":"8s"})";
    const auto hasEnded = [&] {
        const auto status = fixture.store_.get("status", "rollout/s");
        return status && status->find("reverted") != std::string::npos;
    };
    fixture.store_.put("op", "rollout/s", order);
    REQUIRE(eventually([&] {
        sendRequests(fixture, std::chrono::milliseconds(200));
        return hasEnded();
    }));
    const int sent = after.requests_;
    restoreAfterOutage(fixture);
    sendRequests(fixture, std::chrono::seconds(1));
    fixture.store_.put("op", "rollout/s", order);
    CHECK(eventually(hasEnded));
    sendRequests(fixture, std::chrono::seconds(4));
    CHECK(hasEnded());
    CHECK(after.requests_ == sent);
    // Another order starts, although the version of its row is lower than the first one's was.
    Upstream next(fixture.store_, "u3", "a1", "v3");
    fixture.store_.put("op", "rollout/s", R"({"service":"s","to":"v3","duration":"8s"})");
    CHECK(eventually([&] {
        sendRequests(fixture, std::chrono::milliseconds(200));
        const auto status = fixture.store_.get("status", "rollout/s");
        return status && status->find("v3") != std::string::npos && next.requests_ > 0;
    }));
}

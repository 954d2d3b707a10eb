// End-to-end tests of a gateway that starts while a rollout runs. They guard against a process that knows
// nothing of the answers so far, but ends the rollout or moves its traffic.
#include "live.h"

#include "turmericwing/gateway/state.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

constexpr int64_t spanMs = 10'000;
constexpr int64_t startMs = 50; ///< On the store's clock, which begins with the fixture.
/// Version of the order's row, which is the fourth one that the fixture writes.
constexpr int orderVersion = 4;
/// Shortly after the moment from which the old version gets no more requests.
constexpr auto lateMs = std::chrono::milliseconds(7400);

/// Row of a ramp of service "s" to version v2, as a host writes it. `counts` is empty or a JSON member.
std::string rampRow(const std::string& counts)
{
    return R"({"service":"s","version":"v2","start-ms":)" + std::to_string(startMs) + R"(,"deadline-ms":)"
        + std::to_string(startMs + spanMs) + R"(,"state":0,"order":)" + std::to_string(orderVersion)
        + R"(,"era":1)" + counts + "}";
}

/// A store in which a rollout has been running for most of its time, and upstreams of both versions.
struct RolloutFixture : Fixture {
    explicit RolloutFixture(const std::string& counts)
        : old_(store_, "u1")
        , new_(store_, "u2", "a1", "v2")
    {
        store_.put("op", "rollout/s", R"({"service":"s","to":"v2","duration":"10000ms"})");
        store_.put("rollouts", "s", rampRow(counts));
    }

    /// State of the rollout in the store: 0 running, 1 complete, 2 reverted.
    int state() const
    {
        return nlohmann::json::parse(store_.get("rollouts", "s").value_or("{}")).value("state", -1);
    }

    /// Sends requests until the deadline of the rollout.
    void sendUntilDeadline()
    {
        const auto client = this->client();
        const TimePoint end = begin_ + std::chrono::milliseconds(startMs + spanMs);
        for (int i = 0; monotonicNow() < end; ++i) {
            client->Get("/read/" + std::to_string(i), headers("id-" + std::to_string(i)));
            ++sent_;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    const TimePoint begin_ = monotonicNow();
    Upstream old_;
    Upstream new_;
    int sent_ = 0;
};

} // namespace

TEST_CASE("a host that starts late in a rollout does not complete a version of which it knows no answer")
{
    // Having counted no answer was taken for a service with few requests: 90 ms after its start the host
    // wrote that the version was complete, and all hosts sent it all requests.
    RolloutFixture fixture({});
    fixture.new_.handler_
        = [](const httplib::Request&, httplib::Response& response) { response.status = 500; };
    std::this_thread::sleep_until(fixture.begin_ + lateMs);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    fixture.sendUntilDeadline();
    CHECK(fixture.state() != 1);
    CHECK(fixture.sent_ > 40);
    CHECK(fixture.new_.requests_ < fixture.sent_ / 5);
}

TEST_CASE("a good version still completes when a host starts late in its rollout")
{
    // Guards against a host that waits for evidence of its own until the deadline. The store has the counts
    // of the hosts before it.
    RolloutFixture fixture(R"(,"counts":[60,0,0,200,1,0])");
    std::this_thread::sleep_until(fixture.begin_ + lateMs);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    fixture.sendUntilDeadline();
    CHECK(fixture.state() == 1);
}

TEST_CASE("a host that was suspended does not decide on what it knew before")
{
    // After the pause it takes itself for the only one, and the evidence may be seconds old.
    State state;
    state.fleet_.self_ = "h1";
    const Duration lifetime = state.fleet_.options_.reportLifetime_;
    TimePoint now { std::chrono::seconds(100) };
    recordTick(state, now);
    CHECK_FALSE(hasFleetView(state, now));
    const auto runFor = [&](Duration time) {
        for (const TimePoint end = now + time; now < end;)
            recordTick(state, now += std::chrono::milliseconds(100));
    };
    runFor(lifetime);
    CHECK(hasFleetView(state, now));
    registerPeer(state.fleet_, now, "h2", { "127.0.0.1", 1 });
    CHECK_FALSE(hasFleetView(state, now)); // Cut off from all others.
    HostReport report {
        .name_ = "h2", .incarnation_ = 1, .sequence_ = 1, .peerAddress_ = { "127.0.0.1", 1 }
    };
    receiveReport(state.fleet_, now, report);
    CHECK(hasFleetView(state, now));
    now += std::chrono::seconds(5);
    recordTick(state, now);
    ++report.sequence_;
    receiveReport(state.fleet_, now, report);
    CHECK_FALSE(hasFleetView(state, now));
}

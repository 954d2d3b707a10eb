// Tests of upstreams that name a limit in their answers. They guard against a host that goes on sending them
// more than that, and against requests that wait although no upstream may take them.
#include "live.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// Answers to a caller that sends one request after the other for a time.
struct Sent {
    int answered_ = 0;
    int refused_ = 0; ///< With 503 and a Retry-After.
    int other_ = 0;
    Duration longestRefusal_ {}; ///< Longest time from a request to its refusal.
};

/// Sends requests one after the other while `goesOn` returns true for the number of those sent.
Sent sendWhile(const Fixture& fixture, const std::function<bool(int)>& goesOn)
{
    Sent sent;
    const auto client = fixture.client();
    int number = 0;
    while (goesOn(number)) {
        const TimePoint begin = monotonicNow();
        const auto answer = client->Get("/read/x", Fixture::headers("id-" + std::to_string(++number)));
        const bool refused = answer && answer->status == 503 && answer->has_header("Retry-After");
        if (answer && answer->status == 200)
            ++sent.answered_;
        else if (refused)
            sent.longestRefusal_ = std::max(sent.longestRefusal_, monotonicNow() - begin);
        refused ? ++sent.refused_ : 0;
        sent.other_ += refused || (answer && answer->status == 200) ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return sent;
}

Sent sendFor(const Fixture& fixture, Duration time)
{
    const TimePoint end = monotonicNow() + time;
    return sendWhile(fixture, [end](int) { return monotonicNow() < end; });
}

} // namespace

TEST_CASE("an upstream gets no more than the limit that it names, and the rest is refused at once")
{
    // The limit was not read: all requests were sent to the upstream.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    upstream.nameLimits({ "0.5" });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    REQUIRE(fixture.client()->Get("/read/x", Fixture::headers("first")));
    const int before = upstream.requests_;
    const Sent sent = sendFor(fixture, std::chrono::seconds(4));
    // One and a half times what the limit allows in 4 s, and 5 requests, is what users accept at most.
    CHECK(upstream.requests_ - before <= 8);
    CHECK(sent.refused_ > 100);
    CHECK(sent.other_ == 0);
    // Half of the objective of 1 s is the longest wait for an upstream.
    CHECK(sent.longestRefusal_ < std::chrono::milliseconds(600));
    CHECK(sent.answered_ >= 1);
}

TEST_CASE("requests go to an upstream without a limit")
{
    // Guards against refusals while another upstream has capacity.
    Fixture fixture;
    Upstream limited(fixture.store_, "u1");
    Upstream unlimited(fixture.store_, "u2");
    limited.nameLimits({ "1" });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    sendFor(fixture, std::chrono::milliseconds(500));
    const int before = limited.requests_;
    const Sent sent = sendFor(fixture, std::chrono::seconds(4));
    CHECK(limited.requests_ - before <= 11);
    CHECK(sent.refused_ == 0);
    CHECK(sent.other_ == 0);
}

TEST_CASE("callers are not sent away until a pause ends while a limited upstream serves")
{
    // The refusal named the end of the pause, as if the limited upstream took no request at all.
    Fixture fixture;
    Upstream paused(fixture.store_, "u1");
    Upstream limited(fixture.store_, "u2");
    paused.requestPause("60");
    limited.nameLimits({ "0" });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    sendFor(fixture, std::chrono::milliseconds(500));
    const auto answer = fixture.client()->Get("/read/x", Fixture::headers("last"));
    REQUIRE(answer);
    REQUIRE(answer->status == 503);
    CHECK(std::stod(answer->get_header_value("Retry-After")) < 10);
}

TEST_CASE("a limit ends with an answer that names none")
{
    // Guards against a limit that stays in force after the upstream has recovered.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    upstream.nameLimits({ "2" });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    sendFor(fixture, std::chrono::seconds(1));
    upstream.nameLimits({});
    sendFor(fixture, std::chrono::seconds(3));
    const Sent sent = sendFor(fixture, std::chrono::seconds(1));
    CHECK(sent.refused_ == 0);
    CHECK(sent.answered_ > 20);
}

TEST_CASE("a new run of an upstream has no limit")
{
    // Guards against a limit that is kept by id, which a restarted upstream can have again.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    upstream.nameLimits({ "0" });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    REQUIRE(fixture.client()->Get("/read/x", Fixture::headers("first")));
    upstream.nameLimits({});
    upstream.startedMs_ = 2;
    upstream.publish("ready");
    CHECK(eventually([&] { return sendFor(fixture, std::chrono::milliseconds(300)).answered_ > 8; }));
}

TEST_CASE("a limit that cannot be read has no effect")
{
    // Guards against a malformed field that takes an upstream out of use.
    const std::vector<std::vector<std::string>> malformed { { "-1" }, { "nan" }, { "inf" }, { "1e400" },
        { "ten" }, { "" }, { "0.5", "0.5" }, { "1,5" } };
    for (const auto& limits : malformed) {
        CAPTURE(limits.front());
        Fixture fixture;
        Upstream upstream(fixture.store_, "u1");
        upstream.nameLimits(limits);
        fixture.start();
        REQUIRE(eventually([&] { return fixture.isReady(); }));
        constexpr int requests = 30;
        const Sent sent = sendWhile(fixture, [](int number) { return number < requests; });
        CHECK(sent.answered_ == requests);
        CHECK(sent.refused_ + sent.other_ == 0);
    }
}

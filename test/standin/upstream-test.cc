// Tests of the simulated upstream, whose counters decide whether scenarios pass.
#include "upstream.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::standin;
using std::chrono::milliseconds;

namespace {

struct Fixture {
    UpstreamGroup group_;
    int port_ = group_.add(
        { .name_ = "u1", .version_ = "v1", .slots_ = 2, .serviceTime_ = milliseconds(20) }, "127.0.0.1", 0);
    httplib::Client client_ { "127.0.0.1", port_ };

    Fixture()
    {
        client_.set_keep_alive(true);
        client_.set_read_timeout(milliseconds(500));
    }
    httplib::Result post(httplib::Headers headers = {})
    {
        return client_.Post("/x", headers, "body", "text/plain");
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "requests beyond the slots are counted and rejected")
{
    // Guards against scenarios that miss requests in excess of the slots.
    std::atomic<int> rejected = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
        threads.emplace_back([&] {
            httplib::Client client("127.0.0.1", port_);
            auto result = client.Get("/x");
            if (result && result->status == 503 && result->get_header_value("Turmericwing-Overload") == "1")
                ++rejected;
        });
    for (auto& thread : threads)
        thread.join();
    const auto stats = group_.stats();
    CHECK(stats.executed_ + stats.overSlots_ == 4);
    CHECK(stats.overSlots_ == static_cast<uint64_t>(rejected));
    CHECK(stats.executed_ >= 2);
}

TEST_CASE_FIXTURE(Fixture, "executions are counted by key and request id")
{
    // Guards against duplicate executions that no test detects.
    const httplib::Headers headers { { "Idempotency-Key", "k" }, { "Turmericwing-Workspace", "w" },
        { "Turmericwing-Request-Id", "r" }, { "Authorization", "Bearer x" } };
    auto result = post(headers);
    REQUIRE(result);
    CHECK(result->get_header_value("Turmericwing-Request-Id") == "r");
    CHECK(post(headers));
    const auto stats = group_.stats();
    CHECK(stats.byKey_.at("w/k") == 2);
    CHECK(stats.byRequestId_.at("r") == 2);
    CHECK(stats.authorizationSeen_ == 2);
    const auto json = nlohmann::json::parse(client_.Get("/stats?scope=all&full=1")->body);
    CHECK(json.at("repeatedKeys").at("w/k") == 2);
}

TEST_CASE_FIXTURE(Fixture, "draining, deadlines, health and load reports")
{
    // Guards against a simulated upstream that executes requests it has rejected.
    auto late = post({ { "Turmericwing-Deadline-Ms", "5" } });
    CHECK(late->status == 504);
    CHECK(client_.Post("/drain", R"({"draining":true})", "application/json")->status == 200);
    auto refused = post();
    CHECK(refused->status == 503);
    CHECK(refused->get_header_value("Turmericwing-Draining") == "1");
    CHECK(client_.Get("/health")->status == 503);
    CHECK(nlohmann::json::parse(client_.Get("/load")->body).at("slots") == 2);
    CHECK(group_.stats().executed_ == 1);
}

TEST_CASE_FIXTURE(Fixture, "each failure mode takes effect")
{
    // Guards against scenarios whose faults are not injected.
    const auto faults
        = [&](const char* json) { CHECK(client_.Post("/faults", json, "text/json")->status == 200); };
    faults(R"({"fail":1})");
    CHECK(post()->status == 500);
    faults(R"({"fail":0,"wrongId":1})");
    CHECK(post({ { "Turmericwing-Request-Id", "r" } })->get_header_value("Turmericwing-Request-Id")
        == "other-r");
    faults(R"({"wrongId":0,"shortBody":1})");
    CHECK_FALSE(post());
    faults(R"({"shortBody":0,"crashMarker":"poison","crashAll":true})");
    CHECK_FALSE(post({ { "X-Note", "poison" } }));
    CHECK(post()->status == 200);
    faults(R"({"lateMs":100})");
    const TimePoint start = monotonicNow();
    CHECK(post({ { "Turmericwing-Deadline-Ms", "30" } })->status == 200);
    CHECK(monotonicNow() - start >= milliseconds(100));
    faults(R"({"lateMs":0,"silent":true})");
    CHECK_FALSE(post());
    CHECK(post()->status == 200);
}

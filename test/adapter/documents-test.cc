// Tests of the platform adapter's conversions. They guard against misread documents and against malformed
// ones that are accepted.
#include "platform/documents.h"
#include "platform/protocol.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::platform;

namespace {

const std::string configuration = R"({"version":7,"resources":[
  {"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent",
    "timeout":"2000ms","slo":"400ms","priority":2,"backends":[{"service":"s1","weight":90},
    {"service":"s2","weight":10}],"attempts":2,"public":false,"sticky":true,"home_regions":["a"]}},
  {"type":"routes","metadata":{"name":"r2"},"spec":{"host":"b.example","prefix":"/","kind":"upload",
    "timeout":"2s","slo":"500ms","priority":1,"service":"s2","attempts":1}},
  {"type":"services","metadata":{"name":"s1"},"spec":{"health_path":"/healthz","max_conns":360,"cold":"3s",
    "cold_per_s":14.0}},
  {"type":"tenants","metadata":{"name":"t1"},"spec":{"api_keys":["k1"],"priority":0,"rate_per_s":325,
    "burst":325,"home_regions":[]}},
  {"type":"limits","metadata":{},"spec":{"header_bytes":16384,"max_body_bytes":67108864,
    "header_timeout":"3000ms","idle_timeout":"15000ms"}},
  {"type":"later","metadata":{},"spec":{}}]})";

const std::string entry = R"({"service":"s1","address":"10.1.2.3:80","zone":"a1","version":"v1","slots":9,
  "state":"ready","cold_left":"1500ms","seq":4,"born":1700000000000})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a configuration is decoded with all its resources")
{
    const auto decoded = decodeConfiguration(configuration);
    REQUIRE(decoded);
    const auto& routes = decoded.value().routes_;
    REQUIRE(routes.size() == 2);
    CHECK(decoded.value().version_ == 7);
    CHECK(routes[0].kind_ == gateway::RequestKind::Idempotent);
    CHECK(routes[0].timeout_ == std::chrono::seconds(2));
    CHECK(routes[0].latencyTarget_ == std::chrono::milliseconds(400));
    CHECK(routes[0].backends_ == std::vector<gateway::WeightedService> { { "s1", 90 }, { "s2", 10 } });
    CHECK(routes[0].sticky_);
    CHECK(routes[0].homeRegions_ == std::vector<std::string> { "a" });
    CHECK(routes[1].kind_ == gateway::RequestKind::NonIdempotent);
    CHECK(routes[1].backends_ == std::vector<gateway::WeightedService> { { "s2", 1 } });
    CHECK(decoded.value().services_[0].coldRate_ == 14);
    CHECK(decoded.value().workspaces_[0].keys_ == std::vector<std::string> { "k1" });
    CHECK(decoded.value().limits_.idleTimeout_ == std::chrono::seconds(15));
}

TEST_CASE("a malformed configuration is an error that names the fault")
{
    CHECK_FALSE(decodeConfiguration("{"));
    CHECK_FALSE(decodeConfiguration("[]"));
    CHECK_FALSE(decodeConfiguration(std::string(200'000, '[')));
    const auto timeout = decodeConfiguration(replaced(configuration, "\"2000ms\"", "2000"));
    REQUIRE_FALSE(timeout);
    CHECK(timeout.error().message_ == "timeout is not a text");
    CHECK_FALSE(decodeConfiguration(replaced(configuration, "\"idempotent\"", "7")));
}

TEST_CASE("a route of an unknown kind is served as not idempotent, with a notice")
{
    // One word that a release does not know must not take all routes of all workspaces away, and a request of
    // such a route must not run twice.
    const auto decoded = decodeConfiguration(replaced(configuration, "\"idempotent\"", "\"sometimes\""));
    REQUIRE(decoded);
    CHECK(decoded.value().routes_.size() == 2);
    CHECK(decoded.value().routes_[0].kind_ == gateway::RequestKind::NonIdempotent);
    REQUIRE(decoded.value().notices_.size() == 1);
    CHECK(decoded.value().notices_[0].find("'sometimes'") != std::string::npos);
    CHECK(decodeConfiguration(configuration).value().notices_.empty());
}

TEST_CASE("a download may run more than once")
{
    const auto decoded = decodeConfiguration(replaced(configuration, "\"idempotent\"", "\"download\""));
    REQUIRE(decoded);
    CHECK(decoded.value().routes_[0].kind_ == gateway::RequestKind::Idempotent);
    CHECK(decoded.value().notices_.empty());
}

TEST_CASE("an upstream's entry is decoded")
{
    const auto decoded = decodeUpstream("u1", entry);
    REQUIRE(decoded);
    const gateway::UpstreamEntry expected { .id_ = "u1",
        .service_ = "s1",
        .address_ = { "10.1.2.3", 80 },
        .failureDomain_ = "a1",
        .version_ = "v1",
        .slots_ = 9,
        .leaving_ = false,
        .remainingColdTime_ = std::chrono::milliseconds(1500),
        .startedMs_ = 1'700'000'000'000,
        .sequence_ = 4 };
    CHECK(decoded.value() == expected);
    CHECK(decodeUpstream("u1", replaced(entry, "\"ready\"", "\"draining\"")).value().leaving_);
}

TEST_CASE("malformed entries of upstreams are rejected")
{
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> {
             { "\"service\":\"s1\",", "" }, { "\"ready\"", "\"gone\"" }, { ":9,", ":\"9\"," },
             { ":9,", ":0," }, { "10.1.2.3:80", "somewhere" }, { "\"1500ms\"", "1500" },
             { "\"seq\":4", "\"seq\":-4" }, { "1700000000000", "\"yesterday\"" } })
        CHECK_FALSE(decodeUpstream("u1", replaced(entry, from, to)));
    CHECK_FALSE(decodeUpstream("u1", "\xff\x00garbage"));
    CHECK_FALSE(decodeUpstream("u1", ""));
}

TEST_CASE("an order's kind follows from its key")
{
    using Kind = gateway::OrderChange::Kind;
    const auto rollout
        = decodeOrder({ .key_ = "rollout/s1", .value_ = R"({"service":"s1","to":"v2","duration":"12s"})" });
    REQUIRE(rollout);
    CHECK(rollout.value().kind_ == Kind::Rollout);
    CHECK(rollout.value().rollout_ == gateway::RolloutOrder { "s1", "v2", std::chrono::seconds(12) });
    const auto evacuation = decodeOrder({ .key_ = "evacuate/a1", .removed_ = true });
    REQUIRE(evacuation);
    CHECK(evacuation.value().kind_ == Kind::Evacuation);
    CHECK(evacuation.value().subject_ == "a1");
    CHECK(evacuation.value().removed_);
    CHECK(decodeOrder({ .key_ = "something" }).value().kind_ == Kind::Ignored);
    CHECK_FALSE(decodeOrder({ .key_ = "config", .value_ = "x" }));
    const auto status = encodeRolloutStatus({ "s1", "v2", 0, 1, rollout::RampState::Reverted });
    CHECK(status.key_ == "rollout/s1");
    CHECK(status.value_ == R"({"state":"reverted","to":"v2"})");
}

TEST_CASE("header fields and queries are parsed strictly")
{
    const auto protocol = makeProtocol();
    CHECK(protocol.parseApiKey_("Token abc") == "abc");
    CHECK(protocol.parseApiKey_("Bearer abc").empty());
    CHECK(protocol.parseApiKey_("Token").empty());
    CHECK(protocol.parseLoad_("3,0,8") == routing::LoadReport { 3, 0, 8 });
    CHECK_FALSE(protocol.parseLoad_("3,0"));
    CHECK(protocol.parseLoad_("3,0,8,150") == routing::LoadReport { 3, 0, 8, 150 });
    for (const char* text : { "", "3", "3,", "3,0,", "3,0,8,", "3,0,8,1,", "3,0,8,1,1", "a,b,c", "3, 0,8",
             "-1,0,8", "3,0,8x", "3,0,8,x", "3,0,0", "3,0,8,0", "99999999999,0,8" }) {
        INFO("load: ", text);
        CHECK_FALSE(protocol.parseLoad_(text));
    }
    CHECK(protocol.parseLookupQuery_("name=x&region=a&zone=a1") == gateway::LookupQuery { "a", "a1" });
    CHECK(protocol.encodeLookupAnswer_({ "10.0.0.1:80" }, std::chrono::seconds(2))
        == R"({"addrs":["10.0.0.1:80"],"ttl":"2000ms"})");
}

TEST_CASE("an answer of an upstream that leaves is recognised by one value only")
{
    // Another value of the field must not take an upstream out of use.
    const auto parse = [](std::vector<std::string> values, unsigned status) {
        gateway::Response answer { .status_ = status };
        for (const std::string& value : values)
            answer.headers_.push_back({ "server-leaving", value });
        return makeProtocol().parseNotice_(answer);
    };
    for (const unsigned status : { 200U, 404U, 500U, 503U })
        CHECK(parse({ "1" }, status) == routing::UpstreamNotice { .leaving_ = true });
    CHECK(parse({ "1", "1" }, 200).leaving_);
    CHECK(parse({}, 200) == routing::UpstreamNotice {});
    for (const char* value : { "0", "", "true", "11", "1, 1", "1.0" }) {
        CHECK_FALSE(parse({ value }, 200).leaving_);
        CHECK_FALSE(parse({ value }, 200).fault_.empty());
    }
    CHECK_FALSE(parse({ "1", "0" }, 200).leaving_);
}

TEST_CASE("a pause is read from a not-run refusal, and odd values are ignored with a fault")
{
    // An odd Retry-After must neither end the process nor take an upstream out of use.
    const auto parse = [](std::vector<std::string> values, unsigned status = 503, bool notRun = true) {
        gateway::Response answer { .status_ = status };
        if (notRun)
            answer.headers_.push_back({ "X-Not-Run", "1" });
        for (const std::string& value : values)
            answer.headers_.push_back({ "retry-after", value });
        return makeProtocol().parseNotice_(answer);
    };
    CHECK(parse({ "2" }).pauseSeconds_ == 2);
    CHECK(parse({ "0.25" }).pauseSeconds_ == 0.25);
    CHECK(parse({ "0" }).pauseSeconds_ == 0);
    CHECK(parse({ "86400" }).pauseSeconds_ == 86400);
    CHECK(parse({}) == routing::UpstreamNotice {});
    CHECK(parse({ "2" }, 503, false) == routing::UpstreamNotice {});
    CHECK(parse({ "2" }, 429) == routing::UpstreamNotice {});
    CHECK(parse({ "2" }, 200, false) == routing::UpstreamNotice {});
    for (const char* value : { "", "-1", "-0.0", "nan", "inf", "1e3", "+1", "0x10", "2s", "2,5", "1 2",
             "soon", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        INFO("value: ", value);
        CHECK_FALSE(parse({ value }).pauseSeconds_);
        CHECK_FALSE(parse({ value }).fault_.empty());
    }
    CHECK_FALSE(parse({ std::string(400, '9') }).pauseSeconds_);
    CHECK_FALSE(parse({ "1", "1" }).pauseSeconds_);
    CHECK_FALSE(parse({ "1", "1" }).fault_.empty());
}

TEST_CASE("a limit is read from any answer, and odd values are ignored with a fault")
{
    // An odd limit must neither stop all requests to an upstream nor end a limit that was named before.
    const auto parse = [](std::vector<std::string> values, unsigned status = 200) {
        gateway::Response answer { .status_ = status };
        for (const std::string& value : values)
            answer.headers_.push_back({ "server-limit", value });
        return makeProtocol().parseNotice_(answer);
    };
    CHECK(parse({ "2.5" }).requestRate_ == 2.5);
    CHECK(parse({ "2.5" }, 503).requestRate_ == 2.5);
    CHECK(parse({ "0" }).requestRate_ == 0);
    CHECK(parse({ "0.0" }).requestRate_ == 0);
    CHECK(parse({ "1000000000000" }).requestRate_ == 1e12);
    CHECK(parse({}) == routing::UpstreamNotice {});
    for (const char* value : { "", "-1", "-0.0", "nan", "inf", "1e3", "+1", "0x10", "2/s", "2,5", "1 2" }) {
        INFO("value: ", value);
        CHECK_FALSE(parse({ value }).requestRate_);
        CHECK(parse({ value }).isRateMalformed_);
        CHECK_FALSE(parse({ value }).fault_.empty());
    }
    CHECK(parse({ std::string(400, '9') }).isRateMalformed_);
    CHECK(parse({ "2", "2" }).isRateMalformed_);
    CHECK(parse({ "2", "3" }).isRateMalformed_);
}

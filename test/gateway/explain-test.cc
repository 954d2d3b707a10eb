// Tests of the explanation of a request that is not sent. They guard against an explanation that differs from
// what the gateway does, that takes quota or counts demand, or that shows a key.
#include "turmericwing/gateway/explain.h"

#include "turmericwing/gateway/dispatcher.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

Configuration makeConfiguration()
{
    return { .version_ = 7,
        .routes_ = { { .name_ = "read",
            .host_ = "a.example",
            .prefix_ = "/read/",
            .kind_ = RequestKind::Idempotent,
            .timeout_ = std::chrono::seconds(3),
            .latencyTarget_ = std::chrono::seconds(1),
            .backends_ = { { "s", 3 }, { "t", 1 } } } },
        .services_ = { { .name_ = "s" }, { .name_ = "t" } },
        .workspaces_ = { { .name_ = "w1", .keys_ = { "secret-key" }, .rate_ = 10, .burst_ = 1 } } };
}

/// A gateway without sockets, with the upstreams u1 and u2 of the service "s" and none of "t".
struct Rig {
    Rig()
    {
        state_.settings_.name_ = "h1";
        state_.settings_.region_ = "a";
        state_.protocol_.headers_ = { .requestId_ = "Id", .deadline_ = "Deadline", .object_ = "Object" };
        state_.protocol_.parseApiKey_ = [](std::string_view text) { return std::string(text); };
        state_.catalog_ = std::make_shared<const Catalog>(makeConfiguration());
        state_.directory_.loaded_ = true;
        state_.directory_.regionOf_ = { { "a1", "a" } };
        for (const char* id : { "u1", "u2" })
            upsertEntry(state_.directory_, monotonicNow(),
                { .id_ = id,
                    .service_ = "s",
                    .address_ = { "10.0.0.9", 80 },
                    .failureDomain_ = "a1",
                    .version_ = "v1",
                    .slots_ = 2 });
    }

    routing::Target& target(const char* id) { return *findUpstream(state_.directory_, id).target_; }

    State state_;
    boost::asio::io_context loop_;
    UpstreamClient upstreams_ { loop_ };
    host::Metrics metrics_;
    Dispatcher dispatcher_ { loop_, state_, upstreams_, metrics_ };
};

const ExplainQuery query { .host_ = "a.example", .path_ = "/read/x", .workspace_ = "w1" };

} // namespace

TEST_CASE("an explanation names route, workspace, backends and upstreams, and records nothing")
{
    Rig rig;
    rig.target("u1").inFlight_ = 1;
    const Random random = rig.state_.random_;
    const auto explanation = rig.dispatcher_.explain(query);
    CHECK_FALSE(explanation.refusal_);
    CHECK(explanation.configuration_ == 7);
    CHECK(explanation.route_ == "read");
    CHECK(explanation.workspace_ == "w1");
    CHECK(explanation.timeLeft_ == std::chrono::seconds(3));
    REQUIRE(explanation.backends_.size() == 2);
    const ExplainedBackend& backend = explanation.backends_[0];
    CHECK(backend.share_ == 0.75);
    CHECK(backend.decision_ == Decision::Sent);
    REQUIRE(backend.upstreams_.size() == 2);
    // The idle one first, as for a request.
    CHECK(backend.upstreams_[0].id_ == "u2");
    CHECK(backend.upstreams_[0].expectedSeconds_.value() < backend.upstreams_[1].expectedSeconds_.value());
    const ExplainedBackend& empty = explanation.backends_[1];
    CHECK(empty.decision_ == Decision::Refused);
    CHECK((empty.refusal_->reason_ == host::Reason::Overloaded));
    CHECK(empty.refusal_->retryAfter_.value() > 0);
    CHECK(rig.state_.random_ == random);
    CHECK(rig.state_.demand_.empty());
    CHECK(rig.state_.quotas_.workspaces_.empty());
    CHECK(rig.state_.retryBudgets_.empty());
    CHECK(rig.target("u2").inFlight_ == 0);
}

TEST_CASE("an explanation says why an upstream gets nothing, and what happens if none does")
{
    Rig rig;
    findUpstream(rig.state_.directory_, "u1").target_->announced_.leaving_ = true;
    rig.target("u2").inFlight_ = 100;
    auto backend = rig.dispatcher_.explain(query).backends_[0];
    CHECK(backend.decision_ == Decision::Waits);
    CHECK(backend.obstacles_ == std::map<std::string, size_t> { { "leaving", 1 }, { "full", 1 } });
    rig.state_.directory_.evacuated_.insert("a1");
    backend = rig.dispatcher_.explain(query).backends_[0];
    CHECK(backend.decision_ == Decision::Refused);
    CHECK(backend.obstacles_.at("evacuated") == 1);
}

TEST_CASE("an explanation refuses for the reasons of the request path, and never holds a key")
{
    Rig rig;
    const auto reasonFor = [&](ExplainQuery changed) {
        const auto refusal = rig.dispatcher_.explain(changed).refusal_;
        return refusal ? host::toString(refusal->reason_) : "none";
    };
    ExplainQuery changed = query;
    changed.path_ = "/other/";
    CHECK(reasonFor(changed) == std::string("no-such-route"));
    changed = query;
    changed.workspace_ = "unknown";
    CHECK(reasonFor(changed) == std::string("key-refused"));
    changed.workspace_.clear();
    CHECK(reasonFor(changed) == std::string("key-missing"));
    changed.authorization_ = "secret-key";
    CHECK(reasonFor(changed) == std::string("none"));
    const std::string text = explanationJson(rig.dispatcher_.explain(changed));
    CHECK(text.find("\"workspace\":\"w1\"") != std::string::npos);
    CHECK(text.find("secret-key") == std::string::npos);
    changed.deadlineMs_ = 1;
    CHECK(reasonFor(changed) == std::string("deadline-too-short"));
    // An empty bucket with demand admits nothing, and asking leaves it as it is.
    auto& quota = rig.state_.quotas_.workspaces_["w1"];
    quota.limits_ = { .rate_ = 10, .burst_ = 1 };
    quota.level_ = -100;
    quota.demand_ = 1000;
    const double arrived = quota.arrived_;
    const auto limited = rig.dispatcher_.explain(query);
    CHECK(limited.admitProbability_ == 0);
    CHECK((limited.refusal_->reason_ == host::Reason::RateLimited));
    CHECK(quota.arrived_ == arrived);
}

TEST_CASE("malformed queries for an explanation are refused with the fault")
{
    const auto parsed = parseExplainQuery("host=a.example&path=%2Fread%2F%C3%A4&deadline=250&object=o");
    REQUIRE(parsed);
    CHECK(parsed.value().path_ == "/read/\xc3\xa4");
    CHECK(parsed.value().deadlineMs_ == 250);
    for (const char* text : { "", "host=a", "path=/x", "host=a&path=x", "host=a&path=/x&method=",
             "host=a&path=/x&deadline=-1", "host=a&path=/x&deadline=", "host=a&path=/%2", "host=a&path=/%zz",
             "host=a&path=/%0a", "host=a&path=/x&key=k", "host" }) {
        INFO(text);
        CHECK_FALSE(parseExplainQuery(text));
    }
}

// Tests of the load generator's plan, schedule and checks, which decide whether the demo passes.
#include "loadgen.h"

#include "turmericwing/base/hash.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::standin;

TEST_CASE("a plan line with a missing or invalid field is rejected with its line number")
{
    // Guards against a run that silently omits a line of the plan.
    const auto plan = parsePlan("# comment\n\nw k s GET /a 2.5 0 repeatable 900 # reads\n");
    REQUIRE(plan);
    REQUIRE(plan.value().size() == 1);
    CHECK(plan.value()[0].timeout_ == std::chrono::milliseconds(900));
    for (const char* bad : { "w k s GET /a 1 0 repeatable", "w k s GET /a x 0 once 9",
             "w k s GET /a 1 0 twice 9", "w k s GET a 1 0 once 9", "w k s GET /a 0 0 once 9" }) {
        const auto refused = parsePlan(std::string("\n") + bad);
        REQUIRE(!refused);
        CHECK(refused.error().message_.starts_with("line 2:"));
    }
}

TEST_CASE("arrivals follow the rate and are reproducible by seed")
{
    // Guards against runs that are not reproducible or send a load other than planned.
    const std::vector<PlanLine> plan { { .rate_ = 100 }, { .rate_ = 20 } };
    const auto arrivals = schedule(plan, std::chrono::seconds(50), 100'000, 7);
    CHECK(arrivals.size() > 5600);
    CHECK(arrivals.size() < 6400);
    CHECK(arrivals == schedule(plan, std::chrono::seconds(50), 100'000, 7));
    CHECK(arrivals != schedule(plan, std::chrono::seconds(50), 100'000, 8));
    CHECK(schedule(plan, std::chrono::seconds(50), 10, 7).size() == 10);
}

TEST_CASE("duplicate executions, false \"not run\" reports and responses without execution are found")
{
    // Guards against a check that passes regardless of what the upstreams executed.
    const std::map<std::string, ReportedResult> reported {
        { "w/once", { .nonIdempotent_ = true, .mayHaveExecuted_ = true } },
        { "w/twice", { .nonIdempotent_ = true, .answered_ = true, .mayHaveExecuted_ = true } },
        { "w/read-twice", { .answered_ = true, .mayHaveExecuted_ = true } }, { "w/refused", {} },
        { "w/refused-but-ran", { .nonIdempotent_ = true } },
        { "w/ghost", { .answered_ = true, .mayHaveExecuted_ = true } }
    };
    const ExecutionFaults faults = findExecutionFaults(
        reported, { { "w/once", 1 }, { "w/twice", 2 }, { "w/read-twice", 2 }, { "w/refused-but-ran", 1 } });
    CHECK(faults.duplicates_ == 1);
    CHECK(faults.falseNotExecuted_ == 1);
    CHECK(faults.answeredNotExecuted_ == 1);
    CHECK(faults.examples_.size() == 3);
}

TEST_CASE("a response that is truncated or belongs to another request is detected")
{
    // Guards against accepting the response of another caller's request.
    const auto check = [](const char* id, const char* path, const char* body, size_t bytes, bool replayed) {
        httplib::Response response;
        response.body
            = nlohmann::json { { "requestId", id }, { "path", path }, { "bodySha256", sha256Hex(body) } }
                  .dump()
                  .substr(0, bytes);
        response.set_header("Turmericwing-Request-Id", "abc");
        if (replayed)
            response.set_header("Turmericwing-Replayed", "1");
        return checkBody(response, "/p", "b");
    };
    CHECK(check("abc-0", "/p", "b", 1000, false) == BodyCheck::Valid);
    CHECK(check("abc-0", "/p", "b", 40, false) == BodyCheck::Incomplete);
    CHECK(check("abd-0", "/p", "b", 1000, false) == BodyCheck::Swapped);
    CHECK(check("abd-0", "/p", "b", 1000, true) == BodyCheck::Valid);
    CHECK(check("abc-0", "/q", "b", 1000, false) == BodyCheck::Swapped);
    CHECK(check("abc-0", "/p", "c", 1000, true) == BodyCheck::Swapped);
}

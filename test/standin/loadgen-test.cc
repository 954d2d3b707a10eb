// Tests of the load driver's decisions, on which the demo's verdict rests.
#include "loadgen.h"

#include "turmericwing/base/hash.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::standin;

TEST_CASE("a plan line with a missing or wrong word is refused with its number")
{
    // Guards against a run that silently leaves out a stream of requests.
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

TEST_CASE("arrivals follow the rate and repeat with the seed")
{
    // Guards against runs that cannot be repeated or send another load than planned.
    const std::vector<PlanLine> plan { { .rate_ = 100 }, { .rate_ = 20 } };
    const auto arrivals = schedule(plan, std::chrono::seconds(50), 100'000, 7);
    CHECK(arrivals.size() > 5600);
    CHECK(arrivals.size() < 6400);
    CHECK(arrivals == schedule(plan, std::chrono::seconds(50), 100'000, 7));
    CHECK(arrivals != schedule(plan, std::chrono::seconds(50), 100'000, 8));
    CHECK(schedule(plan, std::chrono::seconds(50), 10, 7).size() == 10);
}

TEST_CASE("the verdict finds duplicates, false not run and answers without execution")
{
    // Guards against a verdict that passes whatever the upstreams ran.
    const std::map<std::string, Told> told { { "w/once", { .once_ = true, .mayHaveRun_ = true } },
        { "w/twice", { .once_ = true, .answered_ = true, .mayHaveRun_ = true } },
        { "w/read-twice", { .answered_ = true, .mayHaveRun_ = true } }, { "w/refused", {} },
        { "w/refused-but-ran", { .once_ = true } },
        { "w/ghost", { .answered_ = true, .mayHaveRun_ = true } } };
    const Verdict verdict = judge(
        told, { { "w/once", 1 }, { "w/twice", 2 }, { "w/read-twice", 2 }, { "w/refused-but-ran", 1 } });
    CHECK(verdict.duplicates_ == 1);
    CHECK(verdict.falseNotRun_ == 1);
    CHECK(verdict.answeredNotRun_ == 1);
    CHECK(verdict.examples_.size() == 3);
}

TEST_CASE("a response that is cut or belongs to another request is recognised")
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
    CHECK(check("abc-0", "/p", "b", 1000, false) == BodyCheck::Whole);
    CHECK(check("abc-0", "/p", "b", 40, false) == BodyCheck::Incomplete);
    CHECK(check("abd-0", "/p", "b", 1000, false) == BodyCheck::Swapped);
    CHECK(check("abd-0", "/p", "b", 1000, true) == BodyCheck::Whole);
    CHECK(check("abc-0", "/q", "b", 1000, false) == BodyCheck::Swapped);
    CHECK(check("abc-0", "/p", "c", 1000, true) == BodyCheck::Swapped);
}

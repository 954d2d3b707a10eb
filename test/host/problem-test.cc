// Tests of the problem details of refusals.
#include "turmericwing/host/problem.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace turmericwing::host;

TEST_CASE("every reason has a name, an error status and the right outcome")
{
    // Guards against a refusal that says "not run" although an upstream may have run the request. Request
    // handling uses these reasons, and only these, once this attempt or an earlier one may have sent a byte.
    const std::set<Reason> mayHaveRun { Reason::ClaimInProgress, Reason::OutcomeUnknown,
        Reason::UpstreamFailed, Reason::UpstreamTimeout };
    std::set<std::string> names;
    for (int i = 0; i <= static_cast<int>(Reason::NotReady); ++i) {
        const auto reason = static_cast<Reason>(i);
        const std::string name = toString(reason);
        CAPTURE(name);
        CHECK(names.insert(name).second);
        CHECK((outcomeOf(reason) == Outcome::Unknown) == (mayHaveRun.count(reason) > 0));
        CHECK((outcomeOf(reason) != Outcome::Answered));
        CHECK(statusOf(reason) >= 400);
        CHECK(statusOf(reason) < 600);
        const auto json = nlohmann::json::parse(problemJson(reason, "a \"text\" \xff", "id"));
        CHECK(json.at("status") == statusOf(reason));
        CHECK(json.at("outcome") == toString(outcomeOf(reason)));
        CHECK(json.at("type") == "urn:turmericwing:problem:" + name);
        CHECK(json.at("instance") == "urn:turmericwing:request:id");
    }
    CHECK(std::string(toString(Outcome::NotRun)) == "not-run");
    CHECK(std::string(toString(Outcome::Unknown)) == "unknown");
}

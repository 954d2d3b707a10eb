// Tests of the commands, with a function object in place of a host.
#include "command.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace turmericwing;
using namespace turmericwing::cli;

namespace {

/// Exit code, output and requests of one command.
struct Outcome {
    ExitCode code_ = Ok;
    std::string out_;
    std::string err_;
    std::string requests_; ///< One line per request: method, target and up to 60 bytes of the body.
};

/// Runs a command. Each request receives the next reply; after the last one, each response is lost.
Outcome run(const Invocation& invocation, const std::vector<HttpResponse>& replies)
{
    Outcome outcome;
    std::ostringstream out;
    std::ostringstream err;
    size_t next = 0;
    outcome.code_ = runCommand(
        invocation,
        [&](const std::string& method, const std::string& target,
            const std::string& body) -> Result<HttpResponse> {
            outcome.requests_ += method + " " + target + " " + body.substr(0, 60) + "\n";
            if (next == replies.size())
                return makeError(ErrorCode::Unknown, "response lost");
            return replies[next++];
        },
        out, err);
    outcome.out_ = out.str();
    outcome.err_ = err.str();
    return outcome;
}

const std::string sanad = "examples/sanad/objects.ini";
const HttpResponse emptySet { 200, R"({"revision": 7, "digest": "", "text": ""})" };

} // namespace

TEST_CASE("a publication reports the conflicting revision and its author")
{
    // Guards against overwriting a concurrent change or omitting who made it.
    const Invocation publish { .command_ = "publish", .arguments_ = { sanad }, .message_ = "first set" };
    const auto lost = run(publish,
        { emptySet, { 409, R"({"by": "salma", "change": "rate of petra-energy", "revision": 8})" } });
    CHECK(lost.code_ == RevisionConflict);
    CHECK(lost.err_ == "turmericwing: lost a race: salma published revision 8 first: rate of petra-energy\n");
    CHECK(lost.requests_.find("POST /v1/operator/publish {\"expectedRevision\":7,") != std::string::npos);
    const auto done = run(publish, { emptySet, { 200, R"({"revision": 8})" } });
    CHECK(done.code_ == Ok);
    CHECK(done.out_.ends_with("published revision 8\n"));
    CHECK(run({ .command_ = "publish", .arguments_ = { sanad } }, {}).code_ == Usage);
}

TEST_CASE("a lost response is not reported as a refusal")
{
    // Guards against an operator repeating a change that took effect.
    const auto lost = run({ .command_ = "withdraw-key", .arguments_ = { "petra-1" } }, {});
    CHECK(lost.code_ == Unreachable);
    CHECK(lost.err_.find("may have taken effect") != std::string::npos);
    CHECK(lost.requests_ == "POST /v1/operator/key-withdraw {\"name\":\"petra-1\"}\n");
}

TEST_CASE("a refused request prints the problem and its faults")
{
    // Guards against an exit code of 0 or a missing message when a host refuses a request.
    const auto refused = run({ .command_ = "drain-host", .arguments_ = { "sanad-01" } },
        { { 422,
            R"({"title": "Refused", "detail": "last host\u001b[2J", "faults": [{"file": "f", "line": 3,
                "object": "o", "field": "x", "reason": "r"}]})" } });
    CHECK(refused.code_ == Refused);
    CHECK(refused.err_
        == "f:3: o: x: r\nturmericwing: the host refused with status 422: Refused: last host?[2J\n");
    CHECK(run({ .command_ = "status" }, { { 200, "<html>" } }).code_ == Refused);
    CHECK(run({ .command_ = "check", .arguments_ = { "examples/sanad/move.ini" } }, {}).code_ == Refused);
}

TEST_CASE("explain refuses parameters that the host that is asked does not know")
{
    // Guards against a question whose answer ignores part of it.
    const std::map<std::string, std::string> forGateway { { "path", "/x" }, { "object", "o" } };
    CHECK(run({ .command_ = "explain", .query_ = forGateway }, {}).code_ == Usage);
    const std::map<std::string, std::string> forOperator { { "path", "/x" }, { "move", "m" } };
    CHECK(run({ .command_ = "explain", .query_ = forOperator, .asksGateway_ = true }, {}).code_ == Usage);
}

TEST_CASE("commands send the documented requests")
{
    // Guards against requests that differ from the interface of the operator port.
    struct Case {
        Invocation invocation_;
        std::string request_;
    };
    const Case cases[] = {
        { { .command_ = "status" }, "GET /v1/operator/status \n" },
        { { .command_ = "hosts" }, "GET /v1/operator/status \n" },
        { { .command_ = "audit", .limit_ = 5 }, "GET /v1/operator/audit?limit=5 \n" },
        { { .command_ = "explain", .query_ = { { "path", "/a b" }, { "service", "orders" } } },
            "GET /v1/operator/explain?path=%2Fa%20b&service=orders \n" },
        { { .command_ = "explain",
              .query_ = { { "host", "a.example" }, { "path", "/x" } },
              .asksGateway_ = true },
            "GET /explain?host=a.example&path=%2Fx \n" },
        { { .command_ = "withdraw-key", .arguments_ = { "\xFF" } },
            "POST /v1/operator/key-withdraw {\"name\":\"\xEF\xBF\xBD\"}\n" },
        { { .command_ = "move", .arguments_ = { "rollback", "m" } },
            "POST /v1/operator/move {\"name\":\"m\",\"state\":\"rolled-back\"}\n" },
        { { .command_ = "undrain-upstream", .arguments_ = { "u" } },
            "POST /v1/operator/upstream-drain {\"drain\":false,\"name\":\"u\"}\n" },
        { { .command_ = "region-lost", .arguments_ = { "aqaba" }, .fenced_ = true },
            "POST /v1/operator/region-lost {\"region\":\"aqaba\"}\n" },
    };
    for (const auto& testCase : cases) {
        const auto outcome = run(testCase.invocation_, { { 200, "{}" } });
        CHECK(outcome.code_ == Ok);
        CHECK(outcome.requests_ == testCase.request_);
    }
    CHECK(run({ .command_ = "region-lost", .arguments_ = { "aqaba" } }, {}).code_ == Usage);
    CHECK(run({ .command_ = "move", .arguments_ = { "stop", "m" } }, {}).code_ == Usage);
    CHECK(run({ .command_ = "dance" }, {}).code_ == Usage);
}

TEST_CASE("a diff of files needs no host")
{
    // Guards against a review of files that requires a running deployment.
    const auto outcome = run({ .command_ = "diff", .arguments_ = { sanad }, .base_ = sanad }, {});
    CHECK(outcome.code_ == Ok);
    CHECK(outcome.out_ == "no differences\n");
    CHECK(outcome.requests_.empty());
}

// Guards against soak checks that never fail: for each invariant there is a record that violates it.
#include "ledger.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::soak;

namespace {

const TimePoint start { std::chrono::seconds(100) };

/// One write that u1 executed once and responded to.
Records validRecords()
{
    Records records;
    records.attempts_.push_back({ .id_ = "r1",
        .write_ = true,
        .workspace_ = "w1",
        .host_ = "h1",
        .sentAt_ = start,
        .endedAt_ = start + std::chrono::milliseconds(30),
        .status_ = 200,
        .body_ = expectedBody("r1", "u1"),
        .signature_ = expectedSignature("r1", "u1") });
    records.executions_.push_back({ .id_ = "r1",
        .upstream_ = "u1",
        .at_ = start + std::chrono::milliseconds(5),
        .workspace_ = "w1",
        .request_ = expectedRequest("r1", true) });
    return records;
}

std::vector<std::string> violatedInvariants(const Records& records)
{
    std::vector<std::string> invariants;
    for (const Violation& violation : checkRecords(records, {}))
        invariants.push_back(violation.invariant_);
    return invariants;
}

} // namespace

TEST_CASE("valid records violate no invariant") { CHECK(violatedInvariants(validRecords()).empty()); }

TEST_CASE("each violated invariant is reported")
{
    Records records = validRecords();
    std::string expectedInvariant;
    SUBCASE("write executed twice")
    {
        records.executions_.push_back(records.executions_.front());
        expectedInvariant = "a write is executed at most once";
    }
    SUBCASE("rejected as not executed although it was executed")
    {
        records.attempts_.front().status_ = 503;
        expectedInvariant = "a request rejected as not executed was not executed";
    }
    SUBCASE("modified response")
    {
        records.attempts_.front().body_ = "answer to";
        expectedInvariant = "a success is the complete upstream response to that request";
    }
    SUBCASE("modified request")
    {
        records.executions_.front().request_ = expectedRequest("r2", true);
        expectedInvariant = "requests arrive unchanged";
    }
    SUBCASE("wrong workspace")
    {
        records.executions_.front().workspace_ = "w2";
        expectedInvariant = "upstreams receive the workspace of the API key";
    }
    SUBCASE("API key sent to the upstream")
    {
        records.executions_.front().keyReceived_ = true;
        expectedInvariant = "upstreams never receive an API key";
    }
    SUBCASE("execution without a caller's request")
    {
        records.executions_.push_back({ .id_ = "r9", .upstream_ = "u1" });
        expectedInvariant = "upstreams execute only requests that callers sent";
    }
    SUBCASE("no response")
    {
        records.attempts_.front().status_ = 0;
        expectedInvariant = "an executed request gets a response";
    }
    SUBCASE("sent to a drained upstream")
    {
        records.drains_.push_back({ "u1", start - std::chrono::seconds(3) });
        expectedInvariant = "a drained upstream receives no requests";
    }
    CHECK(violatedInvariants(records) == std::vector { expectedInvariant });
}

TEST_CASE("a missing response is excused on a killed host but not on a stopping host")
{
    Records records = validRecords();
    records.attempts_.front().status_ = 0;
    records.faultIntervals_.push_back({ FaultKind::Stop, "h1", start, start + std::chrono::seconds(6) });
    CHECK(violatedInvariants(records).size() == 1);
    records.faultIntervals_.push_back({ FaultKind::Process, "h1", start, start + std::chrono::seconds(1) });
    CHECK(violatedInvariants(records).empty());
}

TEST_CASE("a host without store contact may send requests to a drained upstream")
{
    Records records = validRecords();
    records.drains_.push_back({ "u1", start - std::chrono::seconds(3) });
    records.faultIntervals_.push_back(
        { FaultKind::Store, "h1", start - std::chrono::seconds(4), start - std::chrono::seconds(1) });
    CHECK(violatedInvariants(records).empty());
}

namespace {

/// Records of a write that reached u1 `after` the first one was sent, from the same host.
void addLaterWrite(Records& records, const std::string& id, Duration after)
{
    Attempt attempt = records.attempts_.front();
    attempt.id_ = id;
    attempt.sentAt_ = start + after;
    attempt.endedAt_ = attempt.sentAt_ + std::chrono::milliseconds(30);
    attempt.status_ = 502;
    records.attempts_.push_back(attempt);
    records.arrivals_.push_back({ id, "u1", attempt.sentAt_ + std::chrono::milliseconds(5) });
}

} // namespace

TEST_CASE("a request after an announced leaving and the drain time is a violation, without the store too")
{
    Records records = validRecords();
    records.announcements_.push_back({ "r1", "u1", start + std::chrono::milliseconds(20), {} });
    addLaterWrite(records, "r2", std::chrono::milliseconds(2500));
    CHECK(violatedInvariants(records).empty());
    addLaterWrite(records, "r3", std::chrono::milliseconds(2600));
    const std::vector<std::string> expected { "an upstream that announced its leaving receives no requests" };
    CHECK(violatedInvariants(records) == expected);
    SUBCASE("a fault of the store is no excuse")
    {
        records.faultIntervals_.push_back({ FaultKind::Store, "h1", start, start + std::chrono::seconds(9) });
        CHECK(violatedInvariants(records) == expected);
    }
    SUBCASE("a restart since then is one")
    {
        records.faultIntervals_.push_back(
            { FaultKind::Start, "h1", start + std::chrono::seconds(1), start + std::chrono::seconds(3) });
        CHECK(violatedInvariants(records).empty());
    }
    SUBCASE("another host has not received the announcement")
    {
        records.attempts_.back().host_ = "h2";
        CHECK(violatedInvariants(records).empty());
    }
    SUBCASE("an answer that was not passed on binds nobody")
    {
        records.attempts_.front().status_ = 502;
        CHECK(violatedInvariants(records).empty());
    }
}

TEST_CASE("more than two requests in a pause that was asked for are a violation")
{
    Records records = validRecords();
    records.executions_.clear();
    records.attempts_.front().status_ = 503;
    records.announcements_.push_back(
        { "r1", "u1", start + std::chrono::milliseconds(5), start + std::chrono::milliseconds(2005) });
    addLaterWrite(records, "r2", std::chrono::milliseconds(400));
    addLaterWrite(records, "r3", std::chrono::milliseconds(600));
    addLaterWrite(records, "r4", std::chrono::milliseconds(1900));
    addLaterWrite(records, "r5", std::chrono::milliseconds(2010));
    CHECK(violatedInvariants(records).empty());
    addLaterWrite(records, "r6", std::chrono::milliseconds(1000));
    const std::vector<std::string> expected {
        "an upstream that asked for a pause receives at most two requests in it"
    };
    CHECK(violatedInvariants(records) == expected);
    records.faultIntervals_.push_back({ FaultKind::Process, "h1", start + std::chrono::milliseconds(100),
        start + std::chrono::milliseconds(200) });
    CHECK(violatedInvariants(records).empty());
}

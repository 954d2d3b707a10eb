// Tests of the memory for requests. They guard against callers that fill a host with requests that never end:
// a rule that bounds each request alone lets their sum grow, and one that refuses whoever comes last keeps
// those that stall and turns ordinary callers away.
#include "turmericwing/gateway/requestbudget.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
const TimePoint stalledBy = start + std::chrono::seconds(2);

RequestBudget smallBudget()
{
    return { .options_
        = { .limit_ = 1000, .reserve_ = 100, .smallBytes_ = 20, .progressBytes_ = 10, .maxWaiting_ = 2 } };
}

} // namespace

TEST_CASE("many large bodies that stop just short of their end")
{
    RequestBudget budget = smallBudget();
    for (uint64_t request = 0; request < 10; ++request) {
        const Room expected = request < 3 ? Room::Granted : request < 5 ? Room::Waits : Room::Refused;
        CHECK(claimRoom(budget, request, 300, start + std::chrono::milliseconds(request)).room_ == expected);
    }
    for (uint64_t request = 5; request < 10; ++request)
        releaseRequest(budget, request);
    CHECK(budget.heldBytes_ == 900);
    // Ordinary requests have room in the reserve, also beside others that stall.
    CHECK(claimRoom(budget, 10, 20, stalledBy) == Claim {});
    // Who waits takes the room of those that stall, in the order in which it came.
    CHECK(claimRoom(budget, 4, 300, stalledBy).room_ == Room::Waits);
    const Claim first = claimRoom(budget, 3, 300, stalledBy);
    CHECK(first.room_ == Room::Granted);
    CHECK(first.ended_.size() == 1);
    CHECK(claimRoom(budget, 4, 300, stalledBy).room_ == Room::Granted);
    CHECK(budget.heldBytes_ == 920);
    CHECK(waitingCount(budget) == 0);
}

TEST_CASE("a request that receives single bytes counts as stalled, one that gets on does not")
{
    RequestBudget budget = smallBudget();
    claimRoom(budget, 1, 450, start);
    claimRoom(budget, 2, 450, start);
    recordReceived(budget, 1, 9, stalledBy);
    recordReceived(budget, 2, 10, stalledBy);
    CHECK(claimRoom(budget, 3, 400, stalledBy) == Claim { .room_ = Room::Granted, .ended_ = { 1 } });
    CHECK(claimRoom(budget, 4, 400, stalledBy).room_ == Room::Waits);
}

TEST_CASE("a small request takes the room of the largest, never of other small ones that get on")
{
    RequestBudget budget = smallBudget();
    claimRoom(budget, 1, 400, start);
    claimRoom(budget, 2, 500, start);
    for (uint64_t request = 3; request < 8; ++request)
        CHECK(claimRoom(budget, request, 20, start) == Claim {});
    CHECK(claimRoom(budget, 8, 20, start) == Claim { .room_ = Room::Granted, .ended_ = { 2 } });
    RequestBudget full = smallBudget();
    for (uint64_t request = 0; request < 50; ++request)
        CHECK(claimRoom(full, request, 20, start).room_ == Room::Granted);
    CHECK(claimRoom(full, 50, 20, start).room_ == Room::Refused);
}

TEST_CASE("bodies of unknown length that grow side by side do not wait for each other")
{
    RequestBudget budget = smallBudget();
    for (uint64_t request = 1; request <= 3; ++request)
        CHECK(claimRoom(budget, request, 300, start).room_ == Room::Granted);
    CHECK(claimRoom(budget, 1, 600, start).room_ == Room::Refused);
    releaseRequest(budget, 1);
    CHECK(claimRoom(budget, 2, 600, start).room_ == Room::Granted);
}

TEST_CASE("nothing ends in vain, and what never has room is refused at once")
{
    RequestBudget budget = smallBudget();
    claimRoom(budget, 1, 100, start);
    changeHeld(budget, 0, 700); // Of a complete request.
    CHECK(claimRoom(budget, 2, 300, stalledBy) == Claim { .room_ = Room::Waits });
    CHECK(claimRoom(budget, 3, 901, stalledBy) == Claim { .room_ = Room::Refused });
    CHECK(budget.unfinished_.contains(1));
}

TEST_CASE("a body of 64 MiB has room on the smallest hosts")
{
    RequestBudget budget { .options_ = requestBudgetOptions(uint64_t { 160 } << 20) };
    CHECK(claimRoom(budget, 1, (uint64_t { 64 } << 20) + 48 * 1024, start).room_ == Room::Granted);
}

TEST_CASE("what others hold leaves less, and a request that fits only without their answers waits")
{
    RequestBudget budget = smallBudget();
    budget.takenBytes_ = 600;
    budget.lastingBytes_ = 200;
    CHECK(claimRoom(budget, 1, 300, start).room_ == Room::Granted);
    CHECK(claimRoom(budget, 2, 500, start).room_ == Room::Waits);
    CHECK(claimRoom(budget, 3, 701, start).room_ == Room::Refused);
    releaseRequest(budget, 1);
    budget.takenBytes_ = 400;
    CHECK(claimRoom(budget, 2, 500, start).room_ == Room::Granted);
}

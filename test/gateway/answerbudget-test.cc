// Tests of the memory for answers. They guard against bytes that stay counted after their answer has ended,
// and against a small answer that ends in place of a large one.
#include "turmericwing/gateway/answerbudget.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

TEST_CASE("the largest unfinished answer ends when there is no room")
{
    AnswerBudget budget { .limit_ = 100 };
    holdUnfinished(budget, 1, 10);
    holdUnfinished(budget, 2, 60);
    holdUnfinished(budget, 3, 30);
    CHECK_FALSE(answerToEnd(budget));
    holdUnfinished(budget, 1, 11);
    CHECK(answerToEnd(budget) == 2);
    releaseUnfinished(budget, 2);
    CHECK(budget.heldBytes_ == 41);
    CHECK_FALSE(answerToEnd(budget));
    releaseUnfinished(budget, 2);
    holdUnfinished(budget, 3, 5);
    CHECK(budget.heldBytes_ == 16);
    releaseUnfinished(budget, 1);
    releaseUnfinished(budget, 3);
    CHECK(budget.heldBytes_ == 0);
}

TEST_CASE("complete answers take room until they are sent, and do not end")
{
    const auto budget = std::make_shared<AnswerBudget>(AnswerBudget { .limit_ = 100 });
    auto large = holdComplete(budget, 120);
    CHECK_FALSE(answerToEnd(*budget));
    holdUnfinished(*budget, 1, 1);
    CHECK(answerToEnd(*budget) == 1);
    large.reset();
    CHECK(budget->heldBytes_ == 1);
    CHECK_FALSE(answerToEnd(*budget));
}

TEST_CASE("the answer that its caller has not read on for longest ends first")
{
    // Guards against callers that hold the room of all answers for as long as they stay.
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    const auto after = [&](int seconds) { return start + std::chrono::seconds(seconds); };
    AnswerBudget budget;
    for (uint64_t connection = 1; connection <= 3; ++connection)
        beginSending(budget, connection, start);
    recordSent(budget, 1, 0, after(1));
    recordSent(budget, 2, 1000, after(2));
    recordSent(budget, 3, 1000, after(3));
    CHECK_FALSE(unreadAnswer(budget, start - std::chrono::seconds(1)));
    CHECK(unreadAnswer(budget, after(2)) == 1);
    CHECK(unreadAnswer(budget, after(2), 1) == 2);
    endSending(budget, 1);
    CHECK(unreadAnswer(budget, after(3)) == 2);
    recordSent(budget, 2, 1000, after(4)); // Nothing more.
    CHECK(unreadAnswer(budget, after(3)) == 2);
    recordSent(budget, 2, 1001, after(4));
    CHECK(unreadAnswer(budget, after(3)) == 3);
}

// Tests of the memory for answers. They guard against bytes that stay counted after their answer has ended,
// and against a small answer that ends in place of a large one.
#include "turmericwing/gateway/answerbudget.h"

#include <doctest/doctest.h>

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

// Tests of the retry budget, retries and hedges.
#include "turmericwing/routing/retry.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::routing;
using namespace std::chrono_literals;

namespace {

const TimePoint now { 1000s };

} // namespace

TEST_CASE("retries and hedges are at most a tenth of the requests")
{
    // Guards against retries that multiply the load when all requests fail.
    for (const bool limited : { true, false }) {
        const RetryOptions options { .enforceBudget_ = limited };
        RetryBudget budget;
        size_t extra = 0;
        for (size_t i = 1; i <= 10000; ++i) {
            earnRetryToken(budget, options);
            extra += spendRetryToken(budget, options, now, { .idempotent_ = true, .deadline_ = now + 1s })
                ? 1
                : 0;
            extra += spendHedgeToken(budget, options, now,
                         { .idempotent_ = true,
                             .started_ = now - 1s,
                             .p95Latency_ = 10ms,
                             .freeSlots_ = 9,
                             .heldSlots_ = 9 })
                ? 1
                : 0;
            if (limited)
                REQUIRE(extra * 10 <= i);
        }
        CHECK((extra == 1000) == limited);
    }
    // A long period without failures saves up no more than the burst.
    RetryBudget budget;
    for (int i = 0; i < 10000; ++i)
        earnRetryToken(budget, {});
    int retries = 0;
    while (spendRetryToken(budget, {}, now, { .deadline_ = now + 1s }))
        ++retries;
    CHECK(retries == 10);
}

TEST_CASE("only attempts that can safely be repeated are retried")
{
    // Guards against a second execution of a non-idempotent request, and against retries that cannot help.
    RetryBudget budget { 10 };
    const FailedAttempt good {
        .idempotent_ = true, .byteMayBeSent_ = true, .deadline_ = now + 1s, .expected_ = 10ms
    };
    CHECK(spendRetryToken(budget, {}, now, good));
    FailedAttempt attempt = good;
    attempt.idempotent_ = false;
    CHECK_FALSE(spendRetryToken(budget, {}, now, attempt));
    attempt.byteMayBeSent_ = false;
    CHECK(spendRetryToken(budget, {}, now, attempt));
    attempt = good;
    attempt.overload_ = true;
    CHECK_FALSE(spendRetryToken(budget, {}, now, attempt));
    attempt = good;
    attempt.responseStarted_ = true;
    CHECK_FALSE(spendRetryToken(budget, {}, now, attempt));
    attempt = good;
    attempt.attempts_ = 3;
    CHECK_FALSE(spendRetryToken(budget, {}, now, attempt));
    CHECK_FALSE(spendRetryToken(budget, {}, now + 990ms, good));
    CHECK(budget.tokens_ == 8);
}

TEST_CASE("lookups are hedged only with enough free slots")
{
    // Guards against hedges that add load to a busy service.
    RetryBudget budget { 10 };
    const HedgeCandidate good {
        .idempotent_ = true, .started_ = now, .p95Latency_ = 50ms, .freeSlots_ = 6, .heldSlots_ = 10
    };
    CHECK(spendHedgeToken(budget, {}, now + 50ms, good));
    CHECK_FALSE(spendHedgeToken(budget, {}, now + 49ms, good));
    HedgeCandidate candidate = good;
    candidate.freeSlots_ = 5;
    CHECK_FALSE(spendHedgeToken(budget, {}, now + 50ms, candidate));
    CHECK(spendHedgeToken(budget, { .hedgeMinFreeFraction_ = 0 }, now + 50ms, candidate));
    candidate = good;
    candidate.idempotent_ = false;
    CHECK_FALSE(spendHedgeToken(budget, {}, now + 50ms, candidate));
    candidate = good;
    candidate.hedged_ = true;
    CHECK_FALSE(spendHedgeToken(budget, {}, now + 50ms, candidate));
    candidate = good;
    candidate.p95Latency_ = 0ms;
    CHECK_FALSE(spendHedgeToken(budget, {}, now + 50ms, candidate));
}

// Tests the token bucket.
#include "turmericwing/limits/bucket.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace turmericwing;
using namespace turmericwing::limits;

namespace {
TimePoint at(int64_t us) { return TimePoint(Duration(us)); }
} // namespace

TEST_CASE("a bucket never exceeds its rate and burst and yields every token within them")
{
    // Guards against rounding errors that add up over many small takes, and against lost tokens.
    CHECK(rc::check([] {
        const BucketLimits limits { *rc::gen::inRange(1, 100'000) / 7.0, *rc::gen::inRange(1, 500) / 3.0 };
        Bucket bucket = makeEmptyBucket(limits, at(0));
        int64_t now = 0;
        double taken = 0;
        bool capped = false;
        for (int i = 0; i < 200; ++i) {
            now += *rc::gen::inRange(0, 20'000);
            const auto n = static_cast<uint64_t>(*rc::gen::inRange(0, 4));
            const uint64_t available = availableTokens(bucket, at(now));
            capped = capped || now * 1e-6 * limits.rate_ - taken >= limits.burst_;
            RC_ASSERT(takeTokens(bucket, n, at(now)) == (n <= available));
            if (n <= available)
                taken += static_cast<double>(n);
            else if (!capped)
                RC_ASSERT(now * 1e-6 * limits.rate_ - taken < static_cast<double>(n) + 0.01);
            RC_ASSERT(taken <= now * 1e-6 * limits.rate_ + 1e-9);
            const TimePoint ready = tokensReadyAt(bucket, 1, at(now));
            if (limits.burst_ >= 1)
                RC_ASSERT(availableTokens(bucket, ready) >= 1u);
        }
    }));
}

TEST_CASE("a bucket keeps its level when limits change and its burst when idle")
{
    // Guards against a configuration change or idle time that creates tokens.
    // A burst of one token never yielded it if the time per token was not a whole number of nanoseconds.
    CHECK(availableTokens(makeEmptyBucket({ 6.0 / 7, 1 }, at(0)), at(2'000'000)) == 1);
    Bucket bucket = makeEmptyBucket({ 10, 5 }, at(0));
    CHECK(availableTokens(bucket, at(300'000)) == 3);
    setLimits(bucket, { 100, 50 }, at(300'000));
    CHECK(availableTokens(bucket, at(300'000)) == 3);
    setLimits(bucket, { 1, 2 }, at(300'000));
    CHECK(availableTokens(bucket, at(300'000)) == 2);
    CHECK(availableTokens(bucket, at(3'600'000'000)) == 2);
    setLimits(bucket, { 0, 2 }, at(300'000));
    CHECK(availableTokens(bucket, at(3'600'000'000)) == 0);
    CHECK(tokensReadyAt(bucket, 1, at(0)) == TimePoint::max());
}

TEST_CASE("returned and reserved tokens stay within the burst")
{
    // Guards against returned tokens that fill a bucket above its burst.
    Bucket bucket = makeEmptyBucket({ 10, 5 }, at(0));
    CHECK(takeTokens(bucket, 4, at(500'000)));
    refundTokens(bucket, 2, at(500'000));
    CHECK(availableTokens(bucket, at(500'000)) == 3);
    refundTokens(bucket, 100, at(500'000));
    CHECK(availableTokens(bucket, at(500'000)) == 5);
    capLevel(bucket, 4, at(500'000));
    CHECK(availableTokens(bucket, at(500'000)) == 1);
}

// Sequential test of a new side against the old one, from requests of the same periods.
//
// Given the number of failures in a period, how many of them fall on the new side depends only on the two
// numbers of requests, if both sides fail equally often: a disturbance of both does not matter. The test
// multiplies, per period, the likelihood ratio of "the odds of a failure on the new side are `alternative`
// times those on the old side" to "at most `tolerance` times". A weighted sum over all periods in which the
// new side may have become bad finds versions that fail later. The sum is a supermartingale that starts at 1
// while the new side is good, so it ever reaches 1 / falseAlarm with at most that probability (Ville's
// inequality), whenever and however often one looks. The binomial ratio is used for the hypergeometric one;
// it is less sensitive when most requests fail and never raises the rate of false alarms.
//
// Latency is tested in the same way, with "slower than a limit" for "failed".
#pragma once

#include <cstdint>

namespace turmericwing::rollout {

struct TestOptions {
    double falseAlarm_ = 0.001; ///< For all tests of a move together, over its whole time.
    double miss_ = 0.01; ///< Of accepting a step although the new side is bad.
    uint32_t tests_ = 1; ///< Number of tests that share falseAlarm_.
    double tolerance_ = 1.5; ///< Odds ratio that is still good.
    double alternatives_[2] = { 4, 20 }; ///< Odds ratios that are tested for, at equal weight.
    /// False compares with a fixed rate of failures instead of the old side's. Only for tests.
    bool compare_ = true;
    double fixedRate_ = 0.01;
};

/// Requests and failures in one period, or in several.
struct Comparison {
    uint64_t new_ = 0;
    uint64_t newFailed_ = 0;
    uint64_t old_ = 0;
    uint64_t oldFailed_ = 0;
    Comparison& operator+=(const Comparison&);
    friend bool operator==(const Comparison&, const Comparison&) = default;
};

struct SequentialTest {
    double logSum_[2] = { -1e300, -1e300 }; ///< Logarithm of the weighted sum, per alternative.
    uint64_t periods_ = 0; ///< With failures.
};

/// Adds one period. Failures must not exceed requests.
void addPeriod(SequentialTest&, const TestOptions&, const Comparison&);

/// Logarithm of the evidence against the new side.
double logEvidence(const SequentialTest&);

bool isBad(const SequentialTest&, const TestOptions&);

/// Whether the requests exclude, except with probability `miss_`, that the new side fails in `excess` more of
/// its requests than the old one.
bool excludesExcess(const Comparison&, const TestOptions&, double excess);

} // namespace turmericwing::rollout

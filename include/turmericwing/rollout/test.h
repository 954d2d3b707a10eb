// Sequential test of a new side against the old one, on requests of the same periods.
//
// If both sides fail equally often, the split of a period's failures between the sides depends only on the
// two numbers of requests, so a disturbance that affects both sides does not matter. For each period, the
// test multiplies its statistic by the likelihood ratio of "the odds of a failure on the new side are
// `alternative` times those on the old side" to "at most `tolerance` times". A weighted sum over all periods
// in which the new side may have become bad detects versions that fail later. While the new side is good, the
// sum is a supermartingale that starts at 1, so the probability that it ever reaches 1 / falseAlarm is at
// most falseAlarm (Ville's inequality), however often it is checked. The binomial ratio replaces the
// hypergeometric one; it is less sensitive when most requests fail and never increases the rate of false
// alarms.
//
// Latency is tested in the same way, with "slower than a limit" instead of "failed".
#pragma once

#include <cstdint>

namespace turmericwing::rollout {

struct TestOptions {
    double falseAlarm_ = 0.001; ///< Probability for all tests of a move together, over its whole duration.
    double miss_ = 0.01; ///< Probability of accepting a step although the new side is bad.
    uint32_t tests_ = 1; ///< Number of tests that share falseAlarm_.
    double tolerance_ = 1.5; ///< Largest odds ratio that counts as good.
    double alternatives_[2] = { 4, 20 }; ///< Odds ratios that are tested for, with equal weight.
    /// Excess of the new side's failure rate that excludesExcess() counts as good.
    double toleratedExcess_ = 0;
    /// False only in tests: compares with fixedRate_ instead of the old side's failure rate.
    bool compare_ = true;
    double fixedRate_ = 0.01;
};

/// Requests and failures of both sides, in one or several periods.
struct Comparison {
    uint64_t new_ = 0;
    uint64_t newFailed_ = 0;
    uint64_t old_ = 0;
    uint64_t oldFailed_ = 0;
    Comparison& operator+=(const Comparison&);
    friend bool operator==(const Comparison&, const Comparison&) = default;
};

/// State of a test.
struct SequentialTest {
    double logSum_[2] = { -1e300, -1e300 }; ///< Logarithm of the weighted sum, per alternative.
    uint64_t periods_ = 0; ///< Number of periods with failures and with requests on both sides.
};

/// Adds one period. Failures must not exceed requests. Periods without failures, or without requests on
/// either side, have no effect.
void addPeriod(SequentialTest&, const TestOptions&, const Comparison&);

/// Returns the natural logarithm of the evidence against the new side.
double logEvidence(const SequentialTest&);

/// Returns whether the test has found the new side to be bad.
bool isBad(const SequentialTest&, const TestOptions&);

/// Returns whether the requests exclude, with an error probability of `miss_`, that the failure rate of the
/// new side is higher by `excess` than that of the old side. False without requests on the new side.
bool excludesExcess(const Comparison&, const TestOptions&, double excess);

} // namespace turmericwing::rollout

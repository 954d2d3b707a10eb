// Likelihood ratios of the sequential test.
#include "turmericwing/rollout/test.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::rollout {

namespace detail {

    /// Returns log(exp(a) + exp(b)) without overflow.
    double logAdd(double a, double b)
    {
        const double high = std::max(a, b);
        return high + std::log1p(std::exp(std::min(a, b) - high));
    }

} // namespace detail

Comparison& Comparison::operator+=(const Comparison& other)
{
    new_ += other.new_;
    newFailed_ += other.newFailed_;
    old_ += other.old_;
    oldFailed_ += other.oldFailed_;
    return *this;
}

void addPeriod(SequentialTest& test, const TestOptions& options, const Comparison& period)
{
    Comparison used = period;
    if (!options.compare_) {
        used.old_ = 100 * period.new_;
        used.oldFailed_ = static_cast<uint64_t>(options.fixedRate_ * static_cast<double>(used.old_));
    }
    const double failed = static_cast<double>(used.newFailed_ + used.oldFailed_);
    // Without requests on both sides there is nothing to compare.
    if (failed == 0 || used.new_ == 0 || used.old_ == 0)
        return;
    const double part = static_cast<double>(used.new_) / static_cast<double>(used.new_ + used.old_);
    const auto k = static_cast<double>(++test.periods_);
    // Prior weight of the new side having become bad in period k; the weights of all periods sum to 1.
    const double logWeight = -std::log(k * (k + 1));
    const double good = std::log1p(part * (options.tolerance_ - 1));
    for (int i = 0; i < 2; ++i) {
        const double odds = options.alternatives_[i];
        const double ratio = static_cast<double>(used.newFailed_) * std::log(odds / options.tolerance_)
            + failed * (good - std::log1p(part * (odds - 1)));
        test.logSum_[i] = detail::logAdd(test.logSum_[i], logWeight) + ratio;
    }
}

double logEvidence(const SequentialTest& test)
{
    return detail::logAdd(test.logSum_[0], test.logSum_[1]) - std::log(2.0);
}

bool isBad(const SequentialTest& test, const TestOptions& options)
{
    return logEvidence(test) >= std::log(options.tests_ / options.falseAlarm_);
}

bool excludesExcess(const Comparison& sum, const TestOptions& options, double excess)
{
    if (sum.new_ == 0)
        return false;
    // Failure rate of the old side, shrunk towards 0.5% while it has few requests.
    const double good = std::min(0.9,
        options.toleratedExcess_
            + (static_cast<double>(sum.oldFailed_) + 0.5) / (static_cast<double>(sum.old_) + 100));
    const double bad = std::min(0.99, good + excess);
    const auto failed = static_cast<double>(sum.newFailed_);
    const double succeeded = static_cast<double>(sum.new_) - failed;
    const double ratio = failed * std::log(bad / good) + succeeded * std::log((1 - bad) / (1 - good));
    return ratio <= std::log(options.miss_);
}

} // namespace turmericwing::rollout

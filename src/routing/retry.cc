// Retry budget and conditions for retries and hedges.
#include "turmericwing/routing/retry.h"

#include <algorithm>

namespace turmericwing::routing {

namespace detail {

    bool spendToken(RetryBudget& budget, const RetryOptions& options)
    {
        if (!options.enforceBudget_)
            return true;
        // Tolerates rounding: ten additions of 0.1 give slightly less than 1.
        if (budget.tokens_ < 1 - 1e-9)
            return false;
        budget.tokens_ -= 1;
        return true;
    }

} // namespace detail

void earnRetryToken(RetryBudget& budget, const RetryOptions& options)
{
    budget.tokens_ = std::min(options.burst_, budget.tokens_ + options.ratio_);
}

bool spendRetryToken(
    RetryBudget& budget, const RetryOptions& options, TimePoint now, const FailedAttempt& failed)
{
    // Retrying after an overload refusal would add load to a service that already has too much.
    if (failed.overload_ || failed.responseStarted_ || failed.attempts_ >= options.maxAttempts_)
        return false;
    if (failed.byteMayBeSent_ && !failed.idempotent_)
        return false;
    if (failed.deadline_ <= now + failed.expected_)
        return false;
    return detail::spendToken(budget, options);
}

bool spendHedgeToken(
    RetryBudget& budget, const RetryOptions& options, TimePoint now, const HedgeCandidate& candidate)
{
    if (!candidate.idempotent_ || candidate.hedged_ || candidate.p95Latency_ <= Duration::zero()
        || now < candidate.started_ + candidate.p95Latency_ || candidate.freeSlots_ == 0)
        return false;
    if (candidate.freeSlots_ - 1 < options.hedgeMinFreeFraction_ * candidate.heldSlots_)
        return false;
    return detail::spendToken(budget, options);
}

} // namespace turmericwing::routing

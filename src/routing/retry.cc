// Implementation of the retry budget and of hedging.
#include "turmericwing/routing/retry.h"

#include <algorithm>

namespace turmericwing::routing {

namespace detail {

    bool spend(RetryBudget& budget, const RetryOptions& options)
    {
        if (!options.limited_)
            return true;
        // Ten additions of 0.1 give slightly less than 1.
        if (budget.tokens_ < 1 - 1e-9)
            return false;
        budget.tokens_ -= 1;
        return true;
    }

} // namespace detail

void earnRetry(RetryBudget& budget, const RetryOptions& options)
{
    budget.tokens_ = std::min(options.burst_, budget.tokens_ + options.ratio_);
}

bool takeRetry(RetryBudget& budget, const RetryOptions& options, TimePoint now, const FailedAttempt& failed)
{
    // A retry after an overload refusal adds load where there is too much.
    if (failed.overload_ || failed.responseStarted_ || failed.attempts_ >= options.maxAttempts_)
        return false;
    if (failed.byteMayBeSent_ && !failed.idempotent_)
        return false;
    if (failed.deadline_ <= now + failed.expected_)
        return false;
    return detail::spend(budget, options);
}

bool takeHedge(
    RetryBudget& budget, const RetryOptions& options, TimePoint now, const HedgeCandidate& candidate)
{
    if (!candidate.idempotent_ || candidate.hedged_ || candidate.usual_ <= Duration::zero()
        || now < candidate.started_ + candidate.usual_ || candidate.freeSlots_ == 0)
        return false;
    if (candidate.freeSlots_ - 1 < options.hedgeHeadroom_ * candidate.heldSlots_)
        return false;
    return detail::spend(budget, options);
}

} // namespace turmericwing::routing

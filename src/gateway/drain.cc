// Schedule of a graceful stop.
#include "turmericwing/gateway/drain.h"

#include <algorithm>

namespace turmericwing::gateway {

DrainSchedule makeDrainSchedule(const DrainOptions& options, TimePoint now, Duration stopTime)
{
    const Duration time = std::max(Duration::zero(), stopTime);
    const TimePoint exitBy = now + time - std::min<Duration>(options.exitMargin_, time / 15);
    const TimePoint answerBy = exitBy - std::min<Duration>(options.responseMargin_, time / 30);
    const auto acceptTime = std::chrono::duration_cast<Duration>(time * options.acceptFraction_);
    return { .acceptUntil_ = now + std::min(acceptTime, options.maxAcceptTime_),
        .answerBy_ = answerBy,
        .exitBy_ = exitBy };
}

bool mayBeginAttempt(const DrainOptions& options, const DrainSchedule& schedule, TimePoint now,
    double expected, TimePoint expiresAt)
{
    const std::chrono::duration<double> needed(expected * options.expectedTimeMargin_);
    const TimePoint answered = now + std::chrono::duration_cast<Duration>(needed);
    return std::min(answered, expiresAt) <= schedule.answerBy_;
}

} // namespace turmericwing::gateway

// Schedule of a graceful stop.
#include "turmericwing/gateway/drain.h"

#include <algorithm>

namespace turmericwing::gateway {

DrainSchedule makeDrainSchedule(const DrainOptions& options, TimePoint now, Duration stopTime)
{
    const TimePoint exitBy = now + std::max(Duration::zero(), stopTime - options.exitMargin_);
    const TimePoint answerBy = std::max(now, exitBy - options.responseMargin_);
    const auto acceptTime = std::chrono::duration_cast<Duration>(stopTime * options.acceptFraction_);
    return { .acceptUntil_ = std::min(now + acceptTime, answerBy), .answerBy_ = answerBy, .exitBy_ = exitBy };
}

bool mayBeginAttempt(const DrainOptions& options, const DrainSchedule& schedule, TimePoint now,
    double expected, TimePoint expiresAt)
{
    const std::chrono::duration<double> needed(expected * options.expectedTimeMargin_);
    const TimePoint answered = now + std::chrono::duration_cast<Duration>(needed);
    return std::min(answered, expiresAt) <= schedule.answerBy_;
}

} // namespace turmericwing::gateway

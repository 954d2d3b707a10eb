// Graceful stop of a host: transitions between the phases of the drain.
#include "turmericwing/control/drain.h"

namespace turmericwing::control {

void beginDrain(Drain& drain, const DrainOptions& options, TimePoint now)
{
    if (drain.phase_ != DrainPhase::Serving)
        return;
    drain.phase_ = DrainPhase::Leaving;
    drain.announceDeadline_ = now + options.announceTimeout_;
}

DrainActions advanceDrain(Drain& drain, const DrainOptions& options, const DrainInputs& inputs, TimePoint now)
{
    if (drain.phase_ == DrainPhase::Leaving && (inputs.announced_ || now >= drain.announceDeadline_)) {
        drain.phase_ = DrainPhase::Waiting;
        // Hosts may return this host in lookups until their next poll of the host list, and callers cache
        // these lookups for the TTL.
        drain.lookupsExpireAt_ = now + options.lookupTtl_ + options.pollInterval_;
    }
    if (drain.phase_ == DrainPhase::Waiting && now >= drain.lookupsExpireAt_) {
        drain.phase_ = DrainPhase::Finishing;
        drain.finishDeadline_ = now + options.longestTimeout_;
    }
    if (drain.phase_ == DrainPhase::Finishing && (inputs.inFlight_ == 0 || now >= drain.finishDeadline_))
        drain.phase_ = DrainPhase::Done;
    const bool finishingOrDone = drain.phase_ >= DrainPhase::Finishing;
    return { .announce_ = drain.phase_ != DrainPhase::Serving && !inputs.announced_,
        .inLookups_ = drain.phase_ == DrainPhase::Serving,
        .admit_ = !finishingOrDone,
        .releaseShares_ = drain.phase_ == DrainPhase::Done,
        .exit_ = drain.phase_ == DrainPhase::Done };
}

} // namespace turmericwing::control

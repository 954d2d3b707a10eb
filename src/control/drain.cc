// Graceful stop of a host.
#include "turmericwing/control/drain.h"

namespace turmericwing::control {

void beginDrain(Drain& drain, const DrainOptions& options, TimePoint now)
{
    if (drain.phase_ != DrainPhase::Serving)
        return;
    drain.phase_ = DrainPhase::Leaving;
    drain.announceDeadline_ = now + options.announceLimit_;
}

DrainActions advanceDrain(Drain& drain, const DrainOptions& options, const DrainInputs& inputs, TimePoint now)
{
    if (drain.phase_ == DrainPhase::Leaving && (inputs.announced_ || now >= drain.announceDeadline_)) {
        drain.phase_ = DrainPhase::Waiting;
        // The last lookup that names this host is served one poll after the mark, and lives for its TTL.
        drain.lookupsExpireAt_ = now + options.lookupTtl_ + options.pollInterval_;
    }
    if (drain.phase_ == DrainPhase::Waiting && now >= drain.lookupsExpireAt_) {
        drain.phase_ = DrainPhase::Finishing;
        drain.finishDeadline_ = now + options.longestTimeout_;
    }
    if (drain.phase_ == DrainPhase::Finishing && (inputs.inFlight_ == 0 || now >= drain.finishDeadline_))
        drain.phase_ = DrainPhase::Done;
    const bool finishing = drain.phase_ >= DrainPhase::Finishing;
    return { .announce_ = drain.phase_ != DrainPhase::Serving && !inputs.announced_,
        .inLookups_ = drain.phase_ == DrainPhase::Serving,
        .admit_ = !finishing,
        .releaseShares_ = drain.phase_ == DrainPhase::Done,
        .exit_ = drain.phase_ == DrainPhase::Done };
}

} // namespace turmericwing::control

// Steps, limits and end of a ramp.
#include "turmericwing/rollout/ramp.h"

#include <algorithm>
#include <array>

namespace turmericwing::rollout {

namespace detail {

    struct Step {
        double from_; ///< Fraction of the time until the deadline.
        double share_; ///< Of the new version.
    };

    /// Until it takes all traffic, the new version gets 0.068 of all requests. The rest up to a tenth covers
    /// the time that the test needs at the larger shares.
    constexpr std::array steps { Step { 0.0, 0.02 }, Step { 0.2, 0.04 }, Step { 0.4, 0.1 }, Step { 0.5, 0.2 },
        Step { 0.58, 0.5 }, Step { 0.64, 1.0 } };

    /// Fraction of the time after which no host sends to the old version, so that its last requests can end.
    constexpr double finishFraction = 0.72;
    /// Requests on the old version that take longer are not waited for.
    constexpr int64_t maxFinishMs = 2500;

    /// Largest share of a suspect version. Even if held until the deadline, the version gets less than a
    /// tenth of all requests.
    constexpr double suspectShare = 0.1;
    constexpr double undecidedShare = 0.2;
    /// Fraction of the time; the rest is needed to end the old version.
    constexpr double undecidedUntil = 0.8;
    /// Largest number of requests so far of a service whose undecided version gets all requests after
    /// undecidedUntil. The version then gets 0.28 of all, which is a tenth and 50 requests at a total of 270;
    /// the bound is that total at undecidedUntil, less a margin.
    constexpr uint64_t maxUndecidedRequests = 160;
    /// An unproven version is held at undecidedShare until this fraction of the time, then at unprovenShare:
    /// 0.077 of all requests until the deadline.
    constexpr double unprovenShareUntil = 0.7;
    constexpr double unprovenShare = 0.05;
    /// Fraction of the time after which an unproven version is reverted: it could no longer take all requests
    /// and let the old version end by the deadline.
    constexpr double unprovenUntil = 0.9;
    /// Excess rate of overdue requests that is tolerated: upstreams that have just started need several times
    /// as long, and some of their requests are overdue at any time.
    /// The error probability is small because the number is assessed again with every report.
    constexpr TestOptions overdueTest { .miss_ = 0.001, .toleratedExcess_ = 0.03 };
    /// Fewer failed or slow responses do not make a version suspect.
    constexpr uint64_t minSuspectResponses = 2;
    /// Excess rate of failed or slow responses over the old version's.
    constexpr double suspectExcess = 0.35;
    /// With fewer requests so far, a service stays without evidence within the 50 requests that users
    /// tolerate.
    constexpr uint64_t minRequests = 60;

    constexpr TestOptions failureTest { .tests_ = 2 };
    /// A new version starts with cold caches and is slower for a while, so only a much slower version is bad.
    constexpr TestOptions slownessTest { .tests_ = 2, .tolerance_ = 6, .alternatives_ = { 20, 60 } };

    double elapsedFraction(const Ramp& ramp, int64_t nowMs)
    {
        const auto span = static_cast<double>(std::max<int64_t>(1, ramp.deadlineMs_ - ramp.startMs_));
        return static_cast<double>(nowMs - ramp.startMs_) / span;
    }

    bool hasDecreased(const RampCounts& now, const RampCounts& before)
    {
        return now.new_ < before.new_ || now.old_ < before.old_ || now.newFailed_ < before.newFailed_
            || now.oldFailed_ < before.oldFailed_ || now.newSlow_ < before.newSlow_
            || now.oldSlow_ < before.oldSlow_;
    }

} // namespace detail

RampCounts& RampCounts::operator+=(const RampCounts& other)
{
    new_ += other.new_;
    newFailed_ += other.newFailed_;
    newSlow_ += other.newSlow_;
    old_ += other.old_;
    oldFailed_ += other.oldFailed_;
    oldSlow_ += other.oldSlow_;
    newOverdue_ += other.newOverdue_;
    oldOverdue_ += other.oldOverdue_;
    return *this;
}

RampEvidence assessEvidence(const RampCounts& total, bool fromStart)
{
    const uint64_t answers = total.new_ + total.old_;
    const uint64_t newFaults = std::min(total.new_, total.newFailed_ + total.newSlow_);
    const uint64_t oldFaults = std::min(total.old_, total.oldFailed_ + total.oldSlow_);
    const Comparison answered { total.new_, newFaults, total.old_, oldFaults };
    // The first answers are those of the fastest requests: without the overdue ones, a version of which half
    // the requests are very slow would pass.
    const Comparison sent { total.new_ + total.newOverdue_, newFaults + total.newOverdue_,
        total.old_ + total.oldOverdue_, oldFaults + total.oldOverdue_ };
    if (fromStart && answers < detail::minRequests)
        return RampEvidence::Sound;
    const bool overdueExcluded
        = total.newOverdue_ == 0 || excludesExcess(sent, detail::overdueTest, detail::suspectExcess);
    if (overdueExcluded && excludesExcess(answered, {}, detail::suspectExcess))
        return RampEvidence::Sound;
    if (newFaults >= detail::minSuspectResponses)
        return RampEvidence::Suspect;
    const bool hasFewRequests = fromStart && answers <= detail::maxUndecidedRequests;
    return hasFewRequests ? RampEvidence::Undecided : RampEvidence::Unproven;
}

int64_t passedCheckpoints(const Ramp& ramp, int64_t nowMs)
{
    const int64_t span = std::max<int64_t>(1, ramp.deadlineMs_ - ramp.startMs_);
    const int64_t elapsed = std::clamp<int64_t>(nowMs - ramp.startMs_, 0, span);
    return elapsed * rampCheckpoints / span;
}

double rampShare(const Ramp& ramp, int64_t nowMs, RampEvidence evidence)
{
    if (ramp.state_ != RampState::Running)
        return ramp.state_ == RampState::Complete ? 1 : 0;
    const double fraction = detail::elapsedFraction(ramp, nowMs);
    double share = 0;
    for (const detail::Step& step : detail::steps) {
        if (fraction >= step.from_)
            share = step.share_;
    }
    if (evidence == RampEvidence::Suspect)
        return std::min(share, detail::suspectShare);
    if (evidence == RampEvidence::Unproven)
        return fraction < detail::unprovenShareUntil ? std::min(share, detail::undecidedShare)
                                                     : detail::unprovenShare;
    const bool held = evidence == RampEvidence::Undecided && fraction < detail::undecidedUntil;
    return held ? std::min(share, detail::undecidedShare) : share;
}

bool updateRampTests(RampTests& tests, const RampCounts& total)
{
    if (detail::hasDecreased(total, tests.seen_)) {
        tests.seen_ = total;
        return false;
    }
    // If the old version had no requests in this period, all its earlier requests are the reference.
    const RampCounts& seen = tests.seen_;
    const uint64_t newRequests = total.new_ - seen.new_;
    const bool oldSeen = total.old_ > seen.old_;
    const uint64_t oldRequests = oldSeen ? total.old_ - seen.old_ : total.old_;
    const uint64_t oldFailed = oldSeen ? total.oldFailed_ - seen.oldFailed_ : total.oldFailed_;
    const uint64_t oldSlow = oldSeen ? total.oldSlow_ - seen.oldSlow_ : total.oldSlow_;
    const auto bounded = [](uint64_t part, uint64_t whole) { return std::min(part, whole); };
    const Comparison failures { newRequests, bounded(total.newFailed_ - seen.newFailed_, newRequests),
        oldRequests, bounded(oldFailed, oldRequests) };
    const Comparison slowness { newRequests, bounded(total.newSlow_ - seen.newSlow_, newRequests),
        oldRequests, bounded(oldSlow, oldRequests) };
    tests.seen_ = total;
    addPeriod(tests.failures_, detail::failureTest, failures);
    addPeriod(tests.slowness_, detail::slownessTest, slowness);
    return isBad(tests.failures_, detail::failureTest) || isBad(tests.slowness_, detail::slownessTest);
}

RampState rampEnd(const Ramp& ramp, int64_t nowMs, uint32_t oldInFlight, RampEvidence evidence)
{
    if (ramp.state_ != RampState::Running)
        return ramp.state_;
    const auto span = static_cast<double>(ramp.deadlineMs_ - ramp.startMs_);
    const int64_t finish = ramp.startMs_ + static_cast<int64_t>(span * detail::finishFraction);
    if (nowMs < finish)
        return RampState::Running;
    if (evidence == RampEvidence::Suspect)
        return RampState::Reverted;
    if (evidence == RampEvidence::Unproven && detail::elapsedFraction(ramp, nowMs) >= detail::unprovenUntil)
        return RampState::Reverted;
    if (rampShare(ramp, nowMs, evidence) < 1)
        return RampState::Running;
    const bool oldEnded = oldInFlight == 0 || nowMs >= finish + detail::maxFinishMs;
    return oldEnded ? RampState::Complete : RampState::Running;
}

} // namespace turmericwing::rollout

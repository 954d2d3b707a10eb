// Ramp: shifts a service's traffic to a new version by a deadline.
//
// The share of the new version depends only on the time since the start and on the evidence, so hosts need to
// agree only on the start and the end. The steps keep the requests that a bad version can get below a tenth
// of the service's requests until the deadline, even if it fails only under load. The sequential test decides
// from the requests of all hosts whether the version is bad; the result is written once.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/rollout/test.h"

#include <cstdint>
#include <string>

namespace turmericwing::rollout {

/// Complete and Reverted are final: all traffic goes to the new or to the old version.
enum class RampState { Running, Complete, Reverted };

/// An order for a ramp, as stored.
struct Ramp {
    std::string service_;
    std::string version_; ///< New version.
    int64_t startMs_ = 0; ///< On the store's clock.
    int64_t deadlineMs_ = 0; ///< On the store's clock.
    RampState state_ = RampState::Running;
    friend bool operator==(const Ramp&, const Ramp&) = default;
};

/// What the responses so far show about the new version. With few requests, or with late responses, the steps
/// would shift all requests before there is enough evidence for a decision.
enum class RampEvidence {
    /// Too few responses to exclude that it fails or is slow far more often than the old one. The service has
    /// so few requests that even all of its last ones stay within what users tolerate.
    Undecided,
    /// Like Undecided, at a service with more requests, or at one of which this host does not know them all.
    Unproven,
    Suspect, ///< Not excluded either, and some responses have failed or were slow.
    Sound, ///< Such an excess is excluded, or the service has too few requests to need evidence.
};

/// Returns the share of the new version in [0, 1] at `nowMs` on the store's clock. Without sufficient
/// evidence the share is limited, for an undecided version only until shortly before the deadline.
double rampShare(const Ramp&, int64_t nowMs, RampEvidence);

/// Answered requests of a service by version since the start of a ramp, on one host or on all hosts.
struct RampCounts {
    uint64_t new_ = 0;
    uint64_t newFailed_ = 0; ///< Failed or broken responses of the upstream.
    uint64_t newSlow_ = 0; ///< Slower than the service's limit.
    uint64_t old_ = 0;
    uint64_t oldFailed_ = 0;
    uint64_t oldSlow_ = 0;
    /// Unanswered requests that have taken longer than usual, not counted above; their number may decrease.
    uint64_t newOverdue_ = 0;
    uint64_t oldOverdue_ = 0;
    RampCounts& operator+=(const RampCounts&);
    friend bool operator==(const RampCounts&, const RampCounts&) = default;
};

/// Counts of all hosts, as far as they are known.
struct RampTotal {
    RampCounts counts_;
    bool fromStart_ = false; ///< They cover the ramp from its start.
    friend bool operator==(const RampTotal&, const RampTotal&) = default;
};

/// Returns the evidence from the counts of all hosts. If they do not cover the ramp from its start, few
/// answers do not mean that the service has few requests.
RampEvidence assessEvidence(const RampCounts& total, bool fromStart = true);

/// Number of equal parts of a ramp's time after each of which its counts are stored, so that hosts that all
/// restart at once know the evidence.
inline constexpr int64_t rampCheckpoints = 8;

/// Returns how many of these parts have passed at `nowMs`, at most rampCheckpoints.
int64_t passedCheckpoints(const Ramp&, int64_t nowMs);

/// Sequential tests of the new version, on the increases of the counts of all hosts.
struct RampTests {
    RampCounts seen_; ///< Counts of the last call of updateRampTests().
    SequentialTest failures_;
    SequentialTest slowness_;
};

/// Adds the increase of `total`, the counts of all hosts since the start of the ramp. If a count has
/// decreased, because a host restarted, `total` only becomes the new base. Returns true if the version is
/// bad.
bool updateRampTests(RampTests&, const RampCounts& total);

/// Returns the state at `nowMs` of a ramp whose version was not found bad: Complete once the new version has
/// all traffic and the old one has had time to finish its requests, Reverted if the version is still suspect
/// when the old version should stop or still unproven shortly before the deadline, and Running otherwise.
/// `oldInFlight` is the number of requests on the old version.
RampState rampEnd(const Ramp&, int64_t nowMs, uint32_t oldInFlight, RampEvidence);

} // namespace turmericwing::rollout

// State that an upstream announces in its own answers: it is leaving, or it wants no requests for a while.
//
// The state belongs to one incarnation, that is, to one start of an upstream's process. Leaving is final.
#pragma once

#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericwing::routing {

/// What one answer says about its upstream.
struct UpstreamNotice {
    bool leaving_ = false;
    /// Seconds for which the upstream wants no requests from this host; finite and not negative.
    std::optional<double> pauseSeconds_;
    /// Rate limit of the upstream for the whole fleet, in requests/s; finite and not negative. Empty if the
    /// answer announces none.
    std::optional<double> requestRate_;
    /// The answer names a rate that cannot be read; it neither sets nor ends a limit.
    bool isRateMalformed_ = false;
    std::string fault_; ///< Describes a field that was ignored because it is malformed; empty if none was.
    friend bool operator==(const UpstreamNotice&, const UpstreamNotice&) = default;
};

struct UpstreamStateOptions {
    /// Longest pause that one answer can ask for. A longer one is an error of the upstream, which must not
    /// take it out of service for hours.
    Duration maxPause_ = std::chrono::seconds(120);
    size_t maxRemembered_ = 4096; ///< Limits RememberedStates; the earliest started incarnation is dropped.
};

/// One start of an upstream's process.
struct Incarnation {
    int64_t startedMs_ = 0; ///< Unix milliseconds.
    std::string id_;
    friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

/// Announced state of one incarnation. Invariant: neither member is ever reset or lowered.
struct AnnouncedState {
    bool leaving_ = false;
    TimePoint pausedUntil_ {}; ///< End of the pause that it asked for.
    friend auto operator<=>(const AnnouncedState&, const AnnouncedState&) = default;
};

enum class UpstreamStatus { Serving, Paused, Leaving };

const char* statusName(UpstreamStatus);

/// The pause that an answer asks for, at most maxPause_; zero if it asks for none.
Duration requestedPause(const UpstreamStateOptions&, const UpstreamNotice&);

/// The status at a time. Leaving takes precedence over a pause.
UpstreamStatus statusAt(const AnnouncedState&, TimePoint now);

/// Applies an answer received now. Returns the new status if the answer changed it. A repeated request for a
/// pause moves the end to the latest one asked for, so pauses do not add up.
std::optional<UpstreamStatus> applyNotice(
    AnnouncedState&, const UpstreamStateOptions&, TimePoint now, const UpstreamNotice&);

/// States of incarnations whose entries are gone, because an entry can come back after an outage.
using RememberedStates = std::map<Incarnation, AnnouncedState>;

/// Keeps a state that is not Serving now, within the limit.
void rememberState(
    RememberedStates&, const UpstreamStateOptions&, TimePoint now, const Incarnation&, const AnnouncedState&);

/// Returns the state kept for the incarnation, or the default one, and forgets it.
AnnouncedState takeState(RememberedStates&, const Incarnation&);

} // namespace turmericwing::routing

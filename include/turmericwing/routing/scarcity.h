// Choice of the requests that give way while a service has too little room.
//
// Handles a load in which requests of several priorities or amounts of work compete for upstreams that are
// full for seconds. The queue of a host orders only the requests of that host, and in a large fleet the
// requests that compete for an upstream are on different hosts, so that refusals hit all alike. Each host
// therefore measures which part of its recent demand was turned away, and lets the same amount of its least
// urgent demand give way before it takes the room: such a request is sent only to an upstream with an idle
// slot, and else refused at once (priority load shedding). All hosts see the same upstreams, so their choices
// add up to one order.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/routing/waitline.h"

#include <compare>
#include <map>
#include <string>

namespace turmericwing::routing {

struct ScarcityOptions {
    Duration halfLife_ = std::chrono::seconds(2); ///< Of the counts of recent demand.
    /// Fraction of recent demand turned away up to which nothing gives way; that much is left in balance.
    double onsetPressure_ = 0.02;
    double maxShedFraction_ = 0.75; ///< Largest part of a class that gives way.
    /// Fraction of recent demand below which the more urgent classes are too rare to give way to.
    double minUrgentFraction_ = 0.02;
    /// A class that is sent less often than this fraction of the whole service does not give way.
    double starvedFraction_ = 0.5;
    /// Served requests that are assumed beside the recent ones, so that few requests are no evidence.
    double priorRequests_ = 4;
    size_t maxClasses_ = 32; ///< Limits memory; requests of further classes are not counted.
};

/// Requests that give way alike.
struct DemandClass {
    Rank rank_;
    std::string route_;
    friend auto operator<=>(const DemandClass&, const DemandClass&) = default;
};

/// Recent requests of one class; each count halves within halfLife_.
struct ClassDemand {
    double requests_ = 0;
    double turnedAway_ = 0; ///< Refused for lack of room, or because they gave way.
    double sent_ = 0; ///< Sent to an upstream, at once or after a wait.
    int workClass_ = 0; ///< As of the last request; see workClass().
    friend bool operator==(const ClassDemand&, const ClassDemand&) = default;
};

/// Recent demand for one service on this host. Invariant: the counts in classes_ are as of agedAt_.
struct Scarcity {
    ScarcityOptions options_ {};
    std::map<DemandClass, ClassDemand> classes_ {};
    TimePoint agedAt_ {};
};

/// Ages the counts to now.
void age(Scarcity&, TimePoint now);

/// Counts a request when it is first dispatched.
void recordDemand(Scarcity&, const DemandClass&, int workClass, TimePoint now);

/// Counts a request when it is first sent to an upstream.
void recordSent(Scarcity&, const DemandClass&, TimePoint now);

/// Counts a request that is refused without having been sent, because there was no room for it.
void recordTurnedAway(Scarcity&, const DemandClass&, TimePoint now);

/// Fraction of recent demand that was turned away, in [0, 1).
double pressure(const Scarcity&);

/// Fraction of the requests of this class that give way now: those of the lowest priority first and, within a
/// priority, those that take at least twice the work. 0 for the most urgent class, and without pressure.
double shedFraction(const Scarcity&, const DemandClass&);

/// Whether requests of any class give way.
bool isScarce(const Scarcity&);

/// What became of a request for which there was no room at once.
enum class ShortOfRoom {
    Delayed, ///< Queued on its host.
    GaveWay, ///< Refused at once in favour of more urgent requests.
    WaitTooLong, ///< Refused at once: it was not expected to leave the queue in time.
    WaitedInVain, ///< Refused after its time in the queue.
};

/// Short name for metrics.
const char* toString(ShortOfRoom);

/// Sentence part for logs and problem details.
const char* describe(ShortOfRoom);

/// "W.R" with the priorities of workspace and route, each cut to 0 to 3, which bounds the number of labels.
std::string rankLabel(Rank);

} // namespace turmericwing::routing

// Recent demand by class, and the part of each class that gives way.
#include "turmericwing/routing/scarcity.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericwing::routing {

namespace detail {

    constexpr double minRequests = 0.01; ///< Aged count below which a class is dropped.
    constexpr int maxLabel = 3; ///< Higher priorities share a label.

    /// The aged demand of a class; nullptr if it is not counted.
    ClassDemand* findDemand(Scarcity& scarcity, const DemandClass& key, TimePoint now)
    {
        age(scarcity, now);
        const auto found = scarcity.classes_.find(key);
        return found == scarcity.classes_.end() ? nullptr : &found->second;
    }

    ClassDemand total(const Scarcity& scarcity)
    {
        ClassDemand sum;
        for (const auto& [key, demand] : scarcity.classes_) {
            sum.requests_ += demand.requests_;
            sum.turnedAway_ += demand.turnedAway_;
            sum.sent_ += demand.sent_;
        }
        return sum;
    }

    /// Requests of a class that may give way.
    double sheddable(const ScarcityOptions& options, const ClassDemand& demand, const ClassDemand& all)
    {
        const bool starved
            = demand.sent_ * all.requests_ < options.starvedFraction_ * all.sent_ * demand.requests_;
        return starved ? 0 : options.maxShedFraction_ * demand.requests_;
    }

    /// Requests that have to give way.
    double excess(const Scarcity& scarcity, const ClassDemand& all)
    {
        return std::max(0.0, pressure(scarcity) - scarcity.options_.onsetPressure_) * all.requests_;
    }

} // namespace detail

void age(Scarcity& scarcity, TimePoint now)
{
    const double halfLives = seconds(now - scarcity.agedAt_) / seconds(scarcity.options_.halfLife_);
    const double factor = std::exp2(-halfLives);
    scarcity.agedAt_ = now;
    for (auto& [key, demand] : scarcity.classes_) {
        demand.requests_ *= factor;
        demand.turnedAway_ *= factor;
        demand.sent_ *= factor;
    }
    std::erase_if(
        scarcity.classes_, [](const auto& entry) { return entry.second.requests_ < detail::minRequests; });
}

void recordDemand(Scarcity& scarcity, const DemandClass& key, int workClass, TimePoint now)
{
    age(scarcity, now);
    if (!scarcity.classes_.contains(key) && scarcity.classes_.size() >= scarcity.options_.maxClasses_)
        return;
    ClassDemand& demand = scarcity.classes_[key];
    demand.requests_ += 1;
    demand.workClass_ = workClass;
}

void recordSent(Scarcity& scarcity, const DemandClass& key, TimePoint now)
{
    if (ClassDemand* demand = detail::findDemand(scarcity, key, now))
        demand->sent_ += 1;
}

void recordTurnedAway(Scarcity& scarcity, const DemandClass& key, TimePoint now)
{
    if (ClassDemand* demand = detail::findDemand(scarcity, key, now))
        demand->turnedAway_ += 1;
}

double pressure(const Scarcity& scarcity)
{
    const ClassDemand all = detail::total(scarcity);
    return all.turnedAway_ / (all.requests_ + scarcity.options_.priorRequests_);
}

double shedFraction(const Scarcity& scarcity, const DemandClass& key)
{
    const auto own = scarcity.classes_.find(key);
    const ClassDemand all = detail::total(scarcity);
    double toShed = detail::excess(scarcity, all);
    if (own == scarcity.classes_.end() || toShed <= 0)
        return 0;
    const ScarcityOptions& options = scarcity.options_;
    const auto urgency
        = [](const auto& entry) { return std::tie(entry.first.rank_, entry.second.workClass_); };
    double moreUrgent = 0;
    double equallyUrgent = 0; // Only what may give way.
    for (const auto& entry : scarcity.classes_) {
        if (urgency(entry) < urgency(*own))
            moreUrgent += entry.second.requests_;
        else if (urgency(entry) == urgency(*own))
            equallyUrgent += detail::sheddable(options, entry.second, all);
        else
            toShed -= detail::sheddable(options, entry.second, all);
    }
    if (moreUrgent <= options.minUrgentFraction_ * all.requests_ || toShed <= 0 || equallyUrgent <= 0
        || detail::sheddable(options, own->second, all) <= 0)
        return 0;
    return options.maxShedFraction_ * std::min(1.0, toShed / equallyUrgent);
}

bool isScarce(const Scarcity& scarcity)
{
    return std::any_of(scarcity.classes_.begin(), scarcity.classes_.end(),
        [&](const auto& entry) { return shedFraction(scarcity, entry.first) > 0; });
}

const char* toString(ShortOfRoom outcome)
{
    switch (outcome) {
    case ShortOfRoom::GaveWay:
        return "gave-way";
    case ShortOfRoom::WaitTooLong:
        return "wait-too-long";
    case ShortOfRoom::WaitedInVain:
        return "waited-in-vain";
    case ShortOfRoom::Delayed:
        break;
    }
    return "delayed";
}

const char* describe(ShortOfRoom outcome)
{
    switch (outcome) {
    case ShortOfRoom::GaveWay:
        return "gave way to more urgent requests";
    case ShortOfRoom::WaitTooLong:
        return "no upstream has room, and the wait would be too long";
    case ShortOfRoom::WaitedInVain:
        return "no upstream had room while it waited";
    case ShortOfRoom::Delayed:
        break;
    }
    return "queued for an upstream with room";
}

std::string rankLabel(Rank rank)
{
    const auto cut = [](int priority) { return std::to_string(std::clamp(priority, 0, detail::maxLabel)); };
    return cut(rank.workspace_) + "." + cut(rank.route_);
}

} // namespace turmericwing::routing

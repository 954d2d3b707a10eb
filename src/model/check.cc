// Validation of a complete set: references, duplicates, capacity and moves.
#include "check.h"

#include "schema.h"

#include "turmericwing/model/move.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <tuple>

namespace turmericwing::model {

uint64_t minimumSteps(double cap)
{
    if (!(cap > 0))
        return UINT64_MAX;
    const double first = std::min(firstStepShare, cap);
    // The tolerance absorbs rounding errors: 0.99 / 0.33 is 3 further steps, not 4.
    return 1 + static_cast<uint64_t>(std::ceil((1 - first) / cap - 1e-9));
}

namespace detail {

    namespace {

        std::string formatNumber(double value)
        {
            char buffer[32];
            std::snprintf(buffer, sizeof(buffer), "%g", value);
            return buffer;
        }

        /// Appends the faults of one set; each member function checks one kind or rule.
        struct Checker {
            const ObjectSet& set_;
            const SourceLocations& locations_;
            std::vector<Fault>& faults_;

            template <typename T> const SourceLocation* locationOf(const T& object) const
            {
                const auto found = locations_.objects_.find(std::string(kindName<T>()) + " " + object.name_);
                return found == locations_.objects_.end() ? nullptr : &found->second;
            }

            template <typename T> void addFault(const T& object, const char* field, std::string reason)
            {
                Fault fault { locations_.file_, 0, std::string(kindName<T>()) + " " + object.name_, field,
                    std::move(reason) };
                if (const SourceLocation* location = locationOf(object)) {
                    const auto line = location->fieldLines_.find(field);
                    fault.file_ = location->file_;
                    fault.line_ = line != location->fieldLines_.end() ? line->second : location->line_;
                }
                faults_.push_back(std::move(fault));
            }

            /// Returns true if the source sets the field. A missing required field is already reported and
            /// must not cause a second fault.
            template <typename T> bool isSet(const T& object, std::string_view field) const
            {
                const SourceLocation* location = locationOf(object);
                return !location || location->fieldLines_.contains(field);
            }

            bool isDefined(std::string_view kind, std::string_view name) const
            {
                bool found = false;
                forEachKind(set_, [&]<typename T>(const std::vector<T>& list) {
                    if (kind == kindName<T>())
                        found = find(list, name) != nullptr;
                });
                return found;
            }

            void checkReferences()
            {
                forEachKind(set_, [&]<typename T>(const std::vector<T>& list) {
                    for (const T& object : list)
                        for (const auto& field : fieldsOf<T>())
                            if (field.referencedKind_ && isSet(object, field.name_)
                                && !isDefined(field.referencedKind_, field.format_(object)))
                                addFault(object, field.name_,
                                    std::string("unknown ") + field.referencedKind_ + " \""
                                        + field.format_(object) + "\"");
                });
            }

            /// Reports a version that belongs to another service. `checkReferences` reports unknown versions.
            template <typename T>
            void checkServiceOfVersion(
                const T& object, const char* field, const std::string& version, const std::string& service)
            {
                const Version* found = find(set_.versions_, version);
                if (found && !service.empty() && found->service_ != service)
                    addFault(object, field,
                        "version \"" + version + "\" belongs to service \"" + found->service_
                            + "\", not to \"" + service + "\"");
            }

            void checkLinks()
            {
                std::map<std::pair<std::string, std::string>, const Link*> directions;
                for (const Link& link : set_.links_) {
                    if (link.from_.empty() || link.to_.empty())
                        continue;
                    if (link.from_ == link.to_) {
                        addFault(link, "to", "a link connects two different regions");
                        continue;
                    }
                    const auto [existing, inserted]
                        = directions.emplace(std::pair(link.from_, link.to_), &link);
                    if (!inserted)
                        addFault(link, "from",
                            "link \"" + existing->second->name_ + "\" already has this direction");
                }
            }

            void checkUpstreams()
            {
                std::map<std::string, const Upstream*> addresses;
                for (const Upstream& upstream : set_.upstreams_) {
                    checkServiceOfVersion(upstream, "version", upstream.version_, upstream.service_);
                    if (upstream.address_.empty())
                        continue;
                    const auto [existing, inserted] = addresses.emplace(upstream.address_, &upstream);
                    if (!inserted)
                        addFault(upstream, "address",
                            upstream.address_ + " is already used by upstream \"" + existing->second->name_
                                + "\"");
                }
            }

            void checkRoutes()
            {
                std::map<std::tuple<std::string, std::string, std::string>, const Route*> seen;
                for (const Route& route : set_.routes_) {
                    if (route.service_.empty() || route.path_.empty())
                        continue;
                    for (const auto& method : route.methods_) {
                        const auto [existing, inserted]
                            = seen.emplace(std::tuple(route.service_, route.path_, method), &route);
                        if (!inserted)
                            addFault(route, "path",
                                method + " " + route.path_ + " is already handled by route \""
                                    + existing->second->name_ + "\"");
                    }
                }
            }

            void checkKeys()
            {
                std::map<std::string, const Key*> digests;
                for (const Key& key : set_.keys_) {
                    if (key.sha256_.empty())
                        continue;
                    const auto [existing, inserted] = digests.emplace(key.sha256_, &key);
                    if (!inserted)
                        addFault(
                            key, "sha256", "is the same as that of key \"" + existing->second->name_ + "\"");
                }
            }

            /// Returns the versions that receive traffic of the service now or through a move that is not
            /// rolled back.
            std::set<std::string> activeVersions(const Service& service) const
            {
                std::set<std::string> versions { service.version_ };
                for (const Move& move : set_.moves_)
                    if (move.service_ == service.name_ && move.state_ != MoveState::RolledBack) {
                        versions.insert(move.fromVersion_);
                        versions.insert(move.toVersion_);
                    }
                versions.erase("");
                return versions;
            }

            /// Checks the slots of a service in each region and against the total rate of the workspaces.
            void checkCapacity(const Service& service, double totalRate)
            {
                const auto versions = activeVersions(service);
                std::map<std::string, uint64_t> slotsByRegion;
                uint64_t slots = 0;
                for (const Upstream& upstream : set_.upstreams_) {
                    if (upstream.service_ != service.name_)
                        continue;
                    const FailureDomain* domain = find(set_.failureDomains_, upstream.failureDomain_);
                    if (!domain)
                        continue;
                    const uint64_t usableSlots
                        = upstream.drain_ || !versions.contains(upstream.version_) ? 0 : upstream.slots_;
                    slots += usableSlots;
                    slotsByRegion[domain->region_] += usableSlots;
                }
                for (const auto& [region, count] : slotsByRegion)
                    if (count < service.minSlots_)
                        addFault(service, "min-slots",
                            "region \"" + region + "\" has " + std::to_string(count)
                                + " slots without drain, needs " + std::to_string(service.minSlots_));
                if (service.typicalMs_ == 0)
                    return;
                const double sustainableRate = static_cast<double>(slots) * 1000 / service.typicalMs_;
                const double requestedRate = totalRate * service.rateFraction_;
                if (requestedRate > sustainableRate * (1 + 1e-9))
                    addFault(service, "typical-ms",
                        "workspaces may send " + formatNumber(requestedRate) + " requests/s, but "
                            + std::to_string(slots) + " slots at " + std::to_string(service.typicalMs_)
                            + " ms carry " + formatNumber(sustainableRate));
            }

            void checkServices()
            {
                double totalRate = 0;
                for (const Workspace& workspace : set_.workspaces_)
                    totalRate += workspace.rate_;
                double fractionSum = 0;
                for (const Service& service : set_.services_) {
                    checkServiceOfVersion(service, "version", service.version_, service.name_);
                    checkCapacity(service, totalRate);
                    fractionSum += service.rateFraction_;
                }
                // With a smaller sum, no service would provide slots for the rest of the workspaces' rate.
                if (!set_.services_.empty() && fractionSum < 1 - 1e-9)
                    addFault(set_.services_.back(), "rate-fraction",
                        "the fractions of all services sum up to " + formatNumber(fractionSum)
                            + ", at least 1 is needed");
            }

            bool hasUpstream(const Move& move) const
            {
                return std::any_of(
                    set_.upstreams_.begin(), set_.upstreams_.end(), [&](const Upstream& upstream) {
                        if (upstream.drain_ || upstream.service_ != move.service_)
                            return false;
                        if (!move.toVersion_.empty())
                            return upstream.version_ == move.toVersion_;
                        const FailureDomain* domain = find(set_.failureDomains_, upstream.failureDomain_);
                        return domain && domain->region_ == move.toRegion_;
                    });
            }

            void checkMove(const Move& move)
            {
                const bool betweenVersions = !move.fromVersion_.empty() || !move.toVersion_.empty();
                const bool betweenRegions = !move.fromRegion_.empty() || !move.toRegion_.empty();
                const bool complete = betweenVersions ? !move.fromVersion_.empty() && !move.toVersion_.empty()
                                                      : !move.fromRegion_.empty() && !move.toRegion_.empty();
                if (betweenVersions == betweenRegions || !complete) {
                    addFault(move, betweenVersions ? "from-version" : "from-region",
                        "a move has either from-version and to-version or from-region and to-region");
                } else {
                    if (move.fromVersion_ == move.toVersion_ && move.fromRegion_ == move.toRegion_)
                        addFault(move, betweenVersions ? "to-version" : "to-region",
                            "a move ends where it starts");
                    if (!move.service_.empty() && !hasUpstream(move))
                        addFault(move, betweenVersions ? "to-version" : "to-region",
                            "the service has no upstream without drain there");
                }
                checkServiceOfVersion(move, "from-version", move.fromVersion_, move.service_);
                checkServiceOfVersion(move, "to-version", move.toVersion_, move.service_);
                if (!isSet(move, "start") || !isSet(move, "deadline") || move.startMs_ == 0
                    || move.deadlineMs_ == 0)
                    return;
                if (move.deadlineMs_ <= move.startMs_) {
                    addFault(move, "deadline", "is not after the start");
                    return;
                }
                if (move.state_ == MoveState::RolledBack || move.cap_ == 0 || move.stepMs_ == 0)
                    return;
                const uint64_t steps = minimumSteps(move.cap_);
                const uint64_t needed = steps * move.stepMs_;
                const auto available = static_cast<uint64_t>(move.deadlineMs_ - move.startMs_);
                if (needed > available)
                    addFault(move, "deadline",
                        std::to_string(steps) + " steps of " + std::to_string(move.stepMs_) + " ms need "
                            + std::to_string(needed) + " ms, but the deadline is " + std::to_string(available)
                            + " ms after the start");
            }

            /// Returns source and destination of a move, each as "version NAME" or "region NAME".
            static std::pair<std::string, std::string> endpoints(const Move& move)
            {
                if (!move.toVersion_.empty())
                    return { "version " + move.fromVersion_, "version " + move.toVersion_ };
                return { "region " + move.fromRegion_, "region " + move.toRegion_ };
            }

            /// Reports moves whose destination leads back to their source through other moves.
            void checkMoveCycles(const std::vector<const Move*>& moves)
            {
                std::multimap<std::string, std::string> edges;
                for (const Move* move : moves)
                    edges.insert(endpoints(*move));
                for (const Move* move : moves) {
                    const auto [from, to] = endpoints(*move);
                    std::set<std::string> reached { to };
                    std::vector<std::string> pending { to };
                    while (!pending.empty() && from != to) {
                        const std::string node = pending.back();
                        pending.pop_back();
                        for (auto [edge, end] = edges.equal_range(node); edge != end; ++edge)
                            if (reached.insert(edge->second).second)
                                pending.push_back(edge->second);
                    }
                    if (from != to && reached.contains(from))
                        addFault(*move, to.starts_with("version") ? "to-version" : "to-region",
                            std::string("moves lead from ").append(to).append(" back to ").append(from));
                }
            }

            void checkMoves()
            {
                std::map<std::pair<std::string, bool>, std::vector<const Move*>> groups;
                std::map<std::pair<std::string, std::string>, const Move*> rolledBack;
                for (const Move& object : set_.moves_) {
                    checkMove(object);
                    if (object.state_ != MoveState::RolledBack)
                        groups[{ object.service_, !object.toVersion_.empty() }].push_back(&object);
                    else if (!object.toVersion_.empty())
                        rolledBack.emplace(std::pair(object.service_, object.toVersion_), &object);
                }
                for (const auto& [key, group] : groups) {
                    checkMoveCycles(group);
                    for (size_t i = 0; i < group.size(); ++i) {
                        const Move& later = *group[i];
                        const auto rollback = rolledBack.find({ later.service_, later.toVersion_ });
                        if (rollback != rolledBack.end())
                            addFault(later, "to-version",
                                "version \"" + later.toVersion_ + "\" was rolled back by move \""
                                    + rollback->second->name_ + "\"");
                        for (size_t j = 0; j < i; ++j) {
                            const Move& other = *group[j];
                            // The steps of two concurrent moves of one service could add up to more than the
                            // cap of either.
                            if (later.startMs_ < other.deadlineMs_ && other.startMs_ < later.deadlineMs_)
                                addFault(later, "start",
                                    "overlaps with move \"" + other.name_ + "\" of service \""
                                        + later.service_ + "\"");
                        }
                    }
                }
            }
        };

    } // namespace

    void check(const ObjectSet& set, const SourceLocations& locations, std::vector<Fault>& faults)
    {
        Checker checker { set, locations, faults };
        checker.checkReferences();
        checker.checkLinks();
        checker.checkUpstreams();
        checker.checkRoutes();
        checker.checkKeys();
        checker.checkServices();
        checker.checkMoves();
        // Publishing an empty file must not remove all objects of a deployment.
        if (set.regions_.empty())
            faults.push_back({ locations.file_, 1, "", "", "a set has at least one region" });
        // Client blocks store regions as 16-bit indices.
        constexpr size_t maxRegions = 1000;
        if (set.regions_.size() > maxRegions)
            checker.addFault(
                set.regions_.back(), "", "a set has at most " + std::to_string(maxRegions) + " regions");
    }

} // namespace detail

} // namespace turmericwing::model

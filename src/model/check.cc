// Checks of a whole set: references, clashes, capacity and moves.
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
    // The tolerance keeps 0.99 / 0.33 at 3 steps despite rounding.
    return 1 + static_cast<uint64_t>(std::ceil((1 - first) / cap - 1e-9));
}

namespace detail {

    namespace {

        std::string numberText(double value)
        {
            char buffer[32];
            std::snprintf(buffer, sizeof(buffer), "%g", value);
            return buffer;
        }

        struct Checker {
            const ObjectSet& set_;
            const Positions& positions_;
            std::vector<Fault>& faults_;

            template <typename T> const Position* position(const T& object) const
            {
                const auto found = positions_.objects_.find(std::string(kindName<T>()) + " " + object.name_);
                return found == positions_.objects_.end() ? nullptr : &found->second;
            }

            template <typename T> void fault(const T& object, const char* field, std::string reason)
            {
                Fault fault { positions_.file_, 0, std::string(kindName<T>()) + " " + object.name_, field,
                    std::move(reason) };
                if (const Position* place = position(object)) {
                    const auto line = place->fields_.find(field);
                    fault.file_ = place->file_;
                    fault.line_ = line != place->fields_.end() ? line->second : place->line_;
                }
                faults_.push_back(std::move(fault));
            }

            /// True when the field was given, so that a missing field causes no second fault.
            template <typename T> bool given(const T& object, std::string_view field) const
            {
                const Position* place = position(object);
                return !place || place->fields_.contains(field);
            }

            bool exists(std::string_view kind, std::string_view name) const
            {
                bool found = false;
                forEachKind(set_, [&]<typename T>(const std::vector<T>& list) {
                    if (kind == kindName<T>())
                        found = find(list, name) != nullptr;
                });
                return found;
            }

            void references()
            {
                forEachKind(set_, [&]<typename T>(const std::vector<T>& list) {
                    for (const T& object : list)
                        for (const auto& field : fieldsOf<T>())
                            if (field.referencedKind_ && given(object, field.name_)
                                && !exists(field.referencedKind_, field.format_(object)))
                                fault(object, field.name_,
                                    std::string("unknown ") + field.referencedKind_ + " \""
                                        + field.format_(object) + "\"");
                });
            }

            /// Reports a version of another service. An unknown version is reported by `references`.
            template <typename T>
            void versionOf(
                const T& object, const char* field, const std::string& version, const std::string& service)
            {
                const Version* found = find(set_.versions_, version);
                if (found && !service.empty() && found->service_ != service)
                    fault(object, field,
                        "version \"" + version + "\" belongs to service \"" + found->service_
                            + "\", not to \"" + service + "\"");
            }

            void links()
            {
                std::map<std::pair<std::string, std::string>, const Link*> directions;
                for (const Link& link : set_.links_) {
                    if (link.from_.empty() || link.to_.empty())
                        continue;
                    if (link.from_ == link.to_) {
                        fault(link, "to", "a link connects two different regions");
                        continue;
                    }
                    const auto [first, inserted] = directions.emplace(std::pair(link.from_, link.to_), &link);
                    if (!inserted)
                        fault(
                            link, "from", "link \"" + first->second->name_ + "\" already has this direction");
                }
            }

            void upstreams()
            {
                std::map<std::string, const Upstream*> addresses;
                for (const Upstream& upstream : set_.upstreams_) {
                    versionOf(upstream, "version", upstream.version_, upstream.service_);
                    if (upstream.address_.empty())
                        continue;
                    const auto [first, inserted] = addresses.emplace(upstream.address_, &upstream);
                    if (!inserted)
                        fault(upstream, "address",
                            upstream.address_ + " is already used by upstream \"" + first->second->name_
                                + "\"");
                }
            }

            void routes()
            {
                std::map<std::tuple<std::string, std::string, std::string>, const Route*> seen;
                for (const Route& route : set_.routes_) {
                    if (route.service_.empty() || route.path_.empty())
                        continue;
                    for (const auto& method : route.methods_) {
                        const auto [first, inserted]
                            = seen.emplace(std::tuple(route.service_, route.path_, method), &route);
                        if (!inserted)
                            fault(route, "path",
                                method + " " + route.path_ + " is already handled by route \""
                                    + first->second->name_ + "\"");
                    }
                }
            }

            void keys()
            {
                std::map<std::string, const Key*> digests;
                for (const Key& key : set_.keys_) {
                    if (key.sha256_.empty())
                        continue;
                    const auto [first, inserted] = digests.emplace(key.sha256_, &key);
                    if (!inserted)
                        fault(key, "sha256", "is the same as that of key \"" + first->second->name_ + "\"");
                }
            }

            /// Versions that receive a service's traffic now or by a move that is not rolled back.
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

            void capacity(const Service& service, double summedRate)
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
                    const uint64_t usable
                        = upstream.drain_ || !versions.contains(upstream.version_) ? 0 : upstream.slots_;
                    slots += usable;
                    slotsByRegion[domain->region_] += usable;
                }
                for (const auto& [region, count] : slotsByRegion)
                    if (count < service.minSlots_)
                        fault(service, "min-slots",
                            "region \"" + region + "\" has " + std::to_string(count)
                                + " slots without drain, needs " + std::to_string(service.minSlots_));
                if (service.typicalMs_ == 0)
                    return;
                const double carried = static_cast<double>(slots) * 1000 / service.typicalMs_;
                const double demand = summedRate * service.rateFraction_;
                if (demand > carried * (1 + 1e-9))
                    fault(service, "typical-ms",
                        "workspaces may send " + numberText(demand) + " requests/s, but "
                            + std::to_string(slots) + " slots at " + std::to_string(service.typicalMs_)
                            + " ms carry " + numberText(carried));
            }

            void services()
            {
                double summedRate = 0;
                for (const Workspace& workspace : set_.workspaces_)
                    summedRate += workspace.rate_;
                double fractions = 0;
                for (const Service& service : set_.services_) {
                    versionOf(service, "version", service.version_, service.name_);
                    capacity(service, summedRate);
                    fractions += service.rateFraction_;
                }
                // A smaller sum would leave a part of the workspaces' rate without slots.
                if (!set_.services_.empty() && fractions < 1 - 1e-9)
                    fault(set_.services_.back(), "rate-fraction",
                        "the fractions of all services sum up to " + numberText(fractions)
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

            void move(const Move& move)
            {
                const bool versions = !move.fromVersion_.empty() || !move.toVersion_.empty();
                const bool regions = !move.fromRegion_.empty() || !move.toRegion_.empty();
                const bool complete = versions ? !move.fromVersion_.empty() && !move.toVersion_.empty()
                                               : !move.fromRegion_.empty() && !move.toRegion_.empty();
                if (versions == regions || !complete) {
                    fault(move, versions ? "from-version" : "from-region",
                        "a move has either from-version and to-version or from-region and to-region");
                } else {
                    if (move.fromVersion_ == move.toVersion_ && move.fromRegion_ == move.toRegion_)
                        fault(move, versions ? "to-version" : "to-region", "a move ends where it starts");
                    if (!move.service_.empty() && !hasUpstream(move))
                        fault(move, versions ? "to-version" : "to-region",
                            "the service has no upstream without drain there");
                }
                versionOf(move, "from-version", move.fromVersion_, move.service_);
                versionOf(move, "to-version", move.toVersion_, move.service_);
                if (!given(move, "start") || !given(move, "deadline") || move.startMs_ == 0
                    || move.deadlineMs_ == 0)
                    return;
                if (move.deadlineMs_ <= move.startMs_) {
                    fault(move, "deadline", "is not after the start");
                    return;
                }
                if (move.state_ == MoveState::RolledBack || move.cap_ == 0 || move.stepMs_ == 0)
                    return;
                const uint64_t steps = minimumSteps(move.cap_);
                const uint64_t needed = steps * move.stepMs_;
                const auto available = static_cast<uint64_t>(move.deadlineMs_ - move.startMs_);
                if (needed > available)
                    fault(move, "deadline",
                        std::to_string(steps) + " steps of " + std::to_string(move.stepMs_) + " ms need "
                            + std::to_string(needed) + " ms, but the deadline is " + std::to_string(available)
                            + " ms after the start");
            }

            /// Ends of a move: versions or regions of one service.
            static std::pair<std::string, std::string> ends(const Move& move)
            {
                if (!move.toVersion_.empty())
                    return { "version " + move.fromVersion_, "version " + move.toVersion_ };
                return { "region " + move.fromRegion_, "region " + move.toRegion_ };
            }

            void moveChains(const std::vector<const Move*>& moves)
            {
                std::multimap<std::string, std::string> edges;
                for (const Move* move : moves)
                    edges.insert(ends(*move));
                for (const Move* move : moves) {
                    const auto [from, to] = ends(*move);
                    std::set<std::string> reached { to };
                    std::vector<std::string> open { to };
                    while (!open.empty() && from != to) {
                        const std::string place = open.back();
                        open.pop_back();
                        for (auto [edge, end] = edges.equal_range(place); edge != end; ++edge)
                            if (reached.insert(edge->second).second)
                                open.push_back(edge->second);
                    }
                    if (from != to && reached.contains(from))
                        fault(*move, to.starts_with("version") ? "to-version" : "to-region",
                            std::string("moves lead from ").append(to).append(" back to ").append(from));
                }
            }

            void moves()
            {
                std::map<std::pair<std::string, bool>, std::vector<const Move*>> groups;
                std::map<std::pair<std::string, std::string>, const Move*> rolledBack;
                for (const Move& object : set_.moves_) {
                    move(object);
                    if (object.state_ != MoveState::RolledBack)
                        groups[{ object.service_, !object.toVersion_.empty() }].push_back(&object);
                    else if (!object.toVersion_.empty())
                        rolledBack.emplace(std::pair(object.service_, object.toVersion_), &object);
                }
                for (const auto& [key, group] : groups) {
                    moveChains(group);
                    for (size_t i = 0; i < group.size(); ++i) {
                        const Move& later = *group[i];
                        const auto bad = rolledBack.find({ later.service_, later.toVersion_ });
                        if (bad != rolledBack.end())
                            fault(later, "to-version",
                                "version \"" + later.toVersion_ + "\" was rolled back by move \""
                                    + bad->second->name_ + "\"");
                        for (size_t j = 0; j < i; ++j) {
                            const Move& other = *group[j];
                            // Two running moves of one service would add up to more than either cap.
                            if (later.startMs_ < other.deadlineMs_ && other.startMs_ < later.deadlineMs_)
                                fault(later, "start",
                                    "overlaps with move \"" + other.name_ + "\" of service \""
                                        + later.service_ + "\"");
                        }
                    }
                }
            }
        };

    } // namespace

    void check(const ObjectSet& set, const Positions& positions, std::vector<Fault>& faults)
    {
        Checker checker { set, positions, faults };
        checker.references();
        checker.links();
        checker.upstreams();
        checker.routes();
        checker.keys();
        checker.services();
        checker.moves();
        // An empty file must not remove all objects of a deployment.
        if (set.regions_.empty())
            faults.push_back({ positions.file_, 1, "", "", "a set has at least one region" });
        // Client blocks store regions as 16-bit indices.
        constexpr size_t maxRegions = 1000;
        if (set.regions_.size() > maxRegions)
            checker.fault(
                set.regions_.back(), "", "a set has at most " + std::to_string(maxRegions) + " regions");
    }

} // namespace detail

} // namespace turmericwing::model

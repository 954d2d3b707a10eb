// Checks of a whole set: references, clashes, capacity and moves.
#include "check.h"

#include "schema.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>

namespace turmericwing::model::detail {

namespace {

    struct Checker {
        const ObjectSet& set_;
        const Positions& positions_;
        std::vector<Fault>& faults_;

        template <typename T> void fault(const T& object, const char* field, std::string reason)
        {
            std::string name = std::string(kindName<T>()) + " " + object.name_;
            Fault fault { positions_.file_, 0, name, field, std::move(reason) };
            if (const auto position = positions_.objects_.find(name); position != positions_.objects_.end()) {
                fault.file_ = position->second.file_;
                const auto line = position->second.fields_.find(field);
                fault.line_ = line != position->second.fields_.end() ? line->second : position->second.line_;
            }
            faults_.push_back(std::move(fault));
        }

        /// True when the field was given, so that a missing field causes no second fault.
        template <typename T> bool given(const T& object, const char* field) const
        {
            const auto position = positions_.objects_.find(std::string(kindName<T>()) + " " + object.name_);
            return position == positions_.objects_.end() || position->second.fields_.contains(field);
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
                        if (field.reference_ && given(object, field.name_)
                            && !(field.get_(object).empty() && !field.required_)
                            && !exists(field.reference_, field.get_(object)))
                            fault(object, field.name_,
                                std::string("unknown ") + field.reference_ + " \"" + field.get_(object)
                                    + "\"");
            });
        }
    };

} // namespace

void check(const ObjectSet& set, const Positions& positions, std::vector<Fault>& faults)
{
    Checker checker { set, positions, faults };
    checker.references();
}

} // namespace turmericwing::model::detail

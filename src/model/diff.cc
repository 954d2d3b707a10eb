// Compares two sets field by field by merging their sorted lists.
#include "turmericwing/model/diff.h"

#include "schema.h"

#include <tuple>

namespace turmericwing::model {

namespace detail {

    namespace {

        constexpr const char* blockKind = "client-block";

        /// Returns the text of a field, or only its first 8 characters and "..." if the field is secret.
        template <typename T> std::string displayText(const Field<T>& field, const T& object)
        {
            std::string value = field.format_(object);
            if (field.secret_ && value.size() > 8)
                value = value.substr(0, 8) + "...";
            return value;
        }

        /// Appends one difference for each field whose text differs. For an added object, `before` holds the
        /// defaults.
        template <typename T>
        void compareFields(const T& before, const T& after, std::vector<Difference>& out, DifferenceType type)
        {
            for (const auto& field : fieldsOf<T>()) {
                if (field.format_(before) == field.format_(after))
                    continue;
                const bool added = type == DifferenceType::Added;
                out.push_back({ type, kindName<T>(), after.name_, field.name_,
                    added ? std::string() : displayText(field, before), displayText(field, after) });
            }
        }

        /// Walks two sorted lists in parallel. `compare` is a three-way comparison; calls `added` or
        /// `removed` with an object that is in one list only, and `inBoth` with the two objects that compare
        /// equal.
        template <typename T, typename Compare, typename Added, typename Removed, typename Both>
        void mergeSorted(const std::vector<T>& before, const std::vector<T>& after, Compare compare,
            Added added, Removed removed, Both inBoth)
        {
            auto b = before.begin();
            auto a = after.begin();
            while (b != before.end() || a != after.end()) {
                const int order = b == before.end() ? 1 : a == after.end() ? -1 : compare(*b, *a);
                if (order < 0)
                    removed(*b++);
                else if (order > 0)
                    added(*a++);
                else
                    inBoth(*b++, *a++);
            }
        }

        /// Compares client blocks. Compares regions by name, since the two sets may number them differently.
        void diffClientBlocks(const ObjectSet& before, const ObjectSet& after, std::vector<Difference>& out)
        {
            const auto region = [](const ObjectSet& set, const ClientBlock& block) {
                return set.regions_[block.region_].name_;
            };
            mergeSorted(
                before.clientBlocks_, after.clientBlocks_,
                [](const ClientBlock& a, const ClientBlock& b) {
                    const auto left = std::pair(a.prefix_, a.length_);
                    const auto right = std::pair(b.prefix_, b.length_);
                    return left < right ? -1 : left == right ? 0 : 1;
                },
                [&](const ClientBlock& block) {
                    out.push_back({ DifferenceType::Added, blockKind, formatBlock(block), "region", "",
                        region(after, block) });
                },
                [&](const ClientBlock& block) {
                    out.push_back({ DifferenceType::Removed, blockKind, formatBlock(block), "region",
                        region(before, block), "" });
                },
                [&](const ClientBlock& old, const ClientBlock& block) {
                    if (region(before, old) != region(after, block))
                        out.push_back({ DifferenceType::Changed, blockKind, formatBlock(block), "region",
                            region(before, old), region(after, block) });
                });
        }

    } // namespace

} // namespace detail

std::vector<Difference> diff(const ObjectSet& before, const ObjectSet& after)
{
    using namespace detail;
    std::vector<Difference> out;
    forEachKind(before, [&]<typename T>(const std::vector<T>& old) {
        const std::vector<T>* current = nullptr;
        forEachKind(after, [&]<typename U>(const std::vector<U>& list) {
            if constexpr (std::is_same_v<T, U>)
                current = &list;
        });
        mergeSorted(
            old, *current, [](const T& a, const T& b) { return a.name_.compare(b.name_); },
            [&](const T& object) {
                out.push_back({ DifferenceType::Added, kindName<T>(), object.name_, "", "", "" });
                compareFields(T {}, object, out, DifferenceType::Added);
            },
            [&](const T& object) {
                out.push_back({ DifferenceType::Removed, kindName<T>(), object.name_, "", "", "" });
            },
            [&](const T& a, const T& b) { compareFields(a, b, out, DifferenceType::Changed); });
    });
    diffClientBlocks(before, after, out);
    return out;
}

const char* toString(DifferenceType type)
{
    switch (type) {
    case DifferenceType::Added:
        return "added";
    case DifferenceType::Removed:
        return "removed";
    case DifferenceType::Changed:
        break;
    }
    return "changed";
}

std::string toString(const std::vector<Difference>& differences, size_t maxBlocks)
{
    std::string out;
    size_t blocks = 0;
    for (const auto& entry : differences) {
        if (entry.kind_ == detail::blockKind && ++blocks > maxBlocks)
            continue;
        out += entry.type_ == DifferenceType::Added  ? "+ "
            : entry.type_ == DifferenceType::Removed ? "- "
                                                     : "~ ";
        out += entry.kind_ + " " + entry.name_;
        if (!entry.field_.empty()) {
            out += ": " + entry.field_ + ": ";
            out += entry.type_ == DifferenceType::Added  ? entry.new_
                : entry.type_ == DifferenceType::Removed ? entry.old_
                                                         : (entry.old_.empty() ? "(none)" : entry.old_)
                    + " -> " + (entry.new_.empty() ? "(none)" : entry.new_);
        }
        out += "\n";
    }
    if (blocks > maxBlocks)
        out += "... and " + std::to_string(blocks - maxBlocks) + " more client blocks\n";
    return out;
}

} // namespace turmericwing::model

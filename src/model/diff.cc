// Comparison of two sets field by field, by merging their sorted lists.
#include "turmericwing/model/diff.h"

#include "schema.h"

#include <tuple>

namespace turmericwing::model {

namespace detail {

    namespace {

        constexpr const char* blockKind = "client-block";

        template <typename T> std::string shown(const Field<T>& field, const T& object)
        {
            std::string value = field.format_(object);
            if (field.secret_ && value.size() > 8)
                value = value.substr(0, 8) + "...";
            return value;
        }

        template <typename T>
        void compareFields(const T& before, const T& after, std::vector<Difference>& out, DifferenceType type)
        {
            for (const auto& field : fieldsOf<T>()) {
                if (field.format_(before) == field.format_(after))
                    continue;
                const bool added = type == DifferenceType::Added;
                out.push_back({ type, kindName<T>(), after.name_, field.name_,
                    added ? std::string() : shown(field, before), shown(field, after) });
            }
        }

        /// Merges two sorted lists; `compare` is three-way, and each callback receives the objects of one
        /// step.
        template <typename T, typename Compare, typename Added, typename Removed, typename Both>
        void merge(const std::vector<T>& before, const std::vector<T>& after, Compare compare, Added added,
            Removed removed, Both both)
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
                    both(*b++, *a++);
            }
        }

        void diffBlocks(const ObjectSet& before, const ObjectSet& after, std::vector<Difference>& out)
        {
            const auto region = [](const ObjectSet& set, const ClientBlock& block) {
                return set.regions_[block.region_].name_;
            };
            merge(
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
        merge(
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
    diffBlocks(before, after, out);
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
    for (const auto& d : differences) {
        if (d.kind_ == detail::blockKind && ++blocks > maxBlocks)
            continue;
        out += d.type_ == DifferenceType::Added ? "+ " : d.type_ == DifferenceType::Removed ? "- " : "~ ";
        out += d.kind_ + " " + d.name_;
        if (!d.field_.empty()) {
            out += ": " + d.field_ + ": ";
            out += d.type_ == DifferenceType::Added ? d.new_
                : d.type_ == DifferenceType::Removed
                ? d.old_
                : (d.old_.empty() ? "(none)" : d.old_) + " -> " + (d.new_.empty() ? "(none)" : d.new_);
        }
        out += "\n";
    }
    if (blocks > maxBlocks)
        out += "... and " + std::to_string(blocks - maxBlocks) + " more client blocks\n";
    return out;
}

} // namespace turmericwing::model

// Differences between two object sets, for operators and the audit trail.
#pragma once

#include "turmericwing/model/objects.h"

#include <string>
#include <vector>

namespace turmericwing::model {

enum class DifferenceType { Added, Removed, Changed };

/// One difference. An added or removed object has one entry with an empty field; an added object is followed
/// by one entry for each field that differs from its default. A client block has the kind "client-block" and
/// its text as name. Key digests are shortened to 8 digits in `old_` and `new_`.
struct Difference {
    DifferenceType type_ = DifferenceType::Changed;
    std::string kind_;
    std::string name_;
    std::string field_;
    std::string old_;
    std::string new_;
    friend auto operator<=>(const Difference&, const Difference&) = default;
};

/// Differences in the order of the canonical text. Both sets must be checked.
std::vector<Difference> diff(const ObjectSet& before, const ObjectSet& after);

/// One line for each difference, for example "~ workspace petra: rate: 10 -> 12". At most `maxBlocks` client
/// blocks are listed; a last line counts the others.
std::string toString(const std::vector<Difference>&, size_t maxBlocks = 20);

/// "added", "removed" or "changed".
const char* toString(DifferenceType);

} // namespace turmericwing::model

// Field-by-field differences between two object sets, for operators and the audit trail.
#pragma once

#include "turmericwing/model/objects.h"

#include <string>
#include <vector>

namespace turmericwing::model {

enum class DifferenceType { Added, Removed, Changed };

/// One difference. An added or removed object yields one entry with an empty `field_`; for an added object,
/// one entry for each field that differs from its default follows. A client block has the kind "client-block"
/// and its text "a.b.c.d/length" as name. `old_` and `new_` show only the first 8 digits of a key digest.
struct Difference {
    DifferenceType type_ = DifferenceType::Changed;
    std::string kind_;
    std::string name_;
    std::string field_;
    std::string old_;
    std::string new_;
    friend auto operator<=>(const Difference&, const Difference&) = default;
};

/// Returns the differences in the order of the canonical text. Both sets must have passed the checks of
/// parseSet.
std::vector<Difference> diff(const ObjectSet& before, const ObjectSet& after);

/// Formats one line per difference, for example "~ workspace petra: rate: 10 -> 12". Lists at most
/// `maxBlocks` client blocks; a final line states how many were omitted.
std::string toString(const std::vector<Difference>&, size_t maxBlocks = 20);

/// Returns "added", "removed" or "changed".
const char* toString(DifferenceType);

} // namespace turmericwing::model

// Validation of a complete set across its objects.
#pragma once

#include "turmericwing/model/parse.h"

#include <map>
#include <string>
#include <vector>

namespace turmericwing::model::detail {

/// Source location of an object and the lines of its fields.
struct SourceLocation {
    std::string file_;
    int line_ = 0;
    std::map<std::string, int, std::less<>> fieldLines_;
};

/// Source locations of all named objects of a set.
struct SourceLocations {
    std::map<std::string, SourceLocation, std::less<>> objects_; ///< By "kind name".
    std::string file_; ///< Reported for faults that belong to no object.
};

/// Appends every fault that concerns more than one field or object. The lists of the set must be sorted.
void check(const ObjectSet&, const SourceLocations&, std::vector<Fault>&);

} // namespace turmericwing::model::detail

// Checks of a whole set across its objects.
#pragma once

#include "turmericwing/model/parse.h"

#include <map>
#include <string>
#include <vector>

namespace turmericwing::model::detail {

/// Where an object and its fields stand.
struct Position {
    std::string file_;
    int line_ = 0;
    std::map<std::string, int, std::less<>> fields_;
};

struct Positions {
    std::map<std::string, Position, std::less<>> objects_; ///< By "kind name".
    std::string file_; ///< Named in faults that belong to no object.
};

/// Appends all faults that concern more than one field.
void check(const ObjectSet&, const Positions&, std::vector<Fault>&);

} // namespace turmericwing::model::detail

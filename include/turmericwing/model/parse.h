// Parses an object set from INI text and validates it as a whole.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/model/objects.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::model {

/// One validation error of a set. `object_` is "kind name", for example "key photo-2"; `object_` and `field_`
/// are empty where the error belongs to neither. `line_` is 1-based, or 0 if unknown.
struct Fault {
    std::string file_;
    int line_ = 0;
    std::string object_;
    std::string field_;
    std::string reason_;
    friend auto operator<=>(const Fault&, const Fault&) = default;
};

/// Formats a fault as "file:line: object: field: reason"; empty parts are omitted.
std::string toString(const Fault&);

/// An INI text with its origin.
struct Source {
    std::string file_; ///< File name, only used in messages.
    std::string text_;
};

/// Result of parseSet.
struct ParseResult {
    ObjectSet set_;
    std::vector<Fault> faults_; ///< Sorted by file and line; empty if and only if the set may be published.
};

/// Parses and validates all sources as one set. Reports every fault, not only the first.
ParseResult parseSet(const std::vector<Source>& sources);

/// Formats a set that passed the checks as one INI text in canonical order. parseSet of the text yields an
/// equal set.
std::string canonicalText(const ObjectSet&);

} // namespace turmericwing::model

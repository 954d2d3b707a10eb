// Reads an object set from INI text and checks it as a whole.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/model/objects.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::model {

/// One fault of a set. `object_` is "kind name", for example "key photo-2"; fields may be empty.
struct Fault {
    std::string file_;
    int line_ = 0;
    std::string object_;
    std::string field_;
    std::string reason_;
    friend auto operator<=>(const Fault&, const Fault&) = default;
};

/// "file:line: object: field: reason".
std::string toString(const Fault&);

struct Source {
    std::string file_; ///< Name for messages.
    std::string text_;
};

struct Parsed {
    ObjectSet set_;
    std::vector<Fault> faults_; ///< Empty exactly when the set may be published.
};

/// Parses and checks all sources as one set. Reports every fault, not only the first.
Parsed parseSet(const std::vector<Source>& sources);

/// The set as one INI text in canonical order; parseSet of it yields an equal set.
std::string canonicalText(const ObjectSet&);

} // namespace turmericwing::model

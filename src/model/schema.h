// Tables of the fields of each object kind: INI names, ranges and text formats. Parsing, canonical text and
// diffs all use these tables, so a new field is added in one place.
#pragma once

#include "turmericwing/model/objects.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::model::detail {

/// One field of a kind. `parse_` assigns the value and returns an empty string, or returns the reason why the
/// text is invalid. `format_` returns the text of the value.
template <typename T> struct Field {
    const char* name_;
    bool required_;
    std::function<std::string(T&, std::string_view)> parse_;
    std::function<std::string(const T&)> format_;
    const char* referencedKind_ = nullptr; ///< Kind of the object that the value names; nullptr if none.
    bool secret_ = false; ///< Diffs show only a prefix of the value, and messages omit it.
};

/// Returns the INI name of a kind, for example "failure-domain".
template <typename T> const char* kindName();

/// Returns all fields of a kind in the order of the canonical text.
template <typename T> const std::vector<Field<T>>& fieldsOf();

/// Calls `f(list)` for each kind of named objects, in the order of the canonical text. Client blocks have no
/// name and are left out.
template <typename Set, typename F> void forEachKind(Set&& set, F&& f)
{
    f(set.regions_);
    f(set.failureDomains_);
    f(set.sites_);
    f(set.links_);
    f(set.services_);
    f(set.versions_);
    f(set.upstreams_);
    f(set.routes_);
    f(set.workspaces_);
    f(set.keys_);
    f(set.moves_);
}

/// Longest object name, in characters. inih truncates section headings at 49 characters, and the longest kind
/// has 14.
inline constexpr size_t maxNameLength = 32;

/// Returns true for 1 to `maxNameLength` letters, digits, "-", "_" and "." that start with a letter or digit.
bool isValidName(std::string_view);

/// Parses "a.b.c.d/length" into a block with region index 0. Returns nullopt and sets `reason` if the text is
/// malformed or has address bits set beyond the prefix length.
std::optional<ClientBlock> parseBlock(std::string_view text, std::string& reason);
/// Formats a block as "a.b.c.d/length".
std::string formatBlock(const ClientBlock&);

/// Parses an RFC 3339 UTC time, without a fraction or with exactly three digits of it, for example
/// "2026-12-04T09:00:00Z". Returns ms since the Unix epoch, or nullopt if the text is malformed or before
/// 1970.
std::optional<int64_t> parseTime(std::string_view text);
/// Formats ms since the Unix epoch as RFC 3339 UTC time; omits a fraction of 0.
std::string formatTime(int64_t ms);

} // namespace turmericwing::model::detail

// The fields of each object kind: their INI names, ranges and text forms. Parsing, canonical text and diffs
// all use these tables, so a new field is added in one place.
#pragma once

#include "turmericwing/model/objects.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::model::detail {

/// One field of a kind. `set_` returns the reason why the text is refused, or an empty string.
template <typename T> struct Field {
    const char* name_;
    bool required_;
    std::function<std::string(T&, std::string_view)> set_;
    std::function<std::string(const T&)> get_;
    const char* reference_ = nullptr; ///< Kind that the value names, if any.
    bool secret_ = false; ///< Diffs and messages shorten the value.
};

/// INI name of a kind, for example "failure-domain".
template <typename T> const char* kindName();

/// All fields of a kind in the order of the canonical text.
template <typename T> const std::vector<Field<T>>& fieldsOf();

/// Calls `f(list)` for each kind that has names, in the order of the canonical text.
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

/// Longest object name. inih truncates section headings at 49 characters, and the longest kind has 14.
inline constexpr size_t maxNameLength = 32;

bool isValidName(std::string_view);

/// A block "a.b.c.d/len" without region; `reason` explains a refusal.
std::optional<ClientBlock> parseBlock(std::string_view text, std::string& reason);
std::string blockText(const ClientBlock&);

/// RFC 3339 UTC time with up to millisecond precision, for example "2026-12-04T09:00:00Z".
std::optional<int64_t> parseTime(std::string_view text);
std::string timeText(int64_t ms);

} // namespace turmericwing::model::detail

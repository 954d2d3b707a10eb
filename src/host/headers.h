// Parsing and filtering of header fields and request targets.
#pragma once

#include "turmericwing/host/upstream.h"

#include <string>

namespace turmericwing::host::detail {

/// A request target "/service/path?query", split after the service.
struct Target {
    std::string service_;
    std::string path_; ///< Path below the service; starts with "/".
    std::string pathAndQuery_; ///< Path and query below the service, as sent to the upstream.
};

/// Splits a target, which must start with "/".
Target splitTarget(const std::string& target);

/// Whether the path contains a "." or ".." segment. With one, a request that matches one route could reach
/// the path of another route on an upstream that resolves dot segments. Upstreams differ in what they decode
/// first, so encoded dots and separators count too.
bool hasDotSegments(const std::string& path);

/// Value of the first field with that name, ignoring case; empty when absent.
std::string headerValue(const HeaderList&, const char* name);

/// The fields that are forwarded: all but hop-by-hop fields, the caller's credentials and fields of this
/// system.
HeaderList forwardedHeaders(const HeaderList&);

} // namespace turmericwing::host::detail

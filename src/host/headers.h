// Header fields and request targets of callers, as far as the request path looks into them.
#pragma once

#include "turmericwing/host/upstream.h"

#include <string>

namespace turmericwing::host::detail {

/// "/service/rest?query" split at the service.
struct Target {
    std::string service_;
    std::string path_; ///< Below the service, starts with "/".
    std::string rest_; ///< Path and query below the service.
};

Target splitTarget(const std::string& target);

/// A dot segment would let one route's path reach another route on an upstream that resolves it.
/// Upstreams differ in what they decode before, so encoded separators count too.
bool hasDotSegments(const std::string& path);

/// Value of the first field with that name, without regard to case; empty when absent.
std::string headerValue(const HeaderList&, const char* name);

/// Fields that are passed on: not those of one connection, of the caller's credentials or of this system.
HeaderList forwardedHeaders(const HeaderList&);

} // namespace turmericwing::host::detail

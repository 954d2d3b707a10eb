// Validation of numeric socket addresses in object sets, settings and command-line arguments.
#pragma once

#include <string_view>

namespace turmericwing::model {

/// Returns true for "a.b.c.d:port" and "[ipv6]:port" with a port from 1 to 65535; false for host names.
bool isNumericAddress(std::string_view);

} // namespace turmericwing::model

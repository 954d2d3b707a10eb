// Numeric addresses, as they occur in object sets, settings and on the command line.
#pragma once

#include <string_view>

namespace turmericwing::model {

/// True for "a.b.c.d:port" and "[ipv6]:port" with a port from 1 to 65535. Host names are no addresses.
bool isNumericAddress(std::string_view);

} // namespace turmericwing::model

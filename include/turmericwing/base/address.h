// Textual IPv4 socket addresses, as used in settings and host list entries.
#pragma once

#include "turmericwing/base/result.h"

#include <compare>
#include <cstdint>
#include <string>

namespace turmericwing {

/// An IPv4 address and a TCP port.
struct Address {
    std::string ip_; ///< Dotted decimal.
    uint16_t port_ = 0;
    friend auto operator<=>(const Address&, const Address&) = default;
};

/// Parses "a.b.c.d:port". Errors: Invalid if the text has another form or the port is not in [1, 65535].
Result<Address> parseAddress(const std::string& text);

/// Formats an address as "ip:port". Inverse of parseAddress().
inline std::string addressText(const Address& address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

} // namespace turmericwing

// IPv4 socket addresses as settings and directory entries spell them.
#pragma once

#include "turmericwing/base/result.h"

#include <compare>
#include <cstdint>
#include <string>

namespace turmericwing {

/// "ip:port" split into its parts.
struct Address {
    std::string ip_;
    uint16_t port_ = 0;
    friend auto operator<=>(const Address&, const Address&) = default;
};

/// Errors: Invalid when the text is not "a.b.c.d:port" with a port from 1 to 65535.
Result<Address> parseAddress(const std::string& text);

/// The inverse of parseAddress.
inline std::string addressText(const Address& address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

} // namespace turmericwing

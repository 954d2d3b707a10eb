// Settings of one host, read from an INI file. Secrets are read from the files that the settings name.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericwing::host {

using turmericwing::Address;
using turmericwing::parseAddress;

enum class Role { Read, Change };

/// An operator who may call the operator port. Only the digest of the token is kept.
struct Operator {
    std::string name_;
    Role role_ = Role::Read;
    std::string tokenSha256_;
    friend auto operator<=>(const Operator&, const Operator&) = default;
};

struct Settings {
    std::string name_;
    std::string region_;
    std::string failureDomain_;
    Address callerAddress_;
    Address peerAddress_;
    Address operatorAddress_;
    Address platformAddress_;
    std::string peerSecret_;
    std::vector<Operator> operators_;
    std::string tlsCertificate_; ///< Path, empty for plain HTTP.
    std::string tlsPrivateKey_;
    std::string logLevel_ = "info";
};

/// Reads and checks a settings file. Reports every fault, one a line, as "file:line: section: field: reason".
/// Errors: Invalid.
Result<Settings> loadSettings(const std::string& path);

} // namespace turmericwing::host

// Settings of one host, read from an INI file and from the files of secrets that it names.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericwing::host {

using turmericwing::Address;
using turmericwing::parseAddress;

/// What an operator may do: only read, or also make changes.
enum class Role { Read, Change };

/// An operator who may use the operator port. Only the digest of the operator's token is stored.
struct Operator {
    std::string name_;
    Role role_ = Role::Read;
    std::string tokenSha256_; ///< 64 lower-case hexadecimal digits.
    friend auto operator<=>(const Operator&, const Operator&) = default;
};

/// Checked settings. Secrets are loaded; certificate and private key are paths of existing files.
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
    std::string tlsCertificate_; ///< Path; empty for plain HTTP.
    std::string tlsPrivateKey_; ///< Path; required if there is a certificate.
    std::string logLevel_ = "info"; ///< debug, info, warning or error.
};

/// Reads and checks a settings file. Errors: Invalid; the message lists all faults, one per line, as
/// "file:line: section.field: reason".
Result<Settings> loadSettings(const std::string& path);

} // namespace turmericwing::host

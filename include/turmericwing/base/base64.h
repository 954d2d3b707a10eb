// Base64 encoding with padding (RFC 4648, section 4).
#pragma once

#include "turmericwing/base/result.h"

#include <string>

namespace turmericwing {

/// Encodes bytes as base64, without line breaks.
std::string toBase64(const std::string& bytes);

/// Decodes base64. Errors: Invalid if the text is not valid base64. Empty text yields an empty string.
Result<std::string> fromBase64(const std::string& text);

} // namespace turmericwing

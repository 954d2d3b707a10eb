// Base64 with padding (RFC 4648, section 4).
#pragma once

#include "turmericwing/base/result.h"

#include <string>

namespace turmericwing {

std::string toBase64(const std::string& bytes);

/// Errors: Invalid when the text is not base64.
Result<std::string> fromBase64(const std::string& text);

} // namespace turmericwing

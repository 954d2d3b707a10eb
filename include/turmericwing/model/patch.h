// Line-based patches between two configuration texts.
#pragma once

#include "turmericwing/base/result.h"

#include <string>
#include <string_view>

namespace turmericwing::model {

/// Returns a patch from which applyPatch rebuilds `next` given `base`. Its size grows with the lines that
/// differ, not with the configuration: one of 140,000 client blocks has 3 MB, and 530 full copies a day would
/// exceed the control traffic limit of a host.
std::string makePatch(std::string_view base, std::string_view next);

/// Returns the text that the patch yields. Errors: Conflict if the patch was made for another base; Invalid
/// if it is malformed, or if the result exceeds `maxBytes` or does not match the digest in the patch. The
/// caller still has to compare the digest of the result with the one in the head, as for a full blob.
Result<std::string> applyPatch(
    std::string_view base, std::string_view patch, size_t maxBytes = size_t { 1 } << 26);

} // namespace turmericwing::model

// A configuration as its difference from another one, line by line.
#pragma once

#include "turmericwing/base/result.h"

#include <string>
#include <string_view>

namespace turmericwing::model {

/// Text from which applyPatch makes `next` out of `base`. Its size depends on the lines that differ: a
/// configuration of 140,000 client blocks has 3 MB, and 530 full copies a day exceed the control traffic of a
/// host.
std::string makePatch(std::string_view base, std::string_view next);

/// Errors: Conflict if the patch was made for another base, Invalid if it is malformed or its result is
/// larger than `maxBytes` or has not the digest that the patch names. The caller compares the digest of the
/// result with the one that the head names, as for a full blob.
Result<std::string> applyPatch(
    std::string_view base, std::string_view patch, size_t maxBytes = size_t { 1 } << 26);

} // namespace turmericwing::model

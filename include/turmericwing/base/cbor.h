// Structural check of CBOR (RFC 8949) that comes from the network, before a recursive decoder reads it.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace turmericwing {

enum class CborFault {
    Malformed, ///< Not one complete item, or with tags, indefinite lengths or trailing bytes.
    TooDeep, ///< Nested deeper than allowed.
};

/// Checks that the bytes are one CBOR item with at most `maxDepth` levels of arrays and maps. Needs neither
/// recursion nor allocations whose size the input controls. Returns nothing if they are.
std::optional<CborFault> checkCborStructure(std::string_view bytes, size_t maxDepth);

/// Returns the name of a fault for messages.
const char* toString(CborFault);

} // namespace turmericwing

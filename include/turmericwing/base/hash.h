// Hash functions: xxHash for placement, SHA-256 for digests of keys, configurations and claims.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericwing {

/// 64-bit XXH3 hash. Its value is the same on every host and in every release. Not cryptographic.
uint64_t hash64(std::string_view data, uint64_t seed = 0);

/// Weight of `node` for `key` in rendezvous hashing; `key` is placed on the node with the highest weight.
uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA-256 as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view secret, std::string_view data);

/// Compares two strings in time that depends only on their lengths, to prevent timing attacks.
bool constantTimeEqual(std::string_view a, std::string_view b);

} // namespace turmericwing

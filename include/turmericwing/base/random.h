// Random numbers. Decision code takes a Random by reference, so that a run is reproducible from its seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace turmericwing {

using Random = std::mt19937_64;

/// Returns a generator that is seeded by the operating system.
Random makeRandom();

/// Returns a uniformly distributed number in [0, 1).
inline double uniform(Random& random) { return static_cast<double>(random() >> 11) * 0x1.0p-53; }

/// Returns 16 random bytes as 32 hexadecimal digits, for request ids and nonces.
std::string randomId(Random&);

} // namespace turmericwing

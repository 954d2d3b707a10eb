// Random numbers. Decision code takes a Random by reference, so that a seed repeats a run.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace turmericwing {

using Random = std::mt19937_64;

/// A generator seeded from the operating system.
Random makeRandom();

/// Uniform in [0, 1).
inline double uniform(Random& random) { return static_cast<double>(random() >> 11) * 0x1.0p-53; }

/// Sixteen random bytes as 32 hexadecimal digits, for request ids and nonces.
std::string randomId(Random&);

} // namespace turmericwing

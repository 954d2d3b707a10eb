// Arithmetic of moves that the check of a set and the controller share.
#pragma once

#include <cstdint>

namespace turmericwing::model {

/// Share of the first step. A version that is bad from the start receives no more than this before detection.
inline constexpr double firstStepShare = 0.01;

/// Fewest steps from 0 to the whole traffic: the first has `firstStepShare`, each other one adds at most
/// `cap`. UINT64_MAX for a cap that is not positive.
uint64_t minimumSteps(double cap);

} // namespace turmericwing::model

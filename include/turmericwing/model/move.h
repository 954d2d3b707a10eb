// Step sizes of gradual traffic moves, from which the checks of a set derive the shortest duration of a move.
#pragma once

#include <cstdint>

namespace turmericwing::model {

/// Traffic share of the first step, in (0, 1]; must match the rollout controller. Limits the traffic that a
/// version which fails immediately receives before the failure is detected.
inline constexpr double firstStepShare = 0.01;

/// Returns the smallest number of steps that shifts all traffic: the first step shifts `firstStepShare`, or
/// `cap` if that is smaller, and each further step at most `cap`. Returns UINT64_MAX if `cap` is not
/// positive.
uint64_t minimumSteps(double cap);

} // namespace turmericwing::model

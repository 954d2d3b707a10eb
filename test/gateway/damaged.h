// Damages encoded messages at random, as a network or a faulty sender may.
#pragma once

#include "turmericwing/base/random.h"

#include <string>

/// Returns how many of 20,000 cut and altered copies of `bytes` the decoder rejects. It must not crash.
template <typename Decode> int countRejected(const std::string& bytes, const Decode& decode)
{
    turmericwing::Random random(5);
    int rejected = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        rejected += decode(damaged) ? 0 : 1;
    }
    return rejected;
}

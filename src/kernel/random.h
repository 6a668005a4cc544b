#pragma once

#include <cstdint>
#include <string>

#include "kernel/clock.h"

namespace apricotwheel {

// State of a splitmix64 generator. Equal states produce equal sequences, which
// lets a test repeat its random choices.
struct random_source {
  std::uint64_t state;
};

// Returns a generator with a seed from the operating system.
random_source SystemRandom();

std::uint64_t NextU64(random_source& source);

// Returns a number in [0, bound); `bound` must be above 0.
std::uint64_t NextBelow(random_source& source, std::uint64_t bound);

// Returns `count` random bytes from the operating system as lower-case hex.
std::string RandomHex(std::size_t count);

// Returns a random delay between 50% and 100% of `base * 2^attempt`, which is
// first limited to `limit`.
duration BackoffWithJitter(random_source& source, int attempt, duration base,
                           duration limit);

}  // namespace apricotwheel

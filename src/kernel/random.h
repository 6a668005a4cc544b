#pragma once

#include <cstdint>
#include <string>

#include "kernel/clock.h"

namespace apricotwheel {

// A seeded 64-bit generator (splitmix64), for choices that a test repeats.
struct random_source {
  std::uint64_t state;
};

// A generator whose seed comes from the operating system.
random_source SystemRandom();

std::uint64_t NextU64(random_source& source);

// A number in [0, bound); `bound` must be above 0.
std::uint64_t NextBelow(random_source& source, std::uint64_t bound);

// `count` random bytes from the operating system as lower-case hex.
std::string RandomHex(std::size_t count);

// A span between 50% and 100% of `base * 2^attempt`, at most `limit`.
duration BackoffWithJitter(random_source& source, int attempt, duration base,
                           duration limit);

}  // namespace apricotwheel

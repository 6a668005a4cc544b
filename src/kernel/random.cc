#include "kernel/random.h"

#include <algorithm>
#include <random>

namespace apricotwheel {

random_source SystemRandom() {
  std::random_device device;
  return {(static_cast<std::uint64_t>(device()) << 32) | device()};
}

std::uint64_t NextU64(random_source& source) {
  source.state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = source.state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t NextBelow(random_source& source, std::uint64_t bound) {
  return NextU64(source) % bound;
}

std::string RandomHex(std::size_t count) {
  constexpr char kHex[] = "0123456789abcdef";
  std::random_device device;
  std::string text;
  text.reserve(count * 2);
  for (std::size_t i = 0; i < count; ++i) {
    const unsigned int byte = device() & 0xffU;
    text += kHex[byte >> 4];
    text += kHex[byte & 0xfU];
  }
  return text;
}

duration BackoffWithJitter(random_source& source, int attempt, duration base,
                           duration limit) {
  constexpr int kMaxDoublings = 20;
  const auto factor = std::int64_t{1} << std::clamp(attempt, 0, kMaxDoublings);
  const duration full = std::min(limit, base * factor);
  const auto half = full.count() / 2;
  if (half <= 0) return full;
  return duration(half + static_cast<duration::rep>(NextBelow(
                             source, static_cast<std::uint64_t>(half) + 1)));
}

}  // namespace apricotwheel

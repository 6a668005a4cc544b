#include "graph/place_wait.h"

#include <algorithm>

namespace apricotwheel {

namespace {

// Waiting must gain this part of the result's value, since estimates are
// uncertain.
constexpr double kMinGain = 0.1;
// A wait lasts at most this multiple of its expected time. Runs may take longer
// than estimated.
constexpr int kMaxWaitFactor = 2;
// Time until the owner knows of an end.
constexpr auto kEndDelay = milliseconds(100);
// Without a gain in value, a wait must save this multiple of its time.
constexpr double kMinSavingFactor = 1.5;
// Shorter gains in run time are within the noise.
constexpr auto kMinTimeSaved = milliseconds(50);

double ValueAfter(const place_choice& choice, duration wait, double slowdown) {
  remaining_work work = choice.work;
  work.first = std::chrono::duration_cast<duration>(work.first * slowdown);
  return ExpectedValue(
      {choice.bounds.objective - wait, choice.bounds.limit - wait}, work);
}

}  // namespace

duration MaxPlaceWait(const place_choice& choice) {
  const auto saved = std::chrono::duration_cast<duration>(
      choice.work.first * (choice.slowdown_now - choice.slowdown_later));
  const duration expected = choice.free_in + kEndDelay;
  if (saved < kMinTimeSaved || expected >= saved) return {};
  const double now = ValueAfter(choice, {}, choice.slowdown_now);
  const double later = ValueAfter(choice, expected, choice.slowdown_later);
  const bool gains_value = later >= now + kMinGain;
  const bool saves_capacity = choice.costs_capacity && later > now - kMinGain &&
                              expected * kMinSavingFactor <= saved;
  if (!gains_value && !saves_capacity) return {};
  // A longer wait would cost more than it can save.
  return std::min(saved, kMaxWaitFactor * expected);
}

}  // namespace apricotwheel

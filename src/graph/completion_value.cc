#include "graph/completion_value.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace apricotwheel {

namespace {

// What a late result is worth.
constexpr double kLateValue = 0.2;
// Share of the tasks that take much longer than the others of their step, and
// the most that they take in proportion to those.
constexpr double kStragglerShare = 0.03;
constexpr double kMaxStragglerFactor = 7;

// Returns the probability that all tasks end in time for `bound`.
double ProbabilityWithin(duration bound, const remaining_work& work) {
  const duration left = bound - work.rest;
  if (left <= duration::zero()) return 0;
  if (work.first <= duration::zero()) return 1;
  const double factor = static_cast<double>(left.count()) /
                        static_cast<double>(work.first.count());
  const double usual = 0.5 * std::erfc(-std::log(factor) /
                                       (work.deviation * std::numbers::sqrt2));
  const double straggler =
      std::clamp((factor - 1) / (kMaxStragglerFactor - 1), 0.0, 1.0);
  return std::pow((1 - kStragglerShare) * usual + kStragglerShare * straggler,
                  static_cast<double>(work.tasks));
}

}  // namespace

double ExpectedValue(const completion_bounds& bounds,
                     const remaining_work& work) {
  return (1 - kLateValue) * ProbabilityWithin(bounds.objective, work) +
         kLateValue * ProbabilityWithin(bounds.limit, work);
}

}  // namespace apricotwheel

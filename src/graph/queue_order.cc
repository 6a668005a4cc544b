#include "graph/queue_order.h"

#include <tuple>

namespace apricotwheel {

namespace {

// Completion up to this many objectives after submission is late; after that it
// is worth nothing to the caller.
constexpr int kLateObjectives = 3;

}  // namespace

prospect ProspectOf(const waiting_step& step, time_point now) {
  if (step.is_service) return prospect::kInTime;
  const duration end = now + step.remaining_path - step.submitted_at;
  if (end <= step.objective) return prospect::kInTime;
  return end <= kLateObjectives * step.objective ? prospect::kLate
                                                 : prospect::kLost;
}

bool GoesBefore(const waiting_step& left, const waiting_step& right,
                time_point now) {
  const auto rank = [&](const waiting_step& step) {
    return std::tuple(step.priority, ProspectOf(step, now), step.remaining_work,
                      step.submitted_at);
  };
  return rank(left) < rank(right);
}

}  // namespace apricotwheel

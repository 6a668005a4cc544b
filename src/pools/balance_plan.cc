#include "pools/balance_plan.h"

#include <limits>
#include <tuple>
#include <utility>

namespace apricotwheel {

namespace {

// A difference below this is not worth the commit, and the approvals that the
// moved jobs have to request again.
constexpr double kMinDifferenceSeconds = 0.1;
// An owner reports ten times a second.
constexpr auto kMaxReportAge = milliseconds(1000);

}  // namespace

std::optional<balance_plan> PlanMoves(
    const pool_load& own, const std::map<std::string, reported_load>& others,
    time_point now) {
  const std::pair<const std::string, reported_load>* best = nullptr;
  const auto order = [](const reported_load& other) {
    return std::tuple(other.load.backlog_seconds, other.load.busy_share);
  };
  for (const auto& other : others) {
    if (now - other.second.received_at > kMaxReportAge) continue;
    if (!other.second.load.has_workers) continue;
    if (best == nullptr || order(other.second) < order(best->second)) {
      best = &other;
    }
  }
  if (best == nullptr) return std::nullopt;
  if (!own.has_workers) {
    return balance_plan{best->first, std::numeric_limits<double>::infinity()};
  }
  const double difference =
      own.backlog_seconds - best->second.load.backlog_seconds;
  if (difference < kMinDifferenceSeconds) return std::nullopt;
  return balance_plan{best->first, difference / 2};
}

}  // namespace apricotwheel

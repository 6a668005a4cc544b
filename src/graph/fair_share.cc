#include "graph/fair_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace apricotwheel {

namespace {

// Jobs of this many seconds may come at once.
constexpr double kBurstSeconds = 1;
// Differences below a tenth of an organisation's share do not change the order,
// so that steps with reservations do not overtake each other in every pass.
constexpr double kPlacesPerShare = 10;
// Stands for a weight of 0: served if nothing else waits.
constexpr double kLeastWeight = 1e-6;
constexpr double kMaxPlace = 1e15;  // Exact as a double and as an integer.

double Ratio(std::int64_t need, std::int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(need) / static_cast<double>(capacity)
             : 0.0;
}

double MaxJobs(double weight) {
  return weight > 0 ? std::max(1.0, weight * kBurstSeconds) : 0.0;
}

}  // namespace

double DominantShare(const resource_vector& need,
                     const resource_vector& capacity) {
  return std::max({Ratio(need.cpu_milli, capacity.cpu_milli),
                   Ratio(need.memory_mib, capacity.memory_mib),
                   Ratio(need.accelerators, capacity.accelerators)});
}

void fair_share::SetOrganisations(const organisation_table& organisations) {
  weights_.clear();
  double sum = 0;
  for (const auto& [name, rules] : organisations) {
    weights_[name] = rules.weight;
    sum += rules.weight;
  }
  mean_weight_ =
      weights_.empty() ? 1 : sum / static_cast<double>(weights_.size());
  std::erase_if(budgets_,
                [&](const auto& row) { return !weights_.contains(row.first); });
}

double fair_share::WeightOf(std::string_view organisation) const {
  const auto found = weights_.find(organisation);
  return std::max(kLeastWeight,
                  found == weights_.end() ? mean_weight_ : found->second);
}

double fair_share::JobsLeft(std::string_view organisation,
                            time_point now) const {
  const auto weight = weights_.find(organisation);
  if (weight == weights_.end()) return 1;
  const double most = MaxJobs(weight->second);
  const auto found = budgets_.find(organisation);
  if (found == budgets_.end()) return most;
  // A job that was moved here counts at an earlier time than those before it.
  const double seconds = std::max(
      0.0,
      std::chrono::duration<double>(now - found->second.updated_at).count());
  return std::min(most, found->second.jobs + weight->second * seconds);
}

duration fair_share::TimeToEntitlement(std::string_view organisation,
                                       time_point now) const {
  const double missing = 1 - JobsLeft(organisation, now);
  if (missing <= 0) return {};
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / WeightOf(organisation)));
}

bool fair_share::CountJob(std::string_view organisation, time_point now) {
  if (!weights_.contains(organisation)) return true;
  const double left = JobsLeft(organisation, now);
  if (left < 1) return false;
  job_budget& budget = budgets_[std::string(organisation)];
  budget.jobs = left - 1;
  budget.updated_at = std::max(budget.updated_at, now);
  return true;
}

std::vector<std::int64_t> fair_share::Places(
    std::span<const share_claim> claims,
    const std::map<std::string_view, double>& used) const {
  std::map<std::string_view, double> ahead = used;
  for (const share_claim& claim : claims) ahead.try_emplace(claim.organisation);
  double weights = 0;
  for (const auto& row : ahead) weights += WeightOf(row.first);
  std::vector<std::int64_t> places;
  places.reserve(claims.size());
  for (const share_claim& claim : claims) {
    double& share = ahead[claim.organisation];
    const double place = std::floor(kPlacesPerShare * share * weights /
                                    WeightOf(claim.organisation));
    places.push_back(static_cast<std::int64_t>(std::min(place, kMaxPlace)));
    share += claim.share;
  }
  return places;
}

task_load fair_share::WorkAhead(
    const std::map<std::string, task_load, std::less<>>& waiting,
    std::string_view organisation) const {
  task_load ahead;
  const auto own = waiting.find(organisation);
  if (own == waiting.end()) return ahead;
  // While the organisation's own work is started, each other one gets its
  // weight in proportion, or less if it has less waiting.
  const double weight = WeightOf(organisation);
  for (const auto& [name, load] : waiting) {
    const double ratio = WeightOf(name) / weight;
    ahead.tasks += std::min(load.tasks, ratio * own->second.tasks);
    ahead.pool_seconds +=
        std::min(load.pool_seconds, ratio * own->second.pool_seconds);
  }
  return ahead;
}

}  // namespace apricotwheel

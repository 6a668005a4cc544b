// Limits of organisations: how many tasks of a step may start within the
// portion that this partition has of the limit.
#include <algorithm>
#include <limits>
#include <utility>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

bool IsLimited(const resource_amounts& limit) {
  return std::any_of(limit.begin(), limit.end(),
                     [](std::int64_t amount) { return amount > 0; });
}

}  // namespace

void pool_scheduler::SetOrganisations(organisation_table organisations) {
  shares_.SetOrganisations(organisations);
  organisations_ = std::move(organisations);
}

std::optional<resource_amounts> pool_scheduler::LimitOf(
    const std::string& organisation) const {
  if (!organisations_) return std::nullopt;
  const auto found = organisations_->find(organisation);
  if (found == organisations_->end()) return std::nullopt;
  const resource_amounts limit = AmountsOf(found->second.limit);
  if (!IsLimited(limit)) return std::nullopt;
  return limit;
}

void pool_scheduler::SetPortion(const std::string& organisation,
                                const limit_portion& portion) {
  portions_[organisation] = portion;
}

std::map<std::string, resource_amounts> pool_scheduler::BoundUnknownUse(
    time_point now) const {
  std::map<std::string, resource_amounts> bounds;
  if (IsTakeoverComplete(now)) return bounds;
  for (const graph_job* job : open_jobs_) {
    const std::string& organisation = job->submission.organisation;
    if (!job->is_loaded || organisation.empty()) continue;
    resource_amounts& bound = bounds[organisation];
    for (const auto& steps : job->occurrences) {
      for (std::size_t i = 0; i < steps.size(); ++i) {
        AddAmounts(bound, AmountsOf(job->submission.graph.steps[i].need),
                   steps[i].waiting);
      }
    }
  }
  resource_amounts capacity{};
  for (const std::string& id : unverified_workers_) {
    const auto found = workers_.find(id);
    // The capacity of a worker that discovery has not listed yet is not known.
    if (found == workers_.end() ||
        found->second.info.capacity == resource_vector{}) {
      return bounds;
    }
    AddAmounts(capacity, AmountsOf(found->second.info.capacity), 1);
  }
  for (auto& [organisation, bound] : bounds) {
    for (std::size_t i = 0; i < kResourceCount; ++i) {
      bound[i] = std::min(bound[i], capacity[i]);
    }
  }
  return bounds;
}

std::uint32_t pool_scheduler::CountTasksWithinLimit(
    const candidate& waiting) const {
  constexpr auto kUnlimited = std::numeric_limits<std::uint32_t>::max();
  const job_submission& job = waiting.job->submission;
  if (!options_.enforces_limits || job.organisation.empty()) return kUnlimited;
  // Without the configuration it is not known who has a limit.
  if (!organisations_) return 0;
  const auto limit = LimitOf(job.organisation);
  if (!limit) return kUnlimited;
  const auto portion = portions_.find(job.organisation);
  if (portion == portions_.end()) return 0;
  const graph_step& spec = job.graph.steps[waiting.step];
  const std::uint32_t count = StateOf(waiting).waiting;
  resource_amounts use = organisation_use_.Of(job.organisation);
  const auto unknown = unknown_use_.find(job.organisation);
  if (unknown != unknown_use_.end()) AddAmounts(use, unknown->second, 1);
  const std::uint32_t fitting = CountTasksWithin(*limit, portion->second, use,
                                                 AmountsOf(spec.need), count);
  return spec.is_gang && fitting < count ? 0 : fitting;
}

bool pool_scheduler::MayStartAgainWithinLimit(const graph_job& job,
                                              const graph_step& spec) const {
  const std::string& organisation = job.submission.organisation;
  if (!options_.enforces_limits || organisation.empty()) return true;
  if (!organisations_) return false;
  const auto limit = LimitOf(organisation);
  if (!limit) return true;
  const auto portion = portions_.find(organisation);
  if (portion == portions_.end()) return false;
  const resource_amounts need = AmountsOf(spec.need);
  resource_amounts use = organisation_use_.Of(organisation);
  AddAmounts(use, need, -1);
  return CountTasksWithin(*limit, portion->second, use, need, 1) == 1;
}

bool pool_scheduler::IsHeldByLimit(const candidate& waiting) const {
  return CountTasksWithinLimit(waiting) == 0;
}

void pool_scheduler::NoteDemand(const candidate& waiting, bool is_blocked) {
  const job_submission& job = waiting.job->submission;
  const graph_step& spec = job.graph.steps[waiting.step];
  const std::uint32_t count = StateOf(waiting).waiting;
  const resource_amounts need = AmountsOf(spec.need);
  const limit_rank rank{job.queue.priority, job.accepted_at_ms, {}};
  auto [found, is_first] = demands_.try_emplace(job.organisation);
  limit_demand& demand = found->second;
  AddAmounts(demand.all_need, need, count);
  if (is_first || rank < demand.first_rank) {
    demand.first_rank = rank;
    demand.first_need = {};
    AddAmounts(demand.first_need, need, count);
  }
  if (is_blocked && (!demand.blocked_rank || rank < *demand.blocked_rank)) {
    demand.blocked_rank = rank;
    demand.blocked_need = {};
    AddAmounts(demand.blocked_need, need, spec.is_gang ? count : 1);
  }
}

void pool_scheduler::RemoveLimitedSteps(std::vector<candidate>& waiting,
                                        time_point now) {
  demands_.clear();
  unknown_use_.clear();
  if (!options_.enforces_limits) return;
  const bool has_organisations =
      std::any_of(waiting.begin(), waiting.end(), [](const candidate& each) {
        return !each.job->submission.organisation.empty();
      });
  if (!has_organisations) return;
  unknown_use_ = BoundUnknownUse(now);
  // The demand of a step that no worker has room for does not count: parts of a
  // limit would lie idle for it.
  resource_vector largest_room;
  for (const auto& [id, worker] : workers_) {
    if (!AcceptsTasks(worker, now)) continue;
    largest_room =
        ElementwiseMax(largest_room, worker.info.capacity - worker.used);
  }
  std::erase_if(waiting, [&](const candidate& each) {
    const job_submission& job = each.job->submission;
    if (job.organisation.empty()) return false;
    const bool is_held = IsHeldByLimit(each);
    // All workers are examined once the limit holds the step up no more.
    if (is_held) StateOf(each).placed_in_pass = 0;
    if (Fits(job.graph.steps[each.step].need, largest_room) &&
        LimitOf(job.organisation)) {
      NoteDemand(each, is_held);
    }
    return is_held;
  });
}

std::map<std::string, organisation_state> pool_scheduler::OrganisationStates(
    time_point now) const {
  std::map<std::string, organisation_state> states;
  if (!organisations_ || organisations_->empty()) return states;
  const auto unknown = BoundUnknownUse(now);
  const bool is_complete = IsTakeoverComplete(now);
  for (const auto& [name, rules] : *organisations_) {
    const auto limit = LimitOf(name);
    if (!limit) continue;
    organisation_state& state = states[name];
    state.limit = *limit;
    state.use = organisation_use_.Of(name);
    state.is_takeover_complete = is_complete;
    const auto bound = unknown.find(name);
    if (bound != unknown.end()) state.unknown = bound->second;
    const auto demand = demands_.find(name);
    if (demand != demands_.end()) state.demand = demand->second;
  }
  return states;
}

resource_amounts pool_scheduler::Capacity() const {
  resource_amounts capacity{};
  for (const auto& [id, worker] : workers_) {
    if (worker.is_listed) {
      AddAmounts(capacity, AmountsOf(worker.info.capacity), 1);
    }
  }
  return capacity;
}

std::optional<std::string> pool_scheduler::FindWiderGang(
    const job_submission& job) const {
  if (job.organisation.empty()) return std::nullopt;
  const auto limit = LimitOf(job.organisation);
  if (!limit) return std::nullopt;
  for (const graph_step& step : job.graph.steps) {
    // A single task may exceed the limit when nothing else runs.
    if (!step.is_gang || step.task_count < 2) continue;
    resource_amounts need{};
    AddAmounts(need, AmountsOf(step.need), step.task_count);
    for (std::size_t i = 0; i < kResourceCount; ++i) {
      if ((*limit)[i] > 0 && need[i] > (*limit)[i]) {
        return "a gang needs more than the limit of organisation " +
               job.organisation;
      }
    }
  }
  return std::nullopt;
}

}  // namespace apricotwheel

// Steps that others have overtaken for too long.
#include <algorithm>
#include <utility>
#include <vector>

#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// A gang or large step that has waited this long is placed before newer ones.
// In a full pool shorter waits are usual, and the order of the queue serves
// more jobs in time. No step should wait 30 s, so 10 s are left for its
// reservation.
constexpr auto kOverdueWait = milliseconds(20'000);
// Overdue steps are placed first as far as they need at most one in so many
// workers, because workers that are reserved for them stay idle meanwhile.
constexpr std::size_t kWorkersPerOverdueWorker = 4;

// Returns since when a step that waits anew has waited for its job's callers.
time_point StartOfWait(const graph_job& job, time_point now) {
  const bool is_scheduled = job.submission.graph.schedule.repetitions > 0;
  return job.progress.has_started || is_scheduled ? now : job.admitted_at;
}

}  // namespace

std::optional<std::size_t> pool_scheduler::CountWorkersForOverdue(
    const candidate& waiting) const {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  const step_state& step = StateOf(waiting);
  const std::uint32_t tasks_per_worker =
      CountFits(spec.need, max_capacity_, spec.max_per_worker);
  if (tasks_per_worker == 0) return std::nullopt;
  // A step that could reserve nothing takes nothing from the others. Otherwise
  // gangs with too few approved workers would keep the others from their turn.
  const bool was_placed_first =
      step.queued_in_pass + 1 == pass_ && !step.rank.is_not_overdue;
  if (was_placed_first && step.reserved_workers.empty()) return 0;
  return (step.waiting + tasks_per_worker - 1) / tasks_per_worker;
}

void pool_scheduler::MoveOverdueStepsForward(std::vector<candidate>& waiting,
                                             time_point now) {
  std::vector<std::pair<time_point, std::size_t>> overdue;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const candidate& each = waiting[i];
    const graph_step& spec = each.job->submission.graph.steps[each.step];
    if (spec.is_service || !(spec.is_gang || IsLarge(spec))) continue;
    step_state& step = StateOf(each);
    if (step.waiting_since == time_point{} ||
        step.queued_in_pass + 1 != pass_) {
      step.waiting_since = StartOfWait(*each.job, now);
    }
    const time_point overdue_at = step.waiting_since + duration(kOverdueWait);
    if (overdue_at <= now) {
      overdue.emplace_back(step.waiting_since, i);
    } else {
      next_decision_at_ = std::min(next_decision_at_, overdue_at);
    }
  }
  if (overdue.empty()) return;
  std::sort(overdue.begin(), overdue.end());
  std::vector<candidate> moved;
  std::size_t workers = 0;
  for (const auto& [since, index] : overdue) {
    candidate& each = waiting[index];
    const auto needed = CountWorkersForOverdue(each);
    if (!needed) continue;
    if (workers > 0 &&
        (workers + *needed) * kWorkersPerOverdueWorker > workers_.size()) {
      break;
    }
    workers += *needed;
    moved.push_back(each);
    moved.back().rank.is_not_overdue = false;
    each.job = nullptr;
  }
  InsertForward(waiting, moved);
}

}  // namespace apricotwheel

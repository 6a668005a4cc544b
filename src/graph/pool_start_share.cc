// The share of the starts for steps that the order of the queue holds back.
#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// Of each kOrderedShare + kHeldBackShare parts of the starts, so many go to
// steps that the order of the queue holds back. Without it, queues of a low
// priority and the large jobs of a queue got no start for as long as more
// urgent or smaller work came. With a third of the starts, a flooded queue of a
// low priority was served less than half as often as the urgent one.
constexpr double kOrderedShare = 3;
constexpr double kHeldBackShare = 2;
// Limit of the time in a row for steps that are held back, and of the time in a
// row without a turn for them, in seconds of the owner or of the pool.
constexpr double kMaxHeldBackSeconds = 0.2;
// The queue that is first in the order has one in so many turns of the share,
// for its large jobs.
constexpr std::uint64_t kTurnsPerFirstQueue = 8;
// Assumed starts a second before a rate is known.
constexpr double kDefaultStartsPerSecond = 1000;
// A queue counts as refusing jobs for this time after it refused one.
constexpr auto kRefusingTime = milliseconds(1000);

// Returns true if the job has waited so long that it may miss its objective. In
// a short burst the order of the queue serves more jobs in time.
bool HasWaitedLong(const graph_job& job, time_point now) {
  return 2 * (now - job.admitted_at) >=
         LatencyObjective(job.submission.queue, job.critical_path_ms);
}

}  // namespace

double pool_scheduler::StartCost(const candidate& step) const {
  double rate = 0;
  for (const auto& [queue, load] : queue_loads_) {
    rate += load.drained_per_second.tasks;
  }
  const graph_step& spec = step.job->submission.graph.steps[step.step];
  return std::max(1 / (rate > 0 ? rate : kDefaultStartsPerSecond),
                  LoadOf(spec, 1, pool_capacity_).pool_seconds);
}

void pool_scheduler::MoveHeldBackStepsForward(std::vector<candidate>& waiting,
                                              time_point now) {
  if (held_back_balance_ <= 0 || waiting.empty()) return;
  // For each queue its first step. A queue that refuses jobs gives by turns its
  // first step and the last one that is still in time, which is the largest and
  // the newest of these, and keeps to the choice until all tasks have started.
  // Without refusals, the small jobs first and then the large ones can be
  // served.
  struct held_back {
    time_point last_start_at{};
    std::size_t index = 0;
    bool is_refusing = false;
    bool is_chosen = false;
    std::vector<std::size_t> in_order;  // Steps that may get a turn.
  };
  const auto is_refusing = [&](const queue_load& load) {
    return now - load.refused_at < duration(kRefusingTime);
  };
  const bool is_refusing_jobs =
      std::any_of(queue_loads_.begin(), queue_loads_.end(),
                  [&](const auto& row) { return is_refusing(row.second); });
  std::string_view first_queue;
  std::map<std::string_view, held_back> by_queue;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const candidate& step = waiting[i];
    if (IsService(step) || !step.rank.is_not_overdue ||
        step.rank.is_beyond_rate) {
      continue;
    }
    const std::string& queue = step.job->submission.queue.name;
    if (first_queue.empty()) first_queue = queue;
    if (!is_refusing_jobs && !HasWaitedLong(*step.job, now)) continue;
    const auto [found, is_new] = by_queue.try_emplace(queue);
    held_back& best = found->second;
    const share_use& use = share_uses_[queue];
    if (is_new) {
      best = {
          use.last_start_at, i, is_refusing(queue_loads_[queue]), false, {}};
    }
    best.in_order.push_back(i);
    if (!best.is_refusing || best.is_chosen ||
        step.rank.forecast != completion_forecast::kInTime) {
      continue;
    }
    best.is_chosen = use.job == step.job && use.step == step.step &&
                     use.occurrence == step.occurrence;
    if (best.is_chosen || use.takes_last) best.index = i;
  }
  std::vector<held_back> steps;
  const bool is_turn_of_first =
      ++held_back_turns_ % kTurnsPerFirstQueue == 0 || by_queue.size() == 1;
  for (const auto& [queue, step] : by_queue) {
    if (queue != first_queue || (step.is_refusing && is_turn_of_first)) {
      steps.push_back(step);
    }
  }
  std::sort(steps.begin(), steps.end(),
            [](const held_back& left, const held_back& right) {
              return std::pair(left.last_start_at, left.index) <
                     std::pair(right.last_start_at, right.index);
            });
  std::vector<candidate> moved;
  double balance = held_back_balance_;
  const auto move = [&](std::size_t index) {
    const candidate& chosen = waiting[index];
    balance -= kOrderedShare * StartCost(chosen) * StateOf(chosen).waiting;
    moved.push_back(chosen);
    moved.back().rank.has_no_turn = false;
    waiting[index].job = nullptr;
  };
  for (const held_back& step : steps) {
    if (balance <= 0) break;
    const candidate& chosen = waiting[step.index];
    share_use& use = share_uses_[chosen.job->submission.queue.name];
    if (!step.is_chosen) {
      use.job = chosen.job;
      use.occurrence = chosen.occurrence;
      use.step = chosen.step;
      use.takes_last = !use.takes_last;
    }
    move(step.index);
  }
  // A pass that starts many tasks has room for several steps of each queue.
  for (const held_back& step : steps) {
    for (const std::size_t index : step.in_order) {
      if (balance <= 0) break;
      if (waiting[index].job != nullptr) move(index);
    }
  }
  InsertForward(waiting, moved);
}

void pool_scheduler::InsertForward(std::vector<candidate>& waiting,
                                   std::span<const candidate> moved) {
  std::erase_if(waiting,
                [](const candidate& step) { return step.job == nullptr; });
  const auto after_overdue =
      std::find_if(waiting.begin(), waiting.end(), [](const candidate& step) {
        return step.rank.is_first_start && step.rank.is_not_overdue;
      });
  waiting.insert(after_overdue, moved.begin(), moved.end());
}

void pool_scheduler::ChargeStartShare(const candidate& step, std::size_t count,
                                      time_point now) {
  const bool was_held_back = !step.rank.has_no_turn;
  // A step that cannot start does not keep other queues from the share.
  if (was_held_back || count > 0) {
    share_uses_[step.job->submission.queue.name].last_start_at = now;
  }
  if (count == 0 || IsService(step)) return;
  // Overdue steps have a limit of their own. They are neither part of the order
  // nor paid from the share, or the other steps that are held back would wait.
  if (!step.rank.is_not_overdue) return;
  const double cost = StartCost(step) * static_cast<double>(count);
  held_back_balance_ +=
      was_held_back ? -kOrderedShare * cost : kHeldBackShare * cost;
  // A start costs much while the measured rate is low, so the debt is limited
  // as well.
  constexpr double kMaxBalance = kOrderedShare * kMaxHeldBackSeconds;
  held_back_balance_ =
      std::clamp(held_back_balance_, -kMaxBalance, kMaxBalance);
}

}  // namespace apricotwheel

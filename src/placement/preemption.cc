#include <algorithm>

#include "placement/cell_data.h"

namespace apricotwheel {
namespace {

// Limits the workers that are examined for one urgent request. Reading the
// tasks of all workers of a large full cell would take longer than the request
// may wait.
constexpr int kMaxExaminedWorkers = 64;

// Returns the cost of pre-empting a task with these resources. One accelerator
// weighs as much as 16 cores, one core as much as 4 GiB.
std::int64_t PreemptionCost(const resource_vector& amount) {
  return amount.cpu_milli + amount.memory_mib / 4 +
         amount.accelerators * 16'000;
}

struct victim_set {
  worker_index worker = kNoWorker;
  std::vector<std::uint32_t> tasks;
  std::int64_t cost = 0;
};

// Returns true if a set of `count` victims is better than `than`: fewer victims
// first, then the lower cost.
bool IsBetter(std::size_t count, std::int64_t cost, const victim_set& than) {
  if (than.worker == kNoWorker || count != than.tasks.size()) {
    return than.worker == kNoWorker || count < than.tasks.size();
  }
  return cost < than.cost;
}

// Returns the weighted sum of the parts of `amount` that reduce the shortage.
std::int64_t UsefulAmount(const resource_vector& amount,
                          const resource_vector& shortage) {
  return PreemptionCost({std::min(amount.cpu_milli, shortage.cpu_milli),
                         std::min(amount.memory_mib, shortage.memory_mib),
                         std::min(amount.accelerators, shortage.accelerators)});
}

bool IsVictim(const cell_data& cell, std::uint32_t task) {
  return cell.tasks[task].priority == priority_class::kBatch;
}

// Tries all sets of one victim and, unless one is enough, of two.
void TryFewVictims(const cell_data& cell, worker_index worker,
                   const resource_vector& shortage, victim_set& best) {
  const auto& tasks = cell.workers[worker].tasks;
  for (const std::uint32_t first : tasks) {
    if (!IsVictim(cell, first)) continue;
    const resource_vector& amount = cell.tasks[first].allocated;
    if (Fits(shortage, amount) && IsBetter(1, PreemptionCost(amount), best)) {
      best = {worker, {first}, PreemptionCost(amount)};
    }
  }
  if (best.tasks.size() == 1) return;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    if (!IsVictim(cell, tasks[i])) continue;
    for (std::size_t j = i + 1; j < tasks.size(); ++j) {
      if (!IsVictim(cell, tasks[j])) continue;
      const resource_vector amount =
          cell.tasks[tasks[i]].allocated + cell.tasks[tasks[j]].allocated;
      if (Fits(shortage, amount) && IsBetter(2, PreemptionCost(amount), best)) {
        best = {worker, {tasks[i], tasks[j]}, PreemptionCost(amount)};
      }
    }
  }
}

// Finds larger sets greedily: takes the task that reduces the shortage most
// until the request fits, then drops tasks that turn out to be unnecessary.
void TryManyVictims(const cell_data& cell, worker_index worker,
                    const resource_vector& shortage, victim_set& best) {
  std::vector<std::uint32_t> remaining;
  for (const std::uint32_t task : cell.workers[worker].tasks) {
    if (IsVictim(cell, task)) remaining.push_back(task);
  }
  victim_set chosen{worker, {}, 0};
  resource_vector gained;
  while (!Fits(shortage, gained)) {
    const resource_vector missing = ElementwiseMax(shortage - gained, {});
    const auto most = std::max_element(
        remaining.begin(), remaining.end(),
        [&](std::uint32_t a, std::uint32_t b) {
          return UsefulAmount(cell.tasks[a].allocated, missing) <
                 UsefulAmount(cell.tasks[b].allocated, missing);
        });
    if (most == remaining.end()) return;
    gained = gained + cell.tasks[*most].allocated;
    chosen.tasks.push_back(*most);
    remaining.erase(most);
  }
  for (std::size_t i = chosen.tasks.size(); i-- > 0;) {
    const resource_vector without =
        gained - cell.tasks[chosen.tasks[i]].allocated;
    if (!Fits(shortage, without)) continue;
    gained = without;
    chosen.tasks.erase(chosen.tasks.begin() + static_cast<std::ptrdiff_t>(i));
  }
  chosen.cost = PreemptionCost(gained);
  if (IsBetter(chosen.tasks.size(), chosen.cost, best)) {
    best = std::move(chosen);
  }
}

}  // namespace

preemption_choice ChooseVictims(const cell_data& cell,
                                const placement_request& request) {
  victim_set best;
  int remaining = kMaxExaminedWorkers;
  const auto excluded = request.excluded_workers;
  auto examine = [&](worker_index worker) {
    const worker_entry& entry = cell.workers[worker];
    if (!Fits(request.need, entry.free + entry.batch_use)) return false;
    if (std::find(excluded.begin(), excluded.end(), entry.shape.id) !=
        excluded.end()) {
      return false;
    }
    const resource_vector shortage =
        ElementwiseMax(request.need - entry.free, {});
    TryFewVictims(cell, worker, shortage, best);
    if (best.worker == kNoWorker || best.tasks.size() > 2) {
      TryManyVictims(cell, worker, shortage, best);
    }
    return --remaining <= 0;
  };
  for (const bool with_accelerators : {false, true}) {
    for (const worker_group& group : cell.groups) {
      if ((group.capacity.accelerators > 0) != with_accelerators) continue;
      for (std::size_t level = TreeLevel(group, request.need.accelerators);
           level < group.preemptable_roots.size() && remaining > 0; ++level) {
        cell.preemptable_tree.VisitDescending(group.preemptable_roots[level],
                                              request.need, examine);
      }
    }
    if (best.worker != kNoWorker) break;
  }
  preemption_choice choice{best.worker, {}};
  for (const std::uint32_t task : best.tasks) {
    choice.victims.push_back(cell.tasks[task].id);
  }
  return choice;
}

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/random.h"
#include "kernel/resources.h"

namespace apricotwheel {

using worker_index = std::uint32_t;
inline constexpr worker_index kNoWorker = UINT32_MAX;

// The properties of a worker that placement uses.
struct worker_shape {
  std::string id;
  std::string failure_domain;
  std::string rack;
  resource_vector capacity;
};

// One task to place.
struct placement_request {
  std::string_view task_id;
  std::string_view workload;  // Spread counts instances of the same workload.
  std::string_view team;
  priority_class priority = priority_class::kBatch;
  resource_vector need;
  std::string_view policy;  // Name of a registered policy.
  bool spread = false;
  std::span<const std::string> excluded_workers;  // The task failed there.
};

enum class placement_outcome {
  kPlaced,      // The task fits on `worker` now.
  kPreempt,     // It fits on `worker` once `victims` are checkpointed.
  kWait,        // No worker has enough free resources now.
  kImpossible,  // No worker is large enough; `reason` names the resource.
};

struct placement_decision {
  placement_outcome outcome = placement_outcome::kWait;
  worker_index worker = kNoWorker;
  std::vector<std::string> victims;  // Ids of batch tasks.
  std::string reason;
};

// The workers and tasks that one owner places, with an index by free capacity.
// Decisions change nothing; the owner commits them with `Allocate`. Not
// thread-safe: its owner holds a lock.
class cell_state {
 public:
  static std::unique_ptr<cell_state> Create();
  ~cell_state();

  // Adds a worker or replaces its shape.
  worker_index UpsertWorker(const worker_shape& shape);
  void RemoveWorker(std::string_view worker_id);
  // An unusable worker (unclaimed, unresponsive, leaving or quarantined) keeps
  // its tasks and gets no new ones.
  void SetUsable(worker_index worker, bool usable);
  std::optional<worker_index> FindWorker(std::string_view worker_id) const;
  const worker_shape& Shape(worker_index worker) const;
  resource_vector FreeCapacity(worker_index worker) const;

  // Allocates resources of the worker to the task. Fails with `capacity` if the
  // task does not fit and with `conflict` if it has resources on another
  // worker.
  result<void> Allocate(worker_index worker, const placement_request& task);
  // Allocates resources to a task that already runs on the worker, even if it
  // does not fit.
  void AdoptTask(worker_index worker, const placement_request& task);
  // Sets the reported use of a task. The larger of declared and reported use is
  // allocated.
  void ReportUse(std::string_view task_id, const resource_vector& used);
  void ReleaseTask(std::string_view task_id);

  placement_decision Decide(const placement_request& task,
                            random_source& random) const;

  // Places all tasks of a gang together. Returns one worker for each task, or
  // an empty vector if the gang does not fit now.
  std::vector<worker_index> DecideGang(std::span<const placement_request> tasks,
                                       random_source& random) const;

  // Returns at most `count` workers to reserve for a task that did not fit:
  // usable ones that are large enough, those that lack the smallest share
  // first.
  std::vector<std::string> WorkersToReserve(const resource_vector& need,
                                            std::size_t count) const;

  // Explains why a task waits or is refused. Each line names one cause, the
  // number of workers that it applies to, and one of them.
  std::vector<std::string> Explain(const placement_request& task) const;

  std::size_t WorkerCount() const;
  std::size_t TaskCount() const;
  resource_vector TotalCapacity() const;
  resource_vector TotalFreeCapacity() const;  // Of usable workers.
  // Returns the free resources of the `count` usable workers with the most.
  std::vector<resource_vector> LargestFreeCapacities(std::size_t count) const;
  // Returns the largest capacity of any worker, resource by resource.
  resource_vector MaxCapacity() const;

 private:
  struct state;
  explicit cell_state(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

// Returns the names of all registered placement policies.
std::vector<std::string> PolicyNames();

}  // namespace apricotwheel

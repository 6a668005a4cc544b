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

// A worker as the placement library sees it.
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
  std::span<const std::string> excluded_workers;  // It failed there before.
};

enum class placement_outcome {
  kPlaced,      // `worker` can hold it now.
  kPreempt,     // `worker` can hold it after `victims` are checkpointed.
  kWait,        // Some shape can hold it, none is free.
  kImpossible,  // No shape here can ever hold it; `reason` names the resource.
};

struct placement_decision {
  placement_outcome outcome = placement_outcome::kWait;
  worker_index worker = kNoWorker;
  std::vector<std::string> victims;  // Task ids, batch class only.
  std::string reason;
};

// The workers that one owner decides about, with an index by free capacity.
// Not thread-safe: its owner holds a lock. Decisions do not change it; the
// owner commits one with `Allocate`.
class cell_state {
 public:
  static std::unique_ptr<cell_state> Create();
  ~cell_state();

  // Adds a worker or replaces its shape. An unusable worker (unclaimed,
  // unresponsive, leaving, quarantined) keeps its tasks and gets no new ones.
  worker_index UpsertWorker(const worker_shape& shape);
  void RemoveWorker(std::string_view worker_id);
  void SetUsable(worker_index worker, bool usable);
  std::optional<worker_index> FindWorker(std::string_view worker_id) const;
  const worker_shape& Shape(worker_index worker) const;
  resource_vector FreeCapacity(worker_index worker) const;

  // Counts `need` against the worker. Fails with `capacity` if it does not fit
  // and with `conflict` if the task is already counted on another worker.
  result<void> Allocate(worker_index worker, const placement_request& task);
  // Counts a task that runs there already, even if it does not fit.
  void AdoptTask(worker_index worker, const placement_request& task);
  // Sets the reported use; the larger of it and the declaration counts.
  void ReportUse(std::string_view task_id, const resource_vector& used);
  void ReleaseTask(std::string_view task_id);

  placement_decision Decide(const placement_request& task,
                            random_source& random) const;

  // Decides for all tasks of a gang together: every placement, or none.
  // Returns an empty vector if the gang does not fit now.
  std::vector<worker_index> DecideGang(std::span<const placement_request> tasks,
                                       random_source& random) const;

  // The usable workers whose capacity holds `need` and that lack the least for
  // it, at most `count`: the ones to keep free for a task that did not fit.
  std::vector<std::string> WorkersToReserve(const resource_vector& need,
                                            std::size_t count) const;

  // Why a task waits or is refused: one line for each cause, resource by
  // resource, with the number of workers it holds for and an example VM.
  std::vector<std::string> Explain(const placement_request& task) const;

  std::size_t WorkerCount() const;
  std::size_t TaskCount() const;
  resource_vector TotalCapacity() const;
  resource_vector TotalFreeCapacity() const;  // Of usable workers.
  // The free vectors of the usable workers with the most room, at most `count`.
  std::vector<resource_vector> LargestFreeCapacities(std::size_t count) const;
  resource_vector MaxCapacity() const;

 private:
  struct state;
  explicit cell_state(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

// Names of all registered placement policies.
std::vector<std::string> PolicyNames();

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "placement/capacity_tree.h"
#include "placement/cell_state.h"

namespace apricotwheel {

// Internal data of `cell_state`. Workers, tasks and workloads are identified by
// their position in a vector; positions of removed ones are reused.

struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};
// Maps names to numbers.
using name_table = std::unordered_map<std::string, std::uint32_t, string_hash,
                                      std::equal_to<>>;

struct task_entry {
  std::string id;
  std::uint32_t workload = 0;
  priority_class priority = priority_class::kBatch;
  resource_vector declared;
  resource_vector allocated;  // The larger of declared and reported use.
  worker_index worker = kNoWorker;
  std::uint32_t position = 0;  // In the worker's list of tasks.
};

struct worker_entry {
  worker_shape shape;
  bool present = false;  // False for a removed worker.
  bool usable = true;
  bool indexed = false;  // The trees of its group contain it.
  std::uint32_t group = 0;
  std::uint32_t domain = 0;
  std::uint32_t rack = 0;
  resource_vector free;       // Negative if tasks use more than the capacity.
  resource_vector batch_use;  // Resources that pre-emption could free.
  std::vector<std::uint32_t> tasks;
};

// Workers of equal capacity in one failure domain. Tree i holds the workers
// with i free accelerators; the last tree also holds those with more.
struct worker_group {
  resource_vector capacity;
  std::uint32_t domain = 0;
  std::vector<worker_index> members;  // Ascending.
  std::vector<std::uint32_t> free_roots;
  std::vector<std::uint32_t> preemptable_roots;  // By free and batch use.
};

// Number of tasks of one workload in a rack.
struct rack_count {
  std::uint32_t rack = 0;
  std::uint32_t domain = 0;
  std::uint32_t count = 0;
};

// Number of running tasks of a workload, also by failure domain and rack.
struct workload_entry {
  std::string name;
  std::uint32_t tasks = 0;
  std::vector<std::uint32_t> domain_counts;  // Domains beyond the end have 0.
  std::vector<rack_count> racks;             // Racks in use, ascending.
};

struct placement_policy;
struct named_policy {
  std::string name;
  const placement_policy* policy = nullptr;
};

// All data of a cell. The `removed_...` lists hold positions to reuse.
struct cell_data {
  std::vector<named_policy> policies;
  const placement_policy* default_policy = nullptr;
  std::vector<worker_entry> workers;
  std::vector<worker_index> removed_workers;
  name_table worker_ids;
  std::vector<worker_group> groups;
  name_table domains;
  name_table racks;  // "<failure domain>/<rack>"
  std::vector<task_entry> tasks;
  std::vector<std::uint32_t> removed_tasks;
  name_table task_ids;
  std::vector<workload_entry> workloads;
  std::vector<std::uint32_t> removed_workloads;
  name_table workload_ids;
  capacity_tree free_tree;
  capacity_tree preemptable_tree;
};

// Adds a task to a worker and updates all counts. The task must be unknown.
void AddTask(cell_data& cell, worker_index worker,
             const placement_request& request);
void RemoveTask(cell_data& cell, std::uint32_t task);

// Adds or removes one task of the workload in the counts by failure domain and
// rack that spread uses.
void AddInstance(workload_entry& workload, const worker_entry& worker);
void RemoveInstance(workload_entry& workload, const worker_entry& worker);

// `UnindexWorker` removes the worker from the trees of its group and must be
// called before its free resources change. `IndexWorker` adds it again if it is
// usable.
void UnindexWorker(cell_data& cell, worker_index worker);
void IndexWorker(cell_data& cell, worker_index worker);

// Returns the number of a name; a new name gets the next free number.
std::uint32_t Intern(name_table& table, std::string_view name);

// Returns the index of the tree for workers with `accelerators` free devices.
std::size_t TreeLevel(const worker_group& group, std::int64_t accelerators);

// Chooses a worker without pre-emption, or returns `kNoWorker`.
worker_index ChooseWorker(const cell_data& cell,
                          const placement_request& request,
                          random_source& random);

struct preemption_choice {
  worker_index worker = kNoWorker;
  std::vector<std::string> victims;
};
// Chooses the batch tasks to pre-empt so that the request fits on their worker.
preemption_choice ChooseVictims(const cell_data& cell,
                                const placement_request& request);

// Returns why no worker can ever hold `need`, by resource. Empty if one can or
// if there are no workers.
std::string ImpossibleReason(const cell_data& cell,
                             const resource_vector& need);

// Implements `cell_state::Explain`.
std::vector<std::string> ExplainRequest(const cell_data& cell,
                                        const placement_request& request);

}  // namespace apricotwheel

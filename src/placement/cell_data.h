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

// Internal state of `cell_state` as plain structs. Workers, tasks and workloads
// are numbered; the numbers of removed ones are used again.

struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};
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
  bool present = false;
  bool usable = true;
  bool indexed = false;  // In the trees of its group.
  std::uint32_t group = 0;
  std::uint32_t domain = 0;
  std::uint32_t rack = 0;
  resource_vector free;       // Negative where the tasks use too much.
  resource_vector batch_use;  // What pre-emption could free.
  std::vector<std::uint32_t> tasks;
};

// Workers of equal capacity in one failure domain. Tree number i holds the
// workers with i accelerators free, the last one also those with more.
struct worker_group {
  resource_vector capacity;
  std::uint32_t domain = 0;
  std::vector<worker_index> members;  // Ascending.
  std::vector<std::uint32_t> free_roots;
  std::vector<std::uint32_t> preemptable_roots;  // By free plus batch use.
};

struct rack_count {
  std::uint32_t rack = 0;
  std::uint32_t domain = 0;
  std::uint32_t count = 0;
};

struct workload_entry {
  std::string name;
  std::uint32_t tasks = 0;
  std::vector<std::uint32_t> domain_counts;  // Shorter than the domains if 0.
  std::vector<rack_count> racks;             // Only racks in use, ascending.
};

struct placement_policy;
struct named_policy {
  std::string name;
  const placement_policy* policy = nullptr;
};

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

// Adds the task and updates all counts. The task must be unknown.
void AddTask(cell_data& cell, worker_index worker,
             const placement_request& request);
void RemoveTask(cell_data& cell, std::uint32_t task);

// Adds the worker's failure domain and rack to the counts that spread uses, or
// takes them away, for one task of the workload.
void AddInstance(workload_entry& workload, const worker_entry& worker);
void RemoveInstance(workload_entry& workload, const worker_entry& worker);

// Takes the worker out of its group's trees before a change of its free
// amounts, and puts it back afterwards if it is usable.
void UnindexWorker(cell_data& cell, worker_index worker);
void IndexWorker(cell_data& cell, worker_index worker);

// Finds the number of a name or gives it the next one.
std::uint32_t Intern(name_table& table, std::string_view name);

// The tree of a group that holds `accelerators` free devices.
std::size_t TreeLevel(const worker_group& group, std::int64_t accelerators);

// The placement decision without pre-emption, or `kNoWorker`.
worker_index ChooseWorker(const cell_data& cell,
                          const placement_request& request,
                          random_source& random);

struct preemption_choice {
  worker_index worker = kNoWorker;
  std::vector<std::string> victims;
};
// The batch tasks whose end makes room for the request.
preemption_choice ChooseVictims(const cell_data& cell,
                                const placement_request& request);

// Why no present worker shape can hold `need`, naming the resource; empty if
// one can or if there are no workers.
std::string ImpossibleReason(const cell_data& cell,
                             const resource_vector& need);

std::vector<std::string> ExplainRequest(const cell_data& cell,
                                        const placement_request& request);

}  // namespace apricotwheel

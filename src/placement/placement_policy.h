#pragma once

#include "kernel/plugin_registry.h"
#include "placement/cell_data.h"

namespace apricotwheel {

// Defines the workers that a policy may choose from: those with enough free
// resources that are not excluded and are within the limits on accelerators and
// spread. Callers relax the limits step by step until a worker is found.
struct candidate_query {
  const cell_data* cell = nullptr;
  const placement_request* request = nullptr;
  // Only workers with accelerators, or only ones without.
  bool with_accelerators = false;
  // The workload of the request if it is to be spread, otherwise null.
  const workload_entry* spread_workload = nullptr;
  // Tasks of the workload in the failure domain of a worker, exactly.
  std::uint32_t tasks_in_domain = 0;
  // Tasks of the workload in the rack of a worker, at most.
  std::uint32_t max_tasks_in_rack = 0;
};

// A placement policy: a stateless plug-in.
struct placement_policy {
  // Returns a candidate, or `kNoWorker` only if there is none. Must not
  // allocate memory.
  worker_index (*choose)(const candidate_query& query, random_source& random);
};

using policy_registry = plugin_registry<placement_policy>;

// Returns true if the capacity and the failure domain of a group are within the
// limits of the query.
bool IsGroupInScope(const candidate_query& query, const worker_group& group);
// Returns true if a worker of a group in scope is a candidate.
bool IsCandidate(const candidate_query& query, worker_index worker);

// Calls `visit(worker)` for at most `limit` candidates of each group and number
// of free accelerators, from the fewest free processors up.
template <class Visit>
void VisitLeastFree(const candidate_query& query, int limit, Visit visit) {
  const resource_vector& need = query.request->need;
  for (const worker_group& group : query.cell->groups) {
    if (!IsGroupInScope(query, group)) continue;
    for (std::size_t level = TreeLevel(group, need.accelerators);
         level < group.free_roots.size(); ++level) {
      int remaining = limit;
      auto visit_candidate = [&](worker_index worker) {
        if (!IsCandidate(query, worker)) return false;
        visit(worker);
        return --remaining <= 0;
      };
      query.cell->free_tree.VisitAscending(group.free_roots[level], need,
                                           visit_candidate);
    }
  }
}

// Like `VisitLeastFree`, from the most free processors down.
template <class Visit>
void VisitMostFree(const candidate_query& query, int limit, Visit visit) {
  const resource_vector& need = query.request->need;
  for (const worker_group& group : query.cell->groups) {
    if (!IsGroupInScope(query, group)) continue;
    for (std::size_t level = TreeLevel(group, need.accelerators);
         level < group.free_roots.size(); ++level) {
      int remaining = limit;
      auto visit_candidate = [&](worker_index worker) {
        if (!IsCandidate(query, worker)) return false;
        visit(worker);
        return --remaining <= 0;
      };
      query.cell->free_tree.VisitDescending(group.free_roots[level], need,
                                            visit_candidate);
    }
  }
}

// Returns the free resources of the worker after the placement, as the sum of
// their shares of its capacity. One accelerator counts as much as all
// processors of the worker, so that accelerators are packed first.
double LeftoverShare(const candidate_query& query, worker_index worker);

// Returns the difference between the leftover shares of processors and memory.
double LeftoverImbalance(const candidate_query& query, worker_index worker);

}  // namespace apricotwheel

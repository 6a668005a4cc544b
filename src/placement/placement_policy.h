#pragma once

#include "kernel/plugin_registry.h"
#include "placement/cell_data.h"

namespace apricotwheel {

// Which workers a policy may choose from: those with room for the request that
// are not excluded and are within the current limits on accelerators and
// spread. The limits are widened step by step until a worker is found.
struct candidate_query {
  const cell_data* cell = nullptr;
  const placement_request* request = nullptr;
  bool with_accelerators = false;  // Workers that have accelerators, or others.
  // Set for requests with `spread`: instances of the same workload.
  const workload_entry* spread_workload = nullptr;
  std::uint32_t tasks_in_domain =
      0;  // Exactly this many in the failure domain.
  std::uint32_t max_tasks_in_rack = 0;  // At most this many in the rack.
};

// A placement policy: a plug-in of free functions without state.
struct placement_policy {
  // Returns one of the candidates, or `kNoWorker` if there is none. Must find
  // one if one exists, and must not allocate.
  worker_index (*choose)(const candidate_query& query, random_source& random);
};

using policy_registry = plugin_registry<placement_policy>;

// Calls for policies. `InScope` holds for a group whose shape and failure
// domain are within the limits, `IsCandidate` for a worker of such a group.
bool IsGroupInScope(const candidate_query& query, const worker_group& group);
bool IsCandidate(const candidate_query& query, worker_index worker);

// Calls `visit(worker)` for at most `limit` candidates of each group and number
// of free accelerators, from the fewest free processors up or from the most
// down.
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

// What would be left on the worker, as the sum of the shares of its capacity.
// An accelerator counts as much as all processors of the worker do, so that
// packing of accelerators comes first.
double LeftoverShare(const candidate_query& query, worker_index worker);

// By how much the leftover shares of processors and memory differ.
double LeftoverImbalance(const candidate_query& query, worker_index worker);

}  // namespace apricotwheel

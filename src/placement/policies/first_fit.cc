#include <algorithm>

#include "placement/placement_policy.h"

namespace apricotwheel {
namespace {

// Baseline policy: chooses the candidate with the lowest worker index by a scan
// over all workers.
worker_index Choose(const candidate_query& query, random_source& /*random*/) {
  worker_index best = kNoWorker;
  for (const worker_group& group : query.cell->groups) {
    if (!IsGroupInScope(query, group)) continue;
    for (const worker_index worker : group.members) {
      if (worker >= best) break;
      if (IsCandidate(query, worker)) best = worker;
    }
  }
  return best;
}

const policy_registry::registration kRegistration{"first-fit", {Choose}};

}  // namespace
}  // namespace apricotwheel

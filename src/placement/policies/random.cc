#include "kernel/random.h"

#include "placement/placement_policy.h"

namespace apricotwheel {
namespace {

// Baseline policy: chooses a random candidate with uniform probability, by
// reservoir sampling.
worker_index Choose(const candidate_query& query, random_source& random) {
  worker_index chosen = kNoWorker;
  std::uint64_t seen = 0;
  for (const worker_group& group : query.cell->groups) {
    if (!IsGroupInScope(query, group)) continue;
    for (const worker_index worker : group.members) {
      if (!IsCandidate(query, worker)) continue;
      if (NextBelow(random, ++seen) == 0) chosen = worker;
    }
  }
  return chosen;
}

const policy_registry::registration kRegistration{"random", {Choose}};

}  // namespace
}  // namespace apricotwheel

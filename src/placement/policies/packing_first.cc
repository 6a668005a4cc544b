#include "placement/placement_policy.h"

namespace apricotwheel {
namespace {

// Candidates that are compared in each tree. With only one, memory would be
// ignored, because the trees are ordered by processors.
constexpr int kCandidatesPerTree = 4;

// Chooses the worker with the fewest resources left, so that tasks use as few
// VMs as possible.
worker_index Choose(const candidate_query& query, random_source& /*random*/) {
  worker_index best = kNoWorker;
  double best_leftover = 0;
  VisitLeastFree(query, kCandidatesPerTree, [&](worker_index worker) {
    const double leftover = LeftoverShare(query, worker);
    if (best == kNoWorker || leftover < best_leftover) {
      best = worker;
      best_leftover = leftover;
    }
  });
  return best;
}

const policy_registry::registration kRegistration{"packing-first", {Choose}};

}  // namespace
}  // namespace apricotwheel

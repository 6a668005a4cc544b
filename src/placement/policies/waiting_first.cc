#include "placement/placement_policy.h"

namespace apricotwheel {
namespace {

// Candidates that are compared in each tree.
constexpr int kCandidatesPerTree = 4;

// Chooses the worker on which the free shares of processors and memory stay
// most equal, and among similar ones the one with the fewest resources left.
// Later tasks can then use the leftover, and workers with much free capacity
// keep it for large tasks.
worker_index Choose(const candidate_query& query, random_source& /*random*/) {
  worker_index best = kNoWorker;
  double best_score = 0;
  VisitLeastFree(query, kCandidatesPerTree, [&](worker_index worker) {
    const double score =
        LeftoverShare(query, worker) + 2 * LeftoverImbalance(query, worker);
    if (best == kNoWorker || score < best_score) {
      best = worker;
      best_score = score;
    }
  });
  return best;
}

const policy_registry::registration kRegistration{"waiting-first", {Choose}};

}  // namespace
}  // namespace apricotwheel

#include "placement/placement_policy.h"

namespace apricotwheel {
namespace {

// Chooses the worker with the most left over, so that tasks that use more than
// they declare disturb the fewest others.
worker_index Choose(const candidate_query& query, random_source& /*random*/) {
  worker_index best = kNoWorker;
  double best_leftover = 0;
  VisitRoomiest(query, 1, [&](worker_index worker) {
    const double leftover = LeftoverShare(query, worker);
    if (best == kNoWorker || leftover > best_leftover) {
      best = worker;
      best_leftover = leftover;
    }
  });
  return best;
}

const policy_registry::registration kRegistration{"waiting-first", {Choose}};

}  // namespace
}  // namespace apricotwheel

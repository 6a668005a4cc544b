// The order of waiting steps and the admission of jobs by the shares of their
// organisations.
#include <algorithm>
#include <map>
#include <string_view>
#include <vector>

#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// Steps of equal rank keep their order.
template <class Steps>
void SortByRank(Steps& waiting) {
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const auto& left, const auto& right) {
                     return left.rank < right.rank;
                   });
}

}  // namespace

void pool_scheduler::OrderByShares(std::vector<candidate>& waiting) const {
  std::map<std::string_view, double> used;
  for (const graph_job* job : open_jobs_) {
    const job_submission& submission = job->submission;
    for (const auto& steps : job->occurrences) {
      for (std::size_t i = 0; i < steps.size(); ++i) {
        if (steps[i].placed == 0) continue;
        used[submission.organisation] +=
            steps[i].placed *
            DominantShare(submission.graph.steps[i].need, pool_capacity_);
      }
    }
  }
  // Jobs beyond their rates wait for all others, so they must not count as work
  // ahead of those within the rates of the same organisation.
  for (candidate& each : waiting) {
    each.rank.is_beyond_rate = each.job->is_beyond_rate;
  }
  SortByRank(waiting);
  std::vector<share_claim> claims;
  claims.reserve(waiting.size());
  for (const candidate& each : waiting) {
    const job_submission& job = each.job->submission;
    claims.push_back(
        {job.organisation,
         StateOf(each).waiting *
             DominantShare(job.graph.steps[each.step].need, pool_capacity_)});
  }
  const auto places = shares_.Places(claims, used);
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    waiting[i].rank.share_place = places[i];
  }
  SortByRank(waiting);
}

void pool_scheduler::CountOrganisationLoad(queue_load& load,
                                           const job_submission& job,
                                           const task_load& added) const {
  if (!shares_.IsActive()) return;
  load.waiting_by_organisation[job.organisation] += added;
}

admission_estimate pool_scheduler::EstimateAdmissionOf(
    const queue_load& load, const job_submission& job, const new_job& terms,
    time_point now) const {
  if (!shares_.IsActive() || job.organisation.empty()) {
    return EstimateAdmission(load, terms, now);
  }
  organisation_load own;
  own.ahead = shares_.WorkAhead(load.waiting_by_organisation, job.organisation);
  own.to_entitlement = shares_.TimeToEntitlement(job.organisation, now);
  own.is_beyond_rate = own.to_entitlement > duration{};
  return EstimateShare(load, own, terms, now);
}

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "graph/admission.h"
#include "graph/organisation.h"
#include "kernel/clock.h"
#include "kernel/resources.h"

namespace apricotwheel {

// Returns the part of `capacity` that the need takes of the resource that it
// needs most of.
double DominantShare(const resource_vector& need,
                     const resource_vector& capacity);

// A waiting step, as the shares of organisations see it.
struct share_claim {
  std::string_view organisation;  // Empty for all jobs that name none together.
  double share = 0;               // Of the pool, of all its waiting tasks.
};

// Weights of organisations, and the jobs that each may submit. It knows only
// what one owner sees: an owner has a part of the jobs of its pool, and a full
// rate for them.
class fair_share {
 public:
  // Of the jobs accepted, keeps what is left of the rates.
  void SetOrganisations(const organisation_table& organisations);
  // Returns false if the configuration lists no organisation. Then nothing is
  // shared out.
  bool IsActive() const { return !weights_.empty(); }
  // An organisation that is not listed, or none, has the mean weight.
  double WeightOf(std::string_view organisation) const;

  // Returns how long it takes until the organisation is entitled to another
  // job; zero if it is now.
  duration TimeToEntitlement(std::string_view organisation,
                             time_point now) const;
  // Counts an accepted job, and returns false if it is beyond the rate.
  bool CountJob(std::string_view organisation, time_point now);

  // Returns the place of each claim among those of all organisations, the
  // smaller the earlier. `claims` are in the order that applies without
  // organisations, which each keeps among its own. `used` is what each has
  // running, as a part of the pool.
  std::vector<std::int64_t> Places(
      std::span<const share_claim> claims,
      const std::map<std::string_view, double>& used) const;

  // Returns the work that is started before the organisation's last waiting
  // task, if each is served by its weight and none gets more.
  task_load WorkAhead(
      const std::map<std::string, task_load, std::less<>>& waiting,
      std::string_view organisation) const;

 private:
  struct job_budget {
    double jobs = 0;  // That may be submitted at once.
    time_point updated_at{};
  };
  double JobsLeft(std::string_view organisation, time_point now) const;

  std::map<std::string, double, std::less<>> weights_;
  double mean_weight_ = 1;
  std::map<std::string, job_budget, std::less<>> budgets_;
};

}  // namespace apricotwheel

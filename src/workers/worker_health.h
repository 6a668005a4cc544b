#pragma once

#include <set>
#include <string>
#include <string_view>

#include "kernel/clock.h"

namespace apricotwheel {

// Decides whether a worker on which tasks fail takes new tasks. Several
// different jobs must fail in a row, so that one faulty job does not quarantine
// the workers it visits. After the quarantine a single failure renews it for
// twice as long; a success ends the probation.
class worker_health {
 public:
  worker_health(std::size_t failures_allowed, duration first_quarantine)
      : failures_allowed_(failures_allowed),
        first_quarantine_(first_quarantine),
        next_quarantine_(first_quarantine) {}

  void OnFailure(std::string_view job, time_point now) {
    failed_jobs_.emplace(job);
    if (!on_probation_ && failed_jobs_.size() < failures_allowed_) return;
    quarantined_until_ = now + next_quarantine_;
    if (next_quarantine_ < 16 * first_quarantine_) next_quarantine_ *= 2;
    on_probation_ = true;
    failed_jobs_.clear();
  }

  void OnSuccess() {
    failed_jobs_.clear();
    on_probation_ = false;
    next_quarantine_ = first_quarantine_;
  }

  bool Quarantined(time_point now) const { return now < quarantined_until_; }

 private:
  std::size_t failures_allowed_;
  duration first_quarantine_;
  duration next_quarantine_;
  time_point quarantined_until_ = time_point::min();
  bool on_probation_ = false;
  std::set<std::string, std::less<>> failed_jobs_;
};

}  // namespace apricotwheel

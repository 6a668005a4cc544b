#include "workers/worker_lease.h"

#include <algorithm>

namespace apricotwheel {

void worker_lease::OnClaimed(
    std::int64_t worker_clock_ms,
    std::optional<std::int64_t> previous_renewal_age_ms, time_point received) {
  OnSample(worker_clock_ms, received);
  // The predecessor may have renewed just before the claim.
  certain_expiry_ =
      std::max(certain_expiry_.value_or(time_point::min()),
               received + options_.task_lease + options_.drift_margin);
  authority_from_ = received;
  if (previous_renewal_age_ms) {
    const duration age =
        milliseconds(std::max<std::int64_t>(*previous_renewal_age_ms, 0));
    authority_from_ += std::max(options_.dispatch_authority - age, duration(0));
  }
}

void worker_lease::OnSample(std::int64_t worker_clock_ms, time_point received) {
  sample_ms_ = worker_clock_ms;
  sampled_at_ = received;
}

std::int64_t worker_lease::ExpiryToSend(time_point now) const {
  return sample_ms_ + std::chrono::duration_cast<milliseconds>(
                          now - sampled_at_ + options_.task_lease)
                          .count();
}

void worker_lease::OnSent(std::int64_t expires_at_ms) {
  // The worker's clock had passed the sample when it was received, so it
  // passes the expiry no later than this.
  const auto expiry = sampled_at_ + milliseconds(expires_at_ms - sample_ms_) +
                      options_.drift_margin;
  certain_expiry_ = std::max(certain_expiry_.value_or(expiry), expiry);
}

void worker_lease::OnAcknowledged(time_point sent) {
  const auto until =
      sent + options_.dispatch_authority - options_.authority_margin;
  authority_until_ = std::max(authority_until_.value_or(until), until);
}

bool worker_lease::HasAuthority(time_point now) const {
  return authority_until_ && now >= authority_from_ && now < *authority_until_;
}

}  // namespace apricotwheel

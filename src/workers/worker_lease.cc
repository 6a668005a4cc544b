#include "workers/worker_lease.h"

#include <algorithm>

namespace apricotwheel {

void worker_lease::OnClaimed(
    std::int64_t worker_clock_ms,
    std::optional<std::int64_t> previous_renewal_age_ms, time_point received) {
  OnClockSample(worker_clock_ms, received);
  // The previous owner may have renewed just before the claim.
  latest_expiry_ =
      std::max(latest_expiry_.value_or(time_point::min()),
               received + options_.task_lease + options_.drift_margin);
  authority_start_ = received;
  if (previous_renewal_age_ms) {
    const duration age =
        milliseconds(std::max<std::int64_t>(*previous_renewal_age_ms, 0));
    authority_start_ +=
        std::max(options_.dispatch_authority - age, duration(0));
  }
}

void worker_lease::OnClockSample(std::int64_t worker_clock_ms,
                                 time_point received) {
  clock_sample_ms_ = worker_clock_ms;
  sampled_at_ = received;
}

std::int64_t worker_lease::NextExpiryMs(time_point now) const {
  return clock_sample_ms_ + std::chrono::duration_cast<milliseconds>(
                                now - sampled_at_ + options_.task_lease)
                                .count();
}

void worker_lease::OnExpirySent(std::int64_t expires_at_ms) {
  // The worker's clock was at the sample or later when the sample was received,
  // so it passes the expiry no later than this.
  const auto expiry = sampled_at_ +
                      milliseconds(expires_at_ms - clock_sample_ms_) +
                      options_.drift_margin;
  latest_expiry_ = std::max(latest_expiry_.value_or(expiry), expiry);
}

void worker_lease::OnRenewalAcknowledged(time_point sent) {
  const auto until =
      sent + options_.dispatch_authority - options_.authority_margin;
  authority_expiry_ = std::max(authority_expiry_.value_or(until), until);
}

bool worker_lease::HasAuthority(time_point now) const {
  return authority_expiry_ && now >= authority_start_ &&
         now < *authority_expiry_;
}

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <optional>

#include "kernel/clock.h"

namespace apricotwheel {

struct worker_lease_options {
  duration task_lease = milliseconds(10'000);
  // Two monotonic clocks that differ by less than 5% stay within this margin
  // over one task lease.
  duration drift_margin = milliseconds(500);
  duration dispatch_authority = milliseconds(2500);
  duration authority_margin = milliseconds(250);
};

// The lease arithmetic of one worker, without any calls. Times of the worker
// are milliseconds on its monotonic clock, own times are on the clock of this
// daemon. Not thread-safe.
class worker_lease {
 public:
  explicit worker_lease(const worker_lease_options& options)
      : options_(options) {}

  // A claim was answered. Earlier owners can extend no lease from now on.
  void OnClaimed(std::int64_t worker_clock_ms,
                 std::optional<std::int64_t> previous_renewal_age_ms,
                 time_point received);

  // The worker's clock stood at `worker_clock_ms` before `received`.
  void OnClockSample(std::int64_t worker_clock_ms, time_point received);

  // The absolute expiry for a renewal or start that is sent at `now`.
  std::int64_t NextExpiryMs(time_point now) const;

  // A call with this expiry is about to be sent. It counts even if its reply
  // is lost.
  void OnExpirySent(std::int64_t expires_at_ms);

  // A renewal that was sent at `sent` was acknowledged.
  void OnRenewalAcknowledged(time_point sent);

  // From this own time on, no task that was listed or started under this lease
  // can run. Absent before the claim.
  std::optional<time_point> LatestExpiry() const { return latest_expiry_; }

  // Until when requests may be sent to the worker's instances. Absent before
  // the first acknowledged renewal.
  std::optional<time_point> AuthorityExpiry() const {
    return authority_expiry_;
  }

  // From when requests may be sent: the authority of the predecessor has ended.
  time_point AuthorityStart() const { return authority_start_; }

  bool HasAuthority(time_point now) const;

  // The last sample of the worker's clock.
  std::int64_t LastClockSampleMs() const { return clock_sample_ms_; }

 private:
  worker_lease_options options_;
  std::int64_t clock_sample_ms_ = 0;
  time_point sampled_at_;
  std::optional<time_point> latest_expiry_;
  std::optional<time_point> authority_expiry_;
  time_point authority_start_ = time_point::max();
};

}  // namespace apricotwheel

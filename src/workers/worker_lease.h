#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "kernel/clock.h"

namespace apricotwheel {

// The message of a task that counts as ended because its lease has expired,
// without a report of the worker.
inline constexpr std::string_view kLeaseExpiredMessage = "lease expired";

struct worker_lease_options {
  // How long a worker may run its tasks after a renewal.
  duration task_lease = milliseconds(10'000);
  // Over one task lease, two monotonic clocks whose rates differ by less than
  // 5% drift apart by less than this.
  duration drift_margin = milliseconds(500);
  // How long after a renewal the owner may send requests to the worker's
  // service instances.
  duration dispatch_authority = milliseconds(2500);
  // The owner stops sending this much earlier, for clock differences.
  duration authority_margin = milliseconds(250);
};

// Computes the lease times of one worker. Arguments in milliseconds are on the
// worker's monotonic clock, time points on the clock of this daemon.
// Not thread-safe.
class worker_lease {
 public:
  explicit worker_lease(const worker_lease_options& options)
      : options_(options) {}

  // Records a successful claim: earlier owners can no longer extend leases.
  // `previous_renewal_age_ms` is the age of the last renewal by an earlier
  // owner, if there was one.
  void OnClaimed(std::int64_t worker_clock_ms,
                 std::optional<std::int64_t> previous_renewal_age_ms,
                 time_point received);

  // Records that the worker's clock had reached `worker_clock_ms` when the
  // response arrived at `received`.
  void OnClockSample(std::int64_t worker_clock_ms, time_point received);

  // Returns the expiry, on the worker's clock, for a renewal or start that is
  // sent at `now`.
  std::int64_t NextExpiryMs(time_point now) const;

  // Records that a call with this expiry is about to be sent. The worker may
  // apply it even if the response is lost.
  void OnExpirySent(std::int64_t expires_at_ms);

  // Records the acknowledgement of a renewal that was sent at `sent`.
  void OnRenewalAcknowledged(time_point sent);

  // Returns the time from which on no task under this lease can run. Absent
  // before the claim.
  std::optional<time_point> LatestExpiry() const { return latest_expiry_; }

  // Returns until when requests may be sent to the worker's service instances.
  // Absent before the first acknowledged renewal.
  std::optional<time_point> AuthorityExpiry() const {
    return authority_expiry_;
  }

  // Returns the time from which on requests may be sent, because the dispatch
  // authority of the previous owner has expired.
  time_point AuthorityStart() const { return authority_start_; }

  bool HasAuthority(time_point now) const;

  // Returns the last known time on the worker's clock.
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

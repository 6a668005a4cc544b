#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include "kernel/clock.h"

namespace apricotwheel {

// How long an owner may rely on a confirmation of its ownership: every lease
// that it grants to a worker ends within this time after the confirmation. A
// lease that is granted right before the next confirmation has its full length.
duration AuthoritySpan(duration task_lease, duration confirmation_interval);

// Returns how long to wait by this daemon's clock for a time that another
// daemon measures by its own.
duration WithDrift(duration wait);

struct owner_authority_options {
  duration span{};  // See `AuthoritySpan`.
  // How long after the last confirmation the members may extend the authority;
  // the same for all owners of the pool.
  duration max_extension{};
  // The owner took the pool no later than that, so the key-value service has
  // confirmed nothing to earlier owners since.
  time_point acquired_at{};
  // Returns true if the key-value service still names this owner.
  std::function<bool()> confirm;
  clock_ptr clock;
};

// The time for which an owner may act for its pool. Workers refuse orders of an
// owner that has a successor, but only if the successor reaches them. Across a
// network cut it does not, so the authority of an owner ends by its own clock
// unless the key-value service confirms again that the pool is its own.
// Thread-safe.
class owner_authority {
 public:
  explicit owner_authority(owner_authority_options options)
      : options_(std::move(options)) {}

  // The service has confirmed the ownership in response to a request that was
  // sent at `sent_at`.
  void Confirm(time_point sent_at);
  // Returns the latest such time; the clock's epoch if there is none.
  time_point ConfirmedAt() const;
  // Members that were asked at `asked_at` know of no later owner. That extends
  // the authority but does not show that there is none.
  void Extend(time_point asked_at);
  // The members extend the authority of earlier owners no more.
  void EndEarlierExtensions();
  // No lease that the owner grants may end later.
  time_point EndsAt() const;
  // Returns true if enough authority is left to start runs.
  bool AllowsOrders() const;
  // Returns when all leases that earlier owners have granted have ended.
  time_point EarlierLeasesEnd() const;
  // Returns true if the pool was this owner's at `since`, so that no other
  // owner has granted leases before then. Asks the service if necessary;
  // returns false if it does not confirm that or another thread is asking.
  bool ConfirmSince(time_point since);

 private:
  const owner_authority_options options_;
  mutable std::mutex mutex_;
  time_point confirmed_at_{};
  time_point extended_at_{};
  // When extensions of earlier owners ended; not known at first.
  std::optional<time_point> earlier_extensions_ended_at_;
  bool is_asking_ = false;
};

}  // namespace apricotwheel

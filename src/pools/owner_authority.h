#pragma once

#include <mutex>

#include "kernel/clock.h"

namespace apricotwheel {

// When the key-value service last confirmed that a pool belongs to its owner.
// Thread-safe.
class owner_authority {
 public:
  // The service has confirmed the ownership in response to a request that was
  // sent at `sent_at`.
  void Confirm(time_point sent_at);
  // Returns the latest such time; the clock's epoch if there is none.
  time_point ConfirmedAt() const;

 private:
  mutable std::mutex mutex_;
  time_point confirmed_at_{};
};

}  // namespace apricotwheel

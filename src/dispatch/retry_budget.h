#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace apricotwheel {

// Limits retries to a percentage of the requests. Otherwise retries could
// multiply the load of a failing service. Thread-safe.
class retry_budget {
 public:
  explicit retry_budget(std::int64_t percent) : percent_(percent) {}

  void CountRequest() {
    const std::lock_guard lock(mutex_);
    balance_ = std::min(balance_ + percent_, kMaxBalance);
  }

  // Takes one retry from the budget. Returns false if none is left.
  bool TryConsumeRetry() {
    const std::lock_guard lock(mutex_);
    if (balance_ < kRetryCost) return false;
    balance_ -= kRetryCost;
    return true;
  }

 private:
  // In hundredths of a retry. At most 10 unused retries accumulate.
  static constexpr std::int64_t kRetryCost = 100;
  static constexpr std::int64_t kMaxBalance = 10 * kRetryCost;

  const std::int64_t percent_;
  std::mutex mutex_;
  std::int64_t balance_ = 0;
};

}  // namespace apricotwheel

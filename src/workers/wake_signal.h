#pragma once

#include <condition_variable>
#include <mutex>

#include "kernel/clock.h"

namespace apricotwheel {

// Wakes a thread that waits for work. A wake before the wait ends the next
// wait at once.
class wake_signal {
 public:
  explicit wake_signal(clock_ptr clock) : clock_(std::move(clock)) {}

  void Wake() {
    {
      std::lock_guard guard(mutex_);
      woken_ = true;
    }
    condition_.notify_all();
  }

  // Returns at the next wake, at once after `Stop`, or after `timeout`.
  void WaitFor(duration timeout) {
    std::unique_lock lock(mutex_);
    clock_->WaitFor(lock, condition_, timeout,
                    [&] { return woken_ || stopped_; });
    woken_ = false;
  }

  void Stop() {
    {
      std::lock_guard guard(mutex_);
      stopped_ = true;
    }
    condition_.notify_all();
  }

  bool Stopped() const {
    std::lock_guard guard(mutex_);
    return stopped_;
  }

 private:
  clock_ptr clock_;
  mutable std::mutex mutex_;
  std::condition_variable condition_;
  bool woken_ = false;
  bool stopped_ = false;
};

}  // namespace apricotwheel

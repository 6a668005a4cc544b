#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

namespace apricotwheel {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using milliseconds = std::chrono::milliseconds;

// The only source of time in the project. A running clock follows the
// machine's boot clock, which is monotonic and counts suspended time; a paused
// one stands still until a test advances it. All waits with a deadline go
// through the clock.
class runtime_clock {
 public:
  static std::shared_ptr<runtime_clock> Running();
  static std::shared_ptr<runtime_clock> Paused();

  time_point Now() const;

  // Moves a paused clock forward. Waits whose deadline passed return within a
  // few milliseconds.
  void Advance(duration step);

  // Blocks until `deadline`.
  void SleepUntil(time_point deadline);
  void SleepFor(duration span) { SleepUntil(Now() + span); }

  // Waits on `condition`, as std::condition_variable::wait_until does, until
  // `ready` holds or the deadline passes. Returns the last value of `ready`.
  // `lock` must be held by the calling thread.
  template <class Predicate>
  bool WaitUntil(std::unique_lock<std::mutex>& lock,
                 std::condition_variable& condition, time_point deadline,
                 Predicate ready) {
    while (!ready()) {
      if (Now() >= deadline) return ready();
      WaitOnce(lock, condition, deadline);
    }
    return true;
  }
  template <class Predicate>
  bool WaitFor(std::unique_lock<std::mutex>& lock,
               std::condition_variable& condition, duration span,
               Predicate ready) {
    return WaitUntil(lock, condition, Now() + span, ready);
  }

 private:
  explicit runtime_clock(bool is_paused);
  void WaitOnce(std::unique_lock<std::mutex>& lock,
                std::condition_variable& condition, time_point deadline) const;

  const bool is_paused_;
  std::atomic<duration::rep> paused_time_;
};

using clock_ptr = std::shared_ptr<runtime_clock>;

// Wall-clock time in milliseconds since 1970, for records that people read.
// Never used for a decision.
std::int64_t WallClockMs();

}  // namespace apricotwheel

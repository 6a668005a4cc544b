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

// Returns the whole milliseconds of a span, for records, messages and logs.
inline std::int64_t ToMs(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

// The source of time for all code of the project; every timeout and deadline
// uses it. A running clock reads CLOCK_BOOTTIME, which is monotonic and counts
// suspended time. A paused clock changes only when a test calls `Advance`.
class runtime_clock {
 public:
  static std::shared_ptr<runtime_clock> Running();
  static std::shared_ptr<runtime_clock> Paused();

  time_point Now() const;

  // Moves a paused clock forward. Waits whose deadline has passed return within
  // a few milliseconds.
  void Advance(duration step);

  // Sleeps until `deadline`.
  void SleepUntil(time_point deadline);
  void SleepFor(duration span) { SleepUntil(Now() + span); }

  // Waits on `condition` until `ready` returns true or the deadline passes, as
  // std::condition_variable::wait_until does. Returns the last value of
  // `ready`. The calling thread must hold `lock`.
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

// Returns the wall-clock time in milliseconds since 1970, for records that
// people read. Decisions never depend on it.
std::int64_t WallClockMs();

}  // namespace apricotwheel

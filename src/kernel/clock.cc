#include "kernel/clock.h"

#include <time.h>

namespace apricotwheel {

namespace {

// CLOCK_BOOTTIME also counts the time that the machine is suspended. Leases on
// other machines expire during that time.
duration BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) + duration(now.tv_nsec);
}

// Interval at which a wait on a paused clock checks the time. Polling spares
// `Advance` a list of waiters, which may no longer exist when it runs.
constexpr auto kPausedPollInterval = milliseconds(1);

}  // namespace

runtime_clock::runtime_clock(bool is_paused)
    : is_paused_(is_paused), paused_time_(BootTime().count()) {}

std::shared_ptr<runtime_clock> runtime_clock::Running() {
  return std::shared_ptr<runtime_clock>(new runtime_clock(false));
}

std::shared_ptr<runtime_clock> runtime_clock::Paused() {
  return std::shared_ptr<runtime_clock>(new runtime_clock(true));
}

time_point runtime_clock::Now() const {
  if (is_paused_) return time_point(duration(paused_time_.load()));
  return time_point(BootTime());
}

void runtime_clock::Advance(duration step) {
  paused_time_.fetch_add(step.count());
}

void runtime_clock::SleepUntil(time_point deadline) {
  std::mutex mutex;
  std::condition_variable condition;
  std::unique_lock lock(mutex);
  WaitUntil(lock, condition, deadline, [] { return false; });
}

void runtime_clock::WaitOnce(std::unique_lock<std::mutex>& lock,
                             std::condition_variable& condition,
                             time_point deadline) const {
  if (is_paused_) {
    condition.wait_for(lock, kPausedPollInterval);
  } else if (deadline == time_point::max()) {
    condition.wait(lock);
  } else {
    condition.wait_for(lock, deadline - Now());
  }
}

std::int64_t WallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace apricotwheel

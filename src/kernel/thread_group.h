#pragma once

#include <pthread.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel {

// Stack of a task thread in bytes. One thread serves each connection and each
// peer, so stacks are kept far below the 8 MiB default.
inline constexpr std::size_t kThreadStackBytes = 256 * 1024;

// POSIX threads that belong together and are joined together. `spawn` may be
// called from any thread until `join_all` begins; finished threads are
// reclaimed as new ones start.
class thread_group {
 public:
  thread_group();
  ~thread_group();
  thread_group(const thread_group&) = delete;
  thread_group& operator=(const thread_group&) = delete;

  // Starts a thread named `name` (at most 15 bytes are kept).
  // Fails with `overloaded` if the system has no thread left.
  result<void> Spawn(std::string_view name, std::function<void()> body);

  // Waits for all threads. The owner must first tell them to stop.
  void JoinAll();

  std::size_t CountRunning() const;

 private:
  struct entry;
  static void* ThreadMain(void* raw_entry);
  void ReclaimFinished();

  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<entry>> entries_;
};

// A flag that threads wait on between rounds of work.
class stop_signal {
 public:
  explicit stop_signal(clock_ptr clock) : clock_(std::move(clock)) {}

  void RequestStop();
  bool StopRequested() const { return stop_requested_.load(); }

  // Sleeps for `span`; returns true at once when a stop is requested.
  bool WaitFor(duration span);
  // Ends the current sleep of all waiting threads without a stop.
  void Wake();

 private:
  clock_ptr clock_;
  std::mutex mutex_;
  std::condition_variable condition_;
  std::atomic<bool> stop_requested_ = false;
  std::uint64_t wake_count_ = 0;
};

}  // namespace apricotwheel

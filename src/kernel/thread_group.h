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

// Stack size of a thread in bytes. Each connection and each peer has a thread
// of its own, so stacks are kept far below the 8 MiB default.
inline constexpr std::size_t kThreadStackBytes = 256 * 1024;

// POSIX threads that are joined together. `Spawn` may be called from any thread
// until `JoinAll` starts. Each `Spawn` also joins the threads that have
// finished.
class thread_group {
 public:
  thread_group();
  ~thread_group();
  thread_group(const thread_group&) = delete;
  thread_group& operator=(const thread_group&) = delete;

  // Starts a thread named `name`, of which at most 15 bytes are kept. Fails
  // with `overloaded` if the system cannot start another thread.
  result<void> Spawn(std::string_view name, std::function<void()> body);

  // Joins all threads. The owner must tell them to stop first.
  void JoinAll();

  // Returns the number of threads that have not finished.
  std::size_t CountRunning() const;

 private:
  struct entry;
  static void* ThreadMain(void* raw_entry);
  void ReclaimFinished();

  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<entry>> entries_;
};

// A stop flag that threads also use as an interruptible sleep between the
// iterations of a loop.
class stop_signal {
 public:
  explicit stop_signal(clock_ptr clock) : clock_(std::move(clock)) {}

  void RequestStop();
  bool StopRequested() const { return stop_requested_.load(); }

  // Sleeps for `span`, or until `RequestStop` or `Wake` is called. Returns true
  // if a stop was requested.
  bool WaitFor(duration span);
  // Ends the current sleep of all waiting threads without requesting a stop.
  void Wake();

 private:
  clock_ptr clock_;
  std::mutex mutex_;
  std::condition_variable condition_;
  std::atomic<bool> stop_requested_ = false;
  std::uint64_t wake_count_ = 0;
};

}  // namespace apricotwheel

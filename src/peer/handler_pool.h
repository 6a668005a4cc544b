#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "kernel/clock.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

// Thread pool for blocking work. It grows on demand to `max_threads`, and
// threads that stay idle end. Work is never queued beyond the number of idle
// threads.
class handler_pool {
 public:
  handler_pool(std::size_t max_threads, clock_ptr clock)
      : max_threads_(max_threads), clock_(std::move(clock)) {}
  ~handler_pool() { Stop(); }

  // Returns false if all threads are busy or the pool has stopped.
  bool Submit(std::function<void()> work);

  // Completes the accepted work and joins the threads.
  void Stop();

 private:
  void RunThread();

  const std::size_t max_threads_;
  clock_ptr clock_;
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::deque<std::function<void()>> queue_;
  std::size_t thread_count_ = 0;
  std::size_t idle_count_ = 0;
  bool stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "kernel/clock.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

// Threads that run blocking work. Grows on demand to a bound; idle threads end
// after a while. Nothing queues beyond the threads that can run it.
class handler_pool {
 public:
  handler_pool(std::size_t max_threads, clock_ptr clock)
      : max_threads_(max_threads), clock_(std::move(clock)) {}
  ~handler_pool() { Stop(); }

  // False if all threads are busy or the pool has stopped.
  bool Submit(std::function<void()> job);

  // Runs the accepted jobs to their end and joins the threads.
  void Stop();

 private:
  void Work();

  const std::size_t max_threads_;
  clock_ptr clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> jobs_;
  std::size_t threads_ = 0;
  std::size_t idle_ = 0;
  bool stopped_ = false;
  thread_group group_;
};

}  // namespace apricotwheel

#include "peer/handler_pool.h"

namespace apricotwheel {

namespace {

constexpr auto kMaxIdleTime = milliseconds(10'000);

}  // namespace

bool handler_pool::Submit(std::function<void()> work) {
  std::lock_guard guard(mutex_);
  if (stopped_) return false;
  if (queue_.size() >= idle_count_) {
    if (thread_count_ >= max_threads_) return false;
    const auto spawned = Attempt([&] {
      return threads_.Spawn("peer-handler", [this] { RunThread(); });
    });
    if (!spawned) return false;
    ++thread_count_;
    ++idle_count_;  // A new thread counts as idle until it takes work.
  }
  queue_.push_back(std::move(work));
  queue_changed_.notify_one();
  return true;
}

void handler_pool::RunThread() {
  std::unique_lock lock(mutex_);
  while (true) {
    clock_->WaitFor(lock, queue_changed_, kMaxIdleTime,
                    [&] { return stopped_ || !queue_.empty(); });
    --idle_count_;
    if (queue_.empty()) break;
    auto work = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    work();
    work = nullptr;
    lock.lock();
    ++idle_count_;
  }
  --thread_count_;
}

void handler_pool::Stop() {
  {
    std::lock_guard guard(mutex_);
    stopped_ = true;
  }
  queue_changed_.notify_all();
  threads_.JoinAll();
}

}  // namespace apricotwheel

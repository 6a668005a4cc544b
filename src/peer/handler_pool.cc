#include "peer/handler_pool.h"

namespace apricotwheel {

namespace {

constexpr auto kIdleLifetime = milliseconds(10'000);

}  // namespace

bool handler_pool::Submit(std::function<void()> job) {
  std::lock_guard guard(mutex_);
  if (stopped_) return false;
  if (jobs_.size() >= idle_) {
    if (threads_ >= max_threads_) return false;
    const auto spawned = Attempt(
        [&] { return group_.Spawn("peer-handler", [this] { Work(); }); });
    if (!spawned) return false;
    ++threads_;
    ++idle_;  // Counts as idle until it takes a job.
  }
  jobs_.push_back(std::move(job));
  changed_.notify_one();
  return true;
}

void handler_pool::Work() {
  std::unique_lock lock(mutex_);
  while (true) {
    clock_->WaitFor(lock, changed_, kIdleLifetime,
                    [&] { return stopped_ || !jobs_.empty(); });
    --idle_;
    if (jobs_.empty()) break;
    auto job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
    ++idle_;
  }
  --threads_;
}

void handler_pool::Stop() {
  {
    std::lock_guard guard(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  group_.JoinAll();
}

}  // namespace apricotwheel

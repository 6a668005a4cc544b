#include "kernel/thread_group.h"

#include <algorithm>

namespace apricotwheel {

struct thread_group::entry {
  pthread_t handle{};
  std::string name;
  std::function<void()> body;
  std::atomic<bool> finished = false;
};

thread_group::thread_group() = default;

thread_group::~thread_group() { JoinAll(); }

void* thread_group::ThreadMain(void* raw_entry) {
  auto* self = static_cast<entry*>(raw_entry);
  pthread_setname_np(pthread_self(), self->name.c_str());
  self->body();
  self->body = nullptr;
  self->finished = true;
  return nullptr;
}

result<void> thread_group::Spawn(std::string_view name,
                                 std::function<void()> body) {
  constexpr std::size_t kMaxNameBytes = 15;
  std::lock_guard guard(mutex_);
  ReclaimFinished();
  auto thread = std::make_unique<entry>();
  thread->name = std::string(name.substr(0, kMaxNameBytes));
  thread->body = std::move(body);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  const int status = pthread_create(&thread->handle, &attributes,
                                    &thread_group::ThreadMain, thread.get());
  pthread_attr_destroy(&attributes);
  if (status != 0) {
    return Fail(error_kind::kOverloaded,
                "cannot start thread " + thread->name + ": error " +
                    std::to_string(status),
                "raise the process's thread limit or lower the connection "
                "limits in the settings");
  }
  entries_.push_back(std::move(thread));
  return {};
}

void thread_group::JoinAll() {
  while (true) {
    std::unique_ptr<entry> thread;
    {
      std::lock_guard guard(mutex_);
      if (entries_.empty()) return;
      thread = std::move(entries_.back());
      entries_.pop_back();
    }
    pthread_join(thread->handle, nullptr);
  }
}

std::size_t thread_group::CountRunning() const {
  std::lock_guard guard(mutex_);
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& thread) { return !thread->finished; }));
}

void thread_group::ReclaimFinished() {
  std::erase_if(entries_, [](const auto& thread) {
    if (!thread->finished) return false;
    pthread_join(thread->handle, nullptr);
    return true;
  });
}

void stop_signal::RequestStop() {
  {
    std::lock_guard guard(mutex_);
    stop_requested_ = true;
  }
  condition_.notify_all();
}

void stop_signal::Wake() {
  {
    std::lock_guard guard(mutex_);
    ++wake_count_;
  }
  condition_.notify_all();
}

bool stop_signal::WaitFor(duration span) {
  std::unique_lock lock(mutex_);
  const auto wakes_before = wake_count_;
  clock_->WaitFor(lock, condition_, span, [&] {
    return stop_requested_.load() || wake_count_ != wakes_before;
  });
  return stop_requested_.load();
}

}  // namespace apricotwheel

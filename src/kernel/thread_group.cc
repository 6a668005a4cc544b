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

void* thread_group::Run(void* raw_entry) {
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
  auto task = std::make_unique<entry>();
  task->name = std::string(name.substr(0, kMaxNameBytes));
  task->body = std::move(body);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kTaskStackBytes);
  const int status = pthread_create(&task->handle, &attributes,
                                    &thread_group::Run, task.get());
  pthread_attr_destroy(&attributes);
  if (status != 0) {
    return Fail(error_kind::kOverloaded,
                "cannot start thread " + task->name + ": error " +
                    std::to_string(status),
                "raise the process's thread limit or lower the connection "
                "limits in the settings");
  }
  entries_.push_back(std::move(task));
  return {};
}

void thread_group::JoinAll() {
  while (true) {
    std::unique_ptr<entry> task;
    {
      std::lock_guard guard(mutex_);
      if (entries_.empty()) return;
      task = std::move(entries_.back());
      entries_.pop_back();
    }
    pthread_join(task->handle, nullptr);
  }
}

std::size_t thread_group::Running() const {
  std::lock_guard guard(mutex_);
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& task) { return !task->finished; }));
}

void thread_group::ReclaimFinished() {
  std::erase_if(entries_, [](const auto& task) {
    if (!task->finished) return false;
    pthread_join(task->handle, nullptr);
    return true;
  });
}

void stop_signal::RequestStop() {
  {
    std::lock_guard guard(mutex_);
    stopped_ = true;
  }
  condition_.notify_all();
}

void stop_signal::Wake() {
  {
    std::lock_guard guard(mutex_);
    ++wakes_;
  }
  condition_.notify_all();
}

bool stop_signal::WaitFor(duration span) {
  std::unique_lock lock(mutex_);
  const auto wakes_before = wakes_;
  clock_->WaitFor(lock, condition_, span,
                  [&] { return stopped_.load() || wakes_ != wakes_before; });
  return stopped_.load();
}

}  // namespace apricotwheel

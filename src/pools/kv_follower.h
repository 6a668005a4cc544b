#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "clients/kv_client.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

struct kv_watcher_options {
  std::string prefix;
  kv_client* kv = nullptr;  // Outlives the follower.
  clock_ptr clock;
  log_sink log;
  duration min_interval{};  // Least time between two watches.
};

// Follows the keys with a prefix: lists them, then watches for changes, and
// lists them again after lost history or a failed call. A key that is missing
// from a listing is reported as deleted.
class kv_watcher {
 public:
  struct callbacks {
    // Revisions of a key only rise.
    std::function<void(const kv_event&)> on_event;
    // After each listing and each group of events.
    std::function<void(bool is_listing)> on_batch;
  };

  kv_watcher(kv_watcher_options options, callbacks handlers);
  ~kv_watcher() { Stop(); }

  result<void> Start();
  // The client's watches must have been interrupted, or a waiting watch delays
  // the stop.
  void Stop();

 private:
  void Run();
  bool ListKeys();
  void ApplyEvent(const kv_event& event);
  void SetReachable(bool is_reachable, const std::string& reason);

  const kv_watcher_options options_;
  const callbacks callbacks_;
  std::map<std::string, std::uint64_t> revisions_;  // Revisions of live keys.
  std::uint64_t revision_ = 0;
  bool is_reachable_ = true;
  stop_signal signal_;
  thread_group threads_;
};

}  // namespace apricotwheel

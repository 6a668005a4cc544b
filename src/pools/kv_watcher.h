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
  kv_client* kv = nullptr;  // Outlives the watcher.
  clock_ptr clock;
  log_sink log;
  // Minimum time between two watch calls that return events.
  duration min_interval{};
};

// Reports the keys with a prefix and their changes: lists the keys, then
// watches for changes. Lists them again if the service has lost the history or
// a call has failed. A key that is missing from a later listing is reported as
// deleted.
class kv_watcher {
 public:
  struct callbacks {
    // Called for each change. The revisions of a key only rise.
    std::function<void(const kv_event&)> on_event;
    // Called after each listing and each batch of watched events.
    std::function<void(bool is_listing)> on_batch;
  };

  kv_watcher(kv_watcher_options options, callbacks handlers);
  ~kv_watcher() { Stop(); }

  result<void> Start();
  // For use in `on_event`: the event was written after this time, which is 0 if
  // that is not known.
  time_point WrittenAfter() const { return written_after_; }
  // Joins the thread. Interrupt the watches of the client first, otherwise a
  // watch in flight delays the stop.
  void Stop();

 private:
  void Run();
  // Lists the keys and reports the differences. Returns false if that failed.
  bool ListKeys();
  void ApplyEvent(const kv_event& event);
  // Logs a change of the reachability of the service.
  void SetReachable(bool is_reachable, const std::string& reason);

  const kv_watcher_options options_;
  const callbacks callbacks_;
  std::map<std::string, std::uint64_t> revisions_;  // Of existing keys.
  std::uint64_t revision_ = 0;
  // When the last watch call was sent that returned all changes until then.
  time_point complete_since_{};
  time_point written_after_{};
  bool is_reachable_ = true;
  stop_signal signal_;
  thread_group threads_;
};

}  // namespace apricotwheel

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

struct kv_follower_options {
  std::string prefix;
  kv_client* kv = nullptr;  // Outlives the follower.
  clock_ptr clock;
  log_sink log;
  duration interval{};  // Least time between two watches.
};

// Follows the keys with a prefix: lists them, then watches for changes, and
// lists them again after lost history or a failed call. A key that is missing
// from a listing is reported as deleted.
class kv_follower {
 public:
  struct callbacks {
    // Revisions of a key only rise.
    std::function<void(const kv_event&)> apply;
    // After each listing and each group of events.
    std::function<void(bool is_listing)> applied;
  };

  kv_follower(kv_follower_options options, callbacks calls);
  ~kv_follower() { Stop(); }

  result<void> Start();
  // The client's watches must have been interrupted, or a waiting watch delays
  // the stop.
  void Stop();

 private:
  void Run();
  bool ListAll();
  void Apply(const kv_event& event);
  void NoteReachable(bool is_reachable, const std::string& reason);

  const kv_follower_options options_;
  const callbacks calls_;
  std::map<std::string, std::uint64_t> known_;  // Revisions of live keys.
  std::uint64_t revision_ = 0;
  bool is_reachable_ = true;
  stop_signal signal_;
  thread_group threads_;
};

}  // namespace apricotwheel

#include "pools/kv_follower.h"

#include <algorithm>

#include "kernel/random.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// A waiting watch costs one call; a connection that is dead without a reset is
// noticed after this and the client's grace.
constexpr auto kWatchWait = milliseconds(4000);
constexpr auto kRetryBase = milliseconds(50);
constexpr auto kRetryLimit = milliseconds(500);

}  // namespace

kv_follower::kv_follower(kv_follower_options options, callbacks calls)
    : options_(std::move(options)),
      calls_(std::move(calls)),
      signal_(options_.clock) {}

result<void> kv_follower::Start() {
  return threads_.Spawn("kv-follow", [this] { Run(); });
}

void kv_follower::Stop() {
  signal_.RequestStop();
  threads_.JoinAll();
}

void kv_follower::NoteReachable(bool is_reachable, const std::string& reason) {
  if (std::exchange(is_reachable_, is_reachable) == is_reachable) return;
  Emit(options_.log,
       is_reachable ? pool_events::kStoreReachable
                    : pool_events::kStoreUnreachable,
       {Field("prefix", options_.prefix), Field("reason", reason)});
}

void kv_follower::Run() {
  auto random = SystemRandom();
  bool needs_list = true;
  int failures = 0;
  while (!signal_.StopRequested()) {
    if (needs_list) needs_list = !ListAll();
    if (needs_list) {
      const auto wait =
          BackoffWithJitter(random, failures++, kRetryBase, kRetryLimit);
      if (signal_.WaitFor(wait)) return;
      continue;
    }
    const auto seen = Attempt([&] {
      return options_.kv->Watch(options_.prefix, revision_, kWatchWait);
    });
    if (signal_.StopRequested()) return;
    if (!seen) {
      // A change may have been missed.
      needs_list = true;
      NoteReachable(false, Describe(seen.failure));
      const auto wait =
          BackoffWithJitter(random, failures++, kRetryBase, kRetryLimit);
      if (signal_.WaitFor(wait)) return;
      continue;
    }
    failures = 0;
    NoteReachable(true, "");
    needs_list = seen->history_lost;
    if (needs_list) continue;
    revision_ = std::max(revision_, seen->revision);
    if (seen->events.empty()) continue;
    for (const kv_event& event : seen->events) Apply(event);
    calls_.applied(false);
    if (options_.interval > duration::zero() &&
        signal_.WaitFor(options_.interval)) {
      return;
    }
  }
}

void kv_follower::Apply(const kv_event& event) {
  const auto known = known_.find(event.entry.key);
  if (known != known_.end() && event.entry.revision <= known->second) return;
  if (event.deleted) {
    known_.erase(event.entry.key);
  } else {
    known_[event.entry.key] = event.entry.revision;
  }
  calls_.apply(event);
}

bool kv_follower::ListAll() {
  const auto listed =
      Attempt([&] { return options_.kv->ListAt(options_.prefix); });
  if (!listed) {
    NoteReachable(false, Describe(listed.failure));
    return false;
  }
  NoteReachable(true, "");
  auto gone = known_;
  for (const kv_entry& entry : listed->entries) {
    gone.erase(entry.key);
    Apply({entry, false});
  }
  for (const auto& [key, revision] : gone) {
    Apply({{key, {}, std::max(revision + 1, listed->revision)}, true});
  }
  revision_ = listed->revision;
  calls_.applied(true);
  return true;
}

}  // namespace apricotwheel

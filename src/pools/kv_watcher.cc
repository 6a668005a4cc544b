#include "pools/kv_watcher.h"

#include <algorithm>

#include "kernel/random.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Duration of a long poll, which costs one call. A connection that died without
// a reset is detected after this time plus the timeout margin of the client.
constexpr auto kWatchWait = milliseconds(4000);
// A response with more events may lack later ones.
constexpr std::size_t kMaxCompleteBatch = 100;
constexpr auto kRetryBase = milliseconds(50);
constexpr auto kRetryLimit = milliseconds(500);

}  // namespace

kv_watcher::kv_watcher(kv_watcher_options options, callbacks handlers)
    : options_(std::move(options)),
      callbacks_(std::move(handlers)),
      signal_(options_.clock) {}

result<void> kv_watcher::Start() {
  return threads_.Spawn("kv-follow", [this] { Run(); });
}

void kv_watcher::Stop() {
  signal_.RequestStop();
  threads_.JoinAll();
}

void kv_watcher::SetReachable(bool is_reachable, const std::string& reason) {
  if (std::exchange(is_reachable_, is_reachable) == is_reachable) return;
  Emit(options_.log,
       is_reachable ? pool_events::kStoreReachable
                    : pool_events::kStoreUnreachable,
       {Field("prefix", options_.prefix), Field("reason", reason)});
}

void kv_watcher::Run() {
  auto random = SystemRandom();
  bool needs_list = true;
  int failures = 0;
  while (!signal_.StopRequested()) {
    if (needs_list) needs_list = !ListKeys();
    if (needs_list) {
      const auto wait =
          BackoffWithJitter(random, failures++, kRetryBase, kRetryLimit);
      if (signal_.WaitFor(wait)) return;
      continue;
    }
    const auto sent_at = options_.clock->Now();
    const auto changes = Attempt([&] {
      return options_.kv->Watch(options_.prefix, revision_, kWatchWait);
    });
    if (signal_.StopRequested()) return;
    if (!changes) {
      complete_since_ = {};
      // A change may have been missed, so the keys are listed again.
      needs_list = true;
      SetReachable(false, Describe(changes.failure));
      const auto wait =
          BackoffWithJitter(random, failures++, kRetryBase, kRetryLimit);
      if (signal_.WaitFor(wait)) return;
      continue;
    }
    failures = 0;
    SetReachable(true, "");
    needs_list = changes->history_lost;
    if (needs_list) continue;
    revision_ = std::max(revision_, changes->revision);
    // What the previous call did not return was written after it was sent.
    written_after_ = complete_since_;
    const bool is_complete = changes->events.size() < kMaxCompleteBatch;
    complete_since_ = is_complete ? sent_at : time_point{};
    if (changes->events.empty()) continue;
    for (const kv_event& event : changes->events) ApplyEvent(event);
    callbacks_.on_batch(false);
    if (options_.min_interval > duration::zero() &&
        signal_.WaitFor(options_.min_interval)) {
      return;
    }
  }
}

void kv_watcher::ApplyEvent(const kv_event& event) {
  const auto it = revisions_.find(event.entry.key);
  if (it != revisions_.end() && event.entry.revision <= it->second) return;
  if (event.deleted) {
    revisions_.erase(event.entry.key);
  } else {
    revisions_[event.entry.key] = event.entry.revision;
  }
  callbacks_.on_event(event);
}

bool kv_watcher::ListKeys() {
  const auto listed =
      Attempt([&] { return options_.kv->ListWithRevision(options_.prefix); });
  if (!listed) {
    SetReachable(false, Describe(listed.failure));
    return false;
  }
  SetReachable(true, "");
  written_after_ = {};
  complete_since_ = {};
  auto deleted_keys = revisions_;
  for (const kv_entry& entry : listed->entries) {
    deleted_keys.erase(entry.key);
    ApplyEvent({entry, false});
  }
  for (const auto& [key, revision] : deleted_keys) {
    ApplyEvent({{key, {}, std::max(revision + 1, listed->revision)}, true});
  }
  revision_ = listed->revision;
  callbacks_.on_batch(true);
  return true;
}

}  // namespace apricotwheel

#include "clients/connection_slots.h"

#include <algorithm>
#include <chrono>

namespace apricotwheel {

namespace {

// The wait of a connection that has been served counts this much less, so that
// callers who keep connections open for their next request go after clients
// that have sent none.
constexpr int kServedWaitDivisor = 8;
// A response that is larger than the send buffer blocks for the time that its
// way takes.
constexpr auto kMinBlockedWrite = std::chrono::seconds(1);
// Connections that are closing and not yet closed, beyond `max_connections`.
constexpr std::size_t kMaxClosing = 16;

}  // namespace

duration connection_slots::WaitOf(const slot& held, time_point now) {
  const duration wait = now - held.since;
  if (held.state == phase::kBlockedWrite && wait < duration(kMinBlockedWrite)) {
    return duration::zero();
  }
  return held.is_served ? wait / kServedWaitDivisor : wait;
}

bool connection_slots::FreeSlot(time_point now) {
  if (closing_ >= kMaxClosing) return false;
  auto longest = slots_.end();
  for (auto it = slots_.begin(); it != slots_.end(); ++it) {
    const slot& held = it->second;
    if (held.is_closing || held.state == phase::kHandling) continue;
    if (WaitOf(held, now) <= duration::zero()) continue;
    if (longest == slots_.end() ||
        WaitOf(held, now) > WaitOf(longest->second, now)) {
      longest = it;
    }
  }
  if (longest == slots_.end()) return false;
  longest->second.is_closing = true;
  ++closing_;
  end_wait_(longest->first, longest->second.state == phase::kBlockedWrite
                                ? end_of_wait::kWriting
                                : end_of_wait::kReading);
  return true;
}

bool connection_slots::Add(int connection, time_point now) {
  const std::lock_guard lock(mutex_);
  if (slots_.size() - closing_ >= max_connections_ && !FreeSlot(now)) {
    return false;
  }
  slots_[connection].since = now;
  return true;
}

void connection_slots::Remove(int connection) {
  const std::lock_guard lock(mutex_);
  const auto found = slots_.find(connection);
  if (found == slots_.end()) return;
  if (found->second.is_closing) --closing_;
  slots_.erase(found);
}

void connection_slots::Enter(int connection, phase state, time_point now) {
  slot& held = slots_[connection];
  held.state = state;
  held.since = now;
}

void connection_slots::BeginIdle(int connection, time_point now) {
  const std::lock_guard lock(mutex_);
  Enter(connection, phase::kIdle, now);
}

void connection_slots::BeginRequest(int connection, time_point now) {
  const std::lock_guard lock(mutex_);
  // A new connection has waited since it was opened.
  const auto& held = slots_[connection];
  Enter(connection, phase::kReading, held.is_served ? now : held.since);
}

void connection_slots::BeginHandling(int connection) {
  const std::lock_guard lock(mutex_);
  slots_[connection].state = phase::kHandling;
}

void connection_slots::BeginBlockedWrite(int connection, time_point now) {
  const std::lock_guard lock(mutex_);
  Enter(connection, phase::kBlockedWrite, now);
}

void connection_slots::SetServed(int connection) {
  const std::lock_guard lock(mutex_);
  slots_[connection].is_served = true;
}

bool connection_slots::IsClosing(int connection) const {
  const std::lock_guard lock(mutex_);
  const auto found = slots_.find(connection);
  return found != slots_.end() && found->second.is_closing;
}

std::size_t connection_slots::Count() const {
  const std::lock_guard lock(mutex_);
  return slots_.size();
}

void connection_slots::ForEach(
    const std::function<void(int, bool)>& visit) const {
  const std::lock_guard lock(mutex_);
  for (const auto& [connection, held] : slots_) {
    visit(connection, held.state == phase::kIdle);
  }
}

}  // namespace apricotwheel

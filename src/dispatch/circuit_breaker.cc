#include "dispatch/circuit_breaker.h"

namespace apricotwheel {

namespace {

constexpr duration kBackoffBase = milliseconds(200);
constexpr duration kBackoffLimit = std::chrono::seconds(10);

}  // namespace

std::string_view ToString(breaker_state state) {
  switch (state) {
    case breaker_state::kClosed:
      return "closed";
    case breaker_state::kOpen:
      return "open";
    case breaker_state::kHalfOpen:
      return "half_open";
  }
  return "open";
}

bool circuit_breaker::Allows(time_point now) const {
  if (!open_) return true;
  return !probing_ && now >= probe_at_;
}

void circuit_breaker::OnStart(time_point now) {
  if (open_ && now >= probe_at_) probing_ = true;
}

void circuit_breaker::OnSuccess() {
  failures_ = 0;
  openings_ = 0;
  open_ = false;
  probing_ = false;
}

void circuit_breaker::OnFailure(time_point now) {
  ++failures_;
  if (open_ && !probing_) return;  // Sent before the breaker opened.
  if (!open_ && failures_ < failure_limit_) return;
  open_ = true;
  probing_ = false;
  probe_at_ =
      now + BackoffWithJitter(random_, openings_, kBackoffBase, kBackoffLimit);
  if (openings_ < 16) ++openings_;
}

void circuit_breaker::OnNeutral() { probing_ = false; }

breaker_state circuit_breaker::State(time_point now) const {
  if (!open_) return breaker_state::kClosed;
  return now >= probe_at_ ? breaker_state::kHalfOpen : breaker_state::kOpen;
}

}  // namespace apricotwheel

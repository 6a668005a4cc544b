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

bool circuit_breaker::AllowsRequest(time_point now) const {
  if (!open_) return true;
  return !probe_in_flight_ && now >= probe_at_;
}

void circuit_breaker::OnRequestStart(time_point now) {
  if (open_ && now >= probe_at_) probe_in_flight_ = true;
}

void circuit_breaker::OnSuccess() {
  consecutive_failures_ = 0;
  open_count_ = 0;
  open_ = false;
  probe_in_flight_ = false;
}

void circuit_breaker::OnFailure(time_point now) {
  ++consecutive_failures_;
  // This request was sent before the breaker opened.
  if (open_ && !probe_in_flight_) return;
  if (!open_ && consecutive_failures_ < failure_threshold_) return;
  open_ = true;
  probe_in_flight_ = false;
  probe_at_ = now + BackoffWithJitter(random_, open_count_, kBackoffBase,
                                      kBackoffLimit);
  if (open_count_ < 16) ++open_count_;
}

void circuit_breaker::OnInconclusive() { probe_in_flight_ = false; }

breaker_state circuit_breaker::State(time_point now) const {
  if (!open_) return breaker_state::kClosed;
  return now >= probe_at_ ? breaker_state::kHalfOpen : breaker_state::kOpen;
}

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/random.h"

namespace apricotwheel {

enum class breaker_state { kClosed, kOpen, kHalfOpen };

std::string_view ToString(breaker_state state);

// Keeps requests from an instance that fails repeatedly. After a back-off one
// probe is let through; its result closes or opens the breaker again. Not
// thread-safe: guarded by its owner.
class circuit_breaker {
 public:
  circuit_breaker(std::int64_t failure_threshold, std::uint64_t seed)
      : failure_threshold_(failure_threshold), random_{seed} {}

  // True if a request may be sent now. Does not change the state.
  bool AllowsRequest(time_point now) const;
  // The caller took the permission and will report one result.
  void OnRequestStart(time_point now);
  void OnSuccess();
  void OnFailure(time_point now);
  // The request ended without telling anything about the instance.
  void OnInconclusive();

  breaker_state State(time_point now) const;

 private:
  const std::int64_t failure_threshold_;
  random_source random_;
  std::int64_t consecutive_failures_ = 0;
  int open_count_ = 0;
  bool open_ = false;
  bool probe_in_flight_ = false;
  time_point probe_at_;
};

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/random.h"

namespace apricotwheel {

enum class breaker_state { kClosed, kOpen, kHalfOpen };

std::string_view ToString(breaker_state state);

// Rejects requests to an instance after consecutive failures. After a backoff
// it allows one probe request, whose result closes or reopens the breaker. Not
// thread-safe.
class circuit_breaker {
 public:
  circuit_breaker(std::int64_t failure_threshold, std::uint64_t seed)
      : failure_threshold_(failure_threshold), random_{seed} {}

  // Returns true if a request may be sent now.
  bool AllowsRequest(time_point now) const;
  // Called when a request starts. Exactly one of the functions below is called
  // when it ends.
  void OnRequestStart(time_point now);
  void OnSuccess();
  void OnFailure(time_point now);
  // Called if the end of the request does not show whether the instance works.
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

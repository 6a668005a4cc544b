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
  circuit_breaker(std::int64_t failures, std::uint64_t seed)
      : failure_limit_(failures), random_{seed} {}

  // True if a request may be sent now. Does not change the state.
  bool Allows(time_point now) const;
  // The caller took the permission and will report one result.
  void OnStart(time_point now);
  void OnSuccess();
  void OnFailure(time_point now);
  // The request ended without telling anything about the instance.
  void OnNeutral();

  breaker_state State(time_point now) const;

 private:
  const std::int64_t failure_limit_;
  random_source random_;
  std::int64_t failures_ = 0;
  int openings_ = 0;
  bool open_ = false;
  bool probing_ = false;
  time_point probe_at_;
};

}  // namespace apricotwheel

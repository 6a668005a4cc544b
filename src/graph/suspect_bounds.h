#pragma once

#include "kernel/clock.h"

namespace apricotwheel {

// Times that the judgement of suspects takes at most. See "Tasks that crash
// their workers" in docs/mechanisms.md.

// A run without a crash for this time clears its task.
inline constexpr auto kSurvivalTime = milliseconds(5000);
// A suspect loses its turn if the workers kept for it are not empty, or have no
// tickets, after this time.
inline constexpr auto kMaxKeepTime = milliseconds(3000);
// One turn: until the worker is empty, until the task is cleared, and 1 s until
// it is given up, rounded up.
inline constexpr auto kTimeOfTurn = milliseconds(10'000);
// A suspect starts beside other tasks if no worker can be emptied for it within
// this time.
inline constexpr auto kMaxWaitToBeAlone = milliseconds(2000);
// The same for a lasting task in any case, because it must run again soon.
inline constexpr auto kMaxWaitOfService = milliseconds(4000);

}  // namespace apricotwheel

#include "graph/worker_report.h"

namespace apricotwheel {

std::string_view ToString(run_end how) {
  switch (how) {
    case run_end::kDone:
      return "done";
    case run_end::kFailed:
      return "failed";
    case run_end::kStopped:
      return "stopped";
    case run_end::kLapsed:
      return "lapsed";
    case run_end::kBroken:
      return "broken";
    case run_end::kAlone:
      return "alone";
  }
  return "unknown";
}

std::string_view ToString(start_answer answer) {
  switch (answer) {
    case start_answer::kStarted:
      return "started";
    case start_answer::kStaleEpoch:
      return "stale_epoch";
    case start_answer::kOutdatedRun:
      return "outdated_run";
    case start_answer::kExpired:
      return "expired";
    case start_answer::kNoRoom:
      return "no_room";
    case start_answer::kNoTicket:
      return "no_ticket";
    case start_answer::kInvalid:
      return "invalid";
    case start_answer::kUnhealthy:
      return "unhealthy";
    case start_answer::kOtherLifetime:
      return "other_lifetime";
    case start_answer::kUnreachable:
      return "unreachable";
    case start_answer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace apricotwheel

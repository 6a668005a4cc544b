#include "graph/worker_report.h"

namespace apricotwheel {

std::string FormatTask(const task_key& task) {
  return task.job_id + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string_view ToString(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kDone:
      return "done";
    case run_outcome::kFailed:
      return "failed";
    case run_outcome::kStopped:
      return "stopped";
    case run_outcome::kLeaseExpired:
      return "lapsed";
    case run_outcome::kGangMemberEnded:
      return "broken";
    case run_outcome::kGangIncomplete:
      return "alone";
  }
  return "unknown";
}

std::string_view ToString(start_result result) {
  switch (result) {
    case start_result::kStarted:
      return "started";
    case start_result::kStaleEpoch:
      return "stale_epoch";
    case start_result::kWithdrawn:
      return "withdrawn";
    case start_result::kOutdatedRun:
      return "outdated_run";
    case start_result::kExpired:
      return "expired";
    case start_result::kNoRoom:
      return "no_room";
    case start_result::kNoTicket:
      return "no_ticket";
    case start_result::kInvalid:
      return "invalid";
    case start_result::kUnhealthy:
      return "unhealthy";
    case start_result::kOtherIncarnation:
      return "other_lifetime";
    case start_result::kUnreachable:
      return "unreachable";
    case start_result::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace apricotwheel

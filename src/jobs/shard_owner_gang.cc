// Places gangs: reserves capacity for all tasks before it starts any.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

// How long the members hold the reservations of a gang.
constexpr auto kReservationTime = milliseconds(2000);
// Time for the commit requests before the first reservation expires.
constexpr auto kCommitTime = milliseconds(500);

}  // namespace

wire::place_requestT shard_owner::MakeGangRequest(
    wire::place_mode mode, const std::string& reservation,
    const std::vector<std::string>& task_ids) {
  wire::place_requestT request;
  request.mode = mode;
  request.reservation_id = reservation;
  request.expires_in_ms = milliseconds(kReservationTime).count();
  for (const auto& id : task_ids) {
    const auto ref = FindTask(id);
    if (!ref) continue;
    request.tasks.push_back(std::make_unique<wire::taskT>(ToWireTask(ref)));
  }
  return request;
}

void shard_owner::PlaceGang(const std::string& job_id,
                            const cell_snapshot& cell) {
  const auto reservation = job_id + "#" + RandomHex(4);
  std::vector<std::string> remaining;
  {
    std::lock_guard guard(mutex_);
    const auto job = jobs_.find(job_id);
    if (job == jobs_.end() || job->second.cancelled) return;
    for (const auto& task : job->second.tasks) {
      if (task.state != attempt_state::kPending) continue;
      remaining.push_back(task.task_id);
    }
  }
  const auto deadline = options_.clock->Now() + kReservationTime - kCommitTime;
  std::map<std::string, std::vector<std::string>> reserved_by_member;
  // Asks the members in the same order for all gangs. Otherwise two gangs could
  // each reserve a half of the capacity that either needs.
  for (const auto& room : cell.capacities) {
    if (remaining.empty()) break;
    wire::place_requestT request;
    {
      std::lock_guard guard(mutex_);
      request =
          MakeGangRequest(wire::place_mode::reserve, reservation, remaining);
    }
    // Adds the member before the request, so that its reservation is released
    // even if the response is lost.
    auto& reserved_tasks = reserved_by_member[room.member_id];
    const auto response = options_.cell.place(room.member_id, request);
    if (!response) continue;
    for (const auto& placement : response->placements) {
      if (placement->status != wire::place_status::reserved) continue;
      if (std::erase(remaining, placement->task_id) > 0) {
        reserved_tasks.push_back(placement->task_id);
      }
    }
  }
  if (remaining.empty() && options_.clock->Now() < deadline &&
      CommitGang(job_id, reservation, reserved_by_member)) {
    return;
  }
  ReleaseGangReservation(reservation, reserved_by_member);
  std::lock_guard guard(mutex_);
  const auto job = jobs_.find(job_id);
  if (job == jobs_.end()) return;
  ReturnUnplaced(queue_, job_id, options_.clock->Now(), random_);
  for (auto& task : job->second.tasks) {
    if (task.state != attempt_state::kPending) continue;
    task.reason =
        std::to_string(remaining.size()) + " task(s) of the gang find no room";
  }
}

bool shard_owner::CommitGang(
    const std::string& job_id, const std::string& reservation,
    const std::map<std::string, std::vector<std::string>>& reserved_by_member) {
  std::map<std::string, wire::place_requestT> requests;
  {
    std::lock_guard guard(mutex_);
    const auto job = jobs_.find(job_id);
    if (job == jobs_.end() || job->second.cancelled) return false;
    const auto taken = queue_.taken.find(job_id);
    if (taken == queue_.taken.end()) return false;
    // From here on each task is charged separately.
    const auto charged = TotalNeed(taken->second);
    ConfirmStarted(queue_, job_id);
    Refund(queue_, job->second.team, charged);
    for (const auto& [member, ids] : reserved_by_member) {
      if (ids.empty()) continue;
      requests[member] =
          MakeGangRequest(wire::place_mode::commit, reservation, ids);
      for (const auto& id : ids) {
        const auto ref = FindTask(id);
        ref.task->member = member;
        ref.task->worker.clear();
        SetTaskState(ref, attempt_state::kPlaced);
      }
    }
  }
  bool all_placed = true;
  for (const auto& [member, request] : requests) {
    const auto response = options_.cell.place(member, request);
    OnPlaceResponse(member, request, response);
    all_placed = all_placed && response;
    if (!response) continue;
    for (const auto& placement : response->placements) {
      all_placed =
          all_placed && placement->status == wire::place_status::placed;
    }
  }
  if (all_placed) return true;
  std::lock_guard guard(mutex_);
  const auto job = jobs_.find(job_id);
  if (job != jobs_.end()) {
    RestartGang(job->second, "a part of the gang could not be started");
  }
  return true;
}

void shard_owner::ReleaseGangReservation(
    const std::string& reservation,
    const std::map<std::string, std::vector<std::string>>& reserved_by_member) {
  for (const auto& [member, ids] : reserved_by_member) {
    wire::place_requestT request;
    {
      std::lock_guard guard(mutex_);
      request = MakeGangRequest(wire::place_mode::release, reservation, ids);
    }
    options_.cell.place(member, request);
  }
}

}  // namespace apricotwheel

// Gangs: all tasks are reserved, or none starts.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr auto kReservation = milliseconds(2000);
// Left for the commit calls before the first reservation expires.
constexpr auto kCommitReserve = milliseconds(500);

}  // namespace

wire::place_requestT shard_owner::GangRequest(
    wire::place_mode mode, const std::string& reservation,
    const std::vector<std::string>& task_ids) {
  wire::place_requestT request;
  request.mode = mode;
  request.reservation_id = reservation;
  request.expires_in_ms = milliseconds(kReservation).count();
  for (const auto& id : task_ids) {
    const auto ref = Find(id);
    if (!ref) continue;
    request.tasks.push_back(std::make_unique<wire::taskT>(ToWireTask(ref)));
  }
  return request;
}

void shard_owner::PlaceGang(const std::string& job_id,
                            const cell_picture& cell) {
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
  const auto deadline = options_.clock->Now() + kReservation - kCommitReserve;
  std::map<std::string, std::vector<std::string>> parts;
  // One order for all gangs, so that two of them do not take half each.
  for (const auto& room : cell.rooms) {
    if (remaining.empty()) break;
    wire::place_requestT request;
    {
      std::lock_guard guard(mutex_);
      request = GangRequest(wire::place_mode::reserve, reservation, remaining);
    }
    // Named before the call, so that a reservation with a lost reply is
    // released as well.
    auto& part = parts[room.member_id];
    const auto answer = options_.cell.place(room.member_id, request);
    if (!answer) continue;
    for (const auto& placement : answer->placements) {
      if (placement->status != wire::place_status::reserved) continue;
      if (std::erase(remaining, placement->task_id) > 0) {
        part.push_back(placement->task_id);
      }
    }
  }
  if (remaining.empty() && options_.clock->Now() < deadline &&
      CommitGang(job_id, reservation, parts)) {
    return;
  }
  ReleaseGang(reservation, parts);
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
    const std::map<std::string, std::vector<std::string>>& parts) {
  std::map<std::string, wire::place_requestT> requests;
  {
    std::lock_guard guard(mutex_);
    const auto job = jobs_.find(job_id);
    if (job == jobs_.end() || job->second.cancelled) return false;
    const auto taken = queue_.taken.find(job_id);
    if (taken == queue_.taken.end()) return false;
    // From now on each task is charged on its own.
    const auto charged = TotalNeed(taken->second);
    ConfirmStarted(queue_, job_id);
    Refund(queue_, job->second.team, charged);
    for (const auto& [member, ids] : parts) {
      if (ids.empty()) continue;
      requests[member] =
          GangRequest(wire::place_mode::commit, reservation, ids);
      for (const auto& id : ids) {
        const auto ref = Find(id);
        ref.task->member = member;
        ref.task->worker.clear();
        SetState(ref, attempt_state::kPlaced);
      }
    }
  }
  bool whole = true;
  for (const auto& [member, request] : requests) {
    const auto answer = options_.cell.place(member, request);
    OnPlaced(member, request, answer);
    whole = whole && answer;
    if (!answer) continue;
    for (const auto& placement : answer->placements) {
      whole = whole && placement->status == wire::place_status::placed;
    }
  }
  if (whole) return true;
  std::lock_guard guard(mutex_);
  const auto job = jobs_.find(job_id);
  if (job != jobs_.end()) {
    RestartGang(job->second, "a part of the gang could not be started");
  }
  return true;
}

void shard_owner::ReleaseGang(
    const std::string& reservation,
    const std::map<std::string, std::vector<std::string>>& parts) {
  for (const auto& [member, ids] : parts) {
    wire::place_requestT request;
    {
      std::lock_guard guard(mutex_);
      request = GangRequest(wire::place_mode::release, reservation, ids);
    }
    options_.cell.place(member, request);
  }
}

}  // namespace apricotwheel

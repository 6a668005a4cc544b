// Gangs: all tasks are reserved, or none starts.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kGangsPerRound = 4;
constexpr auto kReservation = milliseconds(2000);
// Left for the commit calls before the first reservation expires.
constexpr auto kCommitReserve = milliseconds(500);
constexpr auto kRetryBase = milliseconds(200);
constexpr auto kRetryLimit = milliseconds(2000);

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

void shard_owner::PlaceGangs(const cell_picture& cell) {
  if (!cell.document || cell.rooms.empty()) return;
  std::vector<std::string> ready;
  {
    std::lock_guard guard(mutex_);
    const auto now = options_.clock->Now();
    std::set<std::string> seen;
    std::vector<const job_record*> candidates;
    for (const auto& id : pending_) {
      const auto ref = Find(id);
      if (!ref || !ref.IsGang() || !seen.insert(ref.job->job_id).second) {
        continue;
      }
      const bool whole = std::all_of(
          ref.job->tasks.begin(), ref.job->tasks.end(), [&](const auto& task) {
            return HasEnded(task.state) ||
                   (task.state == attempt_state::kPending &&
                    task.ready_at <= now);
          });
      if (whole && !ref.job->restarting) candidates.push_back(ref.job);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto* left, const auto* right) {
                       return left->priority != right->priority
                                  ? left->priority < right->priority
                                  : left->tasks.front().queued_at <
                                        right->tasks.front().queued_at;
                     });
    for (const auto* job : candidates) {
      if (ready.size() < kGangsPerRound) ready.push_back(job->job_id);
    }
  }
  for (const auto& id : ready) PlaceGang(id, cell);
}

void shard_owner::PlaceGang(const std::string& job_id,
                            const cell_picture& cell) {
  const auto reservation = job_id + "#" + RandomHex(4);
  std::vector<std::string> remaining;
  {
    std::lock_guard guard(mutex_);
    const auto job = jobs_.find(job_id);
    if (job == jobs_.end() || job->second.cancelled) return;
    resource_vector need;
    for (const auto& task : job->second.tasks) {
      if (task.state != attempt_state::kPending) continue;
      remaining.push_back(task.task_id);
      need = need + job->second.need;
    }
    if (!WithinQuota(job->second.team, need, cell)) {
      for (auto& task : job->second.tasks) {
        task.reason = "the quota of team " + job->second.team + " is in use";
        task.ready_at = options_.clock->Now() + kRetryBase;
      }
      return;
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
  const auto delay = BackoffWithJitter(random_, 1, kRetryBase, kRetryLimit);
  for (auto& task : job->second.tasks) {
    if (task.state != attempt_state::kPending) continue;
    task.reason =
        std::to_string(remaining.size()) + " task(s) of the gang find no room";
    task.ready_at = options_.clock->Now() + delay;
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

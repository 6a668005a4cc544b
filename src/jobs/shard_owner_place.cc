// Placement of pending tasks.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kTasksPerRound = 512;
// Calls per round for tasks that no published hole can hold: room may have
// appeared since, and urgent tasks may pre-empt.
constexpr std::size_t kSpeculativePerRound = 16;
constexpr auto kRetry = milliseconds(200);
// Workers on which a task failed are avoided for this long. A gang that needs
// one of them would wait for ever otherwise.
constexpr auto kExclusionLimit = milliseconds(10'000);

}  // namespace

wire::taskT shard_owner::ToWireTask(const task_ref& ref) const {
  task_spec spec;
  spec.task_id = ref.task->task_id;
  spec.team = ref.Team();
  spec.priority = ref.Priority();
  spec.shard = options_.shard;
  spec.shard_epoch = options_.epoch;
  spec.resources = ref.Need();
  spec.checkpoint = ref.task->checkpoint;
  if (ref.job != nullptr) {
    spec.job_id = ref.job->job_id;
    spec.workload = ref.job->workload;
    spec.kind = ref.job->kind;
    spec.run_ms = ref.job->run_ms;
  } else {
    spec.workload = ref.service->config.name;
    spec.kind = task_kind::kService;
    spec.slots = ref.service->config.slots;
    spec.connections = ref.service->config.connections;
  }
  auto task = ToWire(spec);
  task.policy = ref.job ? ref.job->policy : ref.service->config.policy;
  task.spread = ref.job ? ref.job->spread : ref.service->config.spread;
  const bool excludes =
      ref.job == nullptr ||
      options_.clock->Now() - ref.task->changed_at < kExclusionLimit;
  if (excludes) {
    task.excluded_workers =
        ref.job ? ref.task->failed_on : ref.service->failed_on;
  }
  return task;
}

std::string shard_owner::ChooseMember(const task_ref& ref,
                                      std::vector<member_room>& rooms,
                                      std::size_t& speculative) const {
  const auto need = ref.Need();
  const auto siblings = [&](const std::string& member) {
    if (ref.service == nullptr || !ref.service->config.spread) {
      return std::ptrdiff_t{0};
    }
    return std::count_if(ref.service->instances.begin(),
                         ref.service->instances.end(), [&](const auto& entry) {
                           return IsActive(entry.second.state) &&
                                  entry.second.member == member;
                         });
  };
  member_room* best = nullptr;
  resource_vector* hole = nullptr;
  std::ptrdiff_t fewest = 0;
  for (auto& room : rooms) {
    if (ref.task->tried_members.contains(room.member_id)) continue;
    const auto fitting = std::find_if(
        room.holes.begin(), room.holes.end(),
        [&](const auto& candidate) { return Fits(need, candidate); });
    if (fitting == room.holes.end()) continue;
    const auto count = siblings(room.member_id);
    if (best == nullptr || count < fewest ||
        (count == fewest && room.free.cpu_milli > best->free.cpu_milli)) {
      best = &room;
      hole = &*fitting;
      fewest = count;
    }
  }
  if (best != nullptr) {
    *hole = *hole - need;
    best->free = best->free - need;
    return best->member_id;
  }
  if (speculative >= kSpeculativePerRound) return {};
  for (const auto& room : rooms) {
    if (!ref.task->tried_members.contains(room.member_id) &&
        Fits(need, room.largest)) {
      ++speculative;
      return room.member_id;
    }
  }
  return {};
}

bool shard_owner::PlacePending(const cell_picture& cell) {
  if (!cell.document || cell.rooms.empty()) return false;
  std::map<std::string, wire::place_requestT> requests;
  std::string gang;
  {
    std::lock_guard guard(mutex_);
    FollowTeams(cell);
    QueueDelayed();
    auto rooms = cell.rooms;
    std::size_t speculative = 0;
    std::size_t taken = 0;
    const auto now = options_.clock->Now();
    while (taken < kTasksPerRound) {
      const auto entry = TakeNext(queue_, now);
      if (!entry) break;
      if (jobs_.contains(entry->id)) {
        gang = entry->id;
        break;
      }
      const auto ref = Find(entry->id);
      if (!ref || ref.task->state != attempt_state::kPending ||
          ref.Need() != entry->need) {
        RemoveEntry(queue_, entry->id);
        if (ref && ref.task->state == attempt_state::kPending) QueueTask(ref);
        continue;
      }
      const auto member = ChooseMember(ref, rooms, speculative);
      if (member.empty()) {
        ref.task->tried_members.clear();
        ref.task->reason = "no worker has room";
        ReturnUnplaced(queue_, entry->id, now, random_);
        continue;
      }
      ++taken;
      auto& request = requests[member];
      request.mode = wire::place_mode::start;
      request.tasks.push_back(std::make_unique<wire::taskT>(ToWireTask(ref)));
      ref.task->member = member;
      ref.task->worker.clear();
      ref.task->partition.clear();
      // Counted before the call: its effect may stay unknown.
      SetState(ref, attempt_state::kPlaced);
    }
  }
  // A slow partition owner must not delay the others.
  thread_group threads;
  for (const auto& [member, request] : requests) {
    const auto send = [this, &member = member, &request = request] {
      OnPlaced(member, request, options_.cell.place(member, request));
    };
    if (requests.size() == 1 ||
        !Attempt([&] { return threads.Spawn("place", send); })) {
      send();
    }
  }
  threads.JoinAll();
  if (gang.empty()) return false;
  PlaceGang(gang, cell);
  return true;
}

void shard_owner::OnPlaced(const std::string& member,
                           const wire::place_requestT& request,
                           const outcome<wire::place_responseT>& answer) {
  std::lock_guard guard(mutex_);
  const auto retry = [&](const std::string& task_id, std::string_view reason,
                         duration delay) {
    const auto ref = Find(task_id);
    // An event may have settled the task before this answer.
    if (!ref || ref.task->state != attempt_state::kPlaced ||
        ref.task->member != member) {
      return;
    }
    if (ref.Unwanted() || ref.IsGang()) {
      Requeue(ref, reason, delay);
      return;
    }
    ref.task->reason = reason;
    ref.task->ready_at = options_.clock->Now() + delay;
    SetState(ref, attempt_state::kPending);
  };
  if (!answer) {
    options_.metrics->Placed(std::string(ToString(answer.failure.kind)));
    if (answer.failure.kind == error_kind::kTimeout ||
        answer.failure.kind == error_kind::kCorrupt) {
      return;
    }
    for (const auto& task : request.tasks) {
      const auto ref = Find(task->task_id);
      if (ref) ref.task->tried_members.insert(member);
      retry(task->task_id, answer.failure.message, kRetry);
    }
    return;
  }
  for (const auto& placement : answer->placements) {
    const auto ref = Find(placement->task_id);
    if (!ref) continue;
    options_.metrics->Placed(wire::EnumNameplace_status(placement->status));
    switch (placement->status) {
      case wire::place_status::placed:
      case wire::place_status::preempting:
      case wire::place_status::reserved:
        ref.task->tried_members.clear();
        ConfirmStarted(queue_, placement->task_id);
        if (ref.task->state == attempt_state::kPlaced &&
            ref.task->worker.empty()) {
          ref.task->worker = placement->worker;
          ref.task->partition = placement->partition;
        }
        break;
      case wire::place_status::wait:
      case wire::place_status::impossible:
        ref.task->tried_members.insert(member);
        BackOff(ref);
        retry(placement->task_id, placement->reason, duration(0));
        break;
      case wire::place_status::refused:
        retry(placement->task_id, placement->reason, kRetry);
        break;
    }
  }
}

}  // namespace apricotwheel

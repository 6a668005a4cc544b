// Places pending tasks.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kMaxTasksPerRound = 512;
// Requests per round for tasks that do not fit into any published free
// capacity: capacity may have become free since, and urgent tasks may pre-empt
// others.
constexpr std::size_t kMaxSpeculativeRequests = 16;
constexpr auto kPlaceRetryDelay = milliseconds(200);
// How long a task is not placed on workers where it failed. Without this limit
// a gang that needs such a worker would wait for ever.
constexpr auto kWorkerExclusionTime = milliseconds(10'000);

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
      options_.clock->Now() - ref.task->state_changed_at < kWorkerExclusionTime;
  if (excludes) {
    task.excluded_workers =
        ref.job ? ref.task->failed_on : ref.service->failed_on;
  }
  return task;
}

std::string shard_owner::ChooseMember(const task_ref& ref,
                                      std::vector<member_capacity>& capacities,
                                      std::size_t& speculative_requests) const {
  const auto need = ref.Need();
  const auto count_siblings = [&](const std::string& member) {
    if (ref.service == nullptr || !ref.service->config.spread) {
      return std::ptrdiff_t{0};
    }
    return std::count_if(ref.service->instances.begin(),
                         ref.service->instances.end(), [&](const auto& entry) {
                           return IsActive(entry.second.state) &&
                                  entry.second.member == member;
                         });
  };
  member_capacity* best = nullptr;
  resource_vector* chosen_free = nullptr;
  std::ptrdiff_t fewest_siblings = 0;
  for (auto& capacity : capacities) {
    if (ref.task->tried_members.contains(capacity.member_id)) continue;
    const auto fitting = std::find_if(
        capacity.largest_free.begin(), capacity.largest_free.end(),
        [&](const auto& candidate) { return Fits(need, candidate); });
    if (fitting == capacity.largest_free.end()) continue;
    const auto count = count_siblings(capacity.member_id);
    if (best == nullptr || count < fewest_siblings ||
        (count == fewest_siblings &&
         capacity.free.cpu_milli > best->free.cpu_milli)) {
      best = &capacity;
      chosen_free = &*fitting;
      fewest_siblings = count;
    }
  }
  if (best != nullptr) {
    *chosen_free = *chosen_free - need;
    best->free = best->free - need;
    return best->member_id;
  }
  if (speculative_requests >= kMaxSpeculativeRequests) return {};
  for (const auto& capacity : capacities) {
    if (!ref.task->tried_members.contains(capacity.member_id) &&
        Fits(need, capacity.largest_worker)) {
      ++speculative_requests;
      return capacity.member_id;
    }
  }
  return {};
}

bool shard_owner::PlacePendingTasks(const cell_snapshot& cell) {
  if (!cell.document || cell.capacities.empty()) return false;
  std::map<std::string, wire::place_requestT> requests;
  std::string gang;
  {
    std::lock_guard guard(mutex_);
    UpdateTeams(cell);
    QueueDelayedTasks();
    auto capacities = cell.capacities;
    std::size_t speculative_requests = 0;
    std::size_t taken_count = 0;
    const auto now = options_.clock->Now();
    while (taken_count < kMaxTasksPerRound) {
      const auto entry = TakeNext(queue_, now);
      if (!entry) break;
      if (jobs_.contains(entry->id)) {
        gang = entry->id;
        break;
      }
      const auto ref = FindTask(entry->id);
      if (!ref || ref.task->state != attempt_state::kPending ||
          ref.Need() != entry->need) {
        RemoveEntry(queue_, entry->id);
        if (ref && ref.task->state == attempt_state::kPending) QueueTask(ref);
        continue;
      }
      const auto member = ChooseMember(ref, capacities, speculative_requests);
      if (member.empty()) {
        ref.task->tried_members.clear();
        ref.task->reason = "no worker has room";
        ReturnUnplaced(queue_, entry->id, now, random_);
        continue;
      }
      ++taken_count;
      auto& request = requests[member];
      request.mode = wire::place_mode::start;
      request.tasks.push_back(std::make_unique<wire::taskT>(ToWireTask(ref)));
      ref.task->member = member;
      ref.task->worker.clear();
      ref.task->partition.clear();
      // Set before the request, because its effect may stay unknown.
      SetTaskState(ref, attempt_state::kPlaced);
    }
  }
  // Uses one thread per member, so that a slow one does not delay the others.
  thread_group threads;
  for (const auto& [member, request] : requests) {
    const auto send = [this, &member = member, &request = request] {
      OnPlaceResponse(member, request, options_.cell.place(member, request));
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

void shard_owner::OnPlaceResponse(
    const std::string& member, const wire::place_requestT& request,
    const outcome<wire::place_responseT>& response) {
  std::lock_guard guard(mutex_);
  const auto requeue = [&](const std::string& task_id, std::string_view reason,
                           duration delay) {
    const auto ref = FindTask(task_id);
    // An event may have changed the state before this response arrived.
    if (!ref || ref.task->state != attempt_state::kPlaced ||
        ref.task->member != member) {
      return;
    }
    if (ref.IsNoLongerNeeded() || ref.IsGang()) {
      RequeueTask(ref, reason, delay);
      return;
    }
    ref.task->reason = reason;
    ref.task->backoff_until = options_.clock->Now() + delay;
    SetTaskState(ref, attempt_state::kPending);
  };
  if (!response) {
    options_.metrics->CountPlacement(
        std::string(ToString(response.failure.kind)));
    if (response.failure.kind == error_kind::kTimeout ||
        response.failure.kind == error_kind::kCorrupt) {
      return;
    }
    for (const auto& task : request.tasks) {
      const auto ref = FindTask(task->task_id);
      if (ref) ref.task->tried_members.insert(member);
      requeue(task->task_id, response.failure.message, kPlaceRetryDelay);
    }
    return;
  }
  for (const auto& placement : response->placements) {
    const auto ref = FindTask(placement->task_id);
    if (!ref) continue;
    options_.metrics->CountPlacement(
        wire::EnumNameplace_status(placement->status));
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
        ReturnToQueue(ref);
        requeue(placement->task_id, placement->reason, duration(0));
        break;
      case wire::place_status::refused:
        requeue(placement->task_id, placement->reason, kPlaceRetryDelay);
        break;
    }
  }
}

}  // namespace apricotwheel

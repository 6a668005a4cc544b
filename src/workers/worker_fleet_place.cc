// Handles the place, stop and inventory requests of shard owners.
#include <algorithm>
#include <utility>

#include "workers/worker_fleet.h"
#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

// Urgent tasks must start within 2.4 s.
constexpr auto kPreemptionTimeout = milliseconds(2400);
// Upper bound for the time that a gang reservation holds capacity.
constexpr auto kMaxReservationTime = milliseconds(10'000);

std::unique_ptr<wire::task_placementT> MakePlacement(
    std::string_view task_id, wire::place_status status,
    std::string_view reason = {}) {
  auto placement = std::make_unique<wire::task_placementT>();
  placement->task_id = task_id;
  placement->status = status;
  placement->reason = reason;
  return placement;
}

}  // namespace

bool worker_fleet::IsStaleShardEpoch(std::uint32_t shard, std::uint64_t epoch,
                                     const shard_epochs& view_epochs) {
  if (shard >= kShardCount) return true;
  auto& highest = highest_shard_epochs_[shard];
  highest = std::max({highest, view_epochs[shard]});
  if (epoch < highest) return true;
  highest = epoch;
  return false;
}

worker_fleet::task_entry worker_fleet::MakeTaskEntry(
    const wire::taskT& task) const {
  task_entry entry;
  entry.spec = ToTaskSpec(task);
  entry.policy = task.policy;
  entry.spread = task.spread;
  entry.excluded_workers = task.excluded_workers;
  return entry;
}

wire::place_responseT worker_fleet::PlaceTasks(
    const wire::place_requestT& request, const shard_epochs& view_epochs) {
  std::lock_guard guard(mutex_);
  wire::place_responseT response;
  for (const auto& task : request.tasks) {
    if (IsStaleShardEpoch(task->shard, task->shard_epoch, view_epochs)) {
      for (const auto& each : request.tasks) {
        response.placements.push_back(MakePlacement(
            each->task_id, wire::place_status::refused, "stale shard epoch"));
      }
      return response;
    }
  }
  switch (request.mode) {
    case wire::place_mode::start:
      for (const auto& task : request.tasks) {
        response.placements.push_back(PlaceTask(*task));
      }
      break;
    case wire::place_mode::reserve:
      ReserveTasks(request, response);
      break;
    case wire::place_mode::commit:
      for (const auto& task : request.tasks) {
        response.placements.push_back(CommitReservation(request, *task));
      }
      break;
    case wire::place_mode::release: {
      std::vector<std::string> released;
      for (const auto& id : tasks_with_deadline_) {
        const auto& task = tasks_.find(id)->second;
        if (task.phase == task_phase::kReserved &&
            task.reservation_id == request.reservation_id) {
          released.push_back(id);
        }
      }
      for (const auto& id : released) DiscardTask(id);
      break;
    }
  }
  return response;
}

std::unique_ptr<wire::task_placementT> worker_fleet::PlaceTask(
    const wire::taskT& task) {
  const auto known = tasks_.find(task.task_id);
  if (known != tasks_.end()) {
    // Either the request is a repetition, or an earlier attempt has ended and
    // its end is not acknowledged yet.
    const auto& entry = known->second;
    const bool active = entry.phase == task_phase::kStarting ||
                        entry.phase == task_phase::kRunning;
    auto placement =
        MakePlacement(task.task_id,
                      active ? wire::place_status::placed
                      : entry.phase == task_phase::kAwaitingPreemption
                          ? wire::place_status::preempting
                          : wire::place_status::refused,
                      active ? "" : "an earlier attempt is not settled");
    placement->worker = entry.worker;
    placement->address = entry.status.address;
    return placement;
  }
  auto entry = MakeTaskEntry(task);
  const auto decision =
      cell_state_->Decide(MakePlacementRequest(entry), random_);
  if (decision.outcome == placement_outcome::kImpossible) {
    return MakePlacement(task.task_id, wire::place_status::impossible,
                         decision.reason);
  }
  if (decision.outcome == placement_outcome::kWait) {
    return MakePlacement(task.task_id, wire::place_status::wait,
                         decision.reason);
  }
  entry.worker = cell_state_->Shape(decision.worker).id;
  const auto owner = workers_.find(entry.worker);
  if (owner == workers_.end()) {
    return MakePlacement(task.task_id, wire::place_status::wait,
                         "worker was dropped");
  }
  auto& worker = owner->second;
  auto status = wire::place_status::placed;
  if (decision.outcome == placement_outcome::kPreempt) {
    // The capacity of tasks that are already being stopped is promised to the
    // pre-emption that stops them.
    for (const auto& victim : decision.victims) {
      const auto found = tasks_.find(victim);
      if (found != tasks_.end() && found->second.requested_stop) {
        return MakePlacement(task.task_id, wire::place_status::wait,
                             "another pre-emption is under way");
      }
    }
    status = wire::place_status::preempting;
    entry.phase = task_phase::kAwaitingPreemption;
    entry.victims = decision.victims;
    entry.deadline = options_.clock->Now() + kPreemptionTimeout;
    for (const auto& victim : decision.victims) {
      const auto found = tasks_.find(victim);
      if (found != tasks_.end()) {
        RequestStop(found->second, stop_mode::kCheckpoint);
      }
    }
  } else {
    const auto allocated = Attempt([&] {
      return cell_state_->Allocate(decision.worker,
                                   MakePlacementRequest(entry));
    });
    if (!allocated) {
      return MakePlacement(task.task_id, wire::place_status::wait,
                           allocated.failure.message);
    }
    entry.phase = task_phase::kStarting;
  }
  auto placement = MakePlacement(task.task_id, status);
  placement->worker = entry.worker;
  placement->partition = worker.partition;
  AddTask(task.task_id, std::move(entry));
  if (worker.wake) worker.wake->Wake();
  return placement;
}

void worker_fleet::ReserveTasks(const wire::place_requestT& request,
                                wire::place_responseT& response) {
  const auto deadline = options_.clock->Now() +
                        std::min<duration>(milliseconds(request.expires_in_ms),
                                           kMaxReservationTime);
  std::vector<task_entry> entries;
  entries.reserve(request.tasks.size());
  std::vector<placement_request> placement_requests;
  placement_requests.reserve(request.tasks.size());
  for (const auto& task : request.tasks)
    entries.push_back(MakeTaskEntry(*task));
  for (const auto& entry : entries)
    placement_requests.push_back(MakePlacementRequest(entry));
  auto gang_workers = cell_state_->DecideGang(placement_requests, random_);
  const bool all_fit = gang_workers.size() == entries.size();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    auto& entry = entries[i];
    const auto id = entry.spec.task_id;
    if (tasks_.contains(id)) {
      response.placements.push_back(
          MakePlacement(id, wire::place_status::refused,
                        "an earlier attempt is not settled"));
      continue;
    }
    worker_index target = kNoWorker;
    if (all_fit) {
      target = gang_workers[i];
    } else {
      // Reserves what fits; the caller tries the next member for the rest of
      // the gang.
      const auto decision = cell_state_->Decide(placement_requests[i], random_);
      if (decision.outcome == placement_outcome::kPlaced) {
        target = decision.worker;
      }
    }
    if (target == kNoWorker || !Attempt([&] {
          return cell_state_->Allocate(target, placement_requests[i]);
        })) {
      response.placements.push_back(
          MakePlacement(id, wire::place_status::wait));
      continue;
    }
    entry.worker = cell_state_->Shape(target).id;
    entry.phase = task_phase::kReserved;
    entry.reservation_id = request.reservation_id;
    entry.deadline = deadline;
    auto placement = MakePlacement(id, wire::place_status::reserved);
    placement->worker = entry.worker;
    response.placements.push_back(std::move(placement));
    AddTask(id, std::move(entry));
  }
}

std::unique_ptr<wire::task_placementT> worker_fleet::CommitReservation(
    const wire::place_requestT& request, const wire::taskT& task) {
  const auto found = tasks_.find(task.task_id);
  if (found == tasks_.end() ||
      found->second.reservation_id != request.reservation_id ||
      found->second.phase == task_phase::kEnded) {
    return MakePlacement(task.task_id, wire::place_status::refused,
                         "the reservation has expired");
  }
  auto& entry = found->second;
  if (entry.phase == task_phase::kReserved) {
    const auto worker = workers_.find(entry.worker);
    if (options_.clock->Now() >= entry.deadline || worker == workers_.end() ||
        worker->second.phase != worker_phase::kReady ||
        worker->second.vm.state != vm_state::kLive) {
      DiscardTask(task.task_id);
      return MakePlacement(task.task_id, wire::place_status::refused,
                           "the reservation has expired");
    }
    entry.phase = task_phase::kStarting;
    entry.deadline = time_point::max();
    if (worker->second.wake) worker->second.wake->Wake();
  }
  auto placement = MakePlacement(task.task_id, wire::place_status::placed);
  placement->worker = entry.worker;
  return placement;
}

wire::stop_responseT worker_fleet::StopTasks(const wire::stop_requestT& request,
                                             const shard_epochs& view_epochs) {
  std::lock_guard guard(mutex_);
  wire::stop_responseT response;
  const bool fenced =
      IsStaleShardEpoch(request.shard, request.shard_epoch, view_epochs);
  for (const auto& id : request.task_ids) {
    const auto found = fenced ? tasks_.end() : tasks_.find(id);
    if (found == tasks_.end()) {
      response.known.push_back(false);
      continue;
    }
    auto& task = found->second;
    response.known.push_back(true);
    if (task.phase == task_phase::kReserved) {
      DiscardTask(id);
    } else if (task.phase == task_phase::kAwaitingPreemption ||
               (task.phase == task_phase::kStarting && !task.start_sent)) {
      EndTask(task, task_state::kStopped, "stopped before its start", false);
    } else if (task.phase != task_phase::kEnded) {
      RequestStop(task, request.mode == wire::stop_mode::checkpoint
                            ? stop_mode::kCheckpoint
                            : stop_mode::kKill);
    }
  }
  return response;
}

wire::inventory_responseT worker_fleet::BuildInventory(
    const wire::inventory_requestT& request, const expected_workers& expected,
    const shard_epochs& view_epochs) {
  std::lock_guard guard(mutex_);
  wire::inventory_responseT response;
  if (IsStaleShardEpoch(request.shard, request.shard_epoch, view_epochs))
    return response;
  const auto now = options_.clock->Now();
  for (const auto& [partition, names] : expected.partitions) {
    auto line = std::make_unique<wire::partition_inventoryT>();
    line->partition = partition;
    const auto epoch = expected.epochs.find(partition);
    if (epoch != expected.epochs.end()) line->epoch = epoch->second;
    const auto claimed_or_expired = [&](const worker_entry& worker) {
      return worker.epoch >= line->epoch &&
             (worker.phase == worker_phase::kReady ||
              IsLeaseExpired(worker, now));
    };
    line->complete = expected.vm_list_is_current &&
                     !expected.uncertain_partitions.contains(partition) &&
                     std::all_of(names.begin(), names.end(),
                                 [&, &rack = partition](const auto& name) {
                                   const auto found = workers_.find(name);
                                   return found != workers_.end() &&
                                          found->second.partition == rack &&
                                          claimed_or_expired(found->second);
                                 });
    for (const auto& [id, worker] : workers_) {
      if (worker.partition == partition && !claimed_or_expired(worker)) {
        line->complete = false;
      }
    }
    response.partitions.push_back(std::move(line));
  }
  for (const auto& [id, task] : tasks_) {
    if (task.spec.shard != request.shard ||
        task.phase == task_phase::kReserved) {
      continue;
    }
    auto line = std::make_unique<wire::running_taskT>();
    line->spec = std::make_unique<wire::taskT>(ToWire(task.spec));
    line->state = static_cast<std::uint8_t>(task.phase == task_phase::kEnded
                                                ? task.status.state
                                                : task_state::kRunning);
    line->worker = task.worker;
    line->address = task.status.address;
    line->checkpoint = task.status.checkpoint;
    line->message = task.status.message;
    line->ran_ms = task.status.ran_ms;
    const auto worker = workers_.find(task.worker);
    if (worker != workers_.end()) line->partition = worker->second.partition;
    response.tasks.push_back(std::move(line));
  }
  return response;
}

std::vector<worker_command> worker_fleet::TakeCommands(
    std::string_view worker_id) {
  std::lock_guard guard(mutex_);
  std::vector<worker_command> commands;
  const auto found = workers_.find(worker_id);
  if (found == workers_.end() || found->second.phase != worker_phase::kReady) {
    return commands;
  }
  auto& worker = found->second;
  commands = std::exchange(worker.pending_throttles, {});
  for (const auto& id : worker.tasks_to_kill) {
    worker_command command;
    command.type = worker_command::command_type::kStop;
    command.spec.task_id = id;
    commands.push_back(std::move(command));
  }
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    worker_command command;
    command.spec = task.spec;
    if (task.phase == task_phase::kStarting && !task.start_sent) {
      // Until the worker has removed the ended attempt from its list, it would
      // return that attempt and start nothing.
      if (worker.ended_to_acknowledge.contains(id)) continue;
      command.type = worker_command::command_type::kStart;
      command.expires_at_ms = worker.lease.NextExpiryMs(options_.clock->Now());
      worker.lease.OnExpirySent(command.expires_at_ms);
      task.start_sent = true;
      commands.push_back(std::move(command));
    } else if (task.phase == task_phase::kRunning && task.requested_stop &&
               !task.stop_sent) {
      command.type = worker_command::command_type::kStop;
      command.mode = *task.requested_stop;
      task.stop_sent = true;
      commands.push_back(std::move(command));
    }
  }
  return commands;
}

void worker_fleet::OnStartResponse(std::string_view worker_id,
                                   const worker_command& command,
                                   const outcome<task_status>& response) {
  std::lock_guard guard(mutex_);
  const auto found = tasks_.find(command.spec.task_id);
  if (found == tasks_.end() || found->second.worker != worker_id ||
      found->second.phase != task_phase::kStarting) {
    return;
  }
  auto& task = found->second;
  if (response) {
    task.start_confirmed_at = options_.clock->Now();
    task.status = *response;
    task.on_worker_task_list = true;
    if (response->state != task_state::kRunning) {
      EndTask(task, response->state, response->message, true);
      return;
    }
    task.phase = task_phase::kRunning;
    AddEvent(task);
    return;
  }
  if (response.failure.kind == error_kind::kTimeout ||
      response.failure.kind == error_kind::kCorrupt) {
    task.unconfirmed_start_expires_at_ms = command.expires_at_ms;
    Emit(options_.log, kStartEffectUnknown,
         {Field("task", command.spec.task_id), Field("worker", worker_id)});
    return;
  }
  EndTask(task, task_state::kFailed, "not started: " + response.failure.message,
          false);
}

}  // namespace apricotwheel

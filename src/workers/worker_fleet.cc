#include "workers/worker_fleet.h"

#include <algorithm>
#include <utility>

#include "workers/workers_events.h"

namespace apricotwheel {

worker_fleet::worker_fleet(worker_fleet_options options)
    : options_(std::move(options)),
      cell_state_(cell_state::Create()),
      random_{options_.random_seed} {
  health_.settings = options_.health;
}

void worker_fleet::UpsertWorker(const vm_record& vm, std::string_view partition,
                                std::uint64_t epoch,
                                std::shared_ptr<wake_signal> wake) {
  std::lock_guard guard(mutex_);
  auto found = workers_.find(vm.id);
  if (found == workers_.end()) {
    worker_entry new_worker;
    new_worker.lease = worker_lease(options_.lease);
    new_worker.owned_since = options_.clock->Now();
    new_worker.partition = partition;
    new_worker.epoch = epoch;
    new_worker.cell_index = cell_state_->UpsertWorker(
        {vm.id, vm.failure_domain, vm.rack, vm.capacity});
    found = workers_.emplace(vm.id, std::move(new_worker)).first;
  }
  auto& worker = found->second;
  worker.vm = vm;
  worker.wake = std::move(wake);
  UpdateUsable(worker);
  if (vm.state == vm_state::kLeaving) DrainLeavingWorker(worker);
}

void worker_fleet::MarkWorkerLeaving(std::string_view worker) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  found->second.vm.state = vm_state::kLeaving;
  UpdateUsable(found->second);
  DrainLeavingWorker(found->second);
}

void worker_fleet::ForgetWorker(std::string_view worker, std::uint64_t epoch) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.epoch != epoch) return;
  std::vector<std::string> task_ids;
  for (const auto& [id, task] : found->second.tasks) task_ids.push_back(id);
  for (const auto& id : task_ids) DiscardTask(id);
  cell_state_->RemoveWorker(worker);
  workers_.erase(found);
}

bool IsVmListCurrent(std::uint64_t own_version,
                     std::span<const peer_summary> summaries,
                     std::size_t peers) {
  if (summaries.empty()) return peers == 0;
  return std::all_of(summaries.begin(), summaries.end(),
                     [&](const auto& summary) {
                       return summary.gossip.vm_list_version <= own_version;
                     });
}

bool worker_fleet::IsLeaseExpired(const worker_entry& worker,
                                  time_point now) const {
  if (worker.lease.LatestExpiry()) return now >= *worker.lease.LatestExpiry();
  // Without a claim the lease is not known: the previous owner may have renewed
  // it until this daemon took the partition.
  return worker.unreachable_since &&
         now >= std::max(*worker.unreachable_since, worker.owned_since) +
                    options_.lease.task_lease + options_.lease.drift_margin;
}

bool worker_fleet::CanForgetWorker(std::string_view worker) const {
  std::lock_guard guard(mutex_);
  const auto known = workers_.find(worker);
  if (known != workers_.end() && known->second.phase != worker_phase::kReady &&
      !IsLeaseExpired(known->second, options_.clock->Now())) {
    return false;
  }
  return known == workers_.end() || known->second.tasks.empty();
}

void worker_fleet::UpdateUsable(worker_entry& worker) {
  const auto health = HealthOf(health_, worker.vm.id, options_.clock->Now());
  // A worker in probation gets one task at a time until it has proved healthy.
  const bool healthy =
      health == worker_health::kHealthy ||
      (health == worker_health::kProbation &&
       std::all_of(worker.tasks.begin(), worker.tasks.end(),
                   [](const auto& entry) {
                     return entry.second->phase == task_phase::kEnded;
                   }));
  cell_state_->SetUsable(worker.cell_index,
                         healthy && worker.phase == worker_phase::kReady &&
                             worker.vm.state == vm_state::kLive);
}

placement_request worker_fleet::MakePlacementRequest(
    const task_entry& task) const {
  placement_request request;
  request.task_id = task.spec.task_id;
  request.workload = task.spec.workload;
  request.team = task.spec.team;
  request.priority = task.spec.priority;
  request.need = task.spec.resources;
  request.policy = task.policy;
  request.spread = task.spread;
  request.excluded_workers = task.excluded_workers;
  return request;
}

void worker_fleet::AddEvent(const task_entry& task) {
  wire::running_taskT event;
  event.spec = std::make_unique<wire::taskT>(ToWire(task.spec));
  event.state = static_cast<std::uint8_t>(task.status.state);
  event.worker = task.worker;
  const auto worker = workers_.find(task.worker);
  if (worker != workers_.end()) {
    event.partition = worker->second.partition;
    event.partition_epoch = worker->second.epoch;
  }
  event.address = task.status.address;
  event.checkpoint = task.status.checkpoint;
  event.message = task.status.message;
  event.ran_ms = task.status.ran_ms;
  pending_events_.insert_or_assign(task.spec.task_id, std::move(event));
  if (on_events_) on_events_();
}

void worker_fleet::EndTask(task_entry& task, task_state state,
                           std::string_view message, bool on_task_list) {
  if (task.phase != task_phase::kAwaitingPreemption)
    cell_state_->ReleaseTask(task.spec.task_id);
  task.phase = task_phase::kEnded;
  task.on_worker_task_list = on_task_list;
  task.end_accepted = false;
  task.status.state = state;
  if (!message.empty()) task.status.message = message;
  AddEvent(task);
}

worker_fleet::task_entry& worker_fleet::AddTask(std::string_view task_id,
                                                task_entry task) {
  const auto added = tasks_.emplace(task_id, std::move(task)).first;
  const auto& id = added->first;
  auto& entry = added->second;
  if (entry.phase == task_phase::kReserved ||
      entry.phase == task_phase::kAwaitingPreemption) {
    tasks_with_deadline_.insert(id);
  }
  if (entry.spec.kind == task_kind::kService) service_tasks_.insert(id);
  const auto worker = workers_.find(entry.worker);
  if (worker != workers_.end()) {
    worker->second.tasks[id] = &entry;
    UpdateUsable(worker->second);
  }
  return entry;
}

void worker_fleet::RemoveEndedTask(task_map::iterator task) {
  const auto worker = workers_.find(task->second.worker);
  if (worker != workers_.end()) worker->second.tasks.erase(task->first);
  tasks_with_deadline_.erase(task->first);
  service_tasks_.erase(task->first);
  tasks_.erase(task);
}

void worker_fleet::DiscardTask(std::string_view task_id) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end()) return;
  if (found->second.phase != task_phase::kEnded &&
      found->second.phase != task_phase::kAwaitingPreemption) {
    cell_state_->ReleaseTask(task_id);
  }
  const auto event = pending_events_.find(task_id);
  if (event != pending_events_.end()) pending_events_.erase(event);
  RemoveEndedTask(found);
}

void worker_fleet::RequestStop(task_entry& task, stop_mode mode) {
  if (task.requested_stop == stop_mode::kKill || task.requested_stop == mode)
    return;
  task.requested_stop = mode;
  task.stop_sent = false;
  const auto worker = workers_.find(task.worker);
  if (worker != workers_.end() && worker->second.wake) {
    worker->second.wake->Wake();
  }
}

void worker_fleet::DrainLeavingWorker(worker_entry& worker) {
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.phase == task_phase::kStarting && !task.start_sent) {
      EndTask(task, task_state::kFailed, "not started: the worker leaves",
              false);
    }
    if (task.phase != task_phase::kRunning &&
        task.phase != task_phase::kStarting)
      continue;
    if (task.spec.kind != task_kind::kService) {
      RequestStop(task, stop_mode::kCheckpoint);
    }
  }
}

std::vector<wire::running_taskT> worker_fleet::PendingEvents() const {
  std::lock_guard guard(mutex_);
  std::vector<wire::running_taskT> pending;
  pending.reserve(pending_events_.size());
  for (const auto& [id, event] : pending_events_) pending.push_back(event);
  return pending;
}

void worker_fleet::OnEventsAccepted(std::span<const wire::running_taskT> sent,
                                    std::span<const std::string> accepted) {
  const std::set<std::string, std::less<>> ids(accepted.begin(),
                                               accepted.end());
  std::lock_guard guard(mutex_);
  for (const auto& event : sent) {
    const auto& id = event.spec->task_id;
    if (!ids.contains(id)) continue;
    const auto pending = pending_events_.find(id);
    // Keeps a newer event that replaced the accepted one.
    if (pending == pending_events_.end() ||
        pending->second.state != event.state ||
        pending->second.worker != event.worker) {
      continue;
    }
    pending_events_.erase(pending);
    const auto task = tasks_.find(id);
    if (task == tasks_.end() || task->second.phase != task_phase::kEnded)
      continue;
    task->second.end_accepted = true;
    const auto worker = workers_.find(task->second.worker);
    if (!task->second.on_worker_task_list || worker == workers_.end()) {
      RemoveEndedTask(task);
      continue;
    }
    worker->second.ended_to_acknowledge.insert(id);
  }
}

std::optional<time_point> worker_fleet::DispatchAuthorityExpiry(
    std::string_view task_id) const {
  std::lock_guard guard(mutex_);
  const auto task = tasks_.find(task_id);
  if (task == tasks_.end() || task->second.phase != task_phase::kRunning)
    return {};
  const auto worker = workers_.find(task->second.worker);
  if (worker == workers_.end()) return {};
  if (!worker->second.lease.HasAuthority(options_.clock->Now())) return {};
  return worker->second.lease.AuthorityExpiry();
}

std::vector<instance_record> worker_fleet::Instances() const {
  std::lock_guard guard(mutex_);
  std::vector<instance_record> all;
  const auto now = options_.clock->Now();
  for (const auto& id : service_tasks_) {
    const auto& task = tasks_.find(id)->second;
    if (task.phase != task_phase::kRunning) continue;
    const auto found = workers_.find(task.worker);
    if (found == workers_.end()) continue;
    const auto& worker = found->second;
    instance_record record;
    record.task_id = id;
    record.service = task.spec.workload;
    record.address = task.status.address;
    record.worker = task.worker;
    record.partition = worker.partition;
    record.epoch = worker.epoch;
    record.slots = task.spec.slots;
    record.connections = task.spec.connections;
    record.accepting = worker.phase == worker_phase::kReady &&
                       worker.vm.state == vm_state::kLive &&
                       !task.requested_stop;
    record.authority_expires_at = worker.lease.AuthorityExpiry().value_or(now);
    record.predecessor_authority_ended = now >= worker.lease.AuthorityStart();
    record.may_have_predecessor_requests = task.found_at_claim;
    all.push_back(std::move(record));
  }
  return all;
}

std::string worker_fleet::WorkerStateName(const worker_entry& worker) const {
  if (worker.phase == worker_phase::kClaiming) return "claiming";
  if (worker.phase == worker_phase::kUnresponsive) return "unresponsive";
  if (worker.vm.state == vm_state::kLeaving) return "leaving";
  return HealthOf(health_, worker.vm.id, options_.clock->Now()) ==
                 worker_health::kQuarantined
             ? "quarantined"
             : "ready";
}

std::vector<worker_status> worker_fleet::Workers() const {
  std::lock_guard guard(mutex_);
  std::vector<worker_status> lines;
  for (const auto& [id, worker] : workers_) {
    worker_status line;
    line.worker = id;
    line.partition = worker.partition;
    line.epoch = worker.epoch;
    line.state = WorkerStateName(worker);
    line.capacity = cell_state_->Shape(worker.cell_index).capacity;
    line.free = cell_state_->FreeCapacity(worker.cell_index);
    line.tasks = worker.tasks.size();
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<std::string> worker_fleet::ExplainPlacement(
    const wire::taskT& task) const {
  const auto entry = MakeTaskEntry(task);
  std::lock_guard guard(mutex_);
  return cell_state_->Explain(MakePlacementRequest(entry));
}

void worker_fleet::FillGossip(wire::gossipT& gossip) const {
  constexpr std::size_t kMaxLargestFree = 16;  // Limit in peer_messages.fbs.
  std::lock_guard guard(mutex_);
  gossip.free_total = std::make_unique<wire::resources>(
      ToWire(cell_state_->TotalFreeCapacity()));
  gossip.largest_free.clear();
  for (const auto& free : cell_state_->LargestFreeCapacities(kMaxLargestFree)) {
    gossip.largest_free.push_back(ToWire(free));
  }
  gossip.worker_capacity_max =
      std::make_unique<wire::resources>(ToWire(cell_state_->MaxCapacity()));
  gossip.claimed_all =
      std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
        return entry.second.phase == worker_phase::kReady;
      });
}

}  // namespace apricotwheel

#include "workers/worker_fleet.h"

#include <algorithm>
#include <utility>

#include "workers/workers_events.h"

namespace apricotwheel {

worker_fleet::worker_fleet(worker_fleet_options options)
    : options_(std::move(options)),
      cell_(cell_state::Create()),
      random_{options_.random_seed} {
  health_.settings = options_.health;
}

void worker_fleet::SetWorker(const vm_record& vm, std::string_view partition,
                             std::uint64_t epoch,
                             std::shared_ptr<wake_signal> wake) {
  std::lock_guard guard(mutex_);
  auto found = workers_.find(vm.id);
  if (found == workers_.end()) {
    worker_entry fresh;
    fresh.lease = worker_lease(options_.lease);
    fresh.taken_at = options_.clock->Now();
    fresh.partition = partition;
    fresh.epoch = epoch;
    fresh.index =
        cell_->UpsertWorker({vm.id, vm.failure_domain, vm.rack, vm.capacity});
    found = workers_.emplace(vm.id, std::move(fresh)).first;
  }
  auto& worker = found->second;
  worker.vm = vm;
  worker.wake = std::move(wake);
  UpdateUsable(worker);
  if (vm.state == vm_state::kLeaving) VacateLeaving(worker);
}

void worker_fleet::MarkLeaving(std::string_view worker) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  found->second.vm.state = vm_state::kLeaving;
  UpdateUsable(found->second);
  VacateLeaving(found->second);
}

void worker_fleet::DropWorker(std::string_view worker, std::uint64_t epoch) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.epoch != epoch) return;
  std::vector<std::string> dropped;
  for (const auto& [id, task] : found->second.tasks) dropped.push_back(id);
  for (const auto& id : dropped) EraseTask(id);
  cell_->RemoveWorker(worker);
  workers_.erase(found);
}

bool IsListCurrent(std::uint64_t own_version,
                   std::span<const peer_summary> summaries, std::size_t peers) {
  if (summaries.empty()) return peers == 0;
  return std::all_of(summaries.begin(), summaries.end(),
                     [&](const auto& summary) {
                       return summary.gossip.vm_list_version <= own_version;
                     });
}

bool worker_fleet::CertainlyExpired(const worker_entry& worker,
                                    time_point now) const {
  if (worker.lease.CertainExpiry()) return now >= *worker.lease.CertainExpiry();
  // An earlier owner may have renewed until this owner took the partition.
  return worker.first_failure &&
         now >= std::max(*worker.first_failure, worker.taken_at) +
                    options_.lease.task_lease + options_.lease.drift_margin;
}

bool worker_fleet::CanForget(std::string_view worker) const {
  std::lock_guard guard(mutex_);
  const auto known = workers_.find(worker);
  if (known != workers_.end() && known->second.now != worker_phase::kReady &&
      !CertainlyExpired(known->second, options_.clock->Now())) {
    return false;
  }
  return known == workers_.end() || known->second.tasks.empty();
}

void worker_fleet::UpdateUsable(worker_entry& worker) {
  const auto health = HealthOf(health_, worker.vm.id, options_.clock->Now());
  // In probation one task at a time shows whether the worker has recovered.
  const bool healthy = health == worker_health::kHealthy ||
                       (health == worker_health::kProbation &&
                        std::all_of(worker.tasks.begin(), worker.tasks.end(),
                                    [](const auto& entry) {
                                      return entry.second->now == phase::kEnded;
                                    }));
  cell_->SetUsable(worker.index, healthy &&
                                     worker.now == worker_phase::kReady &&
                                     worker.vm.state == vm_state::kLive);
}

placement_request worker_fleet::RequestOf(const task_entry& task) const {
  placement_request request;
  request.task_id = task.spec.task_id;
  request.workload = task.spec.workload;
  request.team = task.spec.team;
  request.priority = task.spec.priority;
  request.need = task.spec.resources;
  request.policy = task.policy;
  request.spread = task.spread;
  request.excluded_workers = task.excluded;
  return request;
}

void worker_fleet::Report(const task_entry& task) {
  wire::running_taskT event;
  event.spec = std::make_unique<wire::taskT>(ToWire(task.spec));
  event.state = static_cast<std::uint8_t>(task.status.state);
  event.worker = task.worker;
  const auto worker = workers_.find(task.worker);
  if (worker != workers_.end()) event.partition = worker->second.partition;
  event.address = task.status.address;
  event.checkpoint = task.status.checkpoint;
  event.message = task.status.message;
  event.ran_ms = task.status.ran_ms;
  events_.insert_or_assign(task.spec.task_id, std::move(event));
  if (events_listener_) events_listener_();
}

void worker_fleet::End(task_entry& task, task_state state,
                       std::string_view message, bool on_list) {
  if (task.now != phase::kAwaitingRoom) cell_->ReleaseTask(task.spec.task_id);
  task.now = phase::kEnded;
  task.on_worker_list = on_list;
  task.end_accepted = false;
  task.status.state = state;
  if (!message.empty()) task.status.message = message;
  Report(task);
}

worker_fleet::task_entry& worker_fleet::AddTask(std::string_view task_id,
                                                task_entry task) {
  const auto added = tasks_.emplace(task_id, std::move(task)).first;
  const auto& id = added->first;
  auto& entry = added->second;
  if (entry.now == phase::kReserved || entry.now == phase::kAwaitingRoom) {
    timed_.insert(id);
  }
  if (entry.spec.kind == task_kind::kService) instances_.insert(id);
  const auto worker = workers_.find(entry.worker);
  if (worker != workers_.end()) {
    worker->second.tasks[id] = &entry;
    UpdateUsable(worker->second);
  }
  return entry;
}

void worker_fleet::RemoveTask(task_map::iterator task) {
  const auto worker = workers_.find(task->second.worker);
  if (worker != workers_.end()) worker->second.tasks.erase(task->first);
  timed_.erase(task->first);
  instances_.erase(task->first);
  tasks_.erase(task);
}

void worker_fleet::EraseTask(std::string_view task_id) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end()) return;
  if (found->second.now != phase::kEnded &&
      found->second.now != phase::kAwaitingRoom) {
    cell_->ReleaseTask(task_id);
  }
  const auto event = events_.find(task_id);
  if (event != events_.end()) events_.erase(event);
  RemoveTask(found);
}

void worker_fleet::AskStop(task_entry& task, stop_mode mode) {
  if (task.stop == stop_mode::kKill || task.stop == mode) return;
  task.stop = mode;
  task.stop_sent = false;
  const auto worker = workers_.find(task.worker);
  if (worker != workers_.end() && worker->second.wake) {
    worker->second.wake->Wake();
  }
}

void worker_fleet::VacateLeaving(worker_entry& worker) {
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.now == phase::kStarting && !task.start_sent) {
      End(task, task_state::kFailed, "not started: the worker leaves", false);
    }
    if (task.now != phase::kRunning && task.now != phase::kStarting) continue;
    if (task.spec.kind != task_kind::kService) {
      AskStop(task, stop_mode::kCheckpoint);
    }
  }
}

std::vector<wire::running_taskT> worker_fleet::PendingEvents() const {
  std::lock_guard guard(mutex_);
  std::vector<wire::running_taskT> pending;
  pending.reserve(events_.size());
  for (const auto& [id, event] : events_) pending.push_back(event);
  return pending;
}

void worker_fleet::OnAccepted(std::span<const wire::running_taskT> sent,
                              std::span<const std::string> accepted) {
  const std::set<std::string, std::less<>> ids(accepted.begin(),
                                               accepted.end());
  std::lock_guard guard(mutex_);
  for (const auto& event : sent) {
    const auto& id = event.spec->task_id;
    if (!ids.contains(id)) continue;
    const auto pending = events_.find(id);
    // A later event replaced the one that was accepted.
    if (pending == events_.end() || pending->second.state != event.state ||
        pending->second.worker != event.worker) {
      continue;
    }
    events_.erase(pending);
    const auto task = tasks_.find(id);
    if (task == tasks_.end() || task->second.now != phase::kEnded) continue;
    task->second.end_accepted = true;
    const auto worker = workers_.find(task->second.worker);
    if (!task->second.on_worker_list || worker == workers_.end()) {
      RemoveTask(task);
      continue;
    }
    worker->second.to_acknowledge.insert(id);
  }
}

std::optional<time_point> worker_fleet::AuthorityOf(
    std::string_view task_id) const {
  std::lock_guard guard(mutex_);
  const auto task = tasks_.find(task_id);
  if (task == tasks_.end() || task->second.now != phase::kRunning) return {};
  const auto worker = workers_.find(task->second.worker);
  if (worker == workers_.end()) return {};
  if (!worker->second.lease.HasAuthority(options_.clock->Now())) return {};
  return worker->second.lease.AuthorityUntil();
}

std::vector<instance_record> worker_fleet::Instances() const {
  std::lock_guard guard(mutex_);
  std::vector<instance_record> all;
  const auto now = options_.clock->Now();
  for (const auto& id : instances_) {
    const auto& task = tasks_.find(id)->second;
    if (task.now != phase::kRunning) continue;
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
    record.accepting = worker.now == worker_phase::kReady &&
                       worker.vm.state == vm_state::kLive && !task.stop;
    record.authority_until = worker.lease.AuthorityUntil().value_or(now);
    record.authority_started = now >= worker.lease.AuthorityFrom();
    record.foreign_use_possible = task.adopted;
    all.push_back(std::move(record));
  }
  return all;
}

std::string worker_fleet::StateName(const worker_entry& worker) const {
  if (worker.now == worker_phase::kClaiming) return "claiming";
  if (worker.now == worker_phase::kUnresponsive) return "unresponsive";
  if (worker.vm.state == vm_state::kLeaving) return "leaving";
  return HealthOf(health_, worker.vm.id, options_.clock->Now()) ==
                 worker_health::kQuarantined
             ? "quarantined"
             : "ready";
}

std::vector<worker_status_line> worker_fleet::Workers() const {
  std::lock_guard guard(mutex_);
  std::vector<worker_status_line> lines;
  for (const auto& [id, worker] : workers_) {
    worker_status_line line;
    line.worker = id;
    line.partition = worker.partition;
    line.epoch = worker.epoch;
    line.state = StateName(worker);
    line.capacity = cell_->Shape(worker.index).capacity;
    line.free = cell_->FreeCapacity(worker.index);
    line.tasks = worker.tasks.size();
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<std::string> worker_fleet::Explain(const wire::taskT& task) const {
  const auto entry = MakeEntry(task);
  std::lock_guard guard(mutex_);
  return cell_->Explain(RequestOf(entry));
}

void worker_fleet::FillGossip(wire::gossipT& gossip) const {
  constexpr std::size_t kHoles = 16;  // The schema's limit.
  std::lock_guard guard(mutex_);
  gossip.free_total =
      std::make_unique<wire::resources>(ToWire(cell_->TotalFreeCapacity()));
  gossip.largest_free.clear();
  for (const auto& free : cell_->LargestFreeCapacities(kHoles)) {
    gossip.largest_free.push_back(ToWire(free));
  }
  gossip.worker_capacity_max =
      std::make_unique<wire::resources>(ToWire(cell_->MaxCapacity()));
  gossip.claimed_all =
      std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
        return entry.second.now == worker_phase::kReady;
      });
}

}  // namespace apricotwheel

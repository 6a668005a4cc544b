// Placement, reservations, stops and inventories for the owners of shards.
#include <algorithm>
#include <utility>

#include "workers/worker_fleet.h"
#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

constexpr auto kPreemptionLimit = milliseconds(2400);
constexpr auto kLongestReservation = milliseconds(10'000);

std::unique_ptr<wire::task_placementT> Answer(std::string_view task_id,
                                              wire::place_status status,
                                              std::string_view reason = {}) {
  auto answer = std::make_unique<wire::task_placementT>();
  answer->task_id = task_id;
  answer->status = status;
  answer->reason = reason;
  return answer;
}

}  // namespace

bool worker_fleet::Fenced(std::uint32_t shard, std::uint64_t epoch,
                          const shard_epochs& view_epochs) {
  if (shard >= kShardCount) return true;
  auto& highest = shard_epochs_[shard];
  highest = std::max({highest, view_epochs[shard]});
  if (epoch < highest) return true;
  highest = epoch;
  return false;
}

worker_fleet::task_entry worker_fleet::MakeEntry(
    const wire::taskT& task) const {
  task_entry entry;
  entry.spec = ToSpec(task);
  entry.policy = task.policy;
  entry.spread = task.spread;
  entry.excluded = task.excluded_workers;
  return entry;
}

wire::place_responseT worker_fleet::Place(const wire::place_requestT& request,
                                          const shard_epochs& view_epochs) {
  std::lock_guard guard(mutex_);
  wire::place_responseT response;
  for (const auto& task : request.tasks) {
    if (Fenced(task->shard, task->shard_epoch, view_epochs)) {
      for (const auto& each : request.tasks) {
        response.placements.push_back(Answer(
            each->task_id, wire::place_status::refused, "stale shard epoch"));
      }
      return response;
    }
  }
  switch (request.mode) {
    case wire::place_mode::start:
      for (const auto& task : request.tasks) {
        response.placements.push_back(PlaceOne(*task));
      }
      break;
    case wire::place_mode::reserve:
      Reserve(request, response);
      break;
    case wire::place_mode::commit:
      for (const auto& task : request.tasks) {
        response.placements.push_back(Commit(request, *task));
      }
      break;
    case wire::place_mode::release: {
      std::vector<std::string> released;
      for (const auto& id : timed_) {
        const auto& task = tasks_.find(id)->second;
        if (task.now == phase::kReserved &&
            task.reservation == request.reservation_id) {
          released.push_back(id);
        }
      }
      for (const auto& id : released) EraseTask(id);
      break;
    }
  }
  return response;
}

std::unique_ptr<wire::task_placementT> worker_fleet::PlaceOne(
    const wire::taskT& task) {
  const auto known = tasks_.find(task.task_id);
  if (known != tasks_.end()) {
    // A repeated request; or an attempt whose end is not settled yet.
    const auto& entry = known->second;
    const bool active =
        entry.now == phase::kStarting || entry.now == phase::kRunning;
    auto answer = Answer(task.task_id,
                         active ? wire::place_status::placed
                         : entry.now == phase::kAwaitingRoom
                             ? wire::place_status::preempting
                             : wire::place_status::refused,
                         active ? "" : "an earlier attempt is not settled");
    answer->worker = entry.worker;
    answer->address = entry.status.address;
    return answer;
  }
  auto entry = MakeEntry(task);
  const auto decision = cell_->Decide(RequestOf(entry), random_);
  if (decision.outcome == placement_outcome::kImpossible) {
    return Answer(task.task_id, wire::place_status::impossible,
                  decision.reason);
  }
  if (decision.outcome == placement_outcome::kWait) {
    return Answer(task.task_id, wire::place_status::wait, decision.reason);
  }
  entry.worker = cell_->Shape(decision.worker).id;
  const auto owner = workers_.find(entry.worker);
  if (owner == workers_.end()) {
    return Answer(task.task_id, wire::place_status::wait, "worker was dropped");
  }
  auto& worker = owner->second;
  auto status = wire::place_status::placed;
  if (decision.outcome == placement_outcome::kPreempt) {
    // Victims of an earlier pre-emption make room for that one only.
    for (const auto& victim : decision.victims) {
      const auto found = tasks_.find(victim);
      if (found != tasks_.end() && found->second.stop) {
        return Answer(task.task_id, wire::place_status::wait,
                      "another pre-emption is under way");
      }
    }
    status = wire::place_status::preempting;
    entry.now = phase::kAwaitingRoom;
    entry.victims = decision.victims;
    entry.deadline = options_.clock->Now() + kPreemptionLimit;
    for (const auto& victim : decision.victims) {
      const auto found = tasks_.find(victim);
      if (found != tasks_.end()) {
        AskStop(found->second, stop_mode::kCheckpoint);
      }
    }
  } else {
    const auto allocated = Attempt(
        [&] { return cell_->Allocate(decision.worker, RequestOf(entry)); });
    if (!allocated) {
      return Answer(task.task_id, wire::place_status::wait,
                    allocated.failure.message);
    }
    entry.now = phase::kStarting;
  }
  auto answer = Answer(task.task_id, status);
  answer->worker = entry.worker;
  answer->partition = worker.partition;
  AddTask(task.task_id, std::move(entry));
  if (worker.wake) worker.wake->Wake();
  return answer;
}

void worker_fleet::Reserve(const wire::place_requestT& request,
                           wire::place_responseT& response) {
  const auto deadline = options_.clock->Now() +
                        std::min<duration>(milliseconds(request.expires_in_ms),
                                           kLongestReservation);
  std::vector<task_entry> entries;
  entries.reserve(request.tasks.size());
  std::vector<placement_request> needs;
  needs.reserve(request.tasks.size());
  for (const auto& task : request.tasks) entries.push_back(MakeEntry(*task));
  for (const auto& entry : entries) needs.push_back(RequestOf(entry));
  auto chosen = cell_->DecideGang(needs, random_);
  const bool all_fit = chosen.size() == entries.size();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    auto& entry = entries[i];
    const auto id = entry.spec.task_id;
    if (tasks_.contains(id)) {
      response.placements.push_back(
          Answer(id, wire::place_status::refused,
                 "an earlier attempt is not settled"));
      continue;
    }
    worker_index target = kNoWorker;
    if (all_fit) {
      target = chosen[i];
    } else {
      // The caller looks for the rest of the gang at the next owner.
      const auto decision = cell_->Decide(needs[i], random_);
      if (decision.outcome == placement_outcome::kPlaced) {
        target = decision.worker;
      }
    }
    if (target == kNoWorker ||
        !Attempt([&] { return cell_->Allocate(target, needs[i]); })) {
      response.placements.push_back(Answer(id, wire::place_status::wait));
      continue;
    }
    entry.worker = cell_->Shape(target).id;
    entry.now = phase::kReserved;
    entry.reservation = request.reservation_id;
    entry.deadline = deadline;
    auto answer = Answer(id, wire::place_status::reserved);
    answer->worker = entry.worker;
    response.placements.push_back(std::move(answer));
    AddTask(id, std::move(entry));
  }
}

std::unique_ptr<wire::task_placementT> worker_fleet::Commit(
    const wire::place_requestT& request, const wire::taskT& task) {
  const auto found = tasks_.find(task.task_id);
  if (found == tasks_.end() ||
      found->second.reservation != request.reservation_id ||
      found->second.now == phase::kEnded) {
    return Answer(task.task_id, wire::place_status::refused,
                  "the reservation has expired");
  }
  auto& entry = found->second;
  if (entry.now == phase::kReserved) {
    const auto worker = workers_.find(entry.worker);
    if (options_.clock->Now() >= entry.deadline || worker == workers_.end() ||
        worker->second.now != worker_phase::kReady ||
        worker->second.vm.state != vm_state::kLive) {
      EraseTask(task.task_id);
      return Answer(task.task_id, wire::place_status::refused,
                    "the reservation has expired");
    }
    entry.now = phase::kStarting;
    entry.deadline = time_point::max();
    if (worker->second.wake) worker->second.wake->Wake();
  }
  auto answer = Answer(task.task_id, wire::place_status::placed);
  answer->worker = entry.worker;
  return answer;
}

wire::stop_responseT worker_fleet::StopTasks(const wire::stop_requestT& request,
                                             const shard_epochs& view_epochs) {
  std::lock_guard guard(mutex_);
  wire::stop_responseT response;
  const bool fenced = Fenced(request.shard, request.shard_epoch, view_epochs);
  for (const auto& id : request.task_ids) {
    const auto found = fenced ? tasks_.end() : tasks_.find(id);
    if (found == tasks_.end()) {
      response.known.push_back(false);
      continue;
    }
    auto& task = found->second;
    response.known.push_back(true);
    if (task.now == phase::kReserved) {
      EraseTask(id);
    } else if (task.now == phase::kAwaitingRoom ||
               (task.now == phase::kStarting && !task.start_sent)) {
      End(task, task_state::kStopped, "stopped before its start", false);
    } else if (task.now != phase::kEnded) {
      AskStop(task, request.mode == wire::stop_mode::checkpoint
                        ? stop_mode::kCheckpoint
                        : stop_mode::kKill);
    }
  }
  return response;
}

wire::inventory_responseT worker_fleet::Inventory(
    const wire::inventory_requestT& request, const expected_workers& expected,
    const shard_epochs& view_epochs) {
  std::lock_guard guard(mutex_);
  wire::inventory_responseT response;
  if (Fenced(request.shard, request.shard_epoch, view_epochs)) return response;
  const auto now = options_.clock->Now();
  for (const auto& [partition, names] : expected.partitions) {
    auto line = std::make_unique<wire::partition_inventoryT>();
    line->partition = partition;
    const auto settled = [&](const worker_entry& worker) {
      return worker.now == worker_phase::kReady ||
             CertainlyExpired(worker, now);
    };
    line->complete = expected.list_is_current &&
                     !expected.uncertain.contains(partition) &&
                     std::all_of(names.begin(), names.end(),
                                 [&, &rack = partition](const auto& name) {
                                   const auto found = workers_.find(name);
                                   return found != workers_.end() &&
                                          found->second.partition == rack &&
                                          settled(found->second);
                                 });
    for (const auto& [id, worker] : workers_) {
      if (worker.partition == partition && !settled(worker)) {
        line->complete = false;
      }
    }
    response.partitions.push_back(std::move(line));
  }
  for (const auto& [id, task] : tasks_) {
    if (task.spec.shard != request.shard || task.now == phase::kReserved) {
      continue;
    }
    auto line = std::make_unique<wire::running_taskT>();
    line->spec = std::make_unique<wire::taskT>(ToWire(task.spec));
    line->state = static_cast<std::uint8_t>(
        task.now == phase::kEnded ? task.status.state : task_state::kRunning);
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

std::vector<worker_order> worker_fleet::TakeOrders(std::string_view worker_id) {
  std::lock_guard guard(mutex_);
  std::vector<worker_order> orders;
  const auto found = workers_.find(worker_id);
  if (found == workers_.end() || found->second.now != worker_phase::kReady) {
    return orders;
  }
  auto& worker = found->second;
  orders = std::exchange(worker.throttles, {});
  for (const auto& id : worker.strays) {
    worker_order order;
    order.what = worker_order::kind::kStop;
    order.spec.task_id = id;
    orders.push_back(std::move(order));
  }
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    worker_order order;
    order.spec = task.spec;
    if (task.now == phase::kStarting && !task.start_sent) {
      // The worker would answer with the ended attempt and start nothing.
      if (worker.to_acknowledge.contains(id)) continue;
      order.what = worker_order::kind::kStart;
      order.expires_at_ms = worker.lease.ExpiryToSend(options_.clock->Now());
      worker.lease.OnSent(order.expires_at_ms);
      task.start_sent = true;
      orders.push_back(std::move(order));
    } else if (task.now == phase::kRunning && task.stop && !task.stop_sent) {
      order.what = worker_order::kind::kStop;
      order.mode = *task.stop;
      task.stop_sent = true;
      orders.push_back(std::move(order));
    }
  }
  return orders;
}

void worker_fleet::OnStarted(std::string_view worker_id,
                             const worker_order& order,
                             const outcome<task_status>& answer) {
  std::lock_guard guard(mutex_);
  const auto found = tasks_.find(order.spec.task_id);
  if (found == tasks_.end() || found->second.worker != worker_id ||
      found->second.now != phase::kStarting) {
    return;
  }
  auto& task = found->second;
  if (answer) {
    task.listed_from = options_.clock->Now();
    task.status = *answer;
    task.on_worker_list = true;
    if (answer->state != task_state::kRunning) {
      End(task, answer->state, answer->message, true);
      return;
    }
    task.now = phase::kRunning;
    Report(task);
    return;
  }
  if (answer.failure.kind == error_kind::kTimeout ||
      answer.failure.kind == error_kind::kCorrupt) {
    task.unsettled_until_ms = order.expires_at_ms;
    Emit(options_.log, kStartUnknown,
         {Field("task", order.spec.task_id), Field("worker", worker_id)});
    return;
  }
  End(task, task_state::kFailed, "not started: " + answer.failure.message,
      false);
}

}  // namespace apricotwheel

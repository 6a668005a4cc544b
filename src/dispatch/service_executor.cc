#include "dispatch/service_executor.h"

#include <utility>

#include "dispatch/dispatch_events.h"
#include "dispatch/dispatch_outcome.h"

namespace apricotwheel {

namespace {

// After this many attempts that did not run, the request is returned and can be
// sent to another owner.
constexpr int kMaxAttempts = 4;

// A higher score is published only by gossip. A higher limit costs messages
// without a shorter p99 of the waiting time (bench/balance_model.cc).
constexpr std::int64_t kMaxPublishedScore = 1;

std::int64_t ScoreOf(const service_capacity& capacity) {
  return capacity.free_slots - capacity.queued;
}

constexpr std::array kClasses = {
    priority_class::kUrgent, priority_class::kService, priority_class::kBatch};

lease_end_reason EndReasonOf(error_kind kind) {
  switch (kind) {
    case error_kind::kUnavailable:
      return lease_end_reason::kUnreachable;
    case error_kind::kStaleEpoch:
      return lease_end_reason::kStaleEpoch;
    case error_kind::kCapacity:
      return lease_end_reason::kNoSlot;
    default:
      return lease_end_reason::kUnknown;
  }
}

}  // namespace

service_executor::service_executor(service_executor_options options)
    : options_(std::move(options)),
      queue_(options_.queue_limit),
      pool_(options_.pool) {}

void service_executor::SetInstances(std::span<const instance_record> records) {
  const std::lock_guard lock(mutex_);
  pool_.SetInstances(records, options_.clock->Now());
  AssignSlotsAndNotify();
}

void service_executor::SetQueueLimit(std::size_t limit) {
  const std::lock_guard lock(mutex_);
  queue_.SetLimit(limit);
}

void service_executor::AssignSlotsAndNotify() {
  AssignSlots();
  const std::int64_t score = ScoreOf(CapacityNow());
  if (score == last_score_) return;
  last_score_ = score;
  if (score > kMaxPublishedScore) return;
  capacity_changed_ = true;
  options_.on_capacity_changed();
}

void service_executor::AssignSlots() {
  if (pool_.CountListed() == 0) {
    for (const auto& [id, waiting] : waiters_) {
      queue_.Remove(id);
      waiting->no_instance = true;
      waiting->ready.notify_one();
    }
    waiters_.clear();
    return;
  }
  const time_point now = options_.clock->Now();
  while (const auto front = queue_.Front(now)) {
    auto lease = pool_.Acquire(now);
    if (!lease) return;
    queue_.Remove(*front);
    const auto found = waiters_.find(*front);
    found->second->lease = std::move(lease);
    found->second->ready.notify_one();
    waiters_.erase(found);
  }
}

std::optional<slot_lease> service_executor::WaitForSlot(
    std::unique_lock<std::mutex>& lock, const queue_entry& entry,
    waiter& waiting) {
  waiters_.emplace(entry.id, &waiting);
  AssignSlotsAndNotify();
  options_.clock->WaitUntil(lock, waiting.ready, entry.deadline, [&] {
    return waiting.lease.has_value() || waiting.no_instance || waiting.moved;
  });
  if (!waiting.lease && !waiting.no_instance && !waiting.moved) {
    queue_.Remove(entry.id);
    waiters_.erase(entry.id);
  }
  return std::move(waiting.lease);
}

service_response service_executor::Run(const admitted_request& admitted) {
  queue_entry entry{0, options_.clock->Now() - admitted.waited,
                    admitted.deadline};
  for (int attempt = 1;; ++attempt) {
    waiter waiting;
    waiting.movable = admitted.movable;
    waiting.enqueued_at = entry.enqueued_at;
    std::unique_lock lock(mutex_);
    if (attempt > 1) {
      queue_.Requeue(entry, admitted.priority);
    } else {
      if (pool_.CountListed() == 0) return MakeNotRun(reason::kNoInstance);
      entry.id = next_id_++;
      const bool has_free_slot =
          queue_.Length() < pool_.CountFreeSlots(entry.enqueued_at);
      const auto shed = queue_.Enqueue(entry, admitted.priority,
                                       pool_.CountSlots(), has_free_slot);
      if (shed) return MakeNotRun(*shed);
    }
    auto lease = WaitForSlot(lock, entry, waiting);
    lock.unlock();
    if (waiting.moved) return MakeNotRun(reason::kNoSlot);
    if (!lease) {
      return MakeNotRun(waiting.no_instance ? reason::kNoInstance
                                            : reason::kDeadline);
    }
    attempt_result attempted = Send(admitted, *lease, entry.enqueued_at);
    Release(std::move(*lease), attempted.end_reason);
    if (attempted.response.outcome != request_outcome::kNotRun ||
        attempt == kMaxAttempts) {
      return std::move(attempted.response);
    }
    options_.metrics->CountRetry(options_.service, "not_run");
  }
}

service_executor::attempt_result service_executor::Send(
    const admitted_request& admitted, slot_lease& lease,
    time_point enqueued_at) {
  const instance_record& record = lease.record;
  attempt_result attempted;
  attempted.response = MakeNotRun(reason::kNoInstance);
  if (!lease.connection) {
    auto opened = options_.open_connection(record.address);
    if (!opened) {
      attempted.end_reason = lease_end_reason::kUnreachable;
      return attempted;
    }
    lease.connection = std::move(*opened);
  }
  instance_request request{admitted.request.method,
                           admitted.request.path,
                           EndToEndHeaders(admitted.request.headers),
                           admitted.request.body,
                           admitted.correlation_id,
                           record.epoch};
  if (!admitted.request.idempotency_key.empty()) {
    request.headers.emplace_back("Idempotency-Key",
                                 admitted.request.idempotency_key);
  }
  const auto authority = options_.pool.authority_expiry(record.task_id);
  const time_point sent_at = options_.clock->Now();
  if (sent_at >= admitted.deadline) {
    attempted.response = MakeNotRun(reason::kDeadline);
    return attempted;
  }
  if (!authority || sent_at >= *authority) return attempted;
  options_.metrics->ObserveWait(options_.service, admitted.priority,
                                sent_at - enqueued_at);
  auto send_result =
      lease.connection->send(request, admitted.deadline - sent_at);
  const time_point ended_at = options_.clock->Now();
  if (send_result) {
    attempted.end_reason = lease_end_reason::kCompleted;
    service_response& response = attempted.response;
    response = {};
    response.outcome = request_outcome::kCompleted;
    response.status = send_result->status;
    response.headers = EndToEndHeaders(send_result->headers);
    response.body = std::move(send_result->body);
    response.worker = record.worker;
    const std::lock_guard lock(mutex_);
    queue_.RecordServiceTime(ended_at - sent_at);
    return attempted;
  }
  attempted.end_reason = EndReasonOf(send_result.failure.kind);
  if (attempted.end_reason == lease_end_reason::kStaleEpoch) {
    Emit(options_.log, dispatch_events::kEpochRefused,
         {Field("task", record.task_id), Field("epoch", record.epoch)});
  }
  if (attempted.end_reason != lease_end_reason::kUnknown) return attempted;
  attempted.response =
      MakeUnknown(ended_at >= admitted.deadline ? reason::kDeadline
                                                : reason::kInstanceFailed,
                  record.worker);
  Emit(options_.log, dispatch_events::kRequestUnknown,
       {Field("correlation_id", admitted.correlation_id),
        Field("task", record.task_id),
        Field("failure", Describe(send_result.failure))});
  return attempted;
}

void service_executor::Release(slot_lease lease, lease_end_reason end_reason) {
  const std::lock_guard lock(mutex_);
  const time_point now = options_.clock->Now();
  const pooled_instance_ptr instance = lease.instance;
  const auto before = instance->breaker.State(now);
  pool_.Release(std::move(lease), end_reason, now);
  if (before != breaker_state::kOpen &&
      instance->breaker.State(now) == breaker_state::kOpen) {
    Emit(options_.log, dispatch_events::kBreakerOpened,
         {Field("task", instance->record.task_id),
          Field("worker", instance->record.worker)});
  }
  AssignSlotsAndNotify();
}

void service_executor::RunPeriodicWork() {
  // Destroyed, and so closed, after the lock is released.
  std::vector<connection_ptr> expired;
  const std::lock_guard lock(mutex_);
  const time_point now = options_.clock->Now();
  expired = pool_.TakeExpiredConnections(now);
  AssignSlotsAndNotify();
}

void service_executor::UpdateGauges() {
  const std::lock_guard lock(mutex_);
  const time_point now = options_.clock->Now();
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::int64_t breakers = 0;
  for (const auto& instance : pool_.Instances()) {
    slots += instance->leased_slots + instance->unleased_slots;
    connections += instance->local_connections + instance->unleased_connections;
    if (instance->breaker.State(now) != breaker_state::kClosed) ++breakers;
  }
  dispatch_metrics& metrics = *options_.metrics;
  metrics.SetSlots(options_.service, slots, pool_.CountSlots());
  metrics.SetConnections(options_.service, connections);
  metrics.SetOpenBreakers(options_.service, breakers);
  for (const auto priority : kClasses) {
    metrics.SetQueueLength(options_.service, priority, queue_.Length(priority));
  }
}

std::optional<usage_read> service_executor::StartUsageRead() {
  const std::lock_guard lock(mutex_);
  return pool_.StartUsageRead(options_.clock->Now());
}

void service_executor::RunUsageRead(usage_read read) {
  outcome<instance_usage> usage;
  if (!read.connection) {
    auto opened = options_.open_connection(read.instance->record.address);
    if (opened) {
      read.connection = std::move(*opened);
    } else {
      usage.failure = opened.failure;
    }
  }
  if (read.connection) usage = read.connection->fetch_usage();
  const pooled_instance_ptr instance = read.instance;
  const std::lock_guard lock(mutex_);
  if (!usage) {
    Emit(options_.log, dispatch_events::kUsageReadFailed,
         {Field("task", instance->record.task_id),
          Field("failure", Describe(usage.failure))});
  }
  pool_.FinishUsageRead(std::move(read), usage, options_.clock->Now());
  AssignSlotsAndNotify();
}

service_capacity service_executor::Capacity() const {
  const std::lock_guard lock(mutex_);
  return CapacityNow();
}

std::optional<service_capacity> service_executor::TakeCapacityChange() {
  const std::lock_guard lock(mutex_);
  if (!std::exchange(capacity_changed_, false)) return std::nullopt;
  return CapacityNow();
}

void service_executor::MoveQueuedRequests(
    const std::function<bool(std::int64_t score)>& has_better) {
  const std::lock_guard lock(mutex_);
  while (true) {
    auto newest = waiters_.end();
    for (auto candidate = waiters_.begin(); candidate != waiters_.end();
         ++candidate) {
      if (!candidate->second->movable) continue;
      if (newest == waiters_.end() ||
          candidate->second->enqueued_at > newest->second->enqueued_at) {
        newest = candidate;
      }
    }
    if (newest == waiters_.end() || !has_better(ScoreOf(CapacityNow()))) return;
    queue_.Remove(newest->first);
    newest->second->moved = true;
    newest->second->ready.notify_one();
    waiters_.erase(newest);
  }
}

service_capacity service_executor::CapacityNow() const {
  return {pool_.CountAccepting(), pool_.CountFreeSlots(options_.clock->Now()),
          static_cast<std::int64_t>(queue_.Length())};
}

}  // namespace apricotwheel

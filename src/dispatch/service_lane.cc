#include "dispatch/service_lane.h"

#include <utility>

#include "dispatch/dispatch_events.h"
#include "dispatch/dispatch_outcome.h"

namespace apricotwheel {

namespace {

// A request that did not run at so many instances in a row is returned, so
// that another owner can try it.
constexpr int kMaxAttempts = 4;

// With more free slots than this a gossiped state is good enough; a higher
// limit cost messages without a shorter waiting p99 (bench/balance_model.cc).
constexpr std::int64_t kPublishBelow = 1;

std::int64_t ScoreOf(const own_capacity& capacity) {
  return capacity.free_slots - capacity.queued;
}

constexpr std::array kClasses = {
    priority_class::kUrgent, priority_class::kService, priority_class::kBatch};

lease_end EndOf(error_kind kind) {
  switch (kind) {
    case error_kind::kUnavailable:
      return lease_end::kUnreachable;
    case error_kind::kStaleEpoch:
      return lease_end::kStaleEpoch;
    case error_kind::kCapacity:
      return lease_end::kNoSlot;
    default:
      return lease_end::kUnknown;
  }
}

}  // namespace

service_lane::service_lane(service_lane_options options)
    : options_(std::move(options)),
      queue_(options_.queue_limit),
      pool_(options_.pool) {}

void service_lane::SetInstances(std::span<const instance_record> records) {
  const std::lock_guard lock(mutex_);
  pool_.SetInstances(records, options_.clock->Now());
  Grant();
}

void service_lane::SetQueueLimit(std::size_t limit) {
  const std::lock_guard lock(mutex_);
  queue_.SetLimit(limit);
}

void service_lane::Grant() {
  GiveSlots();
  const std::int64_t score = ScoreOf(CapacityNow());
  if (score == noticed_score_) return;
  noticed_score_ = score;
  if (score > kPublishBelow) return;
  is_changed_ = true;
  options_.changed();
}

void service_lane::GiveSlots() {
  if (pool_.Listed() == 0) {
    for (const auto& [id, waiting] : waiting_) {
      queue_.Remove(id);
      waiting->no_instance = true;
      waiting->ready.notify_one();
    }
    waiting_.clear();
    return;
  }
  const time_point now = options_.clock->Now();
  while (const auto front = queue_.Front(now)) {
    auto lease = pool_.Acquire(now);
    if (!lease) return;
    queue_.Remove(*front);
    const auto found = waiting_.find(*front);
    found->second->lease = std::move(lease);
    found->second->ready.notify_one();
    waiting_.erase(found);
  }
}

std::optional<slot_lease> service_lane::WaitForSlot(
    std::unique_lock<std::mutex>& lock, const queue_entry& entry,
    waiter& waiting) {
  waiting_.emplace(entry.id, &waiting);
  Grant();
  options_.clock->WaitUntil(lock, waiting.ready, entry.deadline, [&] {
    return waiting.lease.has_value() || waiting.no_instance || waiting.moved;
  });
  if (!waiting.lease && !waiting.no_instance && !waiting.moved) {
    queue_.Remove(entry.id);
    waiting_.erase(entry.id);
  }
  return std::move(waiting.lease);
}

service_response service_lane::Run(const staged_request& staged) {
  queue_entry entry{0, options_.clock->Now() - staged.waited, staged.deadline};
  for (int attempt = 1;; ++attempt) {
    waiter waiting;
    waiting.movable = staged.movable;
    waiting.entered_at = entry.entered_at;
    std::unique_lock lock(mutex_);
    if (attempt > 1) {
      queue_.Return(entry, staged.priority);
    } else {
      if (pool_.Listed() == 0) return MakeNotRun(reason::kNoInstance);
      entry.id = next_id_++;
      const bool slot_free =
          queue_.Length() < pool_.FreeSlots(entry.entered_at);
      const auto shed =
          queue_.Enter(entry, staged.priority, pool_.TotalSlots(), slot_free);
      if (shed) return MakeNotRun(*shed);
    }
    auto lease = WaitForSlot(lock, entry, waiting);
    lock.unlock();
    if (waiting.moved) return MakeNotRun(reason::kNoSlot);
    if (!lease) {
      return MakeNotRun(waiting.no_instance ? reason::kNoInstance
                                            : reason::kDeadline);
    }
    attempt_result attempted = Send(staged, *lease, entry.entered_at);
    Release(std::move(*lease), attempted.end);
    if (attempted.response.outcome != request_outcome::kNotRun ||
        attempt == kMaxAttempts) {
      return std::move(attempted.response);
    }
    options_.metrics->CountRetry(options_.service, "not_run");
  }
}

service_lane::attempt_result service_lane::Send(const staged_request& staged,
                                                slot_lease& lease,
                                                time_point entered_at) {
  const instance_record& record = lease.record;
  attempt_result attempted;
  attempted.response = MakeNotRun(reason::kNoInstance);
  if (!lease.connection) {
    auto opened = options_.open(record.address);
    if (!opened) {
      attempted.end = lease_end::kUnreachable;
      return attempted;
    }
    lease.connection = std::move(*opened);
  }
  instance_request request{staged.request.method,
                           staged.request.path,
                           EndToEndHeaders(staged.request.headers),
                           staged.request.body,
                           staged.correlation_id,
                           record.epoch};
  if (!staged.request.idempotency_key.empty()) {
    request.headers.emplace_back("Idempotency-Key",
                                 staged.request.idempotency_key);
  }
  const auto authority = options_.pool.authority(record.task_id);
  const time_point started = options_.clock->Now();
  if (started >= staged.deadline) {
    attempted.response = MakeNotRun(reason::kDeadline);
    return attempted;
  }
  if (!authority || started >= *authority) return attempted;
  options_.metrics->ObserveWait(options_.service, staged.priority,
                                started - entered_at);
  auto answered = lease.connection->send(request, staged.deadline - started);
  const time_point ended = options_.clock->Now();
  if (answered) {
    attempted.end = lease_end::kCompleted;
    service_response& response = attempted.response;
    response = {};
    response.outcome = request_outcome::kCompleted;
    response.status = answered->status;
    response.headers = EndToEndHeaders(answered->headers);
    response.body = std::move(answered->body);
    response.worker = record.worker;
    const std::lock_guard lock(mutex_);
    queue_.RecordServiceTime(ended - started);
    return attempted;
  }
  attempted.end = EndOf(answered.failure.kind);
  if (attempted.end == lease_end::kStaleEpoch) {
    Emit(options_.log, dispatch_events::kEpochRefused,
         {Field("task", record.task_id), Field("epoch", record.epoch)});
  }
  if (attempted.end != lease_end::kUnknown) return attempted;
  attempted.response = MakeUnknown(
      ended >= staged.deadline ? reason::kDeadline : reason::kInstanceFailed,
      record.worker);
  Emit(options_.log, dispatch_events::kRequestUnknown,
       {Field("correlation_id", staged.correlation_id),
        Field("task", record.task_id),
        Field("failure", Describe(answered.failure))});
  return attempted;
}

void service_lane::Release(slot_lease lease, lease_end end) {
  const std::lock_guard lock(mutex_);
  const time_point now = options_.clock->Now();
  const pooled_instance_ptr instance = lease.instance;
  const auto before = instance->breaker.State(now);
  pool_.Release(std::move(lease), end, now);
  if (before != breaker_state::kOpen &&
      instance->breaker.State(now) == breaker_state::kOpen) {
    Emit(options_.log, dispatch_events::kBreakerOpened,
         {Field("task", instance->record.task_id),
          Field("worker", instance->record.worker)});
  }
  Grant();
}

void service_lane::Tick() {
  std::vector<connection_ptr> expired;  // Closed after the lock is released.
  const std::lock_guard lock(mutex_);
  const time_point now = options_.clock->Now();
  expired = pool_.TakeExpired(now);
  Grant();
}

void service_lane::UpdateGauges() {
  const std::lock_guard lock(mutex_);
  const time_point now = options_.clock->Now();
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::int64_t breakers = 0;
  for (const auto& instance : pool_.Instances()) {
    slots += instance->own_slots + instance->other_slots;
    connections += instance->own_connections + instance->other_connections;
    if (instance->breaker.State(now) != breaker_state::kClosed) ++breakers;
  }
  dispatch_metrics& metrics = *options_.metrics;
  metrics.SetSlots(options_.service, slots, pool_.TotalSlots());
  metrics.SetConnections(options_.service, connections);
  metrics.SetOpenBreakers(options_.service, breakers);
  for (const auto priority : kClasses) {
    metrics.SetQueueLength(options_.service, priority, queue_.Length(priority));
  }
}

std::optional<usage_read> service_lane::StartUsageRead() {
  const std::lock_guard lock(mutex_);
  return pool_.StartUsageRead(options_.clock->Now());
}

void service_lane::RunUsageRead(usage_read read) {
  outcome<instance_usage> usage;
  if (!read.connection) {
    auto opened = options_.open(read.instance->record.address);
    if (opened) {
      read.connection = std::move(*opened);
    } else {
      usage.failure = opened.failure;
    }
  }
  if (read.connection) usage = read.connection->usage();
  const pooled_instance_ptr instance = read.instance;
  const std::lock_guard lock(mutex_);
  if (!usage) {
    Emit(options_.log, dispatch_events::kUsageReadFailed,
         {Field("task", instance->record.task_id),
          Field("failure", Describe(usage.failure))});
  }
  pool_.FinishUsageRead(std::move(read), usage, options_.clock->Now());
  Grant();
}

own_capacity service_lane::Capacity() const {
  const std::lock_guard lock(mutex_);
  return CapacityNow();
}

std::optional<own_capacity> service_lane::TakeChange() {
  const std::lock_guard lock(mutex_);
  if (!std::exchange(is_changed_, false)) return std::nullopt;
  return CapacityNow();
}

void service_lane::MoveWaiting(
    const std::function<bool(std::int64_t score)>& better) {
  const std::lock_guard lock(mutex_);
  while (true) {
    auto newest = waiting_.end();
    for (auto each = waiting_.begin(); each != waiting_.end(); ++each) {
      if (!each->second->movable) continue;
      if (newest == waiting_.end() ||
          each->second->entered_at > newest->second->entered_at) {
        newest = each;
      }
    }
    if (newest == waiting_.end() || !better(ScoreOf(CapacityNow()))) return;
    queue_.Remove(newest->first);
    newest->second->moved = true;
    newest->second->ready.notify_one();
    waiting_.erase(newest);
  }
}

own_capacity service_lane::CapacityNow() const {
  return {pool_.Accepting(), pool_.FreeSlots(options_.clock->Now()),
          static_cast<std::int64_t>(queue_.Length())};
}

}  // namespace apricotwheel

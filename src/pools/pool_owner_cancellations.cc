// Cancellations of jobs, and of ids of jobs that have not been submitted.
#include <utility>

#include "pools/pool_events.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

namespace {

// A cancelled id is kept for as long as a finished job: a submission that was
// on its way meanwhile is not accepted.
constexpr auto kCancelledIdRetention = std::chrono::minutes(5);
// The records of ids that are cancelled within this time share a lease.
constexpr auto kLeaseUse = std::chrono::minutes(1);
// Callers of an organisation, or without one, can cancel this many unknown ids
// with one lease, which bounds their records in the store.
constexpr std::size_t kMaxIdsPerLease = 5000;
// Cancellations of unknown ids that wait for a commit. They leave handler
// threads and room in the commits to other requests.
constexpr std::size_t kMaxWaitingIds = 16;
constexpr std::int64_t kIdsRetryAfterMs = 1000;
constexpr std::uint64_t kIdsRetrySpread = 3;
constexpr auto kRefusalReportInterval = milliseconds(2000);

job_call_response MakeResponse(job_call_status status) {
  job_call_response response;
  response.status = status;
  return response;
}

}  // namespace

job_call_response pool_owner::Cancel(std::string_view job_id,
                                     time_point deadline,
                                     const caller_identity& caller) {
  bool is_deferred = false;
  {
    const std::lock_guard lock(mutex_);
    ++activity_.requests;
    is_deferred =
        FindDeferred(job_id) != nullptr && !IsClosedTo(job_id, caller);
  }
  if (is_deferred && !LoadDeferred(std::string(job_id))) {
    return Unavailable("the job could not be read");
  }
  auto response = CancelKnown(job_id, deadline, caller);
  if (response) return *response;
  const id_cancellation cancellation =
      CancelUnknown(std::string(job_id), deadline, caller);
  switch (cancellation.outcome) {
    case id_cancellation_outcome::kStored:
      return MakeResponse(job_call_status::kAbsent);
    case id_cancellation_outcome::kUnknown:
      return MakeResponse(job_call_status::kUnknown);
    case id_cancellation_outcome::kNotStored:
      return NotStored("the cancellation could not be stored");
    case id_cancellation_outcome::kRefused:
      return RefuseCancellation();
    case id_cancellation_outcome::kAccepted:
      break;
  }
  if (cancellation.partition != options_.pool) {
    response = MakeResponse(job_call_status::kMoved);
    response->moved_to = cancellation.partition;
    return *response;
  }
  // It was admitted meanwhile, or has been forgotten since it ended.
  response = CancelKnown(job_id, deadline, caller);
  return response ? *response : MakeResponse(job_call_status::kAbsent);
}

std::optional<job_call_response> pool_owner::CancelKnown(
    std::string_view job_id, time_point deadline,
    const caller_identity& caller) {
  std::unique_lock lock(mutex_);
  if (!options_.clock->WaitUntil(lock, requests_changed_, deadline, [&] {
        return is_stopped_ || is_quiesced_ ||
               (is_loaded_ && !busy_ids_.contains(job_id) &&
                !moving_jobs_.contains(job_id));
      })) {
    return MakeResponse(job_call_status::kUnknown);
  }
  if (is_stopped_ || is_quiesced_) {
    return Unavailable("the pool is being handed over");
  }
  if (const auto moved = FindMoved(job_id)) return *moved;
  if (IsClosedTo(job_id, caller)) {
    return MakeResponse(job_call_status::kForbidden);
  }
  if (!scheduler_->CancelJob(job_id, options_.clock->Now())) {
    return std::nullopt;
  }
  // A repeated cancellation finds the result stored and waits for nothing.
  const auto is_stored = [&] {
    const auto state = scheduler_->FindStoredJobState(job_id);
    return !state || IsFinal(*state);
  };
  if (is_stored()) return MakeResponse(job_call_status::kCancelled);
  RequestDecision();
  journal_->ScheduleCommit({});
  ++waiting_cancellations_;
  options_.clock->WaitUntil(lock, requests_changed_, deadline,
                            [&] { return is_stopped_ || is_stored(); });
  --waiting_cancellations_;
  return MakeResponse(is_stored() ? job_call_status::kCancelled
                                  : job_call_status::kUnknown);
}

id_cancellation pool_owner::CancelUnknown(const std::string& job_id,
                                          time_point deadline,
                                          const caller_identity& caller) {
  {
    std::unique_lock lock(mutex_);
    // Copies of the job that arrive here wait for the result.
    const auto is_free = [&] {
      return is_stopped_ || is_quiesced_ || !busy_ids_.contains(job_id);
    };
    if (!options_.clock->WaitUntil(lock, requests_changed_, deadline,
                                   is_free) ||
        is_stopped_ || is_quiesced_) {
      return {id_cancellation_outcome::kNotStored, {}};
    }
    std::size_t& cancelled = cancelled_ids_[caller.organisation];
    if (waiting_ids_ >= kMaxWaitingIds || cancelled >= kMaxIdsPerLease) {
      return {id_cancellation_outcome::kRefused, {}};
    }
    ++cancelled;
    ++waiting_ids_;
    busy_ids_.insert(job_id);
  }
  id_cancellation cancellation{id_cancellation_outcome::kNotStored, {}};
  const auto lease =
      journal_->IsStoreUnreachable() ? std::nullopt : CancellationLease();
  if (lease) {
    cancellation = journal_->CancelId(job_id, caller, *lease, deadline);
  }
  {
    const std::lock_guard lock(mutex_);
    --waiting_ids_;
    busy_ids_.erase(job_id);
    // The lease may have ended with the store.
    if (cancellation.outcome == id_cancellation_outcome::kNotStored) {
      cancellation_lease_.clear();
    }
    if (cancellation.outcome == id_cancellation_outcome::kStored) {
      unresolved_submissions_.erase(job_id);
    }
  }
  requests_changed_.notify_all();
  return cancellation;
}

std::optional<std::string> pool_owner::CancellationLease() {
  const auto now = options_.clock->Now();
  {
    const std::lock_guard lock(mutex_);
    if (!cancellation_lease_.empty() &&
        now < cancellation_lease_granted_at_ + duration(kLeaseUse)) {
      return cancellation_lease_;
    }
  }
  const auto granted = Attempt([&] {
    return options_.kv->GrantLease(kCancelledIdRetention + kLeaseUse);
  });
  if (!granted) return std::nullopt;
  const std::lock_guard lock(mutex_);
  cancellation_lease_ = *granted;
  cancellation_lease_granted_at_ = now;
  cancelled_ids_.clear();
  return cancellation_lease_;
}

job_call_response pool_owner::RefuseCancellation() {
  options_.metrics->refused_cancellations.Increment();
  const std::lock_guard lock(mutex_);
  job_call_response response = MakeResponse(job_call_status::kNotStored);
  response.retry_after_ms =
      kIdsRetryAfterMs *
      static_cast<std::int64_t>(1 + ++cancellation_refusals_ % kIdsRetrySpread);
  response.reason = "too many ids without a job are being cancelled";
  const auto now = options_.clock->Now();
  if (now - cancellation_refusals_reported_at_ < kRefusalReportInterval) {
    return response;
  }
  cancellation_refusals_reported_at_ = now;
  Emit(options_.log, pool_events::kCancellationsRefused,
       {Field("pool", options_.pool), Field("refused", cancellation_refusals_),
        Field("waiting", waiting_ids_)});
  return response;
}

}  // namespace apricotwheel

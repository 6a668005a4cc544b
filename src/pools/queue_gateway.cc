#include "pools/queue_gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pools/job_id_record.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Part of a caller's timeout that is reserved for sending the response.
constexpr auto kResponseReserve = milliseconds(150);
// A pool without an owner gets one within seconds. A caller that cannot be
// served before this timeout is told to retry.
constexpr auto kSubmitTimeout = milliseconds(1200);
constexpr auto kMaxCallTimeout = milliseconds(1500);
constexpr auto kRetryInterval = milliseconds(40);
// Interval of owner queries to other daemons while a request has no result.
constexpr auto kOwnerQueryInterval = milliseconds(250);
constexpr std::int64_t kRetryAfterMs = 1000;
// If the owner has not responded within this timeout, the state is read from
// the store.
constexpr auto kStateTimeout = milliseconds(600);
// A queue may have had another pool when a job was accepted, and the job may
// have moved between the partitions of that one.
constexpr int kMaxMoves = 3;

job_call_response MakeResponse(job_call_status status,
                               std::string reason = {}) {
  job_call_response response;
  response.status = status;
  response.reason = std::move(reason);
  if (status == job_call_status::kUnavailable)
    response.retry_after_ms = kRetryAfterMs;
  return response;
}

// Returns true for responses that are true of one copy of a request only: an
// earlier copy may still be stored.
bool IsTrueOfOneCopy(job_call_status status) {
  return status == job_call_status::kNotStored ||
         status == job_call_status::kRefused;
}

// Returns true if the owner may have executed a request that failed so.
bool MayHaveEffect(const error& failure) {
  return failure.kind == error_kind::kTimeout ||
         failure.kind == error_kind::kCorrupt ||
         failure.kind == error_kind::kInternal;
}

}  // namespace

std::optional<queue_match> FindQueue(const queue_table& table,
                                     std::string_view host,
                                     std::string_view path) {
  const queue_route* best = nullptr;
  for (const queue_route& route : table.routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr ||
        route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  if (best == nullptr) return std::nullopt;
  return queue_match{best->queue,
                     std::string(path.substr(best->path_prefix.size())),
                     best->is_anonymous};
}

queue_gateway::queue_gateway(clock_ptr clock, log_sink log)
    : clock_(std::move(clock)), log_(std::move(log)) {}

void queue_gateway::Open(queue_gateway_options options) {
  const std::lock_guard lock(mutex_);
  options_ = std::move(options);
}

bool queue_gateway::IsOpen() const {
  const std::lock_guard lock(mutex_);
  return options_.has_value() && table_ != nullptr &&
         options_->directory->IsSynced();
}

queue_table_ptr queue_gateway::Table() const {
  const std::lock_guard lock(mutex_);
  return table_;
}

void queue_gateway::SetTable(queue_table table) {
  const std::lock_guard lock(mutex_);
  if (table_ != nullptr && table.version <= table_->version) return;
  Emit(log_, pool_events::kConfigurationApplied,
       {Field("version", table.version), Field("routes", table.routes.size()),
        Field("previous", table_ == nullptr ? 0 : table_->version)});
  table_ = std::make_shared<const queue_table>(std::move(table));
}

std::string queue_gateway::HomeOf(const std::string& pool,
                                  const std::string& job_id) const {
  if (!IsOpen()) return pool;
  return options_->directory->Partitions().HomeOf(pool, job_id);
}

job_call_response queue_gateway::CallOwner(const std::string& pool,
                                           std::string_view topic,
                                           const std::string& body,
                                           time_point deadline,
                                           const local_call& local) {
  if (!IsOpen()) {
    return MakeResponse(job_call_status::kUnavailable,
                        "this daemon is starting");
  }
  const queue_gateway_options& options = *options_;
  if (options.directory->Partitions().IsUnreadable(PoolOfPartition(pool))) {
    return MakeResponse(job_call_status::kUnavailable,
                        "the partitions of the pool cannot be read");
  }
  bool may_have_arrived = false;
  std::string reason = clock_->Now() < deadline
                           ? "the pool has no owner"
                           : "no time is left for the request";
  wire_message request = MakePoolCall(topic, body);
  auto query_at = clock_->Now();
  while (clock_->Now() < deadline) {
    const auto owner = options.directory->OwnerOf(pool);
    if (owner && owner->member_id == options.directory->SelfId()) {
      if (const auto local_owner = options.host->OwnerOf(pool)) {
        job_call_response response = local(*local_owner, deadline);
        if (may_have_arrived && IsTrueOfOneCopy(response.status)) {
          return MakeResponse(job_call_status::kUnknown, response.reason);
        }
        if (response.status != job_call_status::kUnavailable) return response;
        reason = response.reason;
      }
    } else if (owner) {
      const auto timeout =
          std::min<duration>(deadline - clock_->Now(), kMaxCallTimeout);
      // 0 would mean that the timeout is not known.
      request.body.Aspool_call()->timeout_ms =
          std::max<std::int64_t>(1, ToMs(timeout));
      const auto message = Attempt([&] {
        return options.peers->Call(owner->member_id, request, timeout);
      });
      if (message) {
        const wire::pool_replyT* text = message->body.Aspool_reply();
        const auto response = Attempt(
            [&] { return DecodeResponse(text == nullptr ? "" : text->body); });
        if (response && may_have_arrived && IsTrueOfOneCopy(response->status)) {
          return MakeResponse(job_call_status::kUnknown, response->reason);
        }
        if (response && response->status != job_call_status::kUnavailable)
          return *response;
        may_have_arrived = may_have_arrived || !response;
        reason = response ? response->reason : Describe(response.failure);
      } else {
        reason = Describe(message.failure);
        // The owner did not execute it. To repeat it at once would only add to
        // the load.
        if (message.failure.kind == error_kind::kOverloaded &&
            topic == kSubmitTopic) {
          return MakeResponse(may_have_arrived ? job_call_status::kUnknown
                                               : job_call_status::kUnavailable,
                              reason);
        }
        if (message.failure.kind == error_kind::kUnavailable) {
          options.directory->ReportUnreachable(owner->member_id);
        }
        may_have_arrived = may_have_arrived || MayHaveEffect(message.failure);
      }
    }
    // The store may not respond to this daemon, which then misses changes.
    if (clock_->Now() >= query_at) {
      options.host->QueryOwner(pool);
      query_at = clock_->Now() + duration(kOwnerQueryInterval);
    }
    clock_->SleepFor(kRetryInterval);
  }
  return MakeResponse(may_have_arrived ? job_call_status::kUnknown
                                       : job_call_status::kUnavailable,
                      reason);
}

pool_metrics* queue_gateway::Metrics() const {
  const std::lock_guard lock(mutex_);
  return options_ ? options_->metrics : nullptr;
}

std::optional<caller_identity> queue_gateway::Identify(
    const queue_table& table, const queue_match& match,
    std::optional<std::string_view> key) {
  auto caller =
      IdentifyCaller(table, match.queue.name, match.is_anonymous, key);
  pool_metrics* metrics = Metrics();
  if (!caller && metrics != nullptr) metrics->rejected_keys.Increment();
  return caller;
}

void queue_gateway::CountClosedAccess(const job_call_response& response) {
  pool_metrics* metrics = Metrics();
  if (response.status == job_call_status::kForbidden && metrics != nullptr) {
    metrics->forbidden_requests.Increment();
  }
}

job_call_response queue_gateway::Submit(const queue_rules& queue,
                                        std::string job_id, job_graph graph,
                                        duration timeout,
                                        const caller_identity& caller) {
  job_submission job;
  job.id = std::move(job_id);
  job.queue = queue;
  job.graph = std::move(graph);
  job.accepted_at_ms = WallClockMs();
  job.organisation = caller.organisation;
  if (const auto fault = FindGraphError(job.graph)) {
    return MakeResponse(job_call_status::kInvalid, *fault);
  }
  job.queue.pool = HomeOf(queue.pool, job.id);
  const auto received_at = clock_->Now();
  const auto owner_timeout =
      std::min<duration>(timeout - kResponseReserve, kSubmitTimeout);
  job_call_response response = CallOwner(
      job.queue.pool, kSubmitTopic, EncodeSubmission(job),
      received_at + owner_timeout, [&](pool_owner& owner, time_point deadline) {
        return owner.Submit(job, deadline);
      });
  if (response.status == job_call_status::kMoved) {
    // The job was accepted before, and the owner of its partition knows whose
    // it is. One that does not respond changes nothing about the acceptance.
    const job_call_response state =
        StateAtOwner(response.moved_to, job.id,
                     clock_->Now() + duration(kStateTimeout), caller);
    response = MakeResponse(state.status == job_call_status::kForbidden
                                ? job_call_status::kForbidden
                                : job_call_status::kAccepted);
  }
  if (response.status == job_call_status::kCancelled) {
    response = MakeResponse(job_call_status::kAbsent,
                            "the job was cancelled before it was submitted");
  }
  CountClosedAccess(response);
  Emit(log_, pool_events::kJobRequestCompleted,
       {Field("job", job.id), Field("queue", queue.name),
        Field("answer", ToString(response.status)),
        Field("ms", ToMs(clock_->Now() - received_at)),
        Field("reason", response.reason)});
  return response;
}

std::optional<job_call_response> queue_gateway::ReadStoredState(
    const std::string& pool, const std::string& job_id,
    const caller_identity& caller) {
  const auto read =
      Attempt([&] { return ReadStoredJob(*options_->kv, pool, job_id); });
  if (!read) return std::nullopt;
  const std::optional<stored_job_summary>& job = *read;
  if (!job) return MakeResponse(job_call_status::kAbsent);
  if (!MayAccess(caller, {job->organisation, job->queue})) {
    return MakeResponse(job_call_status::kForbidden);
  }
  job_call_response response = MakeResponse(job_call_status::kState);
  response.state = job->state;
  return response;
}

queue_gateway::stored_state queue_gateway::FindStoredState(
    const std::string& pool, const std::string& job_id,
    const caller_identity& caller) {
  // The route may have led to another pool when the job was accepted.
  const auto id = Attempt([&] { return ReadJobId(*options_->kv, job_id); });
  if (!id) {
    return {pool, MakeResponse(job_call_status::kUnavailable,
                               "the store does not respond")};
  }
  if (*id.value && (*id.value)->record.IsAccepted()) {
    const std::string& partition = (*id.value)->record.partition;
    auto stored = ReadStoredState(partition, job_id, caller);
    if (stored && stored->status != job_call_status::kAbsent) {
      return {partition, std::move(*stored)};
    }
  }
  // Earlier versions stored no records of ids.
  std::vector<std::string> pools{pool};
  for (const pool_rules& other : Table()->pools) {
    if (other.name != pool) pools.push_back(other.name);
  }
  std::vector<std::string> partitions;
  for (const std::string& candidate : pools) {
    const std::string home = HomeOf(candidate, job_id);
    partitions.push_back(home);
    // The first partition accepted all jobs before the pool was divided, and
    // any may have jobs that were moved.
    for (std::string& other :
         options_->directory->Partitions().PartitionsOf(candidate)) {
      if (other != home) partitions.push_back(std::move(other));
    }
  }
  for (const std::string& candidate : partitions) {
    auto stored = ReadStoredState(candidate, job_id, caller);
    if (!stored) {
      return {candidate, MakeResponse(job_call_status::kUnavailable,
                                      "the store does not respond")};
    }
    if (stored->status != job_call_status::kAbsent) {
      return {candidate, std::move(*stored)};
    }
  }
  return {pool, MakeResponse(job_call_status::kAbsent)};
}

job_call_response queue_gateway::StateAtOwner(const std::string& pool,
                                              const std::string& job_id,
                                              time_point deadline,
                                              const caller_identity& caller) {
  return CallOwner(pool, kStateTopic, EncodeReference({pool, job_id, caller}),
                   deadline, [&](pool_owner& owner, time_point) {
                     return owner.State(job_id, caller);
                   });
}

job_call_response queue_gateway::State(const queue_rules& queue,
                                       const std::string& job_id,
                                       duration timeout,
                                       const caller_identity& caller) {
  const auto deadline =
      clock_->Now() +
      std::min<duration>(timeout - kResponseReserve, kStateTimeout);
  const std::string home = HomeOf(queue.pool, job_id);
  job_call_response response = StateAtOwner(home, job_id, deadline, caller);
  for (int moves = 0;
       moves < kMaxMoves && response.status == job_call_status::kMoved;
       ++moves) {
    response = StateAtOwner(response.moved_to, job_id, deadline, caller);
  }
  CountClosedAccess(response);
  if (response.status == job_call_status::kState ||
      response.status == job_call_status::kForbidden) {
    return response;
  }
  if (!IsOpen()) return response;
  // An owner that has been superseded does not know the jobs that its successor
  // has accepted, so only the store can tell that a job is absent.
  stored_state stored = FindStoredState(queue.pool, job_id, caller);
  CountClosedAccess(stored.response);
  const bool is_known = stored.response.status != job_call_status::kUnavailable;
  return is_known || response.status == job_call_status::kAbsent
             ? stored.response
             : response;
}

job_call_response queue_gateway::CancelAtOwner(const std::string& pool,
                                               const std::string& job_id,
                                               time_point deadline,
                                               const caller_identity& caller) {
  return CallOwner(pool, kCancelTopic, EncodeReference({pool, job_id, caller}),
                   deadline, [&](pool_owner& owner, time_point until) {
                     return owner.Cancel(job_id, until, caller);
                   });
}

job_call_response queue_gateway::Cancel(const queue_rules& queue,
                                        const std::string& job_id,
                                        duration timeout,
                                        const caller_identity& caller) {
  const auto started_at = clock_->Now();
  const auto deadline = started_at + timeout - kResponseReserve;
  const std::string home = HomeOf(queue.pool, job_id);
  job_call_response response = CancelAtOwner(home, job_id, deadline, caller);
  std::string asked = home;
  for (int moves = 0;
       moves < kMaxMoves && response.status == job_call_status::kMoved;
       ++moves) {
    asked = response.moved_to;
    response = CancelAtOwner(asked, job_id, deadline, caller);
  }
  if (response.status == job_call_status::kMoved) {
    response = MakeResponse(job_call_status::kUnavailable,
                            "the job is moving between partitions");
  }
  while (response.status == job_call_status::kAbsent) {
    // See `State`.
    const stored_state stored = FindStoredState(queue.pool, job_id, caller);
    if (stored.response.status != job_call_status::kState) {
      response = stored.response;
      break;
    }
    if (IsFinal(stored.response.state)) {
      response = MakeResponse(job_call_status::kCancelled);
    } else if (stored.pool == home || clock_->Now() >= deadline) {
      response = MakeResponse(job_call_status::kUnavailable,
                              "the owner of the pool does not know the job");
    } else {
      // A job that was moved is known to its new owner within milliseconds.
      if (stored.pool == asked) clock_->SleepFor(kRetryInterval);
      asked = stored.pool;
      response = CancelAtOwner(asked, job_id, deadline, caller);
    }
  }
  CountClosedAccess(response);
  Emit(log_, pool_events::kJobRequestCompleted,
       {Field("job", job_id), Field("queue", queue.name),
        Field("verb", "cancel"), Field("answer", ToString(response.status)),
        Field("ms", ToMs(clock_->Now() - started_at)),
        Field("reason", response.reason)});
  return response;
}

job_call_response queue_gateway::PendingAt(const std::string& partition,
                                           const std::string& queue,
                                           time_point deadline) {
  return CallOwner(
      partition, kPendingTopic, EncodeReference({partition, queue}), deadline,
      [&](pool_owner& owner, time_point) { return owner.Pending(queue); });
}

job_call_response queue_gateway::Pending(const queue_rules& queue,
                                         duration timeout) {
  if (!IsOpen()) {
    return MakeResponse(job_call_status::kUnavailable,
                        "this daemon is starting");
  }
  const auto deadline =
      clock_->Now() +
      std::min<duration>(timeout - kResponseReserve, kStateTimeout);
  job_call_response sum = MakeResponse(job_call_status::kCount);
  for (const std::string& partition :
       options_->directory->Partitions().PartitionsOf(queue.pool)) {
    job_call_response response = PendingAt(partition, queue.name, deadline);
    if (response.status != job_call_status::kCount) return response;
    sum.count += response.count;
  }
  return sum;
}

}  // namespace apricotwheel

#include "pools/queue_gate.h"

#include <algorithm>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Part of a caller's time that is kept for the answer's way back.
constexpr auto kAnswerReserve = milliseconds(150);
// A pool without an owner gets one within seconds; callers that cannot be
// served by then are told to come back.
constexpr auto kOwnerPatience = milliseconds(1200);
constexpr auto kLongestCall = milliseconds(1500);
constexpr auto kRetryPause = milliseconds(40);
// A pool without an owner has one soon; others are asked for it this often.
constexpr auto kAskPause = milliseconds(250);
constexpr std::int64_t kComeBackMs = 1000;
// States are read from the store if the owner has not answered by then.
constexpr auto kStatePatience = milliseconds(600);

gate_reply Answer(job_answer answer, std::string reason = {}) {
  gate_reply reply;
  reply.answer = answer;
  reply.reason = std::move(reason);
  if (answer == job_answer::kUnavailable) reply.retry_after_ms = kComeBackMs;
  return reply;
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
                     std::string(path.substr(best->path_prefix.size()))};
}

queue_gate::queue_gate(clock_ptr clock, log_sink log)
    : clock_(std::move(clock)), log_(std::move(log)) {}

void queue_gate::Open(queue_gate_options options) {
  const std::lock_guard lock(mutex_);
  options_ = std::move(options);
}

bool queue_gate::IsOpen() const {
  const std::lock_guard lock(mutex_);
  return options_.has_value() && table_ != nullptr &&
         options_->directory->IsListed();
}

queue_table_ptr queue_gate::Table() const {
  const std::lock_guard lock(mutex_);
  return table_;
}

void queue_gate::SetTable(queue_table table) {
  const std::lock_guard lock(mutex_);
  if (table_ != nullptr && table.version <= table_->version) return;
  Emit(log_, pool_events::kConfigurationInForce,
       {Field("version", table.version), Field("routes", table.routes.size()),
        Field("previous", table_ == nullptr ? 0 : table_->version)});
  table_ = std::make_shared<const queue_table>(std::move(table));
}

gate_reply queue_gate::CallOwner(const std::string& pool,
                                 std::string_view topic,
                                 const std::string& body, time_point deadline,
                                 const local_call& local) {
  if (!IsOpen()) {
    return Answer(job_answer::kUnavailable, "this daemon is starting");
  }
  const queue_gate_options& parts = *options_;
  bool may_have_arrived = false;
  std::string reason = "the pool has no owner";
  wire::pool_callT call;
  call.topic = topic;
  call.body = body;
  const wire_message request = MakeMessage(std::move(call));
  auto ask_at = clock_->Now();
  while (clock_->Now() < deadline) {
    const auto owner = parts.directory->OwnerOf(pool);
    if (owner && owner->member_id == parts.directory->SelfId()) {
      if (const auto own = parts.host->OwnerOf(pool)) {
        gate_reply reply = local(*own, deadline);
        if (reply.answer != job_answer::kUnavailable) return reply;
        reason = reply.reason;
      }
    } else if (owner) {
      const auto left = deadline - clock_->Now();
      const auto answered = Attempt([&] {
        return parts.peers->Call(owner->member_id, request,
                                 std::min<duration>(left, kLongestCall));
      });
      if (answered) {
        const wire::pool_replyT* text = answered->body.Aspool_reply();
        const auto reply = Attempt(
            [&] { return DecodeReply(text == nullptr ? "" : text->body); });
        if (reply && reply->answer != job_answer::kUnavailable) return *reply;
        reason = reply ? reply->reason : Describe(reply.failure);
      } else {
        reason = Describe(answered.failure);
        if (answered.failure.kind == error_kind::kUnavailable) {
          parts.directory->Suspect(owner->member_id);
        }
        may_have_arrived =
            may_have_arrived || answered.failure.kind == error_kind::kTimeout;
      }
    }
    // The store may not answer this daemon, which then misses changes.
    if (clock_->Now() >= ask_at) {
      parts.host->AskForOwner(pool);
      ask_at = clock_->Now() + duration(kAskPause);
    }
    clock_->SleepFor(kRetryPause);
  }
  return Answer(
      may_have_arrived ? job_answer::kUnknown : job_answer::kUnavailable,
      reason);
}

gate_reply queue_gate::Submit(const queue_rules& queue, std::string job_id,
                              job_graph graph, duration budget) {
  job_submission job;
  job.id = std::move(job_id);
  job.queue = queue;
  job.graph = std::move(graph);
  job.accepted_at_ms = WallClockMs();
  if (const auto fault = FindGraphError(job.graph)) {
    return Answer(job_answer::kInvalid, *fault);
  }
  const auto received_at = clock_->Now();
  const auto patience =
      std::min<duration>(budget - kAnswerReserve, kOwnerPatience);
  gate_reply reply = CallOwner(queue.pool, kSubmitTopic, EncodeSubmission(job),
                               received_at + patience,
                               [&](pool_owner& owner, time_point deadline) {
                                 return owner.Submit(job, deadline);
                               });
  Emit(log_, pool_events::kJobAnswered,
       {Field("job", job.id), Field("queue", queue.name),
        Field("answer", ToString(reply.answer)),
        Field("ms", std::chrono::duration_cast<milliseconds>(clock_->Now() -
                                                             received_at)
                        .count()),
        Field("reason", reply.reason)});
  return reply;
}

std::optional<gate_reply> queue_gate::StoredState(const std::string& pool,
                                                  const std::string& job_id) {
  gate_reply reply = Answer(job_answer::kState);
  const auto progress =
      Attempt([&] { return options_->kv->Get(ProgressKey(pool, job_id)); });
  if (!progress) return std::nullopt;
  if (*progress.value) {
    const auto state =
        Attempt([&] { return DecodeProgressState((*progress.value)->value); });
    if (!state) return std::nullopt;
    reply.state = *state;
    return reply;
  }
  const auto job =
      Attempt([&] { return options_->kv->Get(JobKey(pool, job_id)); });
  if (!job) return std::nullopt;
  return *job.value ? reply : Answer(job_answer::kAbsent);
}

gate_reply queue_gate::StateElsewhere(const std::string& pool,
                                      const std::string& job_id) {
  // A route may have led to another pool when the job was accepted.
  const auto table = Table();
  for (const pool_rules& other : table->pools) {
    if (other.name == pool) continue;
    const auto stored = StoredState(other.name, job_id);
    if (!stored) {
      return Answer(job_answer::kUnavailable, "the store does not answer");
    }
    if (stored->answer == job_answer::kState) return *stored;
  }
  return Answer(job_answer::kAbsent);
}

gate_reply queue_gate::State(const queue_rules& queue,
                             const std::string& job_id, duration budget) {
  const auto deadline =
      clock_->Now() +
      std::min<duration>(budget - kAnswerReserve, kStatePatience);
  gate_reply reply = CallOwner(
      queue.pool, kStateTopic, EncodeReference({queue.pool, job_id}), deadline,
      [&](pool_owner& owner, time_point) { return owner.State(job_id); });
  if (reply.answer == job_answer::kState) return reply;
  if (!IsOpen()) return reply;
  if (reply.answer != job_answer::kAbsent) {
    const auto stored = StoredState(queue.pool, job_id);
    if (!stored) return reply;
    if (stored->answer == job_answer::kState) return *stored;
  }
  return StateElsewhere(queue.pool, job_id);
}

gate_reply queue_gate::Cancel(const queue_rules& queue,
                              const std::string& job_id, duration budget) {
  const auto started_at = clock_->Now();
  gate_reply reply =
      CallOwner(queue.pool, kCancelTopic, EncodeReference({queue.pool, job_id}),
                started_at + budget - kAnswerReserve,
                [&](pool_owner& owner, time_point deadline) {
                  return owner.Cancel(job_id, deadline);
                });
  Emit(log_, pool_events::kJobAnswered,
       {Field("job", job_id), Field("queue", queue.name),
        Field("verb", "cancel"), Field("answer", ToString(reply.answer)),
        Field("reason", reply.reason)});
  return reply;
}

gate_reply queue_gate::Pending(const queue_rules& queue, duration budget) {
  return CallOwner(
      queue.pool, kPendingTopic, EncodeReference({queue.pool, queue.name}),
      clock_->Now() +
          std::min<duration>(budget - kAnswerReserve, kStatePatience),
      [&](pool_owner& owner, time_point) { return owner.Pending(queue.name); });
}

}  // namespace apricotwheel

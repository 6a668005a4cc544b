#include "dispatch/request_flow.h"

#include <set>
#include <utility>

#include "dispatch/dispatch_outcome.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kMaxKeyBytes = 200;
constexpr duration kMaxDeadline = milliseconds(600'000);
constexpr int kMaxUnknownRetries = 2;
// The called daemon responds at the deadline of the request. The call waits
// this much longer to get that precise outcome instead of a timeout.
constexpr duration kResponseGrace = milliseconds(100);
constexpr duration kTicketTimeout = milliseconds(500);
constexpr int kTicketAttempts = 4;
// Space reserved in a frame for everything except the body.
constexpr std::int64_t kFrameReserveBytes = 64 << 10;

struct in_flight_guard {
  explicit in_flight_guard(std::atomic<std::size_t>& counter) : count(counter) {
    ++count;
  }
  ~in_flight_guard() { --count; }
  in_flight_guard(const in_flight_guard&) = delete;
  in_flight_guard& operator=(const in_flight_guard&) = delete;

  std::atomic<std::size_t>& count;
};

bool IsKeyed(const service_request& request) {
  return !request.idempotency_key.empty() || !request.ticket.empty();
}

}  // namespace

request_flow::request_flow(request_flow_options options)
    : options_(std::move(options)),
      key_registry_({.retention = options_.settings.key_retention,
                     .max_recorded_body_bytes = static_cast<std::size_t>(
                         options_.settings.recorded_answer_bytes),
                     .clock = options_.clock,
                     .holds_lease = options_.holds_lease}),
      router_(options_.member_id, options_.clock),
      retry_budget_(options_.settings.retry_budget_percent),
      random_{options_.random_seed} {}

service_response request_flow::HandleRequest(const service_request& request) {
  const in_flight_guard counted(in_flight_);
  service_response response = AdmitAndSend(request);
  options_.metrics->CountOutcome(request.service, response);
  return response;
}

service_response request_flow::AdmitAndSend(const service_request& request) {
  // During a planned stop, requests with a key still go to its owner, which may
  // have recorded an earlier attempt.
  if (draining_ && !IsKeyed(request)) return MakeNotRun(reason::kShuttingDown);
  const auto document = options_.document();
  if (!document) {
    return IsKeyed(request) ? MakeUnknown(reason::kNoDocument)
                            : MakeNotRun(reason::kNoDocument);
  }
  const workload_config* workload = document->FindWorkload(request.service);
  if (workload == nullptr || workload->kind != workload_kind::kService) {
    return MakeNotRun(reason::kUnknownService);
  }
  const duration time_limit =
      request.deadline.value_or(milliseconds(workload->deadline_ms));
  if (request.idempotency_key.size() > kMaxKeyBytes ||
      time_limit < milliseconds(1) || time_limit > kMaxDeadline) {
    return MakeNotRun(reason::kInvalid);
  }
  if (request.body.size() >
      static_cast<std::size_t>(options_.settings.max_body_bytes)) {
    return MakeNotRun(reason::kTooLarge);
  }
  admitted_request admitted;
  admitted.request = request;
  admitted.request.headers = EndToEndHeaders(request.headers);
  admitted.priority = request.priority.value_or(workload->priority);
  // A key or a ticket requests at most one run, independent of the method.
  admitted.repeatable =
      !IsKeyed(request) &&
      request.repeatable.value_or(IsRepeatableMethod(request.method));
  admitted.deadline = options_.clock->Now() + time_limit;
  admitted.correlation_id = RandomHex(12);
  admitted.movable = true;
  return IsKeyed(request) ? SendToKeyOwner(admitted)
                          : SendWithRetries(admitted);
}

service_response request_flow::HandlePeerRequest(
    const wire::dispatch_requestT& message) {
  const in_flight_guard counted(in_flight_);
  const admitted_request admitted = FromWire(message, options_.clock->Now());
  service_response response;
  if (message.stage == wire::dispatch_stage::key_owner) {
    response = RunKeyedRequest(admitted);
  } else if (draining_) {
    response = MakeNotRun(reason::kShuttingDown);
  } else {
    response = options_.run_locally(admitted);
  }
  const auto size = static_cast<std::int64_t>(response.body.size());
  if (size + kFrameReserveBytes > options_.settings.max_frame_bytes) {
    return MakeUnknown(reason::kResponseTooLarge, response.worker);
  }
  return response;
}

service_response request_flow::SendToKeyOwner(
    const admitted_request& admitted) {
  const auto shard = ShardOfRequest(admitted.request);
  if (!shard) return MakeNotRun(reason::kInvalid);
  const ownership owned = options_.shard_owner(*shard);
  if (owned.owner.empty()) return MakeUnknown(reason::kOwnershipUncertain);
  if (owned.owner == options_.member_id) return RunKeyedRequest(admitted);
  return CallPeer(owned.owner, admitted, wire::dispatch_stage::key_owner);
}

service_response request_flow::RunKeyedRequest(
    const admitted_request& admitted) {
  const auto shard = ShardOfRequest(admitted.request);
  if (!shard) return MakeNotRun(reason::kInvalid);
  const ownership owned = options_.shard_owner(*shard);
  key_registry_.SetOwnership(*shard, owned.epoch,
                             owned.owner == options_.member_id);
  // During a planned stop, repeats still get the recorded response and new
  // requests are rejected.
  return key_registry_.RunOnce(admitted.request, admitted.deadline, [&] {
    return draining_ ? MakeNotRun(reason::kShuttingDown)
                     : SendWithRetries(admitted);
  });
}

service_response request_flow::SendWithRetries(admitted_request admitted) {
  retry_budget_.CountRequest();
  std::set<std::string, std::less<>> excluded;
  // The owner that returned the request with `no_slot`. It gets the request
  // again if there is no other owner.
  std::string moved_from;
  std::optional<service_response> unknown;
  service_response last = MakeNotRun(reason::kNoInstance);
  for (int unknown_attempts = 0;;) {
    if (options_.clock->Now() >= admitted.deadline) {
      last = MakeNotRun(reason::kDeadline);
      break;
    }
    const auto summaries = options_.peer_summaries();
    auto owner = router_.PickOwner(
        admitted.request.service,
        options_.local_capacity(admitted.request.service), summaries, excluded);
    if (!owner && !moved_from.empty()) owner = std::exchange(moved_from, {});
    if (!owner) break;
    const time_point sent_at = options_.clock->Now();
    last = SendToInstanceOwner(*owner, admitted);
    if (last.outcome == request_outcome::kCompleted) return last;
    if (last.outcome == request_outcome::kNotRun) {
      if (!IsRetryableElsewhere(last)) break;
      excluded.insert(*owner);
      if (last.reason == reason::kNoSlot) {
        moved_from = *owner;
        admitted.movable = false;
        admitted.waited += options_.clock->Now() - sent_at;
      }
      options_.metrics->CountRetry(admitted.request.service, "not_run");
      continue;
    }
    unknown = last;
    if (!admitted.repeatable || ++unknown_attempts > kMaxUnknownRetries ||
        !retry_budget_.TryConsumeRetry()) {
      break;
    }
    if (last.reason == reason::kOwnerLost) excluded.insert(*owner);
    options_.metrics->CountRetry(admitted.request.service, "unknown");
  }
  // After an `unknown` attempt the request may have run, so the result cannot
  // be `not_run`.
  return unknown ? *unknown : last;
}

service_response request_flow::SendToInstanceOwner(
    const std::string& owner, const admitted_request& admitted) {
  const router::in_flight_request counted(router_, owner,
                                          admitted.request.service);
  if (owner == options_.member_id) return options_.run_locally(admitted);
  return CallPeer(owner, admitted, wire::dispatch_stage::instance_owner);
}

service_response request_flow::CallPeer(const std::string& owner,
                                        const admitted_request& admitted,
                                        wire::dispatch_stage stage) {
  const time_point now = options_.clock->Now();
  const bool to_key_owner = stage == wire::dispatch_stage::key_owner;
  if (now >= admitted.deadline) {
    return to_key_owner ? MakeUnknown(reason::kDeadline)
                        : MakeNotRun(reason::kDeadline);
  }
  const auto call_result =
      options_.call_peer(owner, MakeMessage(ToWire(admitted, stage, now)),
                         admitted.deadline - now + kResponseGrace);
  if (call_result) {
    const auto* response = call_result->body.Asdispatch_response();
    if (response != nullptr) return FromWire(*response);
    return MakeUnknown(reason::kOwnerLost);
  }
  if (EffectOfFailedPeerCall(call_result.failure.kind) ==
      call_effect::kNotRun) {
    // This attempt did not run, but an earlier one with the same key may have.
    // Only the owner of the key knows.
    return to_key_owner ? MakeUnknown(reason::kOwnershipUncertain)
                        : MakeNotRun(reason::kNoInstance);
  }
  return MakeUnknown(options_.clock->Now() >= admitted.deadline
                         ? reason::kDeadline
                         : reason::kOwnerLost);
}

std::string request_flow::IssueLocalTicket() {
  // Starting at a random shard spreads the tickets over the shards that this
  // daemon owns.
  std::uint64_t first = 0;
  {
    const std::lock_guard lock(random_mutex_);
    first = NextBelow(random_, kShardCount);
  }
  for (std::uint32_t step = 0; step < kShardCount; ++step) {
    const auto shard = static_cast<std::uint32_t>((first + step) % kShardCount);
    const ownership owned = options_.shard_owner(shard);
    if (owned.owner != options_.member_id) continue;
    key_registry_.SetOwnership(shard, owned.epoch, true);
    auto issued =
        apricotwheel::Attempt([&] { return key_registry_.IssueTicket(shard); });
    if (issued) return std::move(*issued);
  }
  return {};
}

std::string request_flow::RequestTicket(const std::string& owner) {
  const auto call_result = options_.call_peer(
      owner, MakeMessage(wire::ticket_requestT{}), kTicketTimeout);
  if (!call_result) return {};
  const auto* response = call_result->body.Asticket_response();
  return response == nullptr ? std::string() : response->ticket;
}

result<std::string> request_flow::IssueTicket() {
  std::string issued = IssueLocalTicket();
  if (!issued.empty()) return issued;
  std::set<std::string> owners;
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    const ownership owned = options_.shard_owner(shard);
    if (!owned.owner.empty() && owned.owner != options_.member_id) {
      owners.insert(owned.owner);
    }
  }
  int attempts = 0;
  for (const std::string& owner : owners) {
    if (attempts++ == kTicketAttempts) break;
    issued = RequestTicket(owner);
    if (!issued.empty()) return issued;
  }
  return Fail(error_kind::kUnavailable, "no owner of a shard is reachable",
              "retry, or send the request to another daemon");
}

}  // namespace apricotwheel

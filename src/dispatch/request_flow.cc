#include "dispatch/request_flow.h"

#include <set>
#include <utility>

#include "dispatch/dispatch_outcome.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kMaxKeyBytes = 200;
constexpr duration kMaxDeadline = milliseconds(600'000);
constexpr int kMaxUnknownRetries = 2;
// A called daemon answers at the deadline itself; waiting a little longer gets
// its precise outcome instead of a time-out.
constexpr duration kAnswerGrace = milliseconds(100);
constexpr duration kTicketTimeout = milliseconds(500);
constexpr int kTicketAttempts = 4;
// Room in a frame for everything but the body.
constexpr std::int64_t kFrameReserve = 64 << 10;

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
      keys_({.retention = options_.settings.key_retention,
             .recorded_body_bytes = static_cast<std::size_t>(
                 options_.settings.recorded_answer_bytes),
             .clock = options_.clock,
             .holds_lease = options_.holds_lease}),
      router_(options_.member_id, options_.clock),
      budget_(options_.settings.retry_budget_percent),
      random_{options_.random_seed} {}

service_response request_flow::Handle(const service_request& request) {
  const in_flight_guard counted(in_flight_);
  service_response response = Enter(request);
  options_.metrics->CountOutcome(request.service, response);
  return response;
}

service_response request_flow::Enter(const service_request& request) {
  // The key's owner may know an earlier attempt, so it decides during a stop.
  if (refusing_ && !IsKeyed(request)) return MakeNotRun(reason::kShuttingDown);
  const auto document = options_.document();
  if (!document) {
    return IsKeyed(request) ? MakeUnknown(reason::kNoDocument)
                            : MakeNotRun(reason::kNoDocument);
  }
  const workload_config* workload = document->FindWorkload(request.service);
  if (workload == nullptr || workload->kind != workload_kind::kService) {
    return MakeNotRun(reason::kUnknownService);
  }
  const duration span =
      request.deadline.value_or(milliseconds(workload->deadline_ms));
  if (request.idempotency_key.size() > kMaxKeyBytes || span < milliseconds(1) ||
      span > kMaxDeadline) {
    return MakeNotRun(reason::kInvalid);
  }
  if (request.body.size() >
      static_cast<std::size_t>(options_.settings.max_body_bytes)) {
    return MakeNotRun(reason::kTooLarge);
  }
  staged_request staged;
  staged.request = request;
  staged.request.headers = EndToEndHeaders(request.headers);
  staged.priority = request.priority.value_or(workload->priority);
  // A key or a ticket asks for at most one run, whatever the method.
  staged.repeatable =
      !IsKeyed(request) &&
      request.repeatable.value_or(IsRepeatableMethod(request.method));
  staged.deadline = options_.clock->Now() + span;
  staged.correlation_id = RandomHex(12);
  staged.movable = true;
  return IsKeyed(request) ? ToKeyOwner(staged) : Forward(staged);
}

service_response request_flow::HandlePeer(
    const wire::dispatch_requestT& message) {
  const in_flight_guard counted(in_flight_);
  const staged_request staged = FromWire(message, options_.clock->Now());
  service_response response;
  if (message.stage == wire::dispatch_stage::key_owner) {
    response = RunKeyed(staged);
  } else if (refusing_) {
    response = MakeNotRun(reason::kShuttingDown);
  } else {
    response = options_.run_here(staged);
  }
  const auto size = static_cast<std::int64_t>(response.body.size());
  if (size + kFrameReserve > options_.settings.max_frame_bytes) {
    return MakeUnknown(reason::kResponseTooLarge, response.worker);
  }
  return response;
}

service_response request_flow::ToKeyOwner(const staged_request& staged) {
  const auto shard = ShardOfRequest(staged.request);
  if (!shard) return MakeNotRun(reason::kInvalid);
  const ownership owned = options_.shard_owner(*shard);
  if (owned.owner.empty()) return MakeUnknown(reason::kOwnershipUncertain);
  if (owned.owner == options_.member_id) return RunKeyed(staged);
  return CallPeer(owned.owner, staged, wire::dispatch_stage::key_owner);
}

service_response request_flow::RunKeyed(const staged_request& staged) {
  const auto shard = ShardOfRequest(staged.request);
  if (!shard) return MakeNotRun(reason::kInvalid);
  const ownership owned = options_.shard_owner(*shard);
  keys_.SetOwnership(*shard, owned.epoch, owned.owner == options_.member_id);
  // During a planned stop, repeats still get the recorded response.
  return keys_.RunOnce(staged.request, staged.deadline, [&] {
    return refusing_ ? MakeNotRun(reason::kShuttingDown) : Forward(staged);
  });
}

service_response request_flow::Forward(staged_request staged) {
  budget_.CountRequest();
  std::set<std::string, std::less<>> excluded;
  std::string moved_from;  // Takes the request if no other owner does.
  std::optional<service_response> unknown;
  service_response last = MakeNotRun(reason::kNoInstance);
  for (int unknowns = 0;;) {
    if (options_.clock->Now() >= staged.deadline) {
      last = MakeNotRun(reason::kDeadline);
      break;
    }
    const auto summaries = options_.summaries();
    auto owner = router_.Pick(staged.request.service,
                              options_.own_capacity_of(staged.request.service),
                              summaries, excluded);
    if (!owner && !moved_from.empty()) owner = std::exchange(moved_from, {});
    if (!owner) break;
    const time_point sent_at = options_.clock->Now();
    last = Attempt(*owner, staged);
    if (last.outcome == request_outcome::kCompleted) return last;
    if (last.outcome == request_outcome::kNotRun) {
      if (!RetryableElsewhere(last)) break;
      excluded.insert(*owner);
      if (last.reason == reason::kNoSlot) {
        moved_from = *owner;
        staged.movable = false;
        staged.waited += options_.clock->Now() - sent_at;
      }
      options_.metrics->CountRetry(staged.request.service, "not_run");
      continue;
    }
    unknown = last;
    if (!staged.repeatable || ++unknowns > kMaxUnknownRetries ||
        !budget_.TryRetry()) {
      break;
    }
    if (last.reason == reason::kOwnerLost) excluded.insert(*owner);
    options_.metrics->CountRetry(staged.request.service, "unknown");
  }
  // An earlier attempt may have run, so `not_run` would be false.
  return unknown ? *unknown : last;
}

service_response request_flow::Attempt(const std::string& owner,
                                       const staged_request& staged) {
  const router::flight counted(router_, owner, staged.request.service);
  if (owner == options_.member_id) return options_.run_here(staged);
  return CallPeer(owner, staged, wire::dispatch_stage::instance_owner);
}

service_response request_flow::CallPeer(const std::string& owner,
                                        const staged_request& staged,
                                        wire::dispatch_stage stage) {
  const time_point now = options_.clock->Now();
  const bool to_key_owner = stage == wire::dispatch_stage::key_owner;
  if (now >= staged.deadline) {
    return to_key_owner ? MakeUnknown(reason::kDeadline)
                        : MakeNotRun(reason::kDeadline);
  }
  const auto answered =
      options_.call(owner, MakeMessage(ToWire(staged, stage, now)),
                    staged.deadline - now + kAnswerGrace);
  if (answered) {
    const auto* response = answered->body.Asdispatch_response();
    if (response != nullptr) return FromWire(*response);
    return MakeUnknown(reason::kOwnerLost);
  }
  if (ProofOfPeerCall(answered.failure.kind) == send_proof::kNotRun) {
    // This attempt did not run, but only the key's owner knows of earlier ones.
    return to_key_owner ? MakeUnknown(reason::kOwnershipUncertain)
                        : MakeNotRun(reason::kNoInstance);
  }
  return MakeUnknown(options_.clock->Now() >= staged.deadline
                         ? reason::kDeadline
                         : reason::kOwnerLost);
}

std::string request_flow::MintOwnTicket() {
  // A random first shard spreads the tickets over the own shards.
  std::uint64_t first = 0;
  {
    const std::lock_guard lock(random_mutex_);
    first = NextBelow(random_, kShardCount);
  }
  for (std::uint32_t step = 0; step < kShardCount; ++step) {
    const auto shard = static_cast<std::uint32_t>((first + step) % kShardCount);
    const ownership owned = options_.shard_owner(shard);
    if (owned.owner != options_.member_id) continue;
    keys_.SetOwnership(shard, owned.epoch, true);
    auto minted =
        apricotwheel::Attempt([&] { return keys_.MintTicket(shard); });
    if (minted) return std::move(*minted);
  }
  return {};
}

std::string request_flow::MintAt(const std::string& owner) {
  const auto answered = options_.call(
      owner, MakeMessage(wire::ticket_requestT{}), kTicketTimeout);
  if (!answered) return {};
  const auto* response = answered->body.Asticket_response();
  return response == nullptr ? std::string() : response->ticket;
}

result<std::string> request_flow::MintTicket() {
  std::string minted = MintOwnTicket();
  if (!minted.empty()) return minted;
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
    minted = MintAt(owner);
    if (!minted.empty()) return minted;
  }
  return Fail(error_kind::kUnavailable, "no owner of a shard can be reached",
              "repeat the call, or ask another daemon");
}

}  // namespace apricotwheel

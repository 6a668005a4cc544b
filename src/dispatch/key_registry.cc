#include "dispatch/key_registry.h"

#include <algorithm>

#include "dispatch/dispatch_outcome.h"
#include "dispatch/dispatch_wire.h"
#include "kernel/random.h"

namespace apricotwheel {

namespace {

// Clock values are sent in whole milliseconds, which limits the precision of
// the age of a ticket that was issued by a predecessor.
constexpr std::int64_t kTicketAgeErrorMs = 2;

// Size of a record in a hand-over without the key and the body.
constexpr std::size_t kRecordOverheadBytes = 130;

// Keys and tickets share one map and differ by the prefix.
std::string RecordKey(const service_request& request) {
  return request.ticket.empty() ? "k:" + request.idempotency_key
                                : "t:" + request.ticket;
}

}  // namespace

key_registry::key_registry(key_registry_options options)
    : options_(std::move(options)) {}

void key_registry::SetOwnership(std::uint32_t shard, std::uint64_t epoch,
                                bool owned) {
  const std::lock_guard lock(mutex_);
  shard_state& state = shards_[shard];
  if (epoch < state.epoch) return;  // The caller has an outdated view.
  if (epoch == state.epoch && (!owned || state.was_owned)) {
    // No other daemon owns the shard under the same epoch, so the records stay
    // valid.
    state.owned = owned;
    return;
  }
  state.epoch = epoch;
  state.was_owned = owned;
  state.owned = owned;
  state.handed_over = false;
  state.history_complete = owned && epoch == 1;
  state.owner_since = options_.clock->Now();
  state.accepted_epochs.clear();
  state.records.clear();
  state.body_bytes = 0;
  if (owned) {
    ApplyHandover(state);
  } else if (state.received_handover &&
             state.received_handover->epoch < epoch) {
    state.received_handover.reset();  // Another daemon is the successor.
  }
}

// Applies the records of the received hand-over if it is from the direct
// predecessor.
void key_registry::ApplyHandover(shard_state& shard) {
  const auto handover = std::move(shard.received_handover);
  if (!handover || handover->epoch + 1 != shard.epoch) return;
  shard.history_complete = handover->history_complete;
  const auto epoch_count = std::min(handover->accepted_epochs.size(),
                                    handover->accepted_clocks_ms.size());
  for (std::size_t index = 0; index < epoch_count; ++index) {
    shard.accepted_epochs[handover->accepted_epochs[index]] =
        milliseconds(handover->accepted_clocks_ms[index]) -
        shard.handover_received_at.time_since_epoch();
  }
  for (const auto& received : handover->records) {
    auto applied = std::make_shared<record>();
    applied->digest = received->digest;
    applied->finished = true;
    applied->finished_at = shard.owner_since;
    service_response response;
    if (received->finished) {
      response.outcome = static_cast<request_outcome>(received->outcome);
      response.status = received->status;
      response.headers = HeadersFromWire(received->headers);
      response.body.assign(received->body.begin(), received->body.end());
      response.reason = received->reason;
    } else {
      // The request was in flight at the predecessor during the hand-over. Its
      // caller got the response there, and it is not known here.
      response = MakeUnknown(reason::kOwnerLost);
    }
    RecordResponse(shard, *applied, std::move(response));
    shard.records.emplace(received->key, std::move(applied));
  }
}

bool key_registry::HistoryComplete(const shard_state& shard) const {
  return shard.history_complete ||
         options_.clock->Now() - shard.owner_since >= options_.retention;
}

std::optional<service_response> key_registry::CheckTicket(
    const shard_state& shard, const ticket& used) const {
  // The view of this daemon may be older than the ticket.
  if (used.epoch > shard.epoch) return MakeUnknown(reason::kOwnershipUncertain);
  duration clock_offset{0};
  if (used.epoch < shard.epoch) {
    const auto accepted = shard.accepted_epochs.find(used.epoch);
    if (accepted == shard.accepted_epochs.end()) {
      return MakeUnknown(reason::kTicketExpired);
    }
    clock_offset = accepted->second;
  }
  const duration issuer_clock =
      options_.clock->Now().time_since_epoch() + clock_offset;
  const std::int64_t age_ms = ToMs(issuer_clock) - used.issued_at_ms;
  if (age_ms < -kTicketAgeErrorMs) return MakeNotRun(reason::kInvalid);
  // The record of a used ticket is removed after the retention. The ticket must
  // expire before that, or it could run again.
  if (age_ms >= ToMs(options_.retention) - 2 * kTicketAgeErrorMs) {
    return MakeUnknown(reason::kTicketExpired);
  }
  return std::nullopt;
}

std::optional<service_response> key_registry::CheckKey(
    const shard_state& shard) const {
  // Without a lease another daemon may own the shard and have run an earlier
  // attempt.
  if (!options_.holds_lease()) return MakeUnknown(reason::kOwnershipUncertain);
  if (!HistoryComplete(shard)) return MakeUnknown(reason::kKeyHistoryLost);
  return std::nullopt;
}

service_response key_registry::RunOnce(const service_request& request,
                                       time_point deadline, const runner& run) {
  const auto shard_number = ShardOfRequest(request);
  if (!shard_number) return MakeNotRun(reason::kInvalid);
  const std::string name = RecordKey(request);
  const std::uint64_t digest = DigestOf(request);
  std::unique_lock lock(mutex_);
  shard_state& shard = shards_[*shard_number];
  if (!shard.owned) return MakeUnknown(reason::kOwnershipUncertain);
  const auto known = shard.records.find(name);
  if (known != shard.records.end()) {
    return WaitForResponse(lock, known->second, digest, deadline);
  }
  // After a hand-over the successor may have run the request.
  if (shard.handed_over) return MakeUnknown(reason::kOwnershipUncertain);
  const auto rejection =
      request.ticket.empty()
          ? CheckKey(shard)
          : CheckTicket(shard, *DecodeTicket(request.ticket));
  if (rejection) return *rejection;
  if (shard.records.size() >= options_.max_records) RemoveExpiredRecords(shard);
  if (shard.records.size() >= options_.max_records) {
    return MakeNotRun(reason::kQueueFull);
  }
  const auto new_record = std::make_shared<record>();
  new_record->digest = digest;
  shard.records.emplace(name, new_record);
  lock.unlock();
  service_response response = run();
  lock.lock();
  FinishRecord(shard, name, new_record, response);
  return response;
}

service_response key_registry::WaitForResponse(
    std::unique_lock<std::mutex>& lock, const record_ptr& found,
    std::uint64_t digest, time_point deadline) {
  const record_ptr existing = found;  // The map can remove it during the wait.
  if (existing->digest != digest) return MakeNotRun(reason::kKeyReused);
  if (!options_.clock->WaitUntil(lock, existing->finish_condition, deadline,
                                 [&] { return existing->finished; })) {
    return MakeUnknown(reason::kDeadline);
  }
  return existing->response;
}

void key_registry::FinishRecord(shard_state& shard, const std::string& key,
                                const record_ptr& new_record,
                                const service_response& response) {
  new_record->finished = true;
  new_record->finished_at = options_.clock->Now();
  const auto found = shard.records.find(key);
  const bool recorded =
      found != shard.records.end() && found->second == new_record;
  if (response.outcome == request_outcome::kNotRun) {
    // The request did not run, so a repeat may run.
    new_record->response = response;
    if (recorded) shard.records.erase(found);
  } else if (recorded) {
    RecordResponse(shard, *new_record, response);
  } else {
    new_record->response = response;  // For repeats that wait for it.
  }
  new_record->finish_condition.notify_all();
}

void key_registry::RecordResponse(shard_state& shard, record& target,
                                  service_response response) const {
  const std::size_t size = response.body.size();
  if (size > options_.max_recorded_body_bytes ||
      shard.body_bytes + size > options_.max_body_bytes) {
    // A response without its body must not be returned as `completed`.
    response = MakeUnknown(reason::kNotRecorded, response.worker);
  }
  shard.body_bytes += response.body.size();
  target.response = std::move(response);
}

result<std::string> key_registry::IssueTicket(std::uint32_t shard) {
  const std::lock_guard lock(mutex_);
  const shard_state& state = shards_[shard];
  if (!state.owned || state.handed_over) {
    return Fail(
        error_kind::kUnavailable,
        "shard " + std::to_string(shard) + " is not owned by this daemon",
        "request the ticket from the owner of the shard");
  }
  return EncodeTicket({shard, state.epoch,
                       ToMs(options_.clock->Now().time_since_epoch()),
                       RandomHex(16)});
}

std::optional<wire::key_handoverT> key_registry::StartHandover(
    std::uint32_t shard, std::size_t max_bytes) {
  const std::lock_guard lock(mutex_);
  shard_state& state = shards_[shard];
  if (!state.owned) return std::nullopt;
  state.handed_over = true;
  RemoveExpiredRecords(state);
  wire::key_handoverT handover;
  handover.shard = shard;
  handover.epoch = state.epoch;
  handover.history_complete = HistoryComplete(state);
  const time_point now = options_.clock->Now();
  const duration own_clock = now.time_since_epoch();
  handover.accepted_epochs.push_back(state.epoch);
  handover.accepted_clocks_ms.push_back(ToMs(own_clock));
  // Tickets of earlier epochs have expired one retention after this daemon
  // became the owner.
  if (now - state.owner_since < options_.retention) {
    for (const auto& [epoch, offset] : state.accepted_epochs) {
      handover.accepted_epochs.push_back(epoch);
      handover.accepted_clocks_ms.push_back(ToMs(own_clock + offset));
    }
  }
  std::size_t bytes = 0;
  for (const auto& [name, existing] : state.records) {
    auto& sent =
        handover.records.emplace_back(std::make_unique<wire::key_recordT>());
    bytes += kRecordOverheadBytes + name.size();
    sent->key = name;
    sent->digest = existing->digest;
    sent->finished = existing->finished;
    if (!existing->finished) continue;
    sent->outcome =
        static_cast<wire::request_outcome>(existing->response.outcome);
    sent->status = existing->response.status;
    sent->reason = existing->response.reason;
    sent->age_ms = ToMs(now - existing->finished_at);
    const std::string& body = existing->response.body;
    if (bytes + body.size() > max_bytes) {
      const auto omitted = MakeUnknown(reason::kNotRecorded);
      sent->outcome = static_cast<wire::request_outcome>(omitted.outcome);
      sent->status = omitted.status;
      sent->reason = omitted.reason;
      continue;
    }
    bytes += body.size();
    sent->headers = HeadersToWire(existing->response.headers);
    sent->body.assign(body.begin(), body.end());
  }
  return handover;
}

wire::acknowledgementT key_registry::AcceptHandover(
    const wire::key_handoverT& handover) {
  wire::acknowledgementT acknowledgement;
  if (handover.shard >= kShardCount) {
    acknowledgement.reason = "the shard does not exist";
    return acknowledgement;
  }
  const std::lock_guard lock(mutex_);
  shard_state& state = shards_[handover.shard];
  if (handover.epoch < state.epoch) {
    acknowledgement.reason = "the shard has a later epoch";
    return acknowledgement;
  }
  state.received_handover = std::make_unique<wire::key_handoverT>(handover);
  state.handover_received_at = options_.clock->Now();
  acknowledgement.accepted = true;
  return acknowledgement;
}

void key_registry::RemoveExpiredRecords(shard_state& shard) const {
  const time_point now = options_.clock->Now();
  std::erase_if(shard.records, [&](const auto& entry) {
    const record& existing = *entry.second;
    if (!existing.finished || now - existing.finished_at < options_.retention) {
      return false;
    }
    shard.body_bytes -= existing.response.body.size();
    return true;
  });
}

void key_registry::RemoveExpiredRecords() {
  const std::lock_guard lock(mutex_);
  for (shard_state& shard : shards_) RemoveExpiredRecords(shard);
}

std::size_t key_registry::CountRecords() const {
  const std::lock_guard lock(mutex_);
  std::size_t total = 0;
  for (const shard_state& shard : shards_) total += shard.records.size();
  return total;
}

}  // namespace apricotwheel

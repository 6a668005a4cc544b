#include "workers/worker_session.h"

#include <algorithm>

#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

// Renewal interval while a stopped or pre-empted task has not ended yet.
constexpr auto kFastRenewalInterval = milliseconds(100);
// Delay after a failed call. Several retries fit into the dispatch authority of
// 2.5 s.
constexpr auto kRetryInterval = milliseconds(250);

bool IsUnreachable(const error& failure) {
  return failure.kind == error_kind::kTimeout ||
         failure.kind == error_kind::kUnavailable;
}

template <class T>
std::optional<error> FailureOf(const outcome<T>& response) {
  if (response) return std::nullopt;
  return response.failure;
}

}  // namespace

void worker_session::Stop(bool release) {
  if (release) release_on_stop_ = true;
  options_.wake->Stop();
}

void worker_session::Run() {
  bool epoch_is_current = true;  // The worker has seen no higher epoch.
  bool claimed = false;
  while (epoch_is_current && !options_.wake->Stopped()) {
    if (!claimed) {
      epoch_is_current = ClaimWorker();
      claimed = epoch_is_current && worker_responded_;
      if (!claimed) {
        if (epoch_is_current) options_.wake->WaitFor(kRetryInterval);
        continue;
      }
    }
    if (IsRenewalDue()) epoch_is_current = RenewLease();
    if (epoch_is_current && worker_responded_)
      epoch_is_current = ExecuteCommands();
    if (!epoch_is_current) break;
    auto until = next_renewal_;
    if (worker_responded_ &&
        options_.fleet->NeedsFastRenewal(options_.worker)) {
      next_renewal_ =
          std::min(next_renewal_, options_.clock->Now() + kFastRenewalInterval);
      until = next_renewal_;
    }
    const auto remaining = until - options_.clock->Now();
    if (remaining > duration(0)) options_.wake->WaitFor(remaining);
  }
  if (!epoch_is_current) {
    Emit(options_.log, kWorkerLostToSuccessor,
         {Field("worker", options_.worker), Field("epoch", options_.epoch)});
  } else if (release_on_stop_ && claimed) {
    options_.api.release(options_.epoch);
  }
  options_.fleet->ForgetWorker(options_.worker, options_.epoch);
  ended_ = true;
}

bool worker_session::IsRenewalDue() const {
  return options_.clock->Now() >= next_renewal_;
}

bool worker_session::ClaimWorker() {
  const auto response = options_.api.claim(options_.epoch, options_.member_id);
  worker_responded_ = static_cast<bool>(response);
  if (!response) {
    if (response.failure.kind == error_kind::kStaleEpoch) return false;
    options_.fleet->OnWorkerUnreachable(options_.worker);
    return true;
  }
  const auto received = options_.clock->Now();
  options_.fleet->OnWorkerClaimed(options_.worker, *response, received);
  next_renewal_ = received;
  return true;
}

bool worker_session::RenewLease() {
  const auto request = options_.fleet->PrepareRenewal(options_.worker);
  const auto sent = options_.clock->Now();
  const auto response = options_.api.renew(
      options_.epoch, request.expires_at_ms, request.acknowledged);
  worker_responded_ = static_cast<bool>(response);
  if (response) {
    options_.fleet->OnLeaseRenewed(options_.worker, request, *response, sent,
                                   options_.clock->Now());
    next_renewal_ = sent + options_.renew_interval;
    return true;
  }
  if (response.failure.kind == error_kind::kStaleEpoch) return false;
  options_.fleet->OnWorkerUnreachable(options_.worker);
  next_renewal_ = options_.clock->Now() +
                  std::min<duration>(kRetryInterval, options_.renew_interval);
  return true;
}

bool worker_session::ExecuteCommands() {
  const auto commands = options_.fleet->TakeCommands(options_.worker);
  for (const auto& command : commands) {
    if (!worker_responded_) {
      // The worker did not respond to the previous call. Fails the start, so
      // that the shard owner places the task again.
      if (command.type != worker_command::command_type::kStart) continue;
      outcome<task_status> not_sent;
      not_sent.failure = {error_kind::kUnavailable,
                          "the worker does not answer",
                          "place the task on another worker"};
      options_.fleet->OnStartResponse(options_.worker, command, not_sent);
      continue;
    }
    if (!ExecuteCommand(command)) return false;
    // Renews between commands, so that many starts do not delay a renewal.
    if (worker_responded_ && IsRenewalDue() && !RenewLease()) return false;
  }
  return true;
}

std::optional<error> worker_session::SendCommand(
    const worker_command& command) {
  const auto& id = command.spec.task_id;
  switch (command.type) {
    case worker_command::command_type::kStart: {
      const auto response = options_.api.start(options_.epoch, command.spec,
                                               command.expires_at_ms);
      options_.fleet->OnStartResponse(options_.worker, command, response);
      return FailureOf(response);
    }
    case worker_command::command_type::kStop:
      return FailureOf(options_.api.stop(options_.epoch, id, command.mode));
    case worker_command::command_type::kThrottle:
      return FailureOf(
          options_.api.throttle(options_.epoch, id, command.cpu_milli));
  }
  return std::nullopt;
}

bool worker_session::ExecuteCommand(const worker_command& command) {
  const auto failure = SendCommand(command);
  if (!failure) return true;
  if (failure->kind == error_kind::kStaleEpoch) return false;
  if (IsUnreachable(*failure)) {
    worker_responded_ = false;
    options_.fleet->OnWorkerUnreachable(options_.worker);
    next_renewal_ = options_.clock->Now() + kRetryInterval;
  }
  return true;
}

}  // namespace apricotwheel

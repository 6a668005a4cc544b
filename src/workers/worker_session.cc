#include "workers/worker_session.h"

#include <algorithm>

#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

// Between renewals while the end of a pre-empted or stopped task is awaited.
constexpr auto kFastRenewal = milliseconds(100);
// After a failed call; well below the authority over instances.
constexpr auto kRetryInterval = milliseconds(250);

bool NoAnswer(const error& failure) {
  return failure.kind == error_kind::kTimeout ||
         failure.kind == error_kind::kUnavailable;
}

template <class T>
std::optional<error> FailureOf(const outcome<T>& answer) {
  if (answer) return std::nullopt;
  return answer.failure;
}

}  // namespace

void worker_session::Stop(bool release) {
  if (release) release_ = true;
  options_.wake->Stop();
}

void worker_session::Run() {
  bool current = true;  // No higher epoch was seen.
  bool claimed = false;
  while (current && !options_.wake->Stopped()) {
    if (!claimed) {
      current = Claim();
      claimed = current && answered_;
      if (!claimed) {
        if (current) options_.wake->WaitFor(kRetryInterval);
        continue;
      }
    }
    if (RenewalDue()) current = Renew();
    if (current && answered_) current = CarryOut();
    if (!current) break;
    auto until = next_renewal_;
    if (answered_ && options_.fleet->NeedsFastRenewal(options_.worker)) {
      next_renewal_ =
          std::min(next_renewal_, options_.clock->Now() + kFastRenewal);
      until = next_renewal_;
    }
    const auto left = until - options_.clock->Now();
    if (left > duration(0)) options_.wake->WaitFor(left);
  }
  if (!current) {
    Emit(options_.log, kWorkerLost,
         {Field("worker", options_.worker), Field("epoch", options_.epoch)});
  } else if (release_ && claimed) {
    options_.calls.release(options_.epoch);
  }
  options_.fleet->DropWorker(options_.worker, options_.epoch);
  ended_ = true;
}

bool worker_session::RenewalDue() const {
  return options_.clock->Now() >= next_renewal_;
}

bool worker_session::Claim() {
  const auto answer = options_.calls.claim(options_.epoch, options_.member_id);
  answered_ = static_cast<bool>(answer);
  if (!answer) {
    if (answer.failure.kind == error_kind::kStaleEpoch) return false;
    options_.fleet->OnUnreachable(options_.worker);
    return true;
  }
  const auto received = options_.clock->Now();
  options_.fleet->OnClaimed(options_.worker, *answer, received);
  next_renewal_ = received;
  return true;
}

bool worker_session::Renew() {
  const auto order = options_.fleet->PrepareRenewal(options_.worker);
  const auto sent = options_.clock->Now();
  const auto answer = options_.calls.renew(options_.epoch, order.expires_at_ms,
                                           order.acknowledged);
  answered_ = static_cast<bool>(answer);
  if (answer) {
    options_.fleet->OnRenewed(options_.worker, order, *answer, sent,
                              options_.clock->Now());
    next_renewal_ = sent + options_.renew_interval;
    return true;
  }
  if (answer.failure.kind == error_kind::kStaleEpoch) return false;
  options_.fleet->OnUnreachable(options_.worker);
  next_renewal_ = options_.clock->Now() +
                  std::min<duration>(kRetryInterval, options_.renew_interval);
  return true;
}

bool worker_session::CarryOut() {
  const auto orders = options_.fleet->TakeOrders(options_.worker);
  for (const auto& order : orders) {
    if (!answered_) {
      // The worker did not answer the previous call; a start that was not sent
      // goes back to the owner of its shard.
      if (order.what != worker_order::kind::kStart) continue;
      outcome<task_status> not_sent;
      not_sent.failure = {error_kind::kUnavailable,
                          "the worker does not answer",
                          "place the task on another worker"};
      options_.fleet->OnStarted(options_.worker, order, not_sent);
      continue;
    }
    if (!Execute(order)) return false;
    // Many starts in a row must not delay a renewal.
    if (answered_ && RenewalDue() && !Renew()) return false;
  }
  return true;
}

std::optional<error> worker_session::Send(const worker_order& order) {
  const auto& id = order.spec.task_id;
  switch (order.what) {
    case worker_order::kind::kStart: {
      const auto answer =
          options_.calls.start(options_.epoch, order.spec, order.expires_at_ms);
      options_.fleet->OnStarted(options_.worker, order, answer);
      return FailureOf(answer);
    }
    case worker_order::kind::kStop:
      return FailureOf(options_.calls.stop(options_.epoch, id, order.mode));
    case worker_order::kind::kThrottle:
      return FailureOf(
          options_.calls.throttle(options_.epoch, id, order.cpu_milli));
  }
  return std::nullopt;
}

bool worker_session::Execute(const worker_order& order) {
  const auto failure = Send(order);
  if (!failure) return true;
  if (failure->kind == error_kind::kStaleEpoch) return false;
  if (NoAnswer(*failure)) {
    answered_ = false;
    options_.fleet->OnUnreachable(options_.worker);
    next_renewal_ = options_.clock->Now() + kRetryInterval;
  }
  return true;
}

}  // namespace apricotwheel

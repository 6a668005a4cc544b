#include "pools/agent_session.h"

#include <algorithm>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Workers' clocks may run 2% slow.
constexpr double kSlowestClock = 0.98;
constexpr auto kLapseMargin = milliseconds(100);
// A call that waits for an end renews the lease when it is sent. If its answer
// is lost, ends are read only after the wait: it is short beside the tasks, and
// long beside the time between the ends of a busy worker.
constexpr auto kHoldWait = milliseconds(500);
constexpr auto kRetryAfterFailure = milliseconds(250);
// An answer that is lost alone is asked for again at once; after this many
// calls in a row without one the worker is taken as unreachable.
constexpr int kLostAnswersToDoubt = 2;
constexpr auto kRepeatLost = milliseconds(10);
// A start whose answer is lost is sent again under the same number, which the
// worker takes once. One call in ten lost three times leaves 1 in 1000.
constexpr int kStartTries = 3;
// An idle worker is not asked; it is looked at this often to notice that it
// started anew.
constexpr auto kIdleWait = milliseconds(15'000);
// While the store is slow or away, ends that it cannot take are passed over and
// the worker is asked for later ones after this time.
constexpr auto kLongestStorePause = milliseconds(250);
// Ends are answered again until they are acknowledged, which takes the time of
// a commit; if that takes longer, the next ends are read after this time.
constexpr auto kEndPause = milliseconds(100);

}  // namespace

void worker_clock::Observe(std::int64_t clock_ms, time_point received_at) {
  // An answer may be overtaken by a later one.
  if (is_known_ && clock_ms < clock_ms_) return;
  is_known_ = true;
  clock_ms_ = clock_ms;
  read_at_ = received_at;
}

std::int64_t worker_clock::NextLeaseEnd(time_point now) {
  const auto since = now - read_at_;
  const std::int64_t end_ms =
      clock_ms_ +
      std::chrono::duration_cast<milliseconds>(since + longest_lease_).count();
  const auto longest = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(end_ms - clock_ms_) / kSlowestClock));
  lapsed_at_ = std::max(lapsed_at_, read_at_ + longest + kLapseMargin);
  return end_ms;
}

agent_session::agent_session(agent_session_options options, callbacks calls)
    : options_(std::move(options)),
      calls_(std::move(calls)),
      worker_clock_(options_.longest_lease) {}

result<void> agent_session::Start() {
  started_at_ = options_.clock->Now();
  BOOST_LEAF_CHECK(threads_.Spawn("worker-hold", [this] { RunHold(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("worker-orders", [this] { RunOrders(); }));
  return {};
}

void agent_session::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  options_.link->interrupt();
  threads_.JoinAll();
  // Nothing else touches the orders any more.
  for (const worker_order& left : std::exchange(orders_, {})) {
    if (const auto* start = std::get_if<start_order>(&left)) {
      calls_.start_answered(*start, start_result::kUnreachable);
    }
  }
}

void agent_session::Wake() {
  {
    const std::lock_guard lock(mutex_);
    ++wakes_;
  }
  changed_.notify_all();
}

void agent_session::Enqueue(worker_order next) {
  {
    const std::lock_guard lock(mutex_);
    orders_.push_back(std::move(next));
    ++wakes_;
  }
  changed_.notify_all();
}

std::uint64_t agent_session::Wakes() {
  const std::lock_guard lock(mutex_);
  return wakes_;
}

void agent_session::WaitForWork(std::uint64_t wakes_before, duration longest) {
  std::unique_lock lock(mutex_);
  options_.clock->WaitFor(lock, changed_, longest, [&] {
    return is_stopped_ || wakes_ != wakes_before;
  });
}

void agent_session::RunHold() {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (is_stopped_) return;
    }
    const duration pause = HoldOnce();
    if (pause > duration::zero()) {
      WaitForWork(Wakes(), pause);
      continue;
    }
    const auto resume_at =
        options_.clock->Now() +
        (has_new_ends_ ? duration(kEndPause) : duration(kLongestStorePause));
    while (true) {
      const std::uint64_t wakes = Wakes();
      const auto left = resume_at - options_.clock->Now();
      if (left <= duration::zero() || !calls_.has_unstored_ends()) break;
      WaitForWork(wakes, left);
      const std::lock_guard lock(mutex_);
      if (is_stopped_) return;
    }
    const std::uint64_t wakes = Wakes();
    const bool is_idle = acknowledged_end_ >= last_end_ && !calls_.has_runs();
    if (is_idle) WaitForWork(wakes, kIdleWait);
  }
}

duration agent_session::HoldOnce() {
  hold_request request;
  request.epoch = options_.epoch;
  request.acknowledged_end = calls_.stored_end();
  const auto sent_at = options_.clock->Now();
  // A call without an answer may have extended the leases, so a worker that
  // does not answer is only looked at: else its leases would never be over.
  const bool is_look = lost_answers_ > 0;
  {
    const std::lock_guard lock(mutex_);
    if (worker_clock_.IsKnown() && is_answering_ && !is_look) {
      request.lease_until_ms = worker_clock_.NextLeaseEnd(sent_at);
    }
  }
  // The first call claims the worker and reads its clock.
  if (is_claimed_ && !is_look && calls_.has_runs()) request.wait = kHoldWait;
  const auto report = Attempt([&] { return options_.link->hold(request); });
  const auto now = options_.clock->Now();
  if (!report) return AfterFailure(report.failure);
  bool answers_again = false;
  {
    const std::lock_guard lock(mutex_);
    if (is_stopped_) return {};
    worker_clock_.Observe(report->clock_ms, now);
    answers_again = !std::exchange(is_answering_, true);
  }
  if (answers_again) {
    Emit(options_.log, pool_events::kWorkerAnswers,
         {Field("worker", options_.worker.id)});
  }
  is_claimed_ = true;
  const bool is_new_agent =
      std::exchange(incarnation_, report->incarnation) != report->incarnation;
  if (is_new_agent) last_end_ = 0;
  is_lapsed_ = false;
  lost_answers_ = 0;
  calls_.reported(*report, sent_at);
  acknowledged_end_ = is_new_agent ? 0 : request.acknowledged_end;
  has_new_ends_ = false;
  for (const reported_end& end : report->ended) {
    if (end.sequence <= last_end_) continue;
    last_end_ = end.sequence;
    has_new_ends_ = true;
  }
  return {};
}

duration agent_session::AfterFailure(const error& failure) {
  if (failure.kind == error_kind::kStaleEpoch) {
    calls_.epoch_refused();
    return kIdleWait;
  }
  ++lost_answers_;
  if (is_claimed_ && failure.kind == error_kind::kTimeout &&
      lost_answers_ < kLostAnswersToDoubt) {
    Emit(options_.log, pool_events::kAnswerLost,
         {Field("worker", options_.worker.id), Field("call", "hold"),
          Field("reason", Describe(failure))});
    return kRepeatLost;
  }
  const auto now = options_.clock->Now();
  time_point lapsed_at;
  bool stops_answering = false;
  {
    const std::lock_guard lock(mutex_);
    if (is_stopped_) return {};
    lapsed_at = worker_clock_.LapsedAt();
    stops_answering = std::exchange(is_answering_, false);
  }
  if (!is_claimed_) {
    // Leases that an earlier session gave are not known here.
    const auto longest = std::chrono::duration_cast<duration>(
        options_.longest_lease / kSlowestClock);
    lapsed_at =
        std::max(lapsed_at, started_at_ + longest + duration(kLapseMargin));
  }
  if (stops_answering) {
    Emit(options_.log, pool_events::kWorkerUnanswered,
         {Field("worker", options_.worker.id),
          Field("reason", Describe(failure))});
  }
  if (is_lapsed_) return kRetryAfterFailure;
  // What ran in an agent ends with it, so its leases need not be waited for.
  const bool has_exited =
      failure.kind == error_kind::kUnavailable && options_.has_exited();
  if (has_exited || now >= lapsed_at) {
    if (has_exited) {
      Emit(options_.log, pool_events::kAgentExited,
           {Field("worker", options_.worker.id),
            Field("address", options_.worker.address)});
    }
    is_lapsed_ = true;
    is_claimed_ = false;
    calls_.lapsed();
  }
  return kRetryAfterFailure;
}

void agent_session::RunOrders() {
  while (true) {
    worker_order next;
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, changed_, time_point::max(), [&] {
        return is_stopped_ || !orders_.empty();
      });
      if (is_stopped_) return;
      next = std::move(orders_.front());
      orders_.pop_front();
    }
    if (const auto* start = std::get_if<start_order>(&next)) {
      CarryOutStart(*start);
    } else if (const auto* stop = std::get_if<stop_order>(&next)) {
      const bool is_obeyed = options_.link->stop(*stop, options_.epoch);
      calls_.stop_answered(*stop, is_obeyed);
    } else if (const auto* pace = std::get_if<throttle_order>(&next)) {
      options_.link->pace(*pace, options_.epoch);
    }
  }
}

start_reply agent_session::TryStart(const start_order& next) {
  run_lease lease{options_.epoch, 0};
  {
    const std::lock_guard lock(mutex_);
    if (is_stopped_ || !is_answering_) {
      return {start_result::kUnreachable, std::nullopt};
    }
    lease.until_ms = worker_clock_.NextLeaseEnd(options_.clock->Now());
  }
  start_reply reply = options_.link->start(next, lease);
  if (reply.clock_ms) {
    const std::lock_guard lock(mutex_);
    worker_clock_.Observe(*reply.clock_ms, options_.clock->Now());
  }
  return reply;
}

void agent_session::CarryOutStart(const start_order& next) {
  start_reply reply = TryStart(next);
  int tries = 1;
  for (; tries < kStartTries && reply.answer == start_result::kUnknown;
       ++tries) {
    Emit(options_.log, pool_events::kAnswerLost,
         {Field("worker", options_.worker.id), Field("call", "start"),
          Field("job", next.task.job_id)});
    reply = TryStart(next);
  }
  // An order without an answer may be carried out later, whatever refuses its
  // repetition: only a stop settles it.
  if (tries > 1 && reply.answer != start_result::kStarted &&
      reply.answer != start_result::kStaleEpoch) {
    reply.answer = start_result::kUnknown;
  }
  if (reply.answer == start_result::kStaleEpoch) calls_.epoch_refused();
  calls_.start_answered(next, reply.answer);
}

}  // namespace apricotwheel

#include "pools/agent_session.h"

#include <algorithm>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// A worker's clock runs at most 2% slow.
constexpr double kMinClockRate = 0.98;
// Safety margin on top of the computed expiry of the leases.
constexpr auto kExpiryMargin = milliseconds(100);
// If the response of a long poll is lost, ends are not read before this
// timeout: it is short compared with the run time of tasks and long compared
// with the time between two ends on a busy worker.
constexpr auto kLongPollTimeout = milliseconds(500);
constexpr auto kPollRetryInterval = milliseconds(250);
// A single lost response is retried almost at once. The worker counts as
// unreachable after this many failed polls in a row.
constexpr int kFailedPollsToUnreachable = 2;
constexpr auto kLostResponseBackoff = milliseconds(10);
// A start order whose response is lost is sent again with the same run number,
// which the worker executes only once. If one response in ten is lost, all
// three attempts fail for one start in 1000.
constexpr int kMaxStartAttempts = 3;
// A response that is late because a link is full is late again if the poll is
// repeated with the same timeout, and fills the link further. Each such failure
// doubles the timeout up to this one.
constexpr auto kMaxResponseTimeout = milliseconds(1200);
// A start without a response counts as lost within this time.
constexpr auto kStartTimeout = milliseconds(1000);
// Leases are renewed this many times while one lasts, so that a few lost
// renewals end none.
constexpr int kRenewalsPerLease = 6;
// An idle worker is polled at this interval, to detect that its agent has
// restarted.
constexpr auto kIdlePollInterval = milliseconds(15'000);
// Wait for the commit of ends that an earlier poll has returned. If the store
// is slower than that, the worker is polled for later ends.
constexpr auto kOldEndsCommitWait = milliseconds(250);
// Wait for the commit of ends that the last poll has returned. The worker
// reports ends again until they are acknowledged, which needs a commit.
constexpr auto kNewEndsCommitWait = milliseconds(100);

// Returns the longest time that a lease of this duration on the clock of a
// worker can hold.
duration LongestHold(duration lease) {
  return std::chrono::duration_cast<duration>(lease / kMinClockRate) +
         duration(kExpiryMargin);
}

// Returns true if a poll that failed so may have been executed.
bool MayHaveTakenEffect(error_kind kind) {
  return kind != error_kind::kStaleEpoch && kind != error_kind::kNotFound &&
         kind != error_kind::kConflict && kind != error_kind::kUnavailable;
}

}  // namespace

void worker_clock::Observe(std::int64_t clock_ms, time_point received_at) {
  // A response can arrive after a later one.
  if (is_known_ && clock_ms < clock_ms_) return;
  is_known_ = true;
  clock_ms_ = clock_ms;
  read_at_ = received_at;
}

std::optional<std::int64_t> worker_clock::ExtendLeases(time_point now,
                                                       time_point limit) {
  const duration elapsed = now - read_at_;
  const auto until_limit = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::nano>(limit - read_at_) *
      kMinClockRate);
  const duration lease_end = std::min(elapsed + lease_duration_, until_limit);
  if (lease_end <= elapsed) return std::nullopt;
  const std::int64_t end_ms = clock_ms_ + ToMs(lease_end);
  const auto max_duration = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(end_ms - clock_ms_) / kMinClockRate));
  expired_by_ = std::max(expired_by_, read_at_ + max_duration + kExpiryMargin);
  return end_ms;
}

void worker_clock::AddEarlierLeases(time_point claimed_at) {
  expired_by_ =
      std::max(expired_by_, claimed_at + LongestHold(lease_duration_));
}

agent_session::agent_session(agent_session_options options, callbacks handlers)
    : options_(std::move(options)),
      callbacks_(std::move(handlers)),
      worker_clock_(options_.lease_duration),
      late_calls_(options_.earlier_calls),
      response_timeout_(kMinResponseTimeout) {}

result<void> agent_session::Start() {
  started_at_ = options_.clock->Now();
  BOOST_LEAF_CHECK(threads_.Spawn("worker-hold", [this] { RunPoll(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("worker-orders", [this] { RunSender(); }));
  return {};
}

void agent_session::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  stored_.notify_one();
  events_changed_.notify_one();
  orders_changed_.notify_one();
  calls_changed_.notify_all();
  options_.link->interrupt();
  threads_.JoinAll();
  // The threads have ended, so the pending orders need no lock.
  for (start_order& withdrawn : withdrawn_starts_) {
    pending_orders_.emplace_back(std::move(withdrawn));
  }
  withdrawn_starts_.clear();
  for (const worker_order& unsent : std::exchange(pending_orders_, {})) {
    if (const auto* start = std::get_if<start_order>(&unsent)) {
      callbacks_.on_start_result(*start, start_result::kUnreachable);
    }
  }
}

void agent_session::Wake() {
  {
    const std::lock_guard lock(mutex_);
    ++event_counts_.stored;
  }
  stored_.notify_one();
  events_changed_.notify_one();
}

void agent_session::Enqueue(worker_order order) {
  {
    const std::lock_guard lock(mutex_);
    if (const auto* stop = std::get_if<stop_order>(&order)) {
      WithdrawStart(*stop);
      // A stop is ordered again while the worker does not respond.
      const bool is_pending = std::any_of(
          pending_stops_.begin(), pending_stops_.end(),
          [&](const stop_order& pending) {
            return pending.task == stop->task && pending.run == stop->run;
          });
      if (!is_pending) pending_stops_.push_back(*stop);
    } else {
      pending_orders_.push_back(std::move(order));
    }
    ++event_counts_.orders;
  }
  orders_changed_.notify_one();
  events_changed_.notify_one();
}

void agent_session::WithdrawStart(const stop_order& stop) {
  const auto found = std::find_if(
      pending_orders_.begin(), pending_orders_.end(), [&](const auto& order) {
        const auto* start = std::get_if<start_order>(&order);
        return start && start->task == stop.task && start->run == stop.run;
      });
  if (found == pending_orders_.end()) return;
  withdrawn_starts_.push_back(std::get<start_order>(std::move(*found)));
  pending_orders_.erase(found);
}

std::optional<agent_session::worker_order> agent_session::NextOrder() {
  std::unique_lock lock(mutex_);
  while (true) {
    options_.clock->WaitUntil(lock, orders_changed_, time_point::max(), [&] {
      return is_stopped_ || !pending_orders_.empty() ||
             !pending_stops_.empty() || !withdrawn_starts_.empty();
    });
    if (is_stopped_) return std::nullopt;
    if (withdrawn_starts_.empty()) break;
    const start_order withdrawn = std::move(withdrawn_starts_.front());
    withdrawn_starts_.pop_front();
    lock.unlock();
    callbacks_.on_start_result(withdrawn, start_result::kWithdrawn);
    lock.lock();
  }
  if (!pending_stops_.empty()) {
    const stop_order stop = std::move(pending_stops_.front());
    pending_stops_.pop_front();
    return stop;
  }
  worker_order next = std::move(pending_orders_.front());
  pending_orders_.pop_front();
  return next;
}

agent_session::event_counts agent_session::EventCounts() {
  const std::lock_guard lock(mutex_);
  return event_counts_;
}

void agent_session::WaitForEvent(event_counts seen, duration timeout) {
  std::unique_lock lock(mutex_);
  options_.clock->WaitFor(lock, events_changed_, timeout,
                          [&] { return is_stopped_ || event_counts_ != seen; });
}

void agent_session::WaitForStored(event_counts seen, duration timeout) {
  std::unique_lock lock(mutex_);
  options_.clock->WaitFor(lock, stored_, timeout, [&] {
    return is_stopped_ || event_counts_.stored != seen.stored;
  });
}

void agent_session::RunPoll() {
  worker_progress progress = callbacks_.progress();
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (is_stopped_) return;
    }
    const duration delay = PollOnce(progress);
    if (delay > duration::zero()) {
      WaitForEvent(EventCounts(), delay);
      progress = callbacks_.progress();
      continue;
    }
    const auto resume_at =
        options_.clock->Now() + (has_new_ends_ ? duration(kNewEndsCommitWait)
                                               : duration(kOldEndsCommitWait));
    event_counts seen;
    while (true) {
      seen = EventCounts();
      progress = callbacks_.progress();
      if (!progress.has_unstored_ends) break;
      const auto wait = resume_at - options_.clock->Now();
      if (wait <= duration::zero()) break;
      WaitForStored(seen, wait);
      const std::lock_guard lock(mutex_);
      if (is_stopped_) return;
    }
    const bool is_idle =
        acknowledged_end_ >= last_reported_end_ && !progress.has_runs;
    if (is_idle) {
      WaitForEvent(seen, kIdlePollInterval);
      progress = callbacks_.progress();
    }
  }
}

bool agent_session::IsRenewalDue(const worker_progress& progress) {
  const auto now = options_.clock->Now();
  {
    const std::lock_guard lock(mutex_);
    withholds_leases_ = progress.has_overdue_stop;
  }
  if (!is_agent_known_ || IsStartUnsettled()) return false;
  if (progress.incarnation != incarnation_) return false;
  if (progress.last_stored_end > acknowledged_end_) return true;
  return progress.has_runs && !progress.has_overdue_stop &&
         now >= next_renewal_at_ && now < options_.authority_end();
}

bool agent_session::IsStartUnsettled() {
  const std::lock_guard lock(mutex_);
  return answered_poll_sent_at_ <= start_lost_at_;
}

bool agent_session::BeginRenewal() {
  bool is_begun = false;
  {
    std::unique_lock lock(mutex_);
    is_renewal_due_ = true;
    options_.clock->WaitUntil(lock, calls_changed_, time_point::max(), [&] {
      return is_stopped_ || !is_start_on_the_way_ ||
             answered_poll_sent_at_ <= start_lost_at_;
    });
    is_renewal_due_ = false;
    is_begun = !is_stopped_ && answered_poll_sent_at_ > start_lost_at_;
    is_renewal_on_the_way_ = is_begun;
  }
  if (!is_begun) calls_changed_.notify_all();
  return is_begun;
}

void agent_session::EndRenewal(bool is_settled) {
  {
    const std::lock_guard lock(mutex_);
    is_renewal_on_the_way_ = false;
    is_renewal_lost_ = !is_settled;
    if (!is_settled) {
      late_calls_.renewals = options_.clock->Now() + duration(kMaxCallDelay);
    }
  }
  calls_changed_.notify_all();
}

poll_request agent_session::MakeRenewal(const worker_progress& progress,
                                        time_point now) {
  poll_request request;
  request.epoch = options_.epoch;
  request.needs_same_agent = true;
  request.acknowledged_end = progress.last_stored_end;
  request.response_timeout = response_timeout_;
  const std::lock_guard lock(mutex_);
  if (progress.has_runs && !withholds_leases_) {
    request.lease_until_ms =
        worker_clock_.ExtendLeases(now, options_.authority_end());
  }
  return request;
}

poll_request agent_session::MakeRead(const worker_progress& progress,
                                     time_point now) {
  poll_request request;
  request.epoch = options_.epoch;
  request.response_timeout = response_timeout_;
  const bool is_retry = failed_polls_ > 0;
  // The first poll claims the worker and reads its clock; it does not wait. Nor
  // does the one after a lost start, for which renewals wait.
  if (is_claimed_ && !is_retry && progress.has_runs && !IsStartUnsettled()) {
    request.wait = kLongPollTimeout;
  }
  if (is_retry && !are_leases_expired_) {
    // The end of the leases must not be noticed late.
    request.response_timeout = std::clamp<duration>(
        LeasesExpireBy() - now, kMinResponseTimeout, request.response_timeout);
  }
  return request;
}

duration agent_session::PollOnce(const worker_progress& progress) {
  const bool is_renewal = IsRenewalDue(progress) && BeginRenewal();
  const auto sent_at = options_.clock->Now();
  const poll_request request =
      is_renewal ? MakeRenewal(progress, sent_at) : MakeRead(progress, sent_at);
  const auto report = Attempt([&] { return options_.link->poll(request); });
  const auto now = options_.clock->Now();
  if (is_renewal) {
    EndRenewal(report || !MayHaveTakenEffect(report.failure.kind));
  }
  is_agent_known_ = static_cast<bool>(report);
  if (!report) {
    // The next poll finds out which agent listens there now.
    if (report.failure.kind == error_kind::kConflict) return {};
    return HandlePollFailure(report.failure);
  }
  answered_poll_sent_at_ = sent_at;
  bool becomes_reachable = false;
  bool is_new_agent = false;
  {
    const std::lock_guard lock(mutex_);
    if (is_stopped_) return {};
    is_new_agent =
        std::exchange(incarnation_, report->incarnation) != report->incarnation;
    if (is_new_agent) {
      ++agents_seen_;
      worker_clock_.Forget();
    }
    if (!is_claimed_ || is_new_agent) {
      worker_clock_.AddEarlierLeases(
          std::max({now, late_calls_.starts, late_calls_.renewals}));
    }
    if (is_new_agent) starts_withheld_until_ = late_calls_.renewals;
    worker_clock_.Observe(report->clock_ms, now);
    becomes_reachable = !std::exchange(is_reachable_, true);
    is_renewal_lost_ = false;
  }
  calls_changed_.notify_all();
  if (becomes_reachable) {
    Emit(options_.log, pool_events::kWorkerReachable,
         {Field("worker", options_.worker.id)});
  }
  if (is_new_agent &&
      (request.acknowledged_end > 0 || request.lease_until_ms)) {
    Emit(options_.log, pool_events::kMisdirectedPoll,
         {Field("worker", options_.worker.id),
          Field("acknowledged", request.acknowledged_end),
          Field("lease", request.lease_until_ms ? 1 : 0)});
  }
  is_claimed_ = true;
  response_timeout_ =
      std::max<duration>(response_timeout_ / 2, kMinResponseTimeout);
  if (is_new_agent) {
    last_reported_end_ = 0;
    acknowledged_end_ = 0;
    next_renewal_at_ = {};
  } else if (is_renewal) {
    acknowledged_end_ = request.acknowledged_end;
    if (request.lease_until_ms) {
      next_renewal_at_ = sent_at + options_.lease_duration / kRenewalsPerLease;
    }
  }
  are_leases_expired_ = false;
  may_start_late_ = false;
  failed_polls_ = 0;
  callbacks_.on_report(*report, sent_at);
  has_new_ends_ = false;
  for (const reported_end& end : report->ended) {
    if (end.sequence <= last_reported_end_) continue;
    last_reported_end_ = end.sequence;
    has_new_ends_ = true;
  }
  if (progress.has_overdue_stop) EndWithheldLeases();
  return {};
}

void agent_session::EndWithheldLeases() {
  const time_point expired_by = LeasesExpireBy();
  if (options_.clock->Now() < expired_by) return;
  // A successor may have claimed the worker since it sent the report.
  if (!options_.was_owner_at(expired_by)) return;
  // The next report claims the worker again.
  const bool may_start_late = options_.clock->Now() < LateStartsExpireBy();
  callbacks_.on_leases_expired({false, may_start_late});
}

void agent_session::EndLateStarts(time_point now) {
  if (!may_start_late_) return;
  const time_point expired_by = LateStartsExpireBy();
  if (now < expired_by || !options_.was_owner_at(expired_by)) return;
  may_start_late_ = false;
  callbacks_.on_leases_expired({has_exited_, false});
}

duration agent_session::HandlePollFailure(const error& failure) {
  if (failure.kind == error_kind::kStaleEpoch) {
    callbacks_.on_epoch_rejected();
    return kIdlePollInterval;
  }
  ++failed_polls_;
  if (failure.kind == error_kind::kTimeout) {
    response_timeout_ =
        std::min<duration>(response_timeout_ * 2, kMaxResponseTimeout);
  }
  if (is_claimed_ && failure.kind == error_kind::kTimeout &&
      failed_polls_ < kFailedPollsToUnreachable) {
    Emit(options_.log, pool_events::kResponseLost,
         {Field("worker", options_.worker.id), Field("call", "hold"),
          Field("reason", Describe(failure))});
    return kLostResponseBackoff;
  }
  const auto now = options_.clock->Now();
  bool becomes_unreachable = false;
  {
    const std::lock_guard lock(mutex_);
    if (is_stopped_) return {};
    becomes_unreachable = std::exchange(is_reachable_, false);
  }
  calls_changed_.notify_all();
  if (becomes_unreachable) {
    Emit(options_.log, pool_events::kWorkerUnreachable,
         {Field("worker", options_.worker.id),
          Field("reason", Describe(failure))});
  }
  if (are_leases_expired_) {
    EndLateStarts(now);
    return kPollRetryInterval;
  }
  // Two processes cannot listen at one address, so another agent's answer where
  // this worker has responded before shows that it has exited. The address of a
  // worker that never responded there may be another one's.
  const bool is_replaced = is_claimed_ && failure.kind == error_kind::kNotFound;
  const bool has_exited =
      is_replaced ||
      (failure.kind == error_kind::kUnavailable && options_.has_exited());
  const time_point expired_by = LeasesExpireBy();
  if (has_exited || (now >= expired_by && options_.was_owner_at(expired_by))) {
    if (has_exited) {
      Emit(options_.log, pool_events::kAgentExited,
           {Field("worker", options_.worker.id),
            Field("address", options_.worker.address)});
    }
    are_leases_expired_ = true;
    is_claimed_ = false;
    has_exited_ = has_exited;
    // A worker with another id rejects all calls meant for this one.
    may_start_late_ = !is_replaced && now < LateStartsExpireBy();
    callbacks_.on_leases_expired({has_exited, may_start_late_});
  }
  return kPollRetryInterval;
}

time_point agent_session::LeasesExpireBy() {
  time_point expired_by;
  {
    const std::lock_guard lock(mutex_);
    expired_by = worker_clock_.ExpiredBy();
  }
  if (is_claimed_) return expired_by;
  if (const auto released_by = options_.released_leases_end()) {
    return std::max(expired_by, *released_by);
  }
  // An earlier session may have granted leases that this one does not know.
  return std::max({expired_by, options_.earlier_leases_end(),
                   started_at_ + LongestHold(options_.lease_duration)});
}

time_point agent_session::LateStartsExpireBy() {
  const late_calls late = LateCalls();
  if (late.starts == time_point{}) return {};
  return std::max(late.starts, late.renewals) +
         LongestHold(options_.lease_duration);
}

std::uint64_t agent_session::AgentsSeen() {
  const std::lock_guard lock(mutex_);
  return agents_seen_;
}

late_calls agent_session::LateCalls() {
  const std::lock_guard lock(mutex_);
  return late_calls_;
}

void agent_session::RunSender() {
  while (const auto next = NextOrder()) {
    if (const auto* start = std::get_if<start_order>(&*next)) {
      SendStartWithRetries(*start);
    } else if (const auto* stop = std::get_if<stop_order>(&*next)) {
      const bool is_accepted = options_.link->stop(*stop, options_.epoch);
      callbacks_.on_stop_result(*stop, is_accepted);
    } else if (const auto* throttle = std::get_if<throttle_order>(&*next)) {
      options_.link->throttle(*throttle, options_.epoch);
    }
  }
}

start_response agent_session::SendStart(const start_order& order) {
  run_lease lease{options_.epoch, 0};
  std::uint64_t agents_seen = 0;
  time_point earlier_starts;
  {
    std::unique_lock lock(mutex_);
    options_.clock->WaitUntil(lock, calls_changed_, time_point::max(), [&] {
      return is_stopped_ || !is_reachable_ ||
             (!is_renewal_due_ && !is_renewal_on_the_way_ && !is_renewal_lost_);
    });
    const auto now = options_.clock->Now();
    if (is_stopped_ || !is_reachable_ || withholds_leases_ ||
        now < starts_withheld_until_) {
      return {start_result::kUnreachable, std::nullopt};
    }
    const auto until_ms =
        worker_clock_.ExtendLeases(now, options_.authority_end());
    if (!until_ms) return {start_result::kUnreachable, std::nullopt};
    lease.until_ms = *until_ms;
    agents_seen = agents_seen_;
    is_start_on_the_way_ = true;
    earlier_starts = std::exchange(
        late_calls_.starts, now + duration(kStartTimeout + kMaxCallDelay));
  }
  start_response response = options_.link->start(order, lease);
  {
    const std::lock_guard lock(mutex_);
    is_start_on_the_way_ = false;
    const auto now = options_.clock->Now();
    if (response.result == start_result::kUnknown) {
      start_lost_at_ = now;
      late_calls_.starts = now + duration(kMaxCallDelay);
    } else {
      late_calls_.starts = earlier_starts;
    }
    // It may be the late response of an earlier agent.
    if (response.clock_ms && agents_seen == agents_seen_) {
      // A clock that has gone back may be that of the next agent.
      if (*response.clock_ms < worker_clock_.LastReading()) {
        worker_clock_.AddEarlierLeases(now);
      }
      worker_clock_.Observe(*response.clock_ms, now);
    }
  }
  calls_changed_.notify_all();
  return response;
}

void agent_session::SendStartWithRetries(const start_order& order) {
  const std::uint64_t agents_seen = AgentsSeen();
  start_response response = SendStart(order);
  int attempts = 1;
  // A repetition is meant for the agent that may have executed the start.
  for (;
       attempts < kMaxStartAttempts &&
       response.result == start_result::kUnknown && AgentsSeen() == agents_seen;
       ++attempts) {
    Emit(options_.log, pool_events::kResponseLost,
         {Field("worker", options_.worker.id), Field("call", "start"),
          Field("job", order.task.job_id)});
    response = SendStart(order);
  }
  // A start order without a response may still be executed, even if a
  // repetition is rejected. Only a stop order makes sure that nothing runs.
  if (attempts > 1 && response.result != start_result::kStarted &&
      response.result != start_result::kStaleEpoch) {
    response.result = start_result::kUnknown;
  }
  if (response.result == start_result::kStaleEpoch)
    callbacks_.on_epoch_rejected();
  start_order sent = order;
  sent.has_lost_copies = attempts > 1;
  callbacks_.on_start_result(sent, response.result);
}

}  // namespace apricotwheel

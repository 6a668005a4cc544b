#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "pools/platform_services.h"

namespace apricotwheel {

// Tracks a worker's clock from its responses and computes when the leases
// granted to the worker have expired.
class worker_clock {
 public:
  explicit worker_clock(duration lease_duration)
      : lease_duration_(lease_duration) {}

  // Records that the worker's clock showed `clock_ms` no later than at
  // `received_at`.
  void Observe(std::int64_t clock_ms, time_point received_at);
  // Another agent responds now. Its clock may be any, so that of the earlier
  // one says nothing any more.
  void Forget() { is_known_ = false; }
  // Leases that earlier owners granted until `claimed_at` may still hold.
  void AddEarlierLeases(time_point claimed_at);
  bool IsKnown() const { return is_known_; }
  // Returns the highest reading of the present agent's clock.
  std::int64_t LastReading() const { return is_known_ ? clock_ms_ : 0; }
  // Extends the leases by the full duration from `now`, but not beyond `limit`
  // on a slow clock of the worker, and returns their end on that clock. Returns
  // nothing if no time is left.
  std::optional<std::int64_t> ExtendLeases(time_point now, time_point limit);
  // Returns when all leases granted so far have expired, even if the worker's
  // clock runs slow.
  time_point ExpiredBy() const { return expired_by_; }

 private:
  duration lease_duration_;
  bool is_known_ = false;
  std::int64_t clock_ms_ = 0;
  time_point read_at_{};
  time_point expired_by_{};
};

// What the owner knows about the runs and ends of a worker.
struct worker_progress {
  // Last end that is stored, so that it may be acknowledged to the agent of
  // `incarnation`.
  std::uint64_t last_stored_end = 0;
  bool has_runs = false;
  // The scheduler has applied ends that are not stored yet.
  bool has_unstored_ends = false;
  // A stop has not been settled for long. Only the end of all leases settles it
  // for certain, so they are not renewed until it is.
  bool has_overdue_stop = false;
  std::int64_t incarnation = 0;
};

// Until when calls without a response may still be executed, also by a later
// agent of the worker.
struct late_calls {
  time_point starts{};
  time_point renewals{};
};

// Why and how far the leases of a worker have ended.
struct lease_expiry {
  bool has_exited = false;  // The agent has exited.
  // A later agent may still execute a start, and run it for a lease.
  bool may_start_late = false;
};

struct agent_session_options {
  pool_worker worker;
  std::uint64_t epoch = 0;
  std::unique_ptr<agent_link> link;
  // Returns true if nothing of the worker can run any more, so that its leases
  // need not expire. Called when it refuses connections. A refusal alone does
  // not prove that: a network that cuts the worker off may refuse connections
  // too.
  std::function<bool()> has_exited = [] { return false; };
  // See `owner_authority`. No lease is granted beyond `authority_end`, and the
  // end of the granted leases is no proof that nothing runs unless the pool was
  // this owner's until then.
  std::function<time_point()> authority_end = [] { return time_point::max(); };
  std::function<bool(time_point since)> was_owner_at = [](time_point) {
    return true;
  };
  // Leases of earlier owners may hold until then if the worker is not claimed.
  std::function<time_point()> earlier_leases_end = [] { return time_point{}; };
  // When those of earlier owners and sessions end, if that is known from them.
  std::function<std::optional<time_point>()> released_leases_end = [] {
    return std::optional<time_point>();
  };
  late_calls earlier_calls;  // Of earlier sessions with the worker.
  duration lease_duration = milliseconds(5900);
  clock_ptr clock;
  log_sink log;
};

// The pool owner's session with one worker. One thread renews the worker's
// leases and polls its report; another sends the orders in the sequence in
// which they were queued.
//
// A worker that restarts under its id executes calls that were meant for the
// agent before. An acknowledgement would then delete ends that nobody has seen.
// So polls that wait, and those after a failure, state nothing, and a renewal,
// which acknowledges ends and extends leases, goes to the agent of the last
// report only. No start is on the way together with a renewal, so that no run
// of a next agent can have ended before that executes the renewal.
class agent_session {
 public:
  // Called on the threads of the session.
  struct callbacks {
    std::function<void(const worker_report&, time_point sent_at)> on_report;
    // All leases have expired or the agent has exited: nothing runs there, but
    // for late starts. Called again when these cannot run any more either.
    std::function<void(const lease_expiry&)> on_leases_expired;
    std::function<void(const start_order&, start_result)> on_start_result;
    std::function<void(const stop_order&, bool is_accepted)> on_stop_result;
    // The worker has obeyed the owner of a higher epoch.
    std::function<void()> on_epoch_rejected;
    // Called once before each poll, and again while ends are being stored.
    std::function<worker_progress()> progress;
  };

  agent_session(agent_session_options options, callbacks handlers);
  ~agent_session() { Stop(); }

  result<void> Start();
  // Interrupts the calls in flight and joins the threads. Reports the starts
  // that were not sent as unreachable.
  void Stop();

  void Send(start_order order) { Enqueue(std::move(order)); }
  void Send(stop_order order) { Enqueue(std::move(order)); }
  void Send(throttle_order order) { Enqueue(std::move(order)); }
  // Wakes the poll thread: ends were stored.
  void Wake();
  // Returns when no lease that was granted to the worker can hold any more. For
  // the poll thread, and for others after `Stop`.
  time_point LeasesExpireBy();
  // Returns when late starts cannot run any more, at a later agent either.
  time_point LateStartsExpireBy();
  late_calls LateCalls();

 private:
  using worker_order = std::variant<start_order, stop_order, throttle_order>;

  void Enqueue(worker_order order);
  void RunPoll();
  void RunSender();
  // Polls the worker once and returns how long to wait before the next poll.
  duration PollOnce(const worker_progress& progress);
  bool IsRenewalDue(const worker_progress& progress);
  // Returns true if no poll was answered since a start got no response. The
  // start may reach the next agent, which may be there already.
  bool IsStartUnsettled();
  // Waits for the start that is on the way. Returns false if that got no
  // response or the session was stopped.
  bool BeginRenewal();
  void EndRenewal(bool is_settled);
  poll_request MakeRenewal(const worker_progress& progress, time_point now);
  // Returns a poll that states nothing.
  poll_request MakeRead(const worker_progress& progress, time_point now);
  duration HandlePollFailure(const error& failure);
  // Ends the wait for an overdue stop once the leases have expired.
  void EndWithheldLeases();
  // Reports the end of late starts once it has come.
  void EndLateStarts(time_point now);
  // Events for which the poll thread may wait. A caller reads them before it
  // checks for work and passes them to a wait, which then returns at once if an
  // event came in between.
  struct event_counts {
    std::uint64_t stored = 0;  // Calls of `Wake`.
    std::uint64_t orders = 0;
    bool operator==(const event_counts&) const = default;
  };
  event_counts EventCounts();
  void WaitForEvent(event_counts seen, duration timeout);
  // Orders do not end this wait.
  void WaitForStored(event_counts seen, duration timeout);
  // Withdraws the pending start of the run. Called with mutex_ held.
  void WithdrawStart(const stop_order& stop);
  // Waits for an order and reports the starts that were withdrawn. Returns null
  // if the session was stopped.
  std::optional<worker_order> NextOrder();
  std::uint64_t AgentsSeen();
  // Sends a start order once.
  start_response SendStart(const start_order& order);
  // Sends a start order, with retries until a response arrives or the attempts
  // are used up.
  void SendStartWithRetries(const start_order& order);

  agent_session_options options_;
  const callbacks callbacks_;
  std::mutex mutex_;
  std::condition_variable stored_;  // The poll thread waits on it for `Wake`.
  // The poll thread waits on it for `Wake` or an order.
  std::condition_variable events_changed_;
  std::condition_variable orders_changed_;  // The order thread waits on it.
  // Starts and throttles, which stops overtake: a start that gets no response
  // takes up to a second, and the rules bound the time of a stop.
  std::deque<worker_order> pending_orders_;
  std::deque<stop_order> pending_stops_;
  // Starts whose stop was ordered before they were sent. They are never sent,
  // because the worker may restart and forget the stop.
  std::deque<start_order> withdrawn_starts_;
  // Either call has ended, or a poll was answered or has failed.
  std::condition_variable calls_changed_;
  worker_clock worker_clock_;  // Guarded by mutex_, like the next 11.
  bool is_reachable_ = true;
  bool is_start_on_the_way_ = false;
  bool is_renewal_due_ = false;  // It waits for a start.
  bool is_renewal_on_the_way_ = false;
  // No poll was answered since the last renewal, which got no response.
  bool is_renewal_lost_ = false;
  time_point start_lost_at_{};  // When a start last got no response.
  late_calls late_calls_;
  // A late renewal would delete ends of new runs until then.
  time_point starts_withheld_until_{};
  std::uint64_t agents_seen_ = 0;  // That have responded to polls.
  bool withholds_leases_ = false;
  event_counts event_counts_;
  bool is_stopped_ = false;
  bool is_claimed_ = false;  // From here on: used by the poll thread only.
  bool are_leases_expired_ = false;
  bool has_exited_ = false;  // The leases have expired by that.
  bool may_start_late_ = false;
  // No poll has failed since the agent has reported.
  bool is_agent_known_ = false;
  time_point answered_poll_sent_at_{};  // When the last answered one was sent.
  time_point next_renewal_at_{};        // Of the leases.
  int failed_polls_ = 0;                // Consecutive failures.
  duration response_timeout_;           // Of the next poll.
  std::int64_t incarnation_ = 0;  // Of the agent that answered the last poll.
  // Highest sequence number in the reports of that agent.
  std::uint64_t last_reported_end_ = 0;
  std::uint64_t acknowledged_end_ = 0;  // By the last successful renewal.
  bool has_new_ends_ = false;           // In its last report.
  time_point started_at_{};
  thread_group threads_;
};

}  // namespace apricotwheel

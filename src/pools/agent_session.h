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
#include "pools/service_ports.h"

namespace apricotwheel {

// The clock of a worker and the end of the leases there, both as far as they
// can be known from its answers.
class worker_clock {
 public:
  explicit worker_clock(duration lease_duration)
      : lease_duration_(lease_duration) {}

  // The worker's clock showed `clock_ms` not later than `received_at`.
  void Observe(std::int64_t clock_ms, time_point received_at);
  bool IsKnown() const { return is_known_; }
  // End of a lease of the longest span, on the worker's clock. From then on
  // leases there are taken to last until then.
  std::int64_t ExtendLeases(time_point now);
  // When all leases given so far have surely ended, even if the worker's clock
  // is slow.
  time_point ExpiredBy() const { return expired_by_; }

 private:
  duration lease_duration_;
  bool is_known_ = false;
  std::int64_t clock_ms_ = 0;
  time_point read_at_{};
  time_point expired_by_{};
};

struct agent_session_options {
  pool_worker worker;
  std::uint64_t epoch = 0;
  std::unique_ptr<agent_link> link;
  // True if no process listens at the worker's address.
  std::function<bool()> has_exited = [] { return false; };
  duration lease_duration = milliseconds(5900);
  clock_ptr clock;
  log_sink log;
};

// The owner's side of one worker: one thread holds its leases and reads what
// runs and ends there, another sends the orders in the order of their making.
class agent_session {
 public:
  // Called from the session's threads.
  struct callbacks {
    std::function<void(const worker_report&, time_point sent_at)> on_report;
    std::function<void()> on_leases_expired;
    std::function<void(const start_order&, start_result)> on_start_result;
    std::function<void(const stop_order&, bool is_accepted)> on_stop_result;
    std::function<void()> on_epoch_rejected;
    // What the next call acknowledges, and whether anything runs there.
    std::function<std::uint64_t()> last_stored_end;
    std::function<bool()> has_runs;
    // True if ends were applied that are not stored yet.
    std::function<bool()> has_unstored_ends;
  };

  agent_session(agent_session_options options, callbacks handlers);
  ~agent_session() { Stop(); }

  result<void> Start();
  // Ends running calls and joins the threads.
  void Stop();

  void Send(start_order order) { Enqueue(std::move(order)); }
  void Send(stop_order order) { Enqueue(std::move(order)); }
  void Send(throttle_order order) { Enqueue(std::move(order)); }
  // Ends were stored, or an order made the worker busy.
  void Wake();

 private:
  using worker_order = std::variant<start_order, stop_order, throttle_order>;

  void Enqueue(worker_order order);
  void RunPoll();
  void RunSender();
  // Returns how long to wait before the next call.
  duration PollOnce();
  duration HandlePollFailure(const error& failure);
  // Calls of `Wake` and orders so far. What is decided after reading it is not
  // missed by a wait that is given it.
  std::uint64_t WakeCount();
  void WaitForWake(std::uint64_t seen_wakes, duration timeout);
  // Sends a start once.
  start_response SendStart(const start_order& order);
  // Sends a start until an answer comes or the tries are used up.
  void SendStartWithRetries(const start_order& order);

  agent_session_options options_;
  const callbacks callbacks_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<worker_order> pending_orders_;
  worker_clock worker_clock_;  // Guarded by mutex_, as what follows.
  bool is_reachable_ = true;
  std::uint64_t wake_count_ = 0;
  bool is_stopped_ = false;
  bool is_claimed_ = false;  // Used by the holding thread only.
  bool are_leases_expired_ = false;
  int failed_polls_ = 0;                 // Calls to hold in a row that failed.
  std::int64_t incarnation_ = 0;         // Of the agent that answered last.
  std::uint64_t last_reported_end_ = 0;  // Highest number that it has listed.
  std::uint64_t acknowledged_end_ = 0;   // By the last answered call.
  bool has_new_ends_ = false;            // In its last answer.
  time_point started_at_{};
  thread_group threads_;
};

}  // namespace apricotwheel

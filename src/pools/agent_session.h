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
  explicit worker_clock(duration longest_lease)
      : longest_lease_(longest_lease) {}

  // The worker's clock showed `clock_ms` not later than `received_at`.
  void Observe(std::int64_t clock_ms, time_point received_at);
  bool IsKnown() const { return is_known_; }
  // End of a lease of the longest span, on the worker's clock. From then on
  // leases there are taken to last until then.
  std::int64_t NextLeaseEnd(time_point now);
  // When all leases given so far have surely ended, even if the worker's clock
  // is slow.
  time_point LapsedAt() const { return lapsed_at_; }

 private:
  duration longest_lease_;
  bool is_known_ = false;
  std::int64_t clock_ms_ = 0;
  time_point read_at_{};
  time_point lapsed_at_{};
};

struct agent_session_options {
  pool_worker worker;
  std::uint64_t epoch = 0;
  std::unique_ptr<agent_link> link;
  // True if no process listens at the worker's address.
  std::function<bool()> has_exited = [] { return false; };
  duration longest_lease = milliseconds(5900);
  clock_ptr clock;
  log_sink log;
};

// The owner's side of one worker: one thread holds its leases and reads what
// runs and ends there, another sends the orders in the order of their making.
class agent_session {
 public:
  // Called from the session's threads.
  struct callbacks {
    std::function<void(const worker_report&, time_point sent_at)> reported;
    std::function<void()> lapsed;
    std::function<void(const start_order&, start_result)> start_answered;
    std::function<void(const stop_order&, bool is_obeyed)> stop_answered;
    std::function<void()> epoch_refused;
    // What the next call acknowledges, and whether anything runs there.
    std::function<std::uint64_t()> stored_end;
    std::function<bool()> has_runs;
    // True if ends were applied that are not stored yet.
    std::function<bool()> has_unstored_ends;
  };

  agent_session(agent_session_options options, callbacks calls);
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

  void Enqueue(worker_order next);
  void RunHold();
  void RunOrders();
  // Returns how long to wait before the next call.
  duration HoldOnce();
  duration AfterFailure(const error& failure);
  // Calls of `Wake` and orders so far. What is decided after reading it is not
  // missed by a wait that is given it.
  std::uint64_t Wakes();
  void WaitForWork(std::uint64_t wakes_before, duration longest);
  // Sends a start once.
  start_reply TryStart(const start_order& next);
  // Sends a start until an answer comes or the tries are used up.
  void CarryOutStart(const start_order& next);

  agent_session_options options_;
  const callbacks calls_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<worker_order> orders_;
  worker_clock worker_clock_;  // Guarded by mutex_, as what follows.
  bool is_answering_ = true;
  std::uint64_t wakes_ = 0;
  bool is_stopped_ = false;
  bool is_claimed_ = false;  // Used by the holding thread only.
  bool is_lapsed_ = false;
  int lost_answers_ = 0;                // Calls to hold in a row that failed.
  std::int64_t incarnation_ = 0;        // Of the agent that answered last.
  std::uint64_t last_end_ = 0;          // Highest number that it has listed.
  std::uint64_t acknowledged_end_ = 0;  // By the last answered call.
  bool has_new_ends_ = false;           // In its last answer.
  time_point started_at_{};
  thread_group threads_;
};

}  // namespace apricotwheel

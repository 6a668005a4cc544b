#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "pools/platform_services.h"

namespace apricotwheel {

// Returns how many members are reserved for short calls, so that those do not
// wait behind long ones. The reserved members are the first in the list.
std::size_t MembersForShortCalls(std::size_t members);

// Orders members, sorted by id, for the dispatcher of one of `pools` pools.
// Each dispatcher starts with other members, because it does not see the calls
// of the others.
std::vector<std::string> OrderMembers(std::vector<std::string> members,
                                      std::size_t pool_index,
                                      std::size_t pools);

// The limit of a call for approval, whatever its expected duration.
inline constexpr auto kMaxApprovalTimeout = milliseconds(4000);

// Returns how long a call waits for its response. `lateness` is by how much
// calls were late recently; `timeouts` counts the attempts of the same call
// that had no response in their time, each of which doubles the next one's.
duration ApprovalTimeout(duration expected, duration lateness, int timeouts);

// Distributes approval requests over the members. The advisor serves one call
// at a time from each machine, so each member carries one call at a time. A
// free member takes the oldest pending request that it may carry: the scheduler
// has put them in order and passes on no more than `Capacity`. Thread-safe.
class approval_dispatcher {
 public:
  using approvals = std::vector<approved_worker>;
  // Sends a request to the advisor through a member, and fails if there is no
  // response within `timeout`. Called on the dispatcher's threads.
  using approval_call = std::function<result<approvals>(
      const std::string& member_id, const approval_request& request,
      duration timeout)>;
  using approval_callback = std::function<void(
      const approval_request& request, const outcome<approvals>& response)>;
  // Returns the members in order of preference.
  using member_source = std::function<std::vector<std::string>()>;

  approval_dispatcher(clock_ptr clock, log_sink log, member_source members,
                      approval_call send, approval_callback on_result);
  ~approval_dispatcher() { Stop(); }

  result<void> Start();
  void Stop();
  // Queues a request; its result is passed to the callback.
  void Enqueue(approval_request request);

  // Returns how many requests can be enqueued so that they wait for a short
  // time at most.
  approval_capacity Capacity();

  struct wait_statistics {
    std::size_t pending = 0;
    duration longest_wait{};  // Of the requests sent since the last call.
  };
  // Returns the statistics and starts a new interval.
  wait_statistics TakeWaitStatistics();
  // Called with the time that each request waited before it was sent. Must be
  // set before `Start`.
  void SetWaitCallback(std::function<void(duration)> callback) {
    on_wait_ = std::move(callback);
  }

 private:
  struct pending_request {
    approval_request request;
    std::uint64_t sequence = 0;
    int attempts = 0;
    std::set<std::string> tried;  // Members whose attempts failed.
    int timeouts = 0;             // Of the attempts.
    time_point waits_since{};
  };

  void Run();
  // Called with mutex_ held.
  result<void> SpawnThread();
  // Starts a thread if all are in calls and a member may be free. Called with
  // mutex_ held.
  void SpawnThreadIfNeeded();
  struct free_members {
    std::string for_short;  // Both are empty if no member is free.
    std::string for_long;
  };
  // Called with mutex_ held.
  bool IsFree(const std::string& member, time_point now) const;
  // Prefers members that are not in `tried`.
  free_members FindFreeMembers(const std::set<std::string>& tried);
  // Called with mutex_ held.
  void RecordLateness(duration expected, duration took);

  const clock_ptr clock_;
  const log_sink log_;
  const member_source members_;
  const approval_call send_;
  const approval_callback on_result_;
  std::function<void(duration)> on_wait_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::uint64_t, pending_request> pending_;  // By arrival.
  std::set<std::string> busy_members_;
  std::map<std::string, time_point> backoff_until_;
  std::uint64_t last_sequence_ = 0;
  duration longest_wait_{};
  // By how much responses came later than expected; an earlier lateness counts
  // half with each response.
  duration lateness_{};
  std::size_t thread_count_ = 0;
  std::size_t running_calls_ = 0;  // Including their callbacks.
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

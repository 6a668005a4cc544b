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
#include "pools/service_ports.h"

namespace apricotwheel {

// Members that carry no long calls, so that short ones need not wait for the
// end of a long one: these come first among the members.
std::size_t MembersForShortCalls(std::size_t members);

// Orders members, sorted by id, for the desk of one of `pools` pools. Desks do
// not know of each other's calls, so each begins with other members.
std::vector<std::string> OrderMembers(std::vector<std::string> members,
                                      std::size_t pool_index,
                                      std::size_t pools);

// Spreads calls for approval over the members: the advisor takes one call at a
// time from each machine, so each member carries one at a time and the most
// urgent waiting request goes to the first member that is free. Thread-safe.
class approval_dispatcher {
 public:
  using approvals = std::vector<approved_worker>;
  // Asks through a member. Runs on the desk's threads.
  using approval_call = std::function<result<approvals>(
      const std::string& member_id, const approval_request& request)>;
  using approval_callback = std::function<void(
      const approval_request& request, const outcome<approvals>& response)>;
  // Members in the order in which the desk is to use them.
  using member_source = std::function<std::vector<std::string>()>;

  approval_dispatcher(clock_ptr clock, log_sink log, member_source members,
                      approval_call send, approval_callback on_result);
  ~approval_dispatcher() { Stop(); }

  result<void> Start();
  void Stop();
  void Enqueue(approval_request request);

 private:
  struct pending_request {
    approval_request request;
    std::uint64_t sequence = 0;
    int attempts = 0;
  };

  void Run();
  struct free_members {
    std::string for_short;  // Empty if there is none, as the other one.
    std::string for_long;
  };
  free_members FindFreeMembers();

  const clock_ptr clock_;
  const log_sink log_;
  const member_source members_;
  const approval_call send_;
  const approval_callback on_result_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // By priority, then in the order of arrival.
  std::map<std::pair<int, std::uint64_t>, pending_request> pending_;
  std::set<std::string> busy_members_;
  std::map<std::string, time_point> backoff_until_;
  std::uint64_t last_sequence_ = 0;
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

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
class approval_desk {
 public:
  using approvals = std::vector<approved_worker>;
  // Asks through a member. Runs on the desk's threads.
  using asker = std::function<result<approvals>(
      const std::string& member_id, const approval_request& request)>;
  using answer_listener = std::function<void(const approval_request& request,
                                             const outcome<approvals>& answer)>;
  // Members in the order in which the desk is to use them.
  using member_source = std::function<std::vector<std::string>()>;

  approval_desk(clock_ptr clock, log_sink log, member_source members, asker ask,
                answer_listener answered);
  ~approval_desk() { Stop(); }

  result<void> Start();
  void Stop();
  void Ask(approval_request request);

 private:
  struct waiting_request {
    approval_request request;
    std::uint64_t number = 0;
    int tries = 0;
  };

  void Run();
  struct free_members {
    std::string for_short;  // Empty if there is none, as the other one.
    std::string for_long;
  };
  free_members FreeMembers();

  const clock_ptr clock_;
  const log_sink log_;
  const member_source members_;
  const asker ask_;
  const answer_listener answered_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // By priority, then in the order of arrival.
  std::map<std::pair<int, std::uint64_t>, waiting_request> waiting_;
  std::set<std::string> busy_;
  std::map<std::string, time_point> avoid_until_;
  std::uint64_t last_number_ = 0;
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "pools/approval_dispatcher.h"

namespace apricotwheel {
namespace {

constexpr auto kLongCall = milliseconds(600);
constexpr auto kShortCall = milliseconds(30);

approval_request RequestOf(const std::string& job, duration cost,
                           int priority) {
  approval_request request;
  request.job_id = job;
  request.priority = priority;
  request.expected_duration = cost;
  return request;
}

// A dispatcher whose calls block until the test releases them.
struct blocking_dispatcher {
  clock_ptr clock = runtime_clock::Running();
  std::mutex mutex;
  std::condition_variable changed;
  // Member that carried the request, by job.
  std::map<std::string, std::string> member_by_job;
  bool is_released = false;
  approval_dispatcher dispatcher;

  explicit blocking_dispatcher(std::vector<std::string> members)
      : dispatcher(
            clock, log_sink{}, [members] { return members; },
            [this](const std::string& member, const approval_request& request,
                   duration) { return Block(member, request); },
            [](const approval_request&,
               const outcome<approval_dispatcher::approvals>&) {}) {
    BOOST_REQUIRE(Attempt([&] { return dispatcher.Start(); }));
  }
  ~blocking_dispatcher() {
    {
      const std::lock_guard lock(mutex);
      is_released = true;
    }
    changed.notify_all();
    dispatcher.Stop();
  }

  result<approval_dispatcher::approvals> Block(
      const std::string& member, const approval_request& request) {
    std::unique_lock lock(mutex);
    member_by_job[request.job_id] = member;
    changed.notify_all();
    changed.wait(lock, [&] { return is_released; });
    return approval_dispatcher::approvals{};
  }

  bool WaitForCalls(std::size_t count) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, std::chrono::seconds(3),
                            [&] { return member_by_job.size() >= count; });
  }
};

// Guards against long calls that occupy all members. After a restart of all
// daemons each waiting step requests approval again; calls of 600 ms occupied
// all members, and urgent steps, whose calls take 30 ms, waited two seconds for
// a free one.
BOOST_AUTO_TEST_CASE(short_calls_do_not_wait_for_long_ones) {
  blocking_dispatcher rig({"m1", "m2", "m3", "m4", "m5"});
  for (int i = 0; i < 10; ++i) {
    rig.dispatcher.Enqueue(
        RequestOf("long-" + std::to_string(i), kLongCall, 0));
  }
  BOOST_TEST(rig.WaitForCalls(4));
  rig.dispatcher.Enqueue(RequestOf("short", kShortCall, 3));
  BOOST_TEST(rig.WaitForCalls(5));
  const std::lock_guard lock(rig.mutex);
  BOOST_TEST(rig.member_by_job.size() == 5);
  BOOST_TEST(rig.member_by_job.count("short") == 1);
  BOOST_TEST(rig.member_by_job["short"] == "m1");
}

// Guards against calls that wait while members are free. At most ten calls were
// in flight in a cell of 37 members, and calls waited for up to 32 s.
BOOST_AUTO_TEST_CASE(all_members_of_a_large_cell_carry_calls) {
  std::vector<std::string> members;
  for (int i = 0; i < 37; ++i) members.push_back("m" + std::to_string(i));
  blocking_dispatcher rig(members);
  const std::size_t unreserved = 37 - MembersForShortCalls(37);
  for (std::size_t i = 0; i < unreserved; ++i) {
    rig.dispatcher.Enqueue(
        RequestOf("long-" + std::to_string(i), kLongCall, 0));
  }
  BOOST_TEST(rig.WaitForCalls(unreserved));
}

// Guards against a request of a low priority that waits for as long as urgent
// ones arrive. Approvals for lasting tasks waited from 16 s to the end of a
// day.
BOOST_AUTO_TEST_CASE(requests_are_sent_in_the_order_of_arrival) {
  const clock_ptr clock = runtime_clock::Running();
  std::mutex mutex;
  std::condition_variable changed;
  bool is_released = false;
  std::vector<std::string> sent;
  approval_dispatcher dispatcher(
      clock, log_sink{}, [] { return std::vector<std::string>{"m1"}; },
      [&](const std::string&, const approval_request& request,
          duration) -> result<approval_dispatcher::approvals> {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return is_released; });
        sent.push_back(request.job_id);
        changed.notify_all();
        return approval_dispatcher::approvals{};
      },
      [](const approval_request&,
         const outcome<approval_dispatcher::approvals>&) {});
  BOOST_REQUIRE(Attempt([&] { return dispatcher.Start(); }));
  dispatcher.Enqueue(RequestOf("first", kShortCall, 0));
  dispatcher.Enqueue(RequestOf("low", kShortCall, 3));
  for (int i = 0; i < 5; ++i) {
    dispatcher.Enqueue(RequestOf("urgent", kShortCall, 0));
  }
  std::unique_lock lock(mutex);
  is_released = true;
  changed.notify_all();
  BOOST_REQUIRE(changed.wait_for(lock, std::chrono::seconds(3),
                                 [&] { return sent.size() == 7; }));
  BOOST_TEST(sent[1] == "low");
  lock.unlock();
  dispatcher.Stop();
}

BOOST_AUTO_TEST_CASE(a_small_cell_reserves_no_member) {
  BOOST_TEST(MembersForShortCalls(1) == 0);
  BOOST_TEST(MembersForShortCalls(3) == 0);
  BOOST_TEST(MembersForShortCalls(4) == 1);
  blocking_dispatcher rig({"m1"});
  rig.dispatcher.Enqueue(RequestOf("long", kLongCall, 0));
  BOOST_TEST(rig.WaitForCalls(1));
}

// Guards against two pools that use the members in the same order: both started
// with the same member, and one call waited for the other while all other
// members were idle.
BOOST_AUTO_TEST_CASE(dispatchers_of_two_pools_start_with_different_members) {
  const std::vector<std::string> members = {"a", "b", "c", "d", "e", "f"};
  const auto first = OrderMembers(members, 0, 2);
  const auto second = OrderMembers(members, 1, 2);
  BOOST_TEST(first[0] == "a");
  BOOST_TEST(second[0] == "a");  // Reserved for short calls of both pools.
  BOOST_TEST(first[1] == "b");
  BOOST_TEST(second[1] == "d");
  BOOST_TEST(second.size() == members.size());
}

}  // namespace
}  // namespace apricotwheel

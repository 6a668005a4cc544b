#include "pools/approval_desk.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace apricotwheel {
namespace {

constexpr auto kLong = milliseconds(600);
constexpr auto kShort = milliseconds(30);

approval_request RequestOf(const std::string& job, duration cost,
                           int priority) {
  approval_request request;
  request.job_id = job;
  request.priority = priority;
  request.expected_duration = cost;
  return request;
}

// A desk whose calls last until the test releases them.
struct held_desk {
  clock_ptr clock = runtime_clock::Running();
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::string> asked;  // Member by job.
  bool is_released = false;
  approval_desk desk;

  explicit held_desk(std::vector<std::string> members)
      : desk(
            clock, log_sink{}, [members] { return members; },
            [this](const std::string& member, const approval_request& request) {
              return Hold(member, request);
            },
            [](const approval_request&,
               const outcome<approval_desk::approvals>&) {}) {
    BOOST_REQUIRE(Attempt([&] { return desk.Start(); }));
  }
  ~held_desk() {
    {
      const std::lock_guard lock(mutex);
      is_released = true;
    }
    changed.notify_all();
    desk.Stop();
  }

  result<approval_desk::approvals> Hold(const std::string& member,
                                        const approval_request& request) {
    std::unique_lock lock(mutex);
    asked[request.job_id] = member;
    changed.notify_all();
    changed.wait(lock, [&] { return is_released; });
    return approval_desk::approvals{};
  }

  bool WaitForCalls(std::size_t count) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, std::chrono::seconds(3),
                            [&] { return asked.size() >= count; });
  }
};

// Pattern: all daemons restart, and each waiting step asks again. Calls of
// 600 ms took all members, and the urgent steps, whose calls take 30 ms, waited
// two seconds for the first that was free.
BOOST_AUTO_TEST_CASE(short_calls_do_not_wait_for_long_ones) {
  held_desk rig({"m1", "m2", "m3", "m4", "m5"});
  for (int at = 0; at < 10; ++at) {
    rig.desk.Ask(RequestOf("long-" + std::to_string(at), kLong, 0));
  }
  BOOST_TEST(rig.WaitForCalls(4));
  rig.desk.Ask(RequestOf("short", kShort, 3));
  BOOST_TEST(rig.WaitForCalls(5));
  const std::lock_guard lock(rig.mutex);
  BOOST_TEST(rig.asked.size() == 5);
  BOOST_TEST(rig.asked.count("short") == 1);
  BOOST_TEST(rig.asked["short"] == "m1");
}

BOOST_AUTO_TEST_CASE(a_few_members_carry_all_calls) {
  BOOST_TEST(MembersForShortCalls(1) == 0);
  BOOST_TEST(MembersForShortCalls(3) == 0);
  BOOST_TEST(MembersForShortCalls(4) == 1);
  held_desk rig({"m1"});
  rig.desk.Ask(RequestOf("long", kLong, 0));
  BOOST_TEST(rig.WaitForCalls(1));
}

// Pattern: two pools ask at the same time. Both began with the same member, and
// one call waited for the other while all other members were idle.
BOOST_AUTO_TEST_CASE(desks_of_two_pools_begin_with_different_members) {
  const std::vector<std::string> members = {"a", "b", "c", "d", "e", "f"};
  const auto first = OrderMembers(members, 0, 2);
  const auto second = OrderMembers(members, 1, 2);
  BOOST_TEST(first[0] == "a");
  BOOST_TEST(second[0] == "a");  // Carries short calls for both.
  BOOST_TEST(first[1] == "b");
  BOOST_TEST(second[1] == "d");
  BOOST_TEST(second.size() == members.size());
}

}  // namespace
}  // namespace apricotwheel

// Calls for approval that are lost with the member that carries them.
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "pools/approval_dispatcher.h"
#include "tests/pools/daemon_parts.h"
#include "tests/pools/fake_agent.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_agent;
using testing::fake_store;
using testing::kPool;

constexpr auto kExpected = milliseconds(200);

// An owner and another member, "a-mute", which is asked first and whose calls
// to the advisor get no answer.
struct cell {
  fake_store store;
  fake_agent agent{runtime_clock::Running()};
  std::mutex mutex;
  std::condition_variable changed;
  int calls_of_mute = 0;
  duration timeout_of_mute{};  // Of the last call.
  bool is_released = false;
  std::unique_ptr<daemon_parts> owner;
  std::unique_ptr<daemon_parts> mute;

  cell() {
    store.Put("workers/w1", "");
    owner = MakeDaemon("owner",
                       [](const std::vector<std::string>& workers,
                          duration) -> result<std::vector<approved_worker>> {
                         runtime_clock::Running()->SleepFor(kExpected);
                         std::vector<approved_worker> approved;
                         approved.reserve(workers.size());
                         for (const auto& id : workers)
                           approved.push_back({id, "ticket"});
                         return approved;
                       });
    BOOST_REQUIRE(Eventually([&] { return owner->Owns() && owner->Serves(); }));
    mute = MakeDaemon(
        "a-mute",
        [this](const std::vector<std::string>&,
               duration timeout) -> result<std::vector<approved_worker>> {
          std::unique_lock lock(mutex);
          ++calls_of_mute;
          timeout_of_mute = timeout;
          changed.wait(lock, [&] { return is_released; });
          return Fail(error_kind::kTimeout, "late", "retry");
        });
    BOOST_REQUIRE(Eventually([&] {
      return owner->directory->Members().size() == 2 &&
             mute->directory->OwnerOf(kPool);
    }));
    // The owner has claimed its worker.
    BOOST_REQUIRE(
        (owner->Submit("first").status == job_call_status::kAccepted));
    BOOST_REQUIRE(Eventually([&] { return agent.RunCount() == 1; }));
    agent.EndAllRuns(run_outcome::kDone);
  }
  ~cell() {
    {
      const std::lock_guard lock(mutex);
      is_released = true;
    }
    changed.notify_all();
    mute.reset();
    owner.reset();
  }

  template <class Advise>
  std::unique_ptr<daemon_parts> MakeDaemon(const std::string& id,
                                           Advise advise) {
    return std::make_unique<daemon_parts>(
        store, id, 1, nullptr,
        [this, advise](daemon_settings&, platform_services& platform) {
          platform.decode_worker = [](std::string_view key, std::string_view) {
            pool_worker worker;
            worker.id = key.substr(std::string_view("workers/").size());
            worker.pool = kPool;
            worker.address = "127.0.0.1:1";
            worker.capacity = {8000, 8192, 0};
            return std::optional<pool_worker>(worker);
          };
          platform.connect_agent = [this](const pool_worker&) {
            return agent.Link();
          };
          platform.request_approvals =
              [advise](const task_key&, const std::vector<std::string>& workers,
                       duration timeout) { return advise(workers, timeout); };
        });
  }
};

// Returns true if the agent has a run before three calls could have been lost
// that cost four seconds each.
bool WaitForRun(runtime_clock& clock, const fake_agent& agent) {
  const auto until = clock.Now() + std::chrono::seconds(12);
  while (agent.RunCount() == 0 && clock.Now() < until) {
    clock.SleepFor(milliseconds(5));
  }
  return agent.RunCount() > 0;
}

// Guards against a step that waits for four seconds for an answer that the
// advisor gives in a fifth of one: the member that carried the call is gone,
// and the step gets no other call for as long.
BOOST_FIXTURE_TEST_CASE(a_call_that_is_lost_is_repeated_soon, cell) {
  // A job may have nothing running for so long.
  constexpr auto kMaxIdle = milliseconds(3000);
  queue_rules queue = daemon_parts::Queue();
  queue.advisor = advisor_settings{std::chrono::microseconds(kExpected).count(),
                                   0, milliseconds(5000)};
  const auto accepted_at = owner->clock->Now();
  const auto response =
      owner->gateway.Submit(queue, "job", daemon_parts::SmallJob("job").graph,
                            daemon_parts::kJobTimeout);
  BOOST_REQUIRE((response.status == job_call_status::kAccepted));
  BOOST_TEST(WaitForRun(*owner->clock, agent));
  const duration waited = owner->clock->Now() - accepted_at;
  BOOST_TEST(ToMs(waited) < kMaxIdle.count());
  const std::lock_guard lock(mutex);
  BOOST_TEST(calls_of_mute == 1);
  // The member does not wait for an answer that nobody waits for.
  BOOST_TEST((timeout_of_mute > duration{}));
  BOOST_TEST((timeout_of_mute < ApprovalTimeout(kExpected, {}, 0)));
}

// A dispatcher on a paused clock whose members reach a simulated advisor.
struct simulated_calls {
  struct member_state {
    bool is_silent = false;    // Never answers.
    bool is_refusing = false;  // Answers 429 at once.
  };
  struct finished_call {
    bool has_response = false;
    int attempts = 0;
    duration first_timeout{};
  };

  clock_ptr clock = runtime_clock::Paused();
  std::map<std::string, member_state> members;
  duration advisor_time = kExpected;
  std::mutex mutex;
  std::vector<duration> timeouts;  // Of the attempts.
  std::optional<bool> response;
  approval_dispatcher dispatcher;

  explicit simulated_calls(std::map<std::string, member_state> all)
      : members(std::move(all)),
        dispatcher(
            clock, log_sink{}, [this] { return Ids(); },
            [this](const std::string& member, const approval_request&,
                   duration timeout) { return Send(members[member], timeout); },
            [this](const approval_request&,
                   const outcome<approval_dispatcher::approvals>& approvals) {
              const std::lock_guard lock(mutex);
              response = static_cast<bool>(approvals);
            }) {
    BOOST_REQUIRE(Attempt([&] { return dispatcher.Start(); }));
  }
  // Calls in flight end.
  ~simulated_calls() {
    clock->Advance(kMaxApprovalTimeout);
    dispatcher.Stop();
  }

  std::vector<std::string> Ids() const {
    std::vector<std::string> ids;
    for (const auto& [id, state] : members) ids.push_back(id);
    return ids;
  }
  result<approval_dispatcher::approvals> Send(const member_state& member,
                                              duration timeout) {
    {
      const std::lock_guard lock(mutex);
      timeouts.push_back(timeout);
    }
    if (member.is_refusing) {
      return Fail(error_kind::kUnavailable, "429", "retry later");
    }
    if (member.is_silent || advisor_time > timeout) {
      clock->SleepFor(timeout);
      return Fail(error_kind::kTimeout, "no response", "retry");
    }
    clock->SleepFor(advisor_time);
    return approval_dispatcher::approvals{};
  }
  finished_call Call(duration expected) {
    approval_request request;
    request.job_id = "job";
    request.expected_duration = expected;
    std::unique_lock lock(mutex);
    timeouts.clear();
    response.reset();
    dispatcher.Enqueue(request);
    while (!response) {
      lock.unlock();
      // The threads follow the clock within a few milliseconds.
      runtime_clock::Running()->SleepFor(milliseconds(5));
      clock->Advance(milliseconds(20));
      lock.lock();
    }
    return {*response, static_cast<int>(timeouts.size()), timeouts.front()};
  }
};

BOOST_AUTO_TEST_CASE(a_silent_member_costs_what_its_call_may_take) {
  for (const auto expected : {milliseconds(30), kExpected, milliseconds(500)}) {
    simulated_calls calls({{"m1", {.is_silent = true}}, {"m2", {}}});
    calls.advisor_time = expected;
    const auto call = calls.Call(expected);
    BOOST_TEST(call.has_response);
    BOOST_TEST(call.attempts == 2);
    BOOST_TEST(ToMs(call.first_timeout) == ToMs(2 * expected) + 1000);
    BOOST_TEST(ToMs(call.first_timeout + calls.advisor_time) < 3000);
  }
}

// Guards against attempts that go to the same silent members in turn. The first
// one is preferred again once its back-off is over, which is before the second
// attempt ends, so that two silent members kept a step from all the others.
BOOST_AUTO_TEST_CASE(attempts_go_to_members_that_were_not_tried) {
  simulated_calls calls(
      {{"m1", {.is_silent = true}}, {"m2", {.is_silent = true}}, {"m3", {}}});
  const auto call = calls.Call(kExpected);
  BOOST_TEST(call.has_response);
  BOOST_TEST(call.attempts == 3);
}

// A cell of two daemons has no other member for the third attempt.
BOOST_AUTO_TEST_CASE(members_are_tried_again_if_there_is_no_other) {
  simulated_calls calls({{"m1", {.is_silent = true}}});
  const auto call = calls.Call(kExpected);
  BOOST_TEST(!call.has_response);
  BOOST_TEST(call.attempts == 3);
}

// A member that is cut off for a while looks as silent as one that is gone; the
// last attempt waits as long as each did before.
BOOST_AUTO_TEST_CASE(each_timeout_doubles_the_next_one) {
  simulated_calls calls({{"m1", {.is_silent = true}},
                         {"m2", {.is_silent = true}},
                         {"m3", {.is_silent = true}}});
  const auto call = calls.Call(kExpected);
  BOOST_TEST(!call.has_response);
  BOOST_REQUIRE_EQUAL(calls.timeouts.size(), 3);
  BOOST_TEST(ToMs(calls.timeouts[0]) == 1400);
  BOOST_TEST(ToMs(calls.timeouts[1]) == 2800);
  BOOST_TEST(ToMs(calls.timeouts[2]) == kMaxApprovalTimeout.count());
}

// Guards against a storm of calls at a slow advisor: each call that is given up
// too early is made again, while the advisor still works on it.
BOOST_AUTO_TEST_CASE(a_slow_advisor_is_not_asked_again_and_again) {
  constexpr int kCalls = 5;
  simulated_calls calls({{"m1", {}}, {"m2", {}}, {"m3", {}}});
  calls.advisor_time = milliseconds(2500);
  int attempts = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto call = calls.Call(kExpected);
    BOOST_TEST(call.has_response);
    attempts += call.attempts;
  }
  BOOST_TEST(attempts == kCalls + 1);
  // An advisor that is fast again is waited for as before.
  calls.advisor_time = kExpected;
  constexpr int kMaxCallsUntilForgotten = 20;
  duration timeout{};
  for (int i = 0; i < kMaxCallsUntilForgotten && timeout != milliseconds(1400);
       ++i) {
    timeout = calls.Call(kExpected).first_timeout;
  }
  BOOST_TEST(ToMs(timeout) == 1400);
}

// A refusal comes at once and makes no later attempt wait longer.
BOOST_AUTO_TEST_CASE(refused_calls_keep_their_timeout) {
  simulated_calls calls({{"m1", {.is_refusing = true}},
                         {"m2", {.is_refusing = true}},
                         {"m3", {}}});
  const auto call = calls.Call(kExpected);
  BOOST_TEST(call.has_response);
  BOOST_REQUIRE_EQUAL(calls.timeouts.size(), 3);
  BOOST_TEST(ToMs(calls.timeouts[2]) == 1400);
}

BOOST_AUTO_TEST_CASE(no_call_waits_longer_than_the_limit) {
  for (const auto expected : {milliseconds(0), milliseconds(5000)}) {
    for (int timeouts = 0; timeouts < 40; ++timeouts) {
      const duration timeout =
          ApprovalTimeout(expected, milliseconds(3000), timeouts);
      BOOST_TEST((timeout > duration{}));
      BOOST_TEST((timeout <= kMaxApprovalTimeout));
    }
  }
}

}  // namespace
}  // namespace apricotwheel

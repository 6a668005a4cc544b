// What a session sends before it knows which agent of a worker receives it.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "pools/agent_session.h"

namespace apricotwheel {
namespace {

constexpr auto kCallTime = milliseconds(2);
constexpr std::uint64_t kStoredEnd = 7;

// A session with a worker of which the agent restarts when the test says so.
// The calls to it are recorded.
struct restarting_worker {
  clock_ptr clock = runtime_clock::Running();
  std::mutex mutex;
  std::int64_t incarnation = 1;
  // Calls fail with this kind.
  std::optional<error_kind> failure;
  std::vector<poll_request> polls;  // That the present agent has executed.
  std::atomic<int> polls_lost = 0;
  std::unique_ptr<agent_session> session;

  void StartSession() {
    agent_session_options options;
    options.worker.id = "w1";
    options.clock = clock;
    options.link = std::make_unique<agent_link>();
    options.link->poll = [this](const poll_request& request) {
      return Poll(request);
    };
    options.link->start = [](const start_order&, const run_lease&) {
      return start_response{start_result::kStarted, 1};
    };
    options.link->stop = [](const stop_order&, std::uint64_t) { return true; };
    options.link->interrupt = [] {};
    agent_session::callbacks callbacks;
    callbacks.on_report = [](const worker_report&, time_point) {};
    callbacks.on_leases_expired = [](bool) {};
    callbacks.on_start_result = [](const start_order&, start_result) {};
    callbacks.on_stop_result = [](const stop_order&, bool) {};
    callbacks.on_epoch_rejected = [] {};
    callbacks.progress = [] {
      return worker_progress{kStoredEnd, true, false, false};
    };
    session = std::make_unique<agent_session>(std::move(options), callbacks);
    BOOST_REQUIRE(Attempt([&] { return session->Start(); }));
  }
  ~restarting_worker() {
    if (session) session->Stop();
  }

  result<worker_report> Poll(const poll_request& request) {
    clock->SleepFor(kCallTime);
    const std::lock_guard lock(mutex);
    if (failure) {
      ++polls_lost;
      return Fail(*failure, "no agent", "wait");
    }
    polls.push_back(request);
    worker_report report;
    report.incarnation = incarnation;
    report.clock_ms = ToMs(clock->Now().time_since_epoch());
    return report;
  }
  void Fall(error_kind kind) {
    const std::lock_guard lock(mutex);
    failure = kind;
  }
  void Restart() {
    const std::lock_guard lock(mutex);
    failure.reset();
    polls.clear();
    ++incarnation;
  }
  bool Within(duration limit, const std::function<bool()>& condition) const {
    const auto until = clock->Now() + limit;
    while (!condition() && clock->Now() < until) clock->SleepFor(kCallTime);
    return condition();
  }
  std::size_t PollCount() {
    const std::lock_guard lock(mutex);
    return polls.size();
  }
  poll_request FirstPoll() {
    const std::lock_guard lock(mutex);
    return polls.at(0);
  }
};

// Guards against a result that is lost and a task that runs again after its end
// was acknowledged: the first poll that reached a restarted agent acknowledged
// the ends of its predecessor and granted a lease on that one's clock.
BOOST_AUTO_TEST_CASE(the_first_poll_of_an_agent_acknowledges_nothing) {
  constexpr auto kLimit = std::chrono::seconds(5);
  for (const error_kind kind :
       {error_kind::kTimeout, error_kind::kUnavailable}) {
    for (const int lost : {1, 3}) {
      restarting_worker worker;
      worker.StartSession();
      BOOST_REQUIRE(
          worker.Within(kLimit, [&] { return worker.PollCount() >= 3; }));
      worker.Fall(kind);
      BOOST_REQUIRE(
          worker.Within(kLimit, [&] { return worker.polls_lost >= lost; }));
      worker.Restart();
      BOOST_REQUIRE(
          worker.Within(kLimit, [&] { return worker.PollCount() > 0; }));
      BOOST_TEST(worker.FirstPoll().acknowledged_end == 0);
      BOOST_TEST(!worker.FirstPoll().lease_until_ms.has_value());
    }
  }
}

// Guards against the same in a new session with a worker: discovery may list
// the next agent before the earlier session has noticed it.
BOOST_AUTO_TEST_CASE(the_first_poll_of_a_session_acknowledges_nothing) {
  constexpr auto kLimit = std::chrono::seconds(5);
  restarting_worker worker;
  worker.StartSession();
  BOOST_REQUIRE(worker.Within(kLimit, [&] { return worker.PollCount() > 0; }));
  BOOST_TEST(worker.FirstPoll().acknowledged_end == 0);
  BOOST_TEST(!worker.FirstPoll().lease_until_ms.has_value());
}

// Guards against ends that are never acknowledged.
BOOST_AUTO_TEST_CASE(a_known_agent_gets_acknowledgements_and_leases) {
  constexpr auto kLimit = std::chrono::seconds(5);
  restarting_worker worker;
  worker.StartSession();
  BOOST_TEST(worker.Within(kLimit, [&] {
    const std::lock_guard lock(worker.mutex);
    bool is_acknowledged = false;
    bool has_lease = false;
    for (const poll_request& poll : worker.polls) {
      is_acknowledged = is_acknowledged || poll.acknowledged_end == kStoredEnd;
      has_lease = has_lease || poll.lease_until_ms.has_value();
    }
    return is_acknowledged && has_lease;
  }));
}

}  // namespace
}  // namespace apricotwheel

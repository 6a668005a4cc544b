#include "pools/agent_session.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace apricotwheel {
namespace {

constexpr auto kLease = milliseconds(6000);

// A session with one worker that a test plays.
struct played_worker {
  clock_ptr clock = runtime_clock::Running();
  std::function<result<worker_report>(const hold_request&)> hold =
      [this](const hold_request&) -> result<worker_report> {
    clock->SleepFor(milliseconds(5));
    return worker_report{};
  };
  std::function<start_reply(const start_order&)> start =
      [](const start_order&) {
        return start_reply{start_result::kStarted, 1};
      };
  std::function<bool()> has_exited = [] { return false; };
  std::function<std::uint64_t()> stored_end = [] { return std::uint64_t{0}; };
  std::function<bool()> has_unstored_ends = [] { return false; };
  std::function<bool()> has_runs = [] { return true; };
  duration longest_lease = kLease;
  std::atomic<int> lapses = 0;
  std::mutex mutex;
  std::vector<start_result> answers;
  std::unique_ptr<agent_session> session;

  void Begin() {
    agent_session_options options;
    options.worker.id = "w1";
    options.clock = clock;
    options.longest_lease = longest_lease;
    options.link = std::make_unique<agent_link>();
    options.link->hold = [this](const hold_request& request) {
      return hold(request);
    };
    options.link->start = [this](const start_order& order, const run_lease&) {
      return start(order);
    };
    options.link->interrupt = [] {};
    options.has_exited = has_exited;
    agent_session::callbacks calls;
    calls.reported = [](const worker_report&, time_point) {};
    calls.lapsed = [this] { ++lapses; };
    calls.start_answered = [this](const start_order&, start_result answer) {
      const std::lock_guard lock(mutex);
      answers.push_back(answer);
    };
    calls.stop_answered = [](const stop_order&, bool) {};
    calls.epoch_refused = [] {};
    calls.stored_end = [this] { return stored_end(); };
    calls.has_unstored_ends = [this] { return has_unstored_ends(); };
    calls.has_runs = [this] { return has_runs(); };
    session = std::make_unique<agent_session>(std::move(options), calls);
    BOOST_REQUIRE(Attempt([&] { return session->Start(); }));
  }

  bool WaitFor(const std::function<bool()>& condition) const {
    const auto until = clock->Now() + std::chrono::seconds(5);
    while (!condition()) {
      if (clock->Now() > until) return false;
      clock->SleepFor(milliseconds(2));
    }
    return true;
  }

  bool IsAnswered() {
    const std::lock_guard lock(mutex);
    return !answers.empty();
  }
};

// Leases end on the worker's clock, which may be 2% slow: they have surely
// ended only later on this one.
BOOST_AUTO_TEST_CASE(leases_have_ended_when_a_slow_clock_has_passed_them) {
  worker_clock worker(kLease);
  const time_point start{std::chrono::hours(1)};
  worker.Observe(1000, start);
  BOOST_TEST(worker.NextLeaseEnd(start) == 7000);
  const auto slow = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(6000 / 0.98));
  BOOST_TEST((worker.LapsedAt() >= start + slow));
  BOOST_TEST((worker.LapsedAt() <= start + slow + milliseconds(200)));
  // A lease that is given later ends later, and none ends sooner than known.
  BOOST_TEST(worker.NextLeaseEnd(start + milliseconds(500)) == 7500);
  const auto lapsed_at = worker.LapsedAt();
  worker.Observe(900, start + milliseconds(600));  // Overtaken.
  BOOST_TEST(worker.NextLeaseEnd(start + milliseconds(500)) == 7500);
  BOOST_TEST((worker.LapsedAt() >= lapsed_at));
}

// Found on a day on which workers went for good and their addresses to others:
// each call that failed gave a new lease, so that the leases never ended and
// the tasks were never placed again.
BOOST_AUTO_TEST_CASE(leases_of_a_silent_worker_end) {
  played_worker worker;
  std::atomic<int> holds = 0;
  std::atomic<int> leases = 0;
  std::atomic<int> starts = 0;
  worker.longest_lease = milliseconds(400);
  worker.hold = [&](const hold_request& request) -> result<worker_report> {
    if (request.lease_until_ms) ++leases;
    if (++holds > 2) return Fail(error_kind::kNotFound, "another", "wait");
    return worker_report{};
  };
  worker.start = [&](const start_order&) {
    ++starts;
    return start_reply{};
  };
  worker.Begin();
  BOOST_TEST(worker.WaitFor([&] { return holds >= 5; }));
  worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
  BOOST_TEST(worker.WaitFor([&] { return worker.lapses > 0; }));
  BOOST_TEST(worker.WaitFor([&] { return worker.IsAnswered(); }));
  worker.session->Stop();
  BOOST_TEST((worker.answers.at(0) == start_result::kUnreachable));
  BOOST_TEST(starts == 0);
  BOOST_TEST(leases <= 3);
}

// An order that arrives between the look for runs and the wait must not leave
// its run without a lease: the wait would outlast it.
BOOST_AUTO_TEST_CASE(an_order_is_not_missed_by_an_idle_session) {
  played_worker worker;
  std::atomic<int> holds = 0;
  std::atomic<bool> is_busy = false;
  std::atomic<bool> is_raced = false;
  worker.hold = [&](const hold_request&) -> result<worker_report> {
    ++holds;
    worker.clock->SleepFor(milliseconds(5));
    return worker_report{};
  };
  worker.has_runs = [&] {
    if (is_busy || holds == 0) return is_busy.load();
    // The order comes right after this look found nothing.
    if (!is_raced.exchange(true)) {
      worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
      is_busy = true;
    }
    return false;
  };
  worker.Begin();
  worker.WaitFor([&] { return is_raced && holds > 3; });
  BOOST_TEST(holds > 3);
  worker.session->Stop();
}

// Pattern: one order in twenty gets no answer and is carried out seconds later.
// Stopping the run and placing it anew cost a short job its objective; a
// quarter of the short jobs had such a task.
BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_sent_again) {
  played_worker worker;
  std::atomic<int> starts = 0;
  std::set<std::uint64_t> runs;
  worker.start = [&](const start_order& order) {
    runs.insert(order.run);
    if (++starts == 1) return start_reply{};
    return start_reply{start_result::kStarted, 1};
  };
  worker.Begin();
  worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 7, "", "", ""});
  BOOST_TEST(worker.WaitFor([&] { return worker.IsAnswered(); }));
  worker.session->Stop();
  BOOST_TEST(starts == 2);
  BOOST_TEST(runs.size() == 1);
  BOOST_TEST((worker.answers.at(0) == start_result::kStarted));
}

// The first order may have been carried out and its run may have ended, or it
// may be carried out later: a refusal of the second says nothing of it.
BOOST_AUTO_TEST_CASE(a_refused_repetition_leaves_the_run_open) {
  for (const start_result refusal :
       {start_result::kOutdatedRun, start_result::kNoRoom,
        start_result::kUnhealthy, start_result::kUnreachable}) {
    played_worker worker;
    std::atomic<int> starts = 0;
    worker.start = [&](const start_order&) {
      if (++starts == 1) return start_reply{};
      return start_reply{refusal, 1};
    };
    worker.Begin();
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 7, "", "", ""});
    BOOST_TEST(worker.WaitFor([&] { return worker.IsAnswered(); }));
    worker.session->Stop();
    BOOST_TEST(starts == 2);
    BOOST_TEST((worker.answers.at(0) == start_result::kUnknown));
  }
}

// Pattern: a sixth of the workers crash for some seconds. Their tasks waited
// for leases of 6 s, though a process that is gone runs nothing.
BOOST_AUTO_TEST_CASE(an_agent_that_has_exited_lapses_at_once) {
  for (const bool has_exited : {true, false}) {
    played_worker worker;
    std::atomic<int> holds = 0;
    worker.has_exited = [&] { return has_exited; };
    worker.hold = [&](const hold_request&) -> result<worker_report> {
      worker.clock->SleepFor(milliseconds(5));
      if (++holds < 3) return worker_report{};
      return Fail(error_kind::kUnavailable, "refused", "wait");
    };
    worker.Begin();
    BOOST_TEST(worker.WaitFor([&] { return holds >= 5; }));
    worker.session->Stop();
    BOOST_TEST(worker.lapses == (has_exited ? 1 : 0));
  }
}

// Pattern: a few ends a second, each stored within 70 ms. The worker answers
// at once while it has ends that are not acknowledged, so it was asked five
// times for each end.
BOOST_AUTO_TEST_CASE(a_worker_is_not_asked_again_while_its_ends_are_stored) {
  played_worker worker;
  std::atomic<int> holds = 0;
  std::atomic<bool> is_stored = false;
  std::atomic<bool> is_acknowledged = false;
  worker.has_runs = [] { return false; };
  worker.stored_end = [&] { return is_stored ? std::uint64_t{1} : 0; };
  worker.has_unstored_ends = [&] { return holds > 0 && !is_stored; };
  worker.hold = [&](const hold_request& request) -> result<worker_report> {
    ++holds;
    worker_report report;
    if (request.acknowledged_end >= 1) {
      is_acknowledged = true;
      return report;
    }
    reported_end end;
    end.sequence = 1;
    report.ended.push_back(end);
    return report;
  };
  worker.Begin();
  BOOST_TEST(worker.WaitFor([&] { return holds > 0; }));
  worker.clock->SleepFor(milliseconds(70));
  BOOST_TEST(holds <= 2);
  is_stored = true;
  worker.session->Wake();
  BOOST_TEST(worker.WaitFor([&] { return is_acknowledged.load(); }));
  worker.session->Stop();
}

// Pattern: one answer in twenty is lost. Starts were refused and leases were
// not extended until the next answer, as if the worker was unreachable.
BOOST_AUTO_TEST_CASE(one_lost_answer_does_not_make_a_worker_unreachable) {
  played_worker worker;
  std::atomic<int> holds = 0;
  std::atomic<bool> has_lost = false;
  std::atomic<bool> may_answer = false;
  std::atomic<int> leases_after = 0;
  worker.hold = [&](const hold_request& request) -> result<worker_report> {
    worker.clock->SleepFor(milliseconds(5));
    if (++holds == 3) {
      has_lost = true;
      return Fail(error_kind::kTimeout, "no answer", "ask again");
    }
    if (has_lost && !may_answer) {
      // The repetition waits for nothing and extends nothing.
      BOOST_TEST(!request.lease_until_ms.has_value());
      BOOST_TEST((request.wait == duration::zero()));
      while (!may_answer) worker.clock->SleepFor(milliseconds(1));
      return worker_report{};
    }
    if (may_answer && request.lease_until_ms) ++leases_after;
    return worker_report{};
  };
  worker.Begin();
  BOOST_TEST(worker.WaitFor([&] { return has_lost.load(); }));
  worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 7, "", "", ""});
  BOOST_TEST(worker.WaitFor([&] { return worker.IsAnswered(); }));
  may_answer = true;
  BOOST_TEST(worker.WaitFor([&] { return leases_after > 0; }));
  worker.session->Stop();
  BOOST_TEST((worker.answers.at(0) == start_result::kStarted));
}

}  // namespace
}  // namespace apricotwheel

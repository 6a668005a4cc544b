#include "pools/agent_session.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

namespace apricotwheel {
namespace {

constexpr auto kLease = milliseconds(6000);

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
  const auto clock = runtime_clock::Running();
  std::atomic<int> holds = 0;
  std::atomic<int> leases = 0;
  std::atomic<int> starts = 0;
  std::atomic<bool> is_lapsed = false;
  std::atomic<bool> is_refused = false;
  agent_session_options options;
  options.worker.id = "w1";
  options.clock = clock;
  options.longest_lease = milliseconds(400);
  options.link = std::make_unique<agent_link>();
  options.link->hold =
      [&](const hold_request& request) -> result<worker_report> {
    if (request.lease_until_ms) ++leases;
    if (++holds > 2) return Fail(error_kind::kNotFound, "another", "wait");
    return worker_report{};
  };
  options.link->start = [&](const start_order&, const run_lease&) {
    ++starts;
    return start_reply{};
  };
  options.link->interrupt = [] {};
  agent_session::callbacks calls;
  calls.reported = [](const worker_report&, time_point) {};
  calls.lapsed = [&] { is_lapsed = true; };
  calls.start_answered = [&](const start_order&, start_answer answer) {
    is_refused = answer == start_answer::kUnreachable;
  };
  calls.stop_answered = [](const stop_order&, bool) {};
  calls.epoch_refused = [] {};
  calls.stored_end = [] { return std::uint64_t{0}; };
  calls.has_unstored_ends = [] { return false; };
  calls.has_runs = [] { return true; };
  agent_session session(std::move(options), calls);
  BOOST_REQUIRE(Attempt([&] { return session.Start(); }));
  const auto until = clock->Now() + std::chrono::seconds(5);
  while (clock->Now() < until && holds < 5) clock->SleepFor(milliseconds(5));
  session.Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
  while (clock->Now() < until && !(is_lapsed && is_refused)) {
    clock->SleepFor(milliseconds(5));
  }
  session.Stop();
  BOOST_TEST(is_lapsed);
  BOOST_TEST(is_refused);
  BOOST_TEST(starts == 0);
  BOOST_TEST(leases <= 3);
}

// An order that arrives between the look for runs and the wait must not leave
// its run without a lease: the wait would outlast it.
BOOST_AUTO_TEST_CASE(an_order_is_not_missed_by_an_idle_session) {
  const auto clock = runtime_clock::Running();
  std::atomic<int> holds = 0;
  std::atomic<bool> is_busy = false;
  std::atomic<bool> is_raced = false;
  agent_session_options options;
  options.worker.id = "w1";
  options.clock = clock;
  options.link = std::make_unique<agent_link>();
  options.link->hold = [&](const hold_request&) -> result<worker_report> {
    ++holds;
    clock->SleepFor(milliseconds(5));
    return worker_report{};
  };
  options.link->start = [](const start_order&, const run_lease&) {
    return start_reply{start_answer::kStarted, 1};
  };
  options.link->interrupt = [] {};
  agent_session* running = nullptr;
  agent_session::callbacks calls;
  calls.reported = [](const worker_report&, time_point) {};
  calls.lapsed = [] {};
  calls.start_answered = [](const start_order&, start_answer) {};
  calls.stop_answered = [](const stop_order&, bool) {};
  calls.epoch_refused = [] {};
  calls.stored_end = [] { return std::uint64_t{0}; };
  calls.has_unstored_ends = [] { return false; };
  calls.has_runs = [&] {
    if (is_busy || holds == 0) return is_busy.load();
    // The order comes right after this look found nothing.
    if (!is_raced.exchange(true)) {
      running->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
      is_busy = true;
    }
    return false;
  };
  agent_session session(std::move(options), calls);
  running = &session;
  BOOST_REQUIRE(Attempt([&] { return session.Start(); }));
  const auto until = clock->Now() + std::chrono::seconds(3);
  while (clock->Now() < until && !(is_raced && holds > 3)) {
    clock->SleepFor(milliseconds(5));
  }
  BOOST_TEST(holds > 3);
  session.Stop();
}

}  // namespace
}  // namespace apricotwheel

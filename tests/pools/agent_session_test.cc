#include "pools/agent_session.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwheel {
namespace {

constexpr auto kLease = milliseconds(6000);
constexpr auto kUnlimited = time_point::max();

// A session with one worker whose behavior the test defines.
struct fake_worker {
  clock_ptr clock = runtime_clock::Running();
  clock_ptr session_clock = clock;
  std::function<result<worker_report>(const poll_request&)> poll =
      [this](const poll_request&) -> result<worker_report> {
    clock->SleepFor(milliseconds(5));
    return worker_report{};
  };
  std::function<start_response(const start_order&)> start =
      [](const start_order&) {
        return start_response{start_result::kStarted, 1};
      };
  std::function<bool(const stop_order&)> stop = [](const stop_order&) {
    return true;
  };
  std::function<bool()> has_exited = [] { return false; };
  std::function<std::uint64_t()> last_stored_end = [] {
    return std::uint64_t{0};
  };
  std::function<bool()> has_unstored_ends = [] { return false; };
  std::function<bool()> has_runs = [] { return true; };
  std::function<bool()> has_overdue_stop = [] { return false; };
  std::function<time_point()> authority_end = [] { return kUnlimited; };
  std::function<bool(time_point)> was_owner_at = [](time_point) {
    return true;
  };
  duration lease_duration = kLease;
  std::atomic<std::int64_t> incarnation = 0;  // Of the last report.
  std::atomic<int> expirations = 0;
  std::atomic<int> exits = 0;  // Of these, because the agent has exited.
  std::atomic<int> progress_calls = 0;
  std::mutex mutex;
  std::vector<start_result> results;
  std::unique_ptr<agent_session> session;

  void StartSession() {
    agent_session_options options;
    options.worker.id = "w1";
    options.clock = session_clock;
    options.lease_duration = lease_duration;
    options.link = std::make_unique<agent_link>();
    options.link->poll = [this](const poll_request& request) {
      return poll(request);
    };
    options.link->start = [this](const start_order& order, const run_lease&) {
      return start(order);
    };
    options.link->stop = [this](const stop_order& order, std::uint64_t) {
      return stop(order);
    };
    options.link->interrupt = [] {};
    options.has_exited = has_exited;
    options.authority_end = authority_end;
    options.was_owner_at = was_owner_at;
    agent_session::callbacks callbacks;
    callbacks.on_report = [this](const worker_report& report, time_point) {
      incarnation = report.incarnation;
    };
    callbacks.on_leases_expired = [this](const lease_expiry& expiry) {
      ++expirations;
      if (expiry.has_exited) ++exits;
    };
    callbacks.on_start_result = [this](const start_order&,
                                       start_result answer) {
      const std::lock_guard lock(mutex);
      results.push_back(answer);
    };
    callbacks.on_stop_result = [](const stop_order&, bool) {};
    callbacks.on_epoch_rejected = [] {};
    callbacks.progress = [this] {
      ++progress_calls;
      return worker_progress{last_stored_end(), has_runs(), has_unstored_ends(),
                             has_overdue_stop(), incarnation};
    };
    session = std::make_unique<agent_session>(std::move(options), callbacks);
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

  bool HasStartResult() {
    const std::lock_guard lock(mutex);
    return !results.empty();
  }
};

// Leases end on the worker's clock, which may run 2% slow: by this clock they
// have expired only later.
BOOST_AUTO_TEST_CASE(leases_expire_after_their_end_on_a_slow_clock) {
  worker_clock worker(kLease);
  const time_point start{std::chrono::hours(1)};
  worker.Observe(1000, start);
  BOOST_TEST(*worker.ExtendLeases(start, kUnlimited) == 7000);
  const auto slow = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(6000 / 0.98));
  BOOST_TEST((worker.ExpiredBy() >= start + slow));
  BOOST_TEST((worker.ExpiredBy() <= start + slow + milliseconds(200)));
  // A later lease ends later, and no lease expires sooner than computed.
  BOOST_TEST(*worker.ExtendLeases(start + milliseconds(500), kUnlimited) ==
             7500);
  const auto expired_by = worker.ExpiredBy();
  // Arrives after a later reading.
  worker.Observe(900, start + milliseconds(600));
  BOOST_TEST(*worker.ExtendLeases(start + milliseconds(500), kUnlimited) ==
             7500);
  BOOST_TEST((worker.ExpiredBy() >= expired_by));
}

// Guards against a lease that outlives the authority of the owner that granted
// it: the successor waits for that time only, however slow the worker's clock.
BOOST_AUTO_TEST_CASE(leases_end_with_the_authority) {
  worker_clock worker(kLease);
  const time_point start{std::chrono::hours(1)};
  const time_point limit = start + milliseconds(3000);
  worker.Observe(1000, start);
  const auto lease_end = worker.ExtendLeases(start, limit);
  BOOST_REQUIRE(lease_end);
  const std::chrono::duration<double, std::milli> longest(
      static_cast<double>(*lease_end - 1000) / 0.98);
  BOOST_TEST((start + longest <= limit));
  BOOST_TEST((start + longest >= limit - milliseconds(10)));
  BOOST_TEST(!worker.ExtendLeases(limit, limit));
  BOOST_TEST(!worker.ExtendLeases(start, time_point{}));
}

// Guards against leases that never expire: each failed poll of a worker that
// was gone, or whose address another one used, renewed its leases, so its tasks
// were never placed again.
BOOST_AUTO_TEST_CASE(leases_of_an_unreachable_worker_expire) {
  for (const error_kind failure :
       {error_kind::kNotFound, error_kind::kUnavailable,
        error_kind::kTimeout}) {
    fake_worker worker;
    std::atomic<int> polls = 0;
    std::atomic<int> leases = 0;
    std::atomic<int> starts = 0;
    worker.lease_duration = milliseconds(400);
    worker.poll = [&](const poll_request& request) -> result<worker_report> {
      if (request.lease_until_ms) ++leases;
      if (++polls > 2) return Fail(failure, "failure", "wait");
      return worker_report{};
    };
    worker.start = [&](const start_order&) {
      ++starts;
      return start_response{};
    };
    worker.StartSession();
    BOOST_TEST(worker.WaitFor([&] { return polls >= 5; }));
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
    BOOST_TEST(worker.WaitFor([&] { return worker.expirations > 0; }));
    BOOST_TEST(worker.WaitFor([&] { return worker.HasStartResult(); }));
    worker.session->Stop();
    // An unreachable worker has not crashed for certain, but one whose address
    // another one uses has.
    BOOST_TEST(worker.exits == (failure == error_kind::kNotFound ? 1 : 0));
    BOOST_TEST((worker.results.at(0) == start_result::kUnreachable));
    BOOST_TEST(starts == 0);
    BOOST_TEST(leases <= 3);
  }
}

// Guards against a missed wake-up: an order is sent after the session has found
// no runs and before it waits. The wait would last longer than the lease of the
// new run.
BOOST_AUTO_TEST_CASE(an_idle_session_wakes_for_an_order) {
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<bool> is_busy = false;
  std::atomic<bool> is_order_sent = false;
  worker.poll = [&](const poll_request&) -> result<worker_report> {
    ++polls;
    worker.clock->SleepFor(milliseconds(5));
    return worker_report{};
  };
  worker.has_runs = [&] {
    if (is_busy || polls == 0) return is_busy.load();
    // The order is sent right after this check has found no runs.
    if (!is_order_sent.exchange(true)) {
      worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
      is_busy = true;
    }
    return false;
  };
  worker.StartSession();
  worker.WaitFor([&] { return is_order_sent && polls > 3; });
  BOOST_TEST(polls > 3);
  worker.session->Stop();
}

// Guards against stopping a run after one lost response. One start order in
// twenty gets no response and is executed seconds later; stopping and placing
// the run again made a short job miss its latency objective, and a quarter of
// the short jobs had such a task.
BOOST_AUTO_TEST_CASE(a_start_without_a_response_is_sent_again) {
  fake_worker worker;
  std::atomic<int> starts = 0;
  std::set<std::uint64_t> runs;
  worker.start = [&](const start_order& order) {
    runs.insert(order.run);
    if (++starts == 1) return start_response{};
    return start_response{start_result::kStarted, 1};
  };
  worker.StartSession();
  worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 7, "", "", ""});
  BOOST_TEST(worker.WaitFor([&] { return worker.HasStartResult(); }));
  worker.session->Stop();
  BOOST_TEST(starts == 2);
  BOOST_TEST(runs.size() == 1);
  BOOST_TEST((worker.results.at(0) == start_result::kStarted));
}

// The first order may have been executed and its run may have ended, or it may
// be executed later. A rejection of the second order does not tell which.
BOOST_AUTO_TEST_CASE(a_rejected_repetition_leaves_the_outcome_unknown) {
  for (const start_result rejection :
       {start_result::kOutdatedRun, start_result::kNoRoom,
        start_result::kUnhealthy, start_result::kUnreachable}) {
    fake_worker worker;
    std::atomic<int> starts = 0;
    worker.start = [&](const start_order&) {
      if (++starts == 1) return start_response{};
      return start_response{rejection, 1};
    };
    worker.StartSession();
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 7, "", "", ""});
    BOOST_TEST(worker.WaitFor([&] { return worker.HasStartResult(); }));
    worker.session->Stop();
    BOOST_TEST(starts == 2);
    BOOST_TEST((worker.results.at(0) == start_result::kUnknown));
  }
}

// Guards against waiting for the leases of an agent that has exited. A sixth of
// the workers crash for some seconds; their tasks waited for leases of 6 s
// although the process ran nothing any more.
BOOST_AUTO_TEST_CASE(leases_of_an_exited_agent_expire_at_once) {
  for (const bool has_exited : {true, false}) {
    fake_worker worker;
    std::atomic<int> polls = 0;
    worker.has_exited = [&] { return has_exited; };
    worker.poll = [&](const poll_request&) -> result<worker_report> {
      worker.clock->SleepFor(milliseconds(5));
      if (++polls < 3) return worker_report{};
      return Fail(error_kind::kUnavailable, "refused", "wait");
    };
    worker.StartSession();
    BOOST_TEST(worker.WaitFor([&] { return polls >= 5; }));
    worker.session->Stop();
    BOOST_TEST(worker.expirations == (has_exited ? 1 : 0));
    BOOST_TEST(worker.exits == worker.expirations);
  }
}

// Guards against taking the answer of another worker for the exit of this one:
// its entry may name a wrong address.
BOOST_AUTO_TEST_CASE(an_agent_that_never_responded_there_has_not_exited) {
  for (const bool has_responded : {true, false}) {
    fake_worker worker;
    std::atomic<int> polls = 0;
    worker.has_exited = [] { return true; };
    worker.poll = [&](const poll_request&) -> result<worker_report> {
      worker.clock->SleepFor(milliseconds(5));
      if (++polls == 1 && has_responded) return worker_report{};
      return Fail(error_kind::kNotFound, "another", "wait");
    };
    worker.StartSession();
    BOOST_TEST(worker.WaitFor([&] { return polls >= 4; }));
    worker.session->Stop();
    BOOST_TEST(worker.exits == (has_responded ? 1 : 0));
  }
}

// Guards against waiting for the leases of an agent that has exited: another
// agent answered where it had answered, and that was believed only once
// discovery listed it, or the leases had expired. What proves nothing: an
// answer of another agent before its own, and a refused connection.
BOOST_AUTO_TEST_CASE(another_agent_that_answers_shows_the_exit) {
  struct poll_case {
    std::vector<std::optional<error_kind>> results;  // None: a report.
    int exits = 0;
  };
  const std::optional<error_kind> report;
  const std::optional<error_kind> another = error_kind::kNotFound;
  const std::optional<error_kind> refused = error_kind::kUnavailable;
  const std::optional<error_kind> lost = error_kind::kTimeout;
  for (const poll_case& each :
       {poll_case{{report, report, another}, 1},
        poll_case{{report, lost, refused, another}, 1},
        poll_case{{another, report, another}, 1}, poll_case{{another}, 0},
        poll_case{{another, report, refused}, 0},
        poll_case{{another, report, lost}, 0},
        poll_case{{report, refused}, 0}}) {
    fake_worker worker;
    std::atomic<std::size_t> polls = 0;
    worker.poll = [&](const poll_request&) -> result<worker_report> {
      worker.clock->SleepFor(milliseconds(5));
      const std::size_t last = each.results.size() - 1;
      const auto& failure = each.results[std::min<std::size_t>(polls++, last)];
      if (failure) return Fail(*failure, "failure", "wait");
      return worker_report{};
    };
    worker.StartSession();
    const auto started_at = worker.clock->Now();
    BOOST_TEST(
        worker.WaitFor([&] { return polls >= each.results.size() + 2; }));
    worker.session->Stop();
    BOOST_TEST((worker.clock->Now() - started_at < kLease));
    BOOST_TEST(worker.exits == each.exits);
    BOOST_TEST(worker.expirations == each.exits);
  }
}

// Guards against a stop that is never settled because polls renew the leases,
// and against leases that end although the stop was settled in time.
BOOST_AUTO_TEST_CASE(leases_are_not_renewed_while_a_stop_is_overdue) {
  for (const bool is_settled : {false, true}) {
    fake_worker worker;
    std::atomic<int> polls = 0;
    std::atomic<int> renewals = 0;
    std::atomic<int> starts = 0;
    std::atomic<bool> is_overdue = false;
    worker.lease_duration = milliseconds(400);
    worker.has_overdue_stop = [&] { return is_overdue.load(); };
    worker.poll = [&](const poll_request& request) -> result<worker_report> {
      worker.clock->SleepFor(milliseconds(5));
      if (request.lease_until_ms) ++renewals;
      ++polls;
      return worker_report{};
    };
    worker.start = [&](const start_order&) {
      ++starts;
      return start_response{start_result::kStarted, 1};
    };
    worker.StartSession();
    BOOST_TEST(worker.WaitFor([&] { return polls >= 5; }));
    is_overdue = true;
    // The poll that was in flight may have renewed them.
    const int seen = polls;
    BOOST_TEST(worker.WaitFor([&] { return polls >= seen + 2; }));
    const int renewed = renewals;
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
    BOOST_TEST(worker.WaitFor([&] { return worker.HasStartResult(); }));
    BOOST_TEST((worker.results.at(0) == start_result::kUnreachable));
    BOOST_TEST(starts == 0);
    if (is_settled) {
      is_overdue = false;
      worker.clock->SleepFor(2 * worker.lease_duration);
      BOOST_TEST(renewals > renewed);
    } else {
      BOOST_TEST(worker.WaitFor([&] { return worker.expirations > 0; }));
      BOOST_TEST(renewals == renewed);
    }
    worker.session->Stop();
    BOOST_TEST((worker.expirations > 0) == !is_settled);
    BOOST_TEST(worker.exits == 0);
  }
}

// Guards against a task that runs twice after a takeover: the owner had claimed
// the worker and granted no lease itself, so it counted the lease that the
// earlier owner had granted right before as ended.
BOOST_AUTO_TEST_CASE(leases_of_the_earlier_owner_outlast_the_claim) {
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<time_point> claimed_at{};
  std::atomic<time_point> expired_at{};
  worker.lease_duration = milliseconds(400);
  worker.authority_end = [] { return time_point{}; };
  worker.poll = [&](const poll_request&) -> result<worker_report> {
    if (++polls > 1) return Fail(error_kind::kTimeout, "cut off", "wait");
    claimed_at = worker.clock->Now();
    return worker_report{};
  };
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return worker.expirations > 0; }));
  expired_at = worker.clock->Now();
  worker.session->Stop();
  BOOST_TEST((expired_at.load() - claimed_at.load() >= worker.lease_duration));
}

// Guards against a task that runs twice because of a late response: leases that
// were withheld counted as ended, although a successor had claimed the worker
// meanwhile and renewed them.
BOOST_AUTO_TEST_CASE(withheld_leases_may_be_renewed_by_a_successor) {
  fake_worker worker;
  std::atomic<int> questions = 0;
  std::atomic<bool> is_owner = false;
  worker.lease_duration = milliseconds(400);
  worker.has_overdue_stop = [] { return true; };
  worker.was_owner_at = [&](time_point) {
    ++questions;
    return is_owner.load();
  };
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return questions > 0; }));
  BOOST_TEST(worker.expirations == 0);
  is_owner = true;
  BOOST_TEST(worker.WaitFor([&] { return worker.expirations > 0; }));
}

// Guards against leases of any length on an agent that has started anew with a
// new clock: they were still computed from the clock of the earlier one.
BOOST_AUTO_TEST_CASE(leases_follow_the_clock_of_a_new_agent) {
  constexpr std::int64_t kOldClockMs = 1'000'000;
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<std::int64_t> last_lease_ms = 0;
  worker.poll = [&](const poll_request& request) -> result<worker_report> {
    worker.clock->SleepFor(milliseconds(5));
    if (request.lease_until_ms) last_lease_ms = *request.lease_until_ms;
    worker_report report;
    const bool is_new = ++polls > 3;
    report.incarnation = is_new ? 2 : 1;
    report.clock_ms = (is_new ? 0 : kOldClockMs) + 5 * polls;
    return report;
  };
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return last_lease_ms > kOldClockMs; }));
  BOOST_TEST(worker.WaitFor([&] { return polls > 10; }));
  BOOST_TEST(last_lease_ms < kOldClockMs);
  worker.session->Stop();
}

// Guards against needless waits until an agent that is back is claimed: it is
// polled at the retry interval, not at that of idle workers, although it has no
// runs.
BOOST_AUTO_TEST_CASE(an_agent_that_is_back_is_claimed_soon) {
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<bool> is_back = false;
  std::atomic<int> claims = 0;
  worker.has_exited = [&] { return !is_back; };
  worker.poll = [&](const poll_request&) -> result<worker_report> {
    worker.clock->SleepFor(milliseconds(5));
    worker_report report;
    report.incarnation = 1;
    if (++polls < 3) return report;
    if (!is_back) return Fail(error_kind::kUnavailable, "refused", "wait");
    ++claims;
    report.incarnation = 2;
    return report;
  };
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return worker.exits == 1; }));
  const auto back_at = worker.clock->Now();
  is_back = true;
  BOOST_TEST(worker.WaitFor([&] { return claims > 0; }));
  BOOST_TEST((worker.clock->Now() - back_at < milliseconds(1000)));
  worker.session->Stop();
}

// Guards against polling in a loop while ends are being stored. A worker
// responds at once while it has unacknowledged ends; with a few ends per
// second, each stored within 70 ms, it was polled five times for each end.
BOOST_AUTO_TEST_CASE(a_worker_is_not_polled_while_its_ends_are_stored) {
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<bool> is_stored = false;
  std::atomic<bool> is_acknowledged = false;
  worker.has_runs = [] { return false; };
  worker.last_stored_end = [&] { return is_stored ? std::uint64_t{1} : 0; };
  worker.has_unstored_ends = [&] { return polls > 0 && !is_stored; };
  worker.poll = [&](const poll_request& request) -> result<worker_report> {
    ++polls;
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
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return polls > 0; }));
  worker.clock->SleepFor(milliseconds(70));
  BOOST_TEST(polls <= 2);
  is_stored = true;
  worker.session->Wake();
  BOOST_TEST(worker.WaitFor([&] { return is_acknowledged.load(); }));
  worker.session->Stop();
}

// Guards against several calls to the owner for a poll, each under its lock: a
// session asked four times.
BOOST_AUTO_TEST_CASE(the_owner_is_asked_once_for_each_poll) {
  fake_worker worker;
  std::atomic<int> polls = 0;
  worker.poll = [&](const poll_request&) -> result<worker_report> {
    ++polls;
    worker.clock->SleepFor(milliseconds(2));
    return worker_report{};
  };
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return polls >= 20; }));
  worker.session->Stop();
  // One more before the first poll.
  BOOST_TEST(worker.progress_calls <= polls + 1);
}

// Guards against orders that wake both threads of a session: while ends were
// being stored, each order also woke the poll thread, which found nothing to
// do.
BOOST_AUTO_TEST_CASE(orders_do_not_wake_a_poll_that_waits_for_a_commit) {
  constexpr int kOrders = 20;
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<int> checks = 0;
  std::atomic<bool> is_stored = false;
  worker.has_unstored_ends = [&] {
    if (polls == 1) ++checks;
    return polls > 0 && !is_stored;
  };
  worker.poll = [&](const poll_request&) -> result<worker_report> {
    ++polls;
    worker.clock->SleepFor(milliseconds(5));
    return worker_report{};
  };
  // The session waits on a paused clock, so that its wait for the commit ends
  // only when the test says so.
  worker.session_clock = runtime_clock::Paused();
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return checks > 0; }));
  for (int i = 0; i < kOrders; ++i) {
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
    worker.clock->SleepFor(milliseconds(3));
  }
  BOOST_TEST(checks <= 2);
  is_stored = true;
  worker.session->Wake();
  BOOST_TEST(worker.WaitFor([&] { return polls > 1; }));
  worker.session->Stop();
  BOOST_TEST(worker.results.size() == kOrders);
}

// Guards against treating a worker as unreachable after one lost response, with
// one response in twenty lost: starts were rejected and leases not renewed
// until the next response.
BOOST_AUTO_TEST_CASE(one_lost_response_does_not_make_a_worker_unreachable) {
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<bool> has_lost = false;
  std::atomic<bool> may_respond = false;
  std::atomic<int> leases_after_retry = 0;
  worker.poll = [&](const poll_request& request) -> result<worker_report> {
    worker.clock->SleepFor(milliseconds(5));
    if (++polls == 3) {
      has_lost = true;
      return Fail(error_kind::kTimeout, "no answer", "ask again");
    }
    if (has_lost && !may_respond) {
      // The retry is no long poll and does not renew the leases.
      BOOST_TEST(!request.lease_until_ms.has_value());
      BOOST_TEST((request.wait == duration::zero()));
      while (!may_respond) worker.clock->SleepFor(milliseconds(1));
      return worker_report{};
    }
    if (may_respond && request.lease_until_ms) ++leases_after_retry;
    return worker_report{};
  };
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return has_lost.load(); }));
  worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 7, "", "", ""});
  BOOST_TEST(worker.WaitFor([&] { return worker.HasStartResult(); }));
  may_respond = true;
  BOOST_TEST(worker.WaitFor([&] { return leases_after_retry > 0; }));
  worker.session->Stop();
  BOOST_TEST((worker.results.at(0) == start_result::kStarted));
}

// Guards against a worker that is never claimed because each of its responses
// is late. After a loss of power, the owner of 252 workers had a full link:
// polls were abandoned after 300 ms and repeated for 17 s without an effect.
BOOST_AUTO_TEST_CASE(a_late_response_is_awaited_longer) {
  constexpr auto kResponseTime = milliseconds(450);
  fake_worker worker;
  std::atomic<int> polls = 0;
  std::atomic<int> responses = 0;
  worker.poll = [&](const poll_request& request) -> result<worker_report> {
    ++polls;
    const duration timeout = request.wait + request.response_timeout;
    worker.clock->SleepFor(std::min<duration>(timeout, kResponseTime));
    if (timeout < kResponseTime) {
      return Fail(error_kind::kTimeout, "late", "poll again");
    }
    ++responses;
    return worker_report{};
  };
  worker.StartSession();
  BOOST_TEST(worker.WaitFor([&] { return responses > 0; }));
  worker.session->Stop();
  BOOST_TEST(polls <= 3);
}

// Guards against tasks of a cancelled job that run on because their stops wait
// behind starts: each start without a response takes three timeouts.
BOOST_AUTO_TEST_CASE(a_stop_overtakes_the_starts_that_wait) {
  fake_worker worker;
  std::atomic<bool> is_starting = false;
  std::atomic<bool> may_respond = false;
  std::vector<std::string> orders;
  worker.start = [&](const start_order& order) {
    is_starting = true;
    while (!may_respond) worker.clock->SleepFor(milliseconds(1));
    const std::lock_guard lock(worker.mutex);
    orders.push_back("start " + order.task.job_id);
    return start_response{start_result::kStarted, 1};
  };
  worker.stop = [&](const stop_order& order) {
    const std::lock_guard lock(worker.mutex);
    orders.push_back("stop " + order.task.job_id);
    return true;
  };
  worker.StartSession();
  for (const std::string id : {"first", "second", "third"}) {
    worker.session->Send(start_order{"w1", {id, 0, 0, 0}, 1, "", "", ""});
  }
  BOOST_TEST(worker.WaitFor([&] { return is_starting.load(); }));
  // The start of "third" has not been sent, so it is withdrawn. A stop that
  // waits is not sent twice.
  for (const std::string id : {"cancelled", "third", "cancelled"}) {
    worker.session->Send(stop_order{"w1", {id, 0, 0, 0}, 1});
  }
  may_respond = true;
  BOOST_TEST(worker.WaitFor([&] {
    const std::lock_guard lock(worker.mutex);
    return worker.results.size() == 3 && orders.size() == 4;
  }));
  worker.session->Stop();
  const std::vector<std::string> expected = {"start first", "stop cancelled",
                                             "stop third", "start second"};
  BOOST_TEST(orders == expected);
  BOOST_TEST(std::count(worker.results.begin(), worker.results.end(),
                        start_result::kWithdrawn) == 1);
}

}  // namespace
}  // namespace apricotwheel

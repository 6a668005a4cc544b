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
  // Of the agent whose end is stored; absent: the present one.
  std::optional<std::int64_t> progress_incarnation;
  std::int64_t connected_to = 0;  // The agent that answered the last poll.
  // Polls fail with this kind.
  std::optional<error_kind> failure;
  bool loses_renewals = false;
  std::atomic<int> renewals_lost = 0;
  std::atomic<bool> is_renewing = false;
  std::atomic<bool> is_starting = false;
  std::atomic<int> overlaps = 0;  // Of a start and a renewal.
  std::atomic<int> starts = 0;
  std::atomic<int> reads_before_start = 0;  // After a renewal was lost.
  bool loses_starts = false;
  int loses_every = 0;             // One start of these.
  duration read_time = kCallTime;  // Of a read that may wait.
  time_point renewed_at{};
  duration longest_renewal_gap{};
  std::atomic<bool> is_start_lost = false;  // Since the last answered read.
  std::atomic<int> renewals_after_lost_start = 0;
  std::atomic<time_point> last_start_at{};
  std::atomic<time_point> leases_expired_at{};
  std::atomic<time_point> late_starts_expired_at{};
  duration lease_duration = milliseconds(5900);
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
    options.lease_duration = lease_duration;
    options.link->start = [this](const start_order&, const run_lease&) {
      is_starting = true;
      if (is_renewing) ++overlaps;
      clock->SleepFor(kCallTime);
      is_starting = false;
      ++starts;
      last_start_at = clock->Now();
      if (loses_starts || (loses_every > 0 && starts % loses_every == 0)) {
        is_start_lost = true;
        return start_response{};
      }
      return start_response{start_result::kStarted, 1};
    };
    options.link->stop = [](const stop_order&, std::uint64_t) { return true; };
    options.link->interrupt = [] {};
    agent_session::callbacks callbacks;
    callbacks.on_report = [](const worker_report&, time_point) {};
    callbacks.on_leases_expired = [this](const lease_expiry& expiry) {
      auto& at =
          expiry.may_start_late ? leases_expired_at : late_starts_expired_at;
      at = clock->Now();
    };
    callbacks.on_start_result = [](const start_order&, start_result) {};
    callbacks.on_stop_result = [](const stop_order&, bool) {};
    callbacks.on_epoch_rejected = [] {};
    callbacks.progress = [this] {
      const std::lock_guard lock(mutex);
      return worker_progress{kStoredEnd, true, false, false,
                             progress_incarnation.value_or(incarnation)};
    };
    session = std::make_unique<agent_session>(std::move(options), callbacks);
    BOOST_REQUIRE(Attempt([&] { return session->Start(); }));
  }
  ~restarting_worker() {
    if (session) session->Stop();
  }

  result<worker_report> Poll(const poll_request& request) {
    const bool is_renewal = IsRenewal(request);
    is_renewing = is_renewal;
    if (is_renewal && is_starting) ++overlaps;
    if (is_renewal && is_start_lost) ++renewals_after_lost_start;
    if (!is_renewal) is_start_lost = false;
    clock->SleepFor(request.wait > duration::zero() ? read_time : kCallTime);
    is_renewing = false;
    const std::lock_guard lock(mutex);
    if (request.needs_same_agent && connected_to != incarnation) {
      return Fail(error_kind::kConflict, "closed", "read");
    }
    if (is_renewal && loses_renewals) {
      ++renewals_lost;
      return Fail(error_kind::kTimeout, "lost", "read");
    }
    if (renewals_lost > 0 && starts == 0) ++reads_before_start;
    if (failure) {
      ++polls_lost;
      return Fail(*failure, "no agent", "wait");
    }
    polls.push_back(request);
    if (is_renewal) {
      const auto now = clock->Now();
      if (renewed_at != time_point{}) {
        longest_renewal_gap = std::max(longest_renewal_gap, now - renewed_at);
      }
      renewed_at = now;
    }
    connected_to = incarnation;
    worker_report report;
    report.incarnation = incarnation;
    report.clock_ms = ToMs(clock->Now().time_since_epoch());
    return report;
  }
  static bool IsRenewal(const poll_request& request) {
    return request.acknowledged_end > 0 || request.lease_until_ms;
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

// Guards against the same where no poll has failed: the worker restarts between
// two polls, and its address accepts connections all the while.
BOOST_AUTO_TEST_CASE(a_renewal_reaches_no_other_agent) {
  constexpr auto kLimit = std::chrono::seconds(5);
  restarting_worker worker;
  worker.lease_duration = milliseconds(60);
  worker.StartSession();
  for (int restarts = 0; restarts < 5; ++restarts) {
    BOOST_REQUIRE(
        worker.Within(kLimit, [&] { return worker.PollCount() >= 5; }));
    worker.Restart();
    BOOST_REQUIRE(
        worker.Within(kLimit, [&] { return worker.PollCount() > 0; }));
    BOOST_TEST(!worker.IsRenewal(worker.FirstPoll()));
  }
}

// Guards against a result that is lost: a start and a renewal were on the way
// when the agent restarted, the next one executed both, and the run had ended
// in between.
BOOST_AUTO_TEST_CASE(no_start_is_on_the_way_beside_a_renewal) {
  constexpr int kStarts = 40;
  restarting_worker worker;
  worker.lease_duration = milliseconds(60);
  worker.StartSession();
  for (int i = 0; i < kStarts; ++i) {
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
    worker.clock->SleepFor(milliseconds(3));
  }
  BOOST_TEST(worker.Within(std::chrono::seconds(5),
                           [&] { return worker.starts == kStarts; }));
  BOOST_TEST(worker.overlaps == 0);
}

// Guards against the same where the start got no response.
BOOST_AUTO_TEST_CASE(a_renewal_waits_for_a_report_after_a_lost_start) {
  constexpr int kStarts = 10;
  constexpr int kAttempts = 3;
  restarting_worker worker;
  worker.lease_duration = milliseconds(60);
  worker.loses_starts = true;
  worker.StartSession();
  BOOST_REQUIRE(worker.Within(std::chrono::seconds(5),
                              [&] { return worker.PollCount() > 0; }));
  for (int i = 0; i < kStarts; ++i) {
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
    worker.clock->SleepFor(milliseconds(10));
  }
  BOOST_TEST(worker.Within(std::chrono::seconds(5), [&] {
    return worker.starts == kStarts * kAttempts;
  }));
  BOOST_TEST(worker.overlaps == 0);
  BOOST_TEST(worker.renewals_after_lost_start == 0);
}

// Guards against the same where the renewal got no response: it may still be on
// the way.
BOOST_AUTO_TEST_CASE(a_start_waits_for_a_report_after_a_lost_renewal) {
  constexpr auto kLimit = std::chrono::seconds(5);
  restarting_worker worker;
  worker.loses_renewals = true;
  worker.StartSession();
  BOOST_REQUIRE(
      worker.Within(kLimit, [&] { return worker.renewals_lost > 0; }));
  worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
  BOOST_TEST(worker.Within(kLimit, [&] { return worker.starts > 0; }));
  BOOST_TEST(worker.reads_before_start > 0);
}

// Guards against the same at the next agent: a renewal that the one before did
// not answer may delete ends of runs that start there.
BOOST_AUTO_TEST_CASE(a_new_agent_gets_no_start_while_a_renewal_may_arrive) {
  constexpr auto kLimit = std::chrono::seconds(5);
  restarting_worker worker;
  worker.loses_renewals = true;
  worker.StartSession();
  BOOST_REQUIRE(
      worker.Within(kLimit, [&] { return worker.renewals_lost > 0; }));
  worker.Fall(error_kind::kTimeout);
  const time_point fell_at = worker.clock->Now();
  {
    const std::lock_guard lock(worker.mutex);
    worker.loses_renewals = false;
  }
  worker.Restart();
  BOOST_REQUIRE(worker.Within(kLimit, [&] { return worker.PollCount() > 0; }));
  BOOST_TEST(worker.Within(kLimit, [&] {
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
    return worker.starts > 0;
  }));
  BOOST_TEST((worker.last_start_at.load() - fell_at >= kMaxCallDelay / 2));
}

// Guards against a task that runs twice: a start without a response was
// executed by a next agent, and its lease began then.
BOOST_AUTO_TEST_CASE(a_late_start_outlasts_the_leases) {
  constexpr auto kLimit = std::chrono::seconds(10);
  restarting_worker worker;
  worker.lease_duration = milliseconds(300);
  worker.loses_starts = true;
  worker.StartSession();
  BOOST_REQUIRE(worker.Within(kLimit, [&] { return worker.PollCount() >= 3; }));
  worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
  BOOST_REQUIRE(worker.Within(kLimit, [&] { return worker.starts == 3; }));
  worker.Fall(error_kind::kTimeout);
  BOOST_TEST(worker.Within(kLimit, [&] {
    return worker.late_starts_expired_at.load() != time_point{};
  }));
  const time_point lost_at = worker.last_start_at;
  BOOST_TEST((worker.leases_expired_at.load() - lost_at < kMaxCallDelay));
  BOOST_TEST((worker.late_starts_expired_at.load() - lost_at >=
              kMaxCallDelay + worker.lease_duration));
}

// Guards against acknowledgements and leases that starve while some starts get
// no response: reads that wait held each renewal up until the next lost start.
BOOST_AUTO_TEST_CASE(renewals_go_on_while_starts_are_lost) {
  constexpr auto kLongestGap = milliseconds(300);
  restarting_worker worker;
  worker.lease_duration = milliseconds(300);
  worker.loses_every = 3;
  worker.read_time = milliseconds(100);
  worker.StartSession();
  for (int i = 0; i < 60; ++i) {
    worker.session->Send(start_order{"w1", {"job", 0, 0, 0}, 1, "", "", ""});
    worker.clock->SleepFor(milliseconds(25));
  }
  const std::lock_guard lock(worker.mutex);
  const duration since_last = worker.clock->Now() - worker.renewed_at;
  BOOST_TEST((std::max(worker.longest_renewal_gap, since_last) < kLongestGap));
  BOOST_TEST(worker.renewals_after_lost_start == 0);
}

// Guards against an acknowledgement with the number of another agent's end: the
// scheduler ignores the report of an agent whose start time is earlier than
// that of its predecessor.
BOOST_AUTO_TEST_CASE(ends_of_another_incarnation_are_not_acknowledged) {
  restarting_worker worker;
  worker.progress_incarnation = 9;
  worker.StartSession();
  BOOST_TEST(worker.Within(std::chrono::seconds(5),
                           [&] { return worker.PollCount() >= 20; }));
  const std::lock_guard lock(worker.mutex);
  for (const poll_request& poll : worker.polls) {
    BOOST_TEST(!worker.IsRenewal(poll));
  }
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

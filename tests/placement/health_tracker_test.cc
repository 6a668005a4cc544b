#include "placement/health_tracker.h"

#include <boost/test/unit_test.hpp>

namespace apricotwheel {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};

// Guards against a bad worker that stays in use or returns without probation,
// and against jobs that are at fault because they failed on it.
BOOST_AUTO_TEST_CASE(bad_worker_is_quarantined_with_probation) {
  health_tracker tracker;
  for (const char* job : {"j1", "j2", "j3"}) {
    BOOST_TEST((HealthOf(tracker, "bad", kStart) == worker_health::kHealthy));
    RecordFailure(tracker, "bad", job, kStart);
  }
  BOOST_TEST((HealthOf(tracker, "bad", kStart) == worker_health::kQuarantined));
  RecordFailure(tracker, "w1", "j1", kStart);
  RecordFailure(tracker, "w2", "j1", kStart);
  BOOST_TEST(!IsJobAtFault(tracker, "j1"));
  const time_point probation = kStart + minutes(1);
  BOOST_TEST(
      (HealthOf(tracker, "bad", probation) == worker_health::kProbation));
  RecordFailure(tracker, "bad", "j4", probation);
  BOOST_TEST((HealthOf(tracker, "bad", probation + seconds(119)) ==
              worker_health::kQuarantined));
  const time_point again = probation + minutes(2);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST((HealthOf(tracker, "bad", again) == worker_health::kProbation));
    RecordSuccess(tracker, "bad", "j5", again);
  }
  BOOST_TEST((HealthOf(tracker, "bad", again) == worker_health::kHealthy));
}

// Guards against a bad job whose failures put healthy workers in quarantine,
// even if it fails many times on each.
BOOST_AUTO_TEST_CASE(bad_job_is_at_fault_and_not_its_workers) {
  health_tracker tracker;
  for (int i = 0; i < 30; ++i) {
    const std::string worker = "w" + std::to_string(i % 10);
    RecordFailure(tracker, worker, "bad", kStart);
    BOOST_TEST((HealthOf(tracker, worker, kStart) == worker_health::kHealthy));
    BOOST_TEST(IsJobAtFault(tracker, "bad") == (i >= 2));
  }
  BOOST_TEST(FailedWorkers(tracker, "bad").size() == 10U);
}

// Guards against a worker that stays in quarantine after a job that failed on
// it was found to be at fault.
BOOST_AUTO_TEST_CASE(worker_is_released_when_the_jobs_are_at_fault) {
  health_tracker tracker;
  for (const char* job : {"j1", "j2", "j3"}) {
    RecordFailure(tracker, "good", job, kStart);
  }
  BOOST_TEST(
      (HealthOf(tracker, "good", kStart) == worker_health::kQuarantined));
  for (const char* worker : {"w1", "w2", "w3"}) {
    RecordFailure(tracker, worker, "j1", kStart);
  }
  BOOST_TEST(IsJobAtFault(tracker, "j1"));
  BOOST_TEST((HealthOf(tracker, "good", kStart) == worker_health::kHealthy));
}

// Guards against failures that count forever, and against records that grow
// without a limit.
BOOST_AUTO_TEST_CASE(old_failures_are_forgotten) {
  health_tracker tracker;
  for (int i = 0; i < 10; ++i) {
    const time_point now = kStart + minutes(6) * i;
    RecordFailure(tracker, "w", "j" + std::to_string(i), now);
    BOOST_TEST((HealthOf(tracker, "w", now) == worker_health::kHealthy));
  }
  ForgetExpired(tracker, kStart + std::chrono::hours(5));
  BOOST_TEST(tracker.workers.empty());
  BOOST_TEST(tracker.jobs.empty());
}

}  // namespace
}  // namespace apricotwheel

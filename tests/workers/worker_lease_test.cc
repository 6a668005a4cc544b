#include "workers/worker_lease.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "placement/health_tracker.h"

namespace apricotwheel {
namespace {

namespace data = boost::unit_test::data;

// One renewal. The worker sends a clock sample of 1'000'000; all other times
// are milliseconds after that.
struct lease_row {
  const char* name;
  int sample_received_at;  // When the owner receives the sample.
  int owner_sends_at;      // When the owner sends the renewal.
  int worker_handles_at;   // When the worker handles it.
  double worker_rate;      // Rate of the worker's clock over the owner's.
  bool worker_still_runs;  // The renewed lease is valid at that time.
};
std::ostream& operator<<(std::ostream& out, const lease_row& row) {
  return out << row.name;
}

const lease_row kRows[] = {
    {"prompt", 1, 1000, 1001, 1.0, true},
    {"late renewal", 1, 1000, 9000, 1.0, true},
    {"read after the lease", 1, 1000, 12'000, 1.0, false},
    {"owner paused before the send", 1, 30'000, 30'001, 1.0, true},
    {"worker paused", 1, 1000, 60'000, 1.0, false},
    {"slow reply", 3000, 4000, 4001, 1.0, true},
    {"worker clock slow", 1, 1000, 1001, 0.96, true},
    {"worker clock fast", 1, 1000, 1001, 1.04, true},
};

// A renewal that is delivered late must not extend the lease beyond the expiry
// that the owner sent. The owner must not consider the lease expired while the
// worker, paused or with a drifting clock, may still run its tasks.
BOOST_DATA_TEST_CASE(lease_table, data::make(kRows), row) {
  const auto clock = runtime_clock::Paused();
  const auto start = clock->Now();
  worker_lease lease{worker_lease_options{}};
  lease.OnClockSample(1'000'000, start + milliseconds(row.sample_received_at));
  const auto expiry =
      lease.NextExpiryMs(start + milliseconds(row.owner_sends_at));
  lease.OnExpirySent(expiry);
  const auto worker_clock = [&](double at_ms) {
    return 1'000'000 + at_ms * row.worker_rate;
  };
  BOOST_TEST((worker_clock(row.worker_handles_at) < double(expiry)) ==
             row.worker_still_runs);
  const auto latest_expiry =
      std::chrono::duration<double, std::milli>(*lease.LatestExpiry() - start);
  BOOST_TEST(worker_clock(latest_expiry.count()) >= double(expiry));
}

// The response to a renewal is lost after the worker applied it. The owner must
// assume the longer lease, but gains no dispatch authority.
BOOST_AUTO_TEST_CASE(lost_reply_counts_as_renewed) {
  const auto clock = runtime_clock::Paused();
  worker_lease lease{worker_lease_options{}};
  lease.OnClaimed(5000, {}, clock->Now());
  const auto before = *lease.LatestExpiry();
  clock->Advance(milliseconds(4000));
  lease.OnExpirySent(lease.NextExpiryMs(clock->Now()));
  BOOST_TEST((*lease.LatestExpiry() == before + milliseconds(4000)));
  BOOST_TEST(!lease.AuthorityExpiry().has_value());
}

// The next owner may send requests once the dispatch authority of this one has
// expired. The authority must count from the time the renewal was sent; counted
// from the response, both owners could send at the same time.
BOOST_AUTO_TEST_CASE(authority_counts_from_the_send) {
  const auto clock = runtime_clock::Paused();
  worker_lease lease{worker_lease_options{}};
  lease.OnClaimed(5000, {}, clock->Now());
  BOOST_TEST(!lease.HasAuthority(clock->Now()));
  const auto sent = clock->Now();
  clock->Advance(milliseconds(900));
  lease.OnRenewalAcknowledged(sent);
  BOOST_TEST(lease.HasAuthority(clock->Now()));
  clock->Advance(milliseconds(1349));
  BOOST_TEST(lease.HasAuthority(clock->Now()));
  clock->Advance(milliseconds(1));
  BOOST_TEST(!lease.HasAuthority(clock->Now()));
}

struct successor_row {
  std::optional<std::int64_t> age_ms;
  int waits_ms;
};
std::ostream& operator<<(std::ostream& out, const successor_row& row) {
  return out << row.age_ms.value_or(-1);
}
const successor_row kSuccessors[] = {
    {{}, 0}, {0, 2500}, {900, 1600}, {2500, 0}, {90'000, 0}};

// A new owner must not send requests while the previous owner still may, which
// depends on the age of the previous owner's last renewal.
BOOST_DATA_TEST_CASE(successor_waits, data::make(kSuccessors), row) {
  const auto now = runtime_clock::Paused()->Now();
  worker_lease lease{worker_lease_options{}};
  lease.OnClaimed(5000, row.age_ms, now);
  BOOST_TEST((lease.AuthorityStart() == now + milliseconds(row.waits_ms)));
}

// Failures of a single job must not quarantine a worker, since the job may be
// at fault. A failure during probation must quarantine the worker again.
BOOST_AUTO_TEST_CASE(quarantine_needs_different_jobs) {
  const auto clock = runtime_clock::Paused();
  health_tracker tracker;
  tracker.settings.failed_jobs_to_quarantine = 3;
  tracker.settings.quarantine_base = milliseconds(1000);
  const auto fail = [&](const char* job) {
    RecordFailure(tracker, "w1", job, clock->Now());
  };
  const auto health = [&] { return HealthOf(tracker, "w1", clock->Now()); };
  for (int i = 0; i < 9; ++i) fail("one");
  BOOST_TEST((health() == worker_health::kHealthy));
  fail("two");
  fail("three");
  BOOST_TEST((health() == worker_health::kQuarantined));
  clock->Advance(milliseconds(1000));
  BOOST_TEST((health() == worker_health::kProbation));
  fail("one");
  clock->Advance(milliseconds(1500));
  BOOST_TEST((health() == worker_health::kQuarantined));
}

}  // namespace
}  // namespace apricotwheel

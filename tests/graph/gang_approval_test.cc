#include <boost/test/unit_test.hpp>

#include "tests/graph/gang_day.h"

namespace apricotwheel {
namespace {

using testing::gang_day;
using testing::gang_pattern;
using testing::kGangTick;
using testing::wait_summary;

// The gangs of a case that still wait are given this time at its end.
constexpr auto kDrainTime = std::chrono::seconds(60);

void CheckWaits(const wait_summary& waits, std::int64_t max_ms) {
  BOOST_TEST_MESSAGE("gangs " << waits.gangs << " median " << waits.median_ms
                              << " ms, max " << waits.max_ms
                              << " ms, unstarted " << waits.unstarted);
  BOOST_TEST(waits.unstarted == 0U);
  BOOST_TEST(waits.max_ms <= max_ms);
}

// Several calls that name the whole pool, and the run times before them.
constexpr std::int64_t kMaxWaitMs = 12'000;

// Guards against gangs that starve in a pool that small tasks keep full.
BOOST_AUTO_TEST_CASE(gangs_under_approval_start_in_a_full_pool) {
  gang_day day;
  day.Run(std::chrono::minutes(5), true);
  day.Run(kDrainTime, false);
  CheckWaits(day.Summary(), kMaxWaitMs);
}

// Guards against gangs that learn decisions a few at a time because their first
// call was made while one worker was claimed.
BOOST_AUTO_TEST_CASE(a_gang_admitted_with_one_worker_claimed_starts) {
  gang_day day(gang_pattern{}, 1);
  for (int i = 0; i < 6; ++i) day.SubmitGang();
  day.Run(kGangTick, false);
  day.ClaimAll();
  day.Run(kDrainTime, false);
  CheckWaits(day.Summary(), kMaxWaitMs);
}

// Guards against gangs that starve after a change of owner.
BOOST_AUTO_TEST_CASE(waiting_gangs_start_after_a_takeover) {
  gang_day day;
  for (int i = 0; i < 8; ++i) day.SubmitGang();
  day.Run(milliseconds(500), true);
  day.TakeOver();
  day.Run(milliseconds(300), false);
  day.ClaimAll();
  day.Run(kDrainTime, true);
  day.Run(kDrainTime, false);
  CheckWaits(day.Summary(), kMaxWaitMs);
}

// Jobs are asked for this long after the end of the traffic.
constexpr std::int64_t kFinishMs = 14'000;
constexpr std::int64_t kMaxWaitOfOvertakenMs = 30'000;

// Gangs of different sizes, in a pool that they nearly fill, with runs that
// take longer than estimated.
gang_pattern CrowdedPattern() {
  gang_pattern pattern;
  pattern.workers = 73;
  pattern.min_members = 2;
  pattern.max_members = 8;
  pattern.min_accelerators = 2;
  pattern.gang_run_ms = 5600;
  pattern.max_run_percent = 150;
  pattern.gang_interval = milliseconds(400);
  pattern.small_per_tick = 6;
  pattern.call_us = 200'000;
  pattern.call_per_worker_us = 4000;
  pattern.ticket_lifetime = milliseconds(1500);
  pattern.calls_in_flight = 16;
  pattern.has_admission = true;
  return pattern;
}

// Returns the time from `since` to the last start of a gang.
std::int64_t LastStartMs(const gang_day& day, time_point since) {
  std::int64_t last_ms = 0;
  for (const auto& [id, each] : day.gangs) {
    if (each.started_at) {
      last_ms = std::max(last_ms, ToMs(*each.started_at - since));
    }
  }
  return last_ms;
}

// Guards against gangs that are overtaken by each newer one, and reserve
// nothing because the steps before them have reserved all approved workers.
BOOST_AUTO_TEST_CASE(no_gang_is_overtaken_for_ever) {
  for (const int interval_ms : {400, 420, 440}) {
    gang_pattern pattern = CrowdedPattern();
    pattern.gang_interval = milliseconds(interval_ms);
    gang_day day(pattern);
    day.Run(std::chrono::seconds(40), true);
    const time_point ended_at = day.rig.now;
    day.submits_small = false;
    day.Run(kDrainTime, false);
    const std::int64_t last_ms = LastStartMs(day, ended_at);
    BOOST_TEST_MESSAGE("a gang each " << interval_ms << " ms, refused "
                                      << day.refused << ", last start "
                                      << last_ms << " ms after the traffic");
    BOOST_TEST(last_ms <= kFinishMs);
    CheckWaits(day.Summary(), kMaxWaitOfOvertakenMs);
  }
}

// The members of so many gangs do not fit on the approved workers.
constexpr int kHopelessGangs = 8;

// Guards against overdue gangs that can't start and keep others from their
// turn.
BOOST_AUTO_TEST_CASE(gangs_that_can_not_start_delay_no_other) {
  gang_pattern pattern = CrowdedPattern();
  pattern.has_admission = false;  // It counts the work of these gangs.
  gang_day day(pattern);
  day.pattern.min_members = 60;
  day.pattern.max_members = 70;
  for (int i = 0; i < kHopelessGangs; ++i) day.SubmitGang();
  day.pattern = pattern;
  day.Run(std::chrono::seconds(40), true);
  day.submits_small = false;
  day.Run(kDrainTime, false);
  const auto hopeless =
      std::count_if(day.gangs.begin(), day.gangs.end(), [&](const auto& row) {
        return day.ApprovedRoom(row.first) <
               row.second.job.graph.steps[0].task_count;
      });
  BOOST_TEST(hopeless == kHopelessGangs);
  CheckWaits(day.Summary(), kMaxWaitOfOvertakenMs);
}

// Guards against large gangs that starve while newer ones, which need less,
// keep coming, because what they reserve is free later than other workers.
BOOST_AUTO_TEST_CASE(small_gangs_that_keep_coming_delay_no_large_one) {
  gang_day day(CrowdedPattern());
  day.Run(std::chrono::seconds(10), true);
  day.pattern.max_members = 3;
  day.Run(std::chrono::minutes(2), true);
  day.Run(kDrainTime, false);
  BOOST_TEST_MESSAGE("refused " << day.refused);
  CheckWaits(day.Summary(), kFinishMs);
}

}  // namespace
}  // namespace apricotwheel

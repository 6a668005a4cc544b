#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/graph/crash_rig.h"

// Workers crash a few at a time for reasons of their own and are back soon,
// faster than the tasks that were there can be judged.
namespace apricotwheel::testing {

// While most room is free, a job has nothing running for at most this time,
// from `kFinishTime` after the last job on.
inline constexpr auto kMaxIdleTime = std::chrono::seconds(3);
inline constexpr auto kFinishTime = std::chrono::seconds(14);

struct crash_storm {
  int workers = 28;
  int crashing = 4;  // Workers that crash at a time.
  duration interval = milliseconds(2000);
  duration away_time = milliseconds(1900);
  duration traffic = std::chrono::seconds(44);
  int jobs = 110;
  std::uint32_t tasks = 10;  // Of each job.
  bool is_gang = false;
  bool has_advisor = false;
  resource_vector need = kSmall;
  duration run_time = milliseconds(4000);
  unsigned seed = 1;
};

// The advisor approves some of the workers of each step. Each member of the
// cluster makes one call at a time.
struct approval_lanes {
  static constexpr std::size_t kLanes = 3;
  static constexpr unsigned kApprovedPercent = 45;

  std::multimap<time_point, approval_request> calls;  // By the time they end.
  std::size_t seen = 0;

  void Handle(crash_rig& rig, unsigned seed) {
    for (; seen < rig.approvals.size(); ++seen) {
      const approval_request& request = rig.approvals[seen];
      calls.emplace(rig.now + request.expected_duration, request);
    }
    while (!calls.empty() && calls.begin()->first <= rig.now) {
      const approval_request request = calls.begin()->second;
      calls.erase(calls.begin());
      std::vector<approved_worker> approved;
      for (const pool_worker& worker : request.workers) {
        const std::string pair = request.job_id + " " + worker.id;
        std::seed_seq values(pair.begin(), pair.end());
        std::mt19937 random(values);
        random.discard(seed);
        if (random() % 100 < kApprovedPercent) {
          approved.push_back({worker.id, "ticket"});
        }
      }
      rig.scheduler.OnApprovalResult(request, approved, true, rig.now, rig.now);
    }
    rig.call_capacity.calls = kLanes - std::min(kLanes, calls.size());
  }
};

inline job_submission MakeStormJob(const crash_storm& storm,
                                   const std::string& id) {
  job_submission job = MakeJob(id, {MakeStep(storm.tasks, storm.need)});
  job.graph.steps[0].estimate_ms = ToMs(storm.run_time);
  job.graph.steps[0].is_gang = storm.is_gang;
  if (storm.has_advisor) {
    job.queue.advisor = advisor_settings{140'000, 2'000, milliseconds(1500)};
  }
  return job;
}

inline void CrashSome(crash_rig& rig, int count, std::mt19937& random) {
  std::vector<std::string> up;
  for (const auto& [id, agent] : rig.agents) {
    if (!rig.back_at.contains(id)) up.push_back(id);
  }
  std::shuffle(up.begin(), up.end(), random);
  up.resize(static_cast<std::size_t>(count));
  for (const std::string& id : up) {
    rig.Crash(id);
    rig.OnCrashNoticed(id);
  }
}

struct storm_result {
  duration longest_idle{};  // See `kMaxIdleTime`.
  std::size_t failed = 0;
  std::size_t unfinished = 0;
  std::size_t most_suspect_workers = 0;
};

inline storm_result Play(const crash_storm& storm) {
  std::mt19937 random(storm.seed);
  crash_rig rig;
  rig.run_time = storm.run_time;
  rig.away_time = storm.away_time;
  rig.AddWorkers(storm.workers);
  approval_lanes lanes;
  const time_point begin = rig.now;
  const time_point end = begin + storm.traffic;
  time_point next_crash_at = begin;
  const auto room = static_cast<std::size_t>(
      storm.workers * (kWorker.cpu_milli / storm.need.cpu_milli));
  int admitted = 0;
  std::set<std::string> open;
  std::map<std::string, time_point> idle_since;
  storm_result result;
  while (rig.now < end + std::chrono::seconds(40)) {
    if (next_crash_at <= rig.now && rig.now < end - storm.away_time) {
      next_crash_at += storm.interval;
      CrashSome(rig, storm.crashing, random);
    }
    while (admitted < storm.jobs &&
           begin + storm.traffic * admitted / storm.jobs <= rig.now) {
      const std::string id = "job" + std::to_string(admitted++);
      rig.scheduler.AdmitJob(MakeStormJob(storm, id), rig.now);
      open.insert(id);
    }
    rig.Tick();
    lanes.Handle(rig, storm.seed);
    result.most_suspect_workers =
        std::max(result.most_suspect_workers,
                 rig.scheduler.CountSuspectWorkers(rig.now));
    std::set<std::string> active;
    for (const auto& [id, agent] : rig.agents) {
      for (const auto& [task, run] : agent.running) active.insert(task.job_id);
    }
    const bool is_mostly_free = rig.CountRunningTasks() * 2 < room;
    std::erase_if(open, [&](const std::string& id) {
      const auto state = rig.scheduler.FindJobState(id);
      result.failed += state == job_state::kFailed;
      if (state == job_state::kFailed || state == job_state::kCompleted) {
        return true;
      }
      if (active.contains(id) || !is_mostly_free) {
        idle_since.erase(id);
        return false;
      }
      const time_point since = idle_since.emplace(id, rig.now).first->second;
      if (rig.now >= end + kFinishTime) {
        result.longest_idle = std::max(result.longest_idle, rig.now - since);
      }
      return false;
    });
  }
  result.unfinished = open.size();
  return result;
}

inline void CheckStorm(crash_storm storm) {
  for (storm.seed = 1; storm.seed <= 3; ++storm.seed) {
    const storm_result result = Play(storm);
    BOOST_TEST_MESSAGE("seed " << storm.seed << ": longest idle time "
                               << ToMs(result.longest_idle) << " ms, "
                               << result.failed << " given up, "
                               << result.unfinished << " unfinished, "
                               << result.most_suspect_workers
                               << " workers at most for suspects");
    BOOST_TEST((result.longest_idle < kMaxIdleTime));
    BOOST_TEST(result.most_suspect_workers <=
               static_cast<std::size_t>(storm.workers) / 2);
  }
}

}  // namespace apricotwheel::testing

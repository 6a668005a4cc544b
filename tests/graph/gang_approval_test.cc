#include <boost/test/unit_test.hpp>
#include <optional>
#include <string_view>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr auto kTick = milliseconds(100);
constexpr int kWorkers = 98;
constexpr resource_vector kWorker{64'000, 262'144, 8};
constexpr resource_vector kMember{31'000, 90'000, 8};
constexpr resource_vector kSmall{5000, 16'384, 1};
constexpr std::int64_t kGangRunMs = 3000;
constexpr std::int64_t kSmallRunMs = 2000;
constexpr std::int64_t kCallUs = 715'000;
constexpr std::int64_t kCallPerWorkerUs = 10'000;
constexpr auto kTicketLifetime = milliseconds(2000);
constexpr std::uint64_t kApprovedOneIn = 4;
constexpr std::size_t kCallsInFlight = 4;
constexpr auto kGangInterval = milliseconds(1000);
constexpr int kSmallPerTick = 28;
// The gangs of a case that still wait are given this time at its end.
constexpr auto kDrainTime = std::chrono::seconds(60);

std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 0;
  for (const char each : text) hash = Mix(hash ^ static_cast<unsigned>(each));
  return hash;
}

// The advisor's decision, which doesn't change.
bool IsApproved(std::string_view job, std::string_view worker) {
  return Mix(HashOf(job) ^ HashOf(worker)) % kApprovedOneIn == 0;
}

std::uint32_t ApprovedWorkers(std::string_view job) {
  std::uint32_t count = 0;
  for (int i = 0; i < kWorkers; ++i) {
    count += IsApproved(job, "w" + std::to_string(100 + i)) ? 1 : 0;
  }
  return count;
}

struct wait_summary {
  std::int64_t median_ms = 0;
  std::int64_t max_ms = 0;
  std::size_t gangs = 0;
  std::size_t unstarted = 0;
};

// A pool that small tasks keep rather full, with gangs under approval.
struct gang_day {
  struct pending_call {
    time_point answered_at{};
    approval_request request;
  };
  struct gang {
    job_submission job;
    time_point submitted_at{};
    std::optional<time_point> started_at;
  };
  scheduler_rig rig;
  std::map<task_key, time_point> ends_at;
  std::vector<pending_call> calls;
  std::map<std::string, gang> gangs;
  std::set<std::string> claimed;
  time_point next_gang_at{};
  std::uint64_t calls_made = 0;
  int small_jobs = 0;

  explicit gang_day(std::size_t claimed_at_first = kWorkers) {
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = "w" + std::to_string(100 + i);
      rig.AddWorker(id, kWorker, false);
      if (claimed.size() < claimed_at_first) claimed.insert(id);
    }
    Report();
    next_gang_at = rig.now;
  }

  void ClaimAll() {
    for (const auto& [id, agent] : rig.agents) claimed.insert(id);
  }
  void Report() {
    for (const std::string& id : claimed) {
      rig.scheduler.ApplyReport(id, rig.MakeReport(id), rig.now, rig.now);
    }
    rig.StoreProgress();
    for (auto& [id, agent] : rig.agents) agent.ended.clear();
  }
  void SubmitSmall() {
    auto step = MakeStep(kSmallPerTick, kSmall);
    step.estimate_ms = kSmallRunMs;
    rig.scheduler.AdmitJob(
        MakeJob("small" + std::to_string(small_jobs++), {step}, 2), rig.now);
  }
  void SubmitGang() {
    const std::string id = "gang" + std::to_string(gangs.size());
    auto step = MakeStep(3 + HashOf(id) % 7, kMember);
    step.estimate_ms = kGangRunMs;
    step.is_gang = true;
    auto job = MakeJob(id, {step}, 1);
    job.queue.name = "gangs";
    job.queue.advisor =
        advisor_settings{kCallUs, kCallPerWorkerUs, kTicketLifetime};
    gangs[id] = {job, rig.now, {}};
    rig.scheduler.AdmitJob(job, rig.now);
  }
  void Answer() {
    for (auto call = calls.begin(); call != calls.end();) {
      if (call->answered_at > rig.now) {
        ++call;
        continue;
      }
      std::vector<approved_worker> approved;
      for (const pool_worker& worker : call->request.workers) {
        if (IsApproved(call->request.job_id, worker.id)) {
          approved.push_back({worker.id, "ticket"});
        }
      }
      rig.scheduler.OnApprovalResult(call->request, approved, true, rig.now,
                                     rig.now);
      call = calls.erase(call);
    }
  }
  void EndDueRuns() {
    for (auto& [id, agent] : rig.agents) {
      std::vector<task_key> due;
      for (const auto& [task, run] : agent.running) {
        if (ends_at[task] <= rig.now) due.push_back(task);
      }
      for (const task_key& task : due) {
        rig.EndRun(id, task, run_outcome::kDone);
        ends_at.erase(task);
      }
    }
  }
  void Tick(bool submits_gangs) {
    EndDueRuns();
    Report();
    Answer();
    SubmitSmall();
    if (submits_gangs && rig.now >= next_gang_at) {
      SubmitGang();
      next_gang_at += kGangInterval;
    }
    rig.call_capacity.calls = kCallsInFlight - calls.size();
    rig.call_capacity.long_calls = rig.call_capacity.calls;
    const pool_decisions decisions = rig.Decide();
    for (const start_order& order : decisions.starts) {
      reported_run run;
      run.task = order.task;
      run.run = order.run;
      rig.agents[order.worker].running[order.task] = run;
      rig.scheduler.OnStartResult(order, start_result::kStarted, rig.now);
      const auto found = gangs.find(order.task.job_id);
      const bool is_gang = found != gangs.end();
      if (is_gang) found->second.started_at = rig.now;
      ends_at[order.task] =
          rig.now + milliseconds(is_gang ? kGangRunMs : kSmallRunMs);
    }
    for (const approval_request& request : decisions.approvals) {
      ++calls_made;
      const auto time = std::chrono::microseconds(
          kCallUs +
          kCallPerWorkerUs * static_cast<std::int64_t>(request.workers.size()));
      calls.push_back({rig.now + time, request});
    }
    rig.AdvanceClock(kTick);
  }
  void Run(duration span, bool submits_gangs) {
    for (const time_point end = rig.now + span; rig.now < end;) {
      Tick(submits_gangs);
    }
  }
  wait_summary Summary() const {
    wait_summary summary;
    std::vector<std::int64_t> waits;
    for (const auto& [id, each] : gangs) {
      if (ApprovedWorkers(id) < each.job.graph.steps[0].task_count) continue;
      if (!each.started_at) ++summary.unstarted;
      waits.push_back(
          ToMs(each.started_at.value_or(rig.now) - each.submitted_at));
    }
    std::sort(waits.begin(), waits.end());
    summary.gangs = waits.size();
    summary.median_ms = waits[waits.size() / 2];
    summary.max_ms = waits.back();
    return summary;
  }
  // Replaces the scheduler by that of a successor, which knows the jobs.
  void TakeOver() {
    gang_day next(0);
    next.rig.now = rig.now;
    next.rig.agents = rig.agents;
    for (auto& [id, agent] : next.rig.agents) {
      next.rig.scheduler.SetWorker(agent.info, rig.now);
      // The jobs of the small tasks are not restored; the pool is empty.
      agent.running.clear();
    }
    for (const auto& [id, each] : gangs) {
      if (each.started_at) continue;
      next.rig.scheduler.RestoreJob(each.job, InitialProgress(each.job.graph),
                                    each.submitted_at);
    }
    next.gangs = gangs;
    next.small_jobs = small_jobs;
    next.next_gang_at = next_gang_at;
    next.claimed = {"w100"};
    *this = std::move(next);
  }
};

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
  gang_day day(1);
  for (int i = 0; i < 6; ++i) day.SubmitGang();
  day.Run(kTick, false);
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

}  // namespace
}  // namespace apricotwheel

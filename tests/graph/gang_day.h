#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel::testing {

// The load of a pool under approval.
struct gang_pattern {
  int workers = 98;
  resource_vector worker{64'000, 262'144, 8};
  resource_vector member{31'000, 90'000, 8};
  resource_vector small{5000, 16'384, 1};
  std::int64_t gang_run_ms = 3000;
  std::int64_t small_run_ms = 2000;
  // The runs of gangs take up to this percentage of their estimate.
  std::int64_t max_run_percent = 100;
  std::uint32_t min_members = 3;
  std::uint32_t max_members = 9;
  // The members of a gang need from this many accelerators to those of
  // `member`.
  std::int64_t min_accelerators = 8;
  duration gang_interval = milliseconds(1000);
  int small_per_tick = 28;
  std::int64_t call_us = 715'000;
  std::int64_t call_per_worker_us = 10'000;
  duration ticket_lifetime = milliseconds(2000);
  std::size_t calls_in_flight = 4;
  bool has_admission = false;
};

inline constexpr auto kGangTick = milliseconds(100);
inline constexpr std::uint64_t kApprovedOneIn = 4;

inline std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

inline std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 0;
  for (const char each : text) hash = Mix(hash ^ static_cast<unsigned>(each));
  return hash;
}

// The advisor's decision, which doesn't change.
inline bool IsApproved(std::string_view job, std::string_view worker) {
  return Mix(HashOf(job) ^ HashOf(worker)) % kApprovedOneIn == 0;
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
  gang_pattern pattern;
  scheduler_rig rig;
  std::map<task_key, time_point> ends_at;
  std::vector<pending_call> calls;
  std::map<std::string, gang> gangs;
  std::set<std::string> claimed;
  time_point next_gang_at{};
  std::uint64_t calls_made = 0;
  int small_jobs = 0;
  std::size_t refused = 0;  // By the admission.
  bool submits_small = true;

  explicit gang_day(gang_pattern with = {})
      : gang_day(with, static_cast<std::size_t>(with.workers)) {}
  gang_day(gang_pattern with, std::size_t claimed_at_first) : pattern(with) {
    for (int i = 0; i < pattern.workers; ++i) {
      const std::string id = "w" + std::to_string(100 + i);
      rig.AddWorker(id, pattern.worker, false);
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
    auto step = MakeStep(pattern.small_per_tick, pattern.small);
    step.estimate_ms = pattern.small_run_ms;
    rig.scheduler.AdmitJob(
        MakeJob("small" + std::to_string(small_jobs++), {step}, 2), rig.now);
  }
  std::uint32_t MembersOf(std::string_view id) const {
    const std::uint64_t sizes = pattern.max_members - pattern.min_members + 1;
    return pattern.min_members + static_cast<std::uint32_t>(HashOf(id) % sizes);
  }
  std::int64_t RunOf(std::string_view id) const {
    const std::uint64_t extra =
        static_cast<std::uint64_t>(pattern.max_run_percent - 99);
    return pattern.gang_run_ms *
           (100 + static_cast<std::int64_t>(Mix(HashOf(id)) % extra)) / 100;
  }
  resource_vector MemberOf(std::string_view id) const {
    resource_vector need = pattern.member;
    const std::int64_t sizes = need.accelerators - pattern.min_accelerators + 1;
    need.accelerators -= static_cast<std::int64_t>(
        Mix(~HashOf(id)) % static_cast<std::uint64_t>(sizes));
    return need;
  }
  // How many members the approved workers can run at the same time.
  std::uint32_t ApprovedRoom(std::string_view id) const {
    resource_vector room = pattern.worker;
    std::uint32_t each = 0;
    const resource_vector need = MemberOf(id);
    for (; Fits(need, room); room = room - need) ++each;
    std::uint32_t count = 0;
    for (int i = 0; i < pattern.workers; ++i) {
      count += IsApproved(id, "w" + std::to_string(100 + i)) ? each : 0;
    }
    return count;
  }
  void SubmitGang() {
    const std::string id = "gang" + std::to_string(gangs.size() + refused);
    auto step = MakeStep(MembersOf(id), MemberOf(id));
    step.estimate_ms = pattern.gang_run_ms;
    step.is_gang = true;
    auto job = MakeJob(id, {step}, 1);
    job.queue.name = "gangs";
    job.queue.advisor = advisor_settings{
        pattern.call_us, pattern.call_per_worker_us, pattern.ticket_lifetime};
    gangs[id] = {job, rig.now, {}};
    if (pattern.has_admission && rig.scheduler.FindOverload(job, rig.now)) {
      gangs.erase(id);
      ++refused;
      return;
    }
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
    if (submits_small) SubmitSmall();
    while (submits_gangs && rig.now >= next_gang_at) {
      SubmitGang();
      next_gang_at += pattern.gang_interval;
    }
    rig.call_capacity.calls = pattern.calls_in_flight - calls.size();
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
          rig.now + milliseconds(is_gang ? RunOf(order.task.job_id)
                                         : pattern.small_run_ms);
    }
    for (const approval_request& request : decisions.approvals) {
      ++calls_made;
      const auto time = std::chrono::microseconds(
          pattern.call_us +
          pattern.call_per_worker_us *
              static_cast<std::int64_t>(request.workers.size()));
      calls.push_back({rig.now + time, request});
    }
    rig.AdvanceClock(kGangTick);
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
      if (ApprovedRoom(id) < each.job.graph.steps[0].task_count) continue;
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
    gang_day next(pattern, 0);
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

}  // namespace apricotwheel::testing

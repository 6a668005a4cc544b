#pragma once

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel::testing {

inline constexpr resource_vector kSmall{1000, 1024, 0};
inline constexpr resource_vector kWorker{4000, 16'384, 0};
inline constexpr auto kCrashAfter = milliseconds(300);
inline constexpr auto kAwayTime = milliseconds(2000);
inline constexpr auto kTick = milliseconds(100);

// Workers that crash under some tasks and come back as a new incarnation.
struct crash_rig : scheduler_rig {
  using scheduler_rig::scheduler_rig;

  std::function<bool(const task_key&)> is_deadly = [](const task_key&) {
    return false;
  };
  std::function<bool(const task_key&)> is_lasting = is_deadly;
  duration run_time = milliseconds(1000);
  duration away_time = kAwayTime;
  std::map<std::pair<std::string, task_key>, time_point> started_at;
  std::map<std::string, time_point> back_at;
  std::map<task_key, int> crashes;  // By task that was there.
  std::map<std::string, int> ends;  // Ends `done` by job.
  std::size_t crash_count = 0;
  std::size_t most_away = 0;  // Workers that were away at the same time.

  void AddWorkers(int count, const std::string& rack = {}) {
    for (int i = 0; i < count; ++i) {
      const std::string id = rack + "w" + std::to_string(i);
      agents[id].info.rack = rack;
      AddWorker(id, kWorker);
    }
  }

  // The agent's process ends and the owner's session notices it at once.
  void Crash(const std::string& id) {
    agent& target = agents[id];
    for (const auto& [task, run] : target.running) ++crashes[task];
    target.running.clear();
    target.ended.clear();
    target.last_end_sequence = 0;
    ++crash_count;
    back_at[id] = now + away_time;
    most_away = std::max(most_away, back_at.size());
  }

  void OnCrashNoticed(const std::string& id) {
    scheduler.ExpireWorkerLeases(id, true, now);
  }

  void Return(const std::string& id) {
    agent& target = agents[id];
    ++target.info.incarnation;
    scheduler.SetWorker(target.info, now);
    ReportWorker(id);
  }

  void Tick() {
    const pool_decisions decisions = Decide();
    for (const stop_order& order : decisions.stops) {
      if (back_at.contains(order.worker)) continue;
      if (agents[order.worker].running.contains(order.task)) {
        EndRun(order.worker, order.task, run_outcome::kStopped);
      }
      scheduler.OnStopResult(order, true, now);
    }
    for (const start_order& order : decisions.starts) {
      if (back_at.contains(order.worker)) {
        scheduler.OnStartResult(order, start_result::kUnreachable, now);
        continue;
      }
      CarryOutStart(order);
      started_at[{order.worker, order.task}] = now;
    }
    AdvanceClock(kTick);
    for (auto it = back_at.begin(); it != back_at.end();) {
      const auto next = std::next(it);
      if (it->second <= now) {
        const std::string id = it->first;
        back_at.erase(it);
        Return(id);
      }
      it = next;
    }
    for (auto& [id, target] : agents) {
      if (back_at.contains(id)) continue;
      if (HasCrashed(id)) {
        Crash(id);
        OnCrashNoticed(id);
        continue;
      }
      EndDone(id);
      ReportWorker(id);
    }
  }

  void Run(duration span) {
    const auto until = now + span;
    while (now < until) Tick();
  }

  int StartsOf(const task_key& task) const {
    return static_cast<int>(std::count_if(
        starts.begin(), starts.end(),
        [&](const start_order& order) { return order.task == task; }));
  }

 private:
  bool HasCrashed(const std::string& id) {
    return std::any_of(agents[id].running.begin(), agents[id].running.end(),
                       [&](const auto& row) {
                         return is_deadly(row.first) &&
                                started_at[{id, row.first}] + kCrashAfter <=
                                    now;
                       });
  }

  void EndDone(const std::string& id) {
    std::vector<task_key> done;
    for (const auto& [task, run] : agents[id].running) {
      const bool is_due = started_at[{id, task}] + run_time <= now;
      if (is_due && !is_lasting(task)) done.push_back(task);
    }
    for (const task_key& task : done) {
      EndRun(id, task, run_outcome::kDone);
      ++ends[task.job_id];
    }
  }
};

}  // namespace apricotwheel::testing

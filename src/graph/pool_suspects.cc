// Placement of suspects: a task under which a worker has crashed runs alone
// until it has ended or run for a while. See "Tasks that crash their workers"
// in docs/mechanisms.md.
#include <algorithm>
#include <tuple>
#include <utility>

#include "graph/pool_scheduler.h"
#include "graph/suspect_bounds.h"

namespace apricotwheel {

namespace {

// A worker is kept for a suspect for this time after each pass in which the
// suspect waits for it.
constexpr auto kKeepTime = milliseconds(1000);
constexpr auto kKeepRenewInterval = milliseconds(500);
// Tasks that are no suspects are held back after a crash while a suspect of
// their job can be judged, and not for longer. A job that has nothing running
// must start again within 14 s of the end of the traffic.
constexpr auto kMaxHoldBack = kTimeOfTurn;
// Expected wait for a run without an estimate of its own.
constexpr auto kOverdueRunTime = milliseconds(400);
// Approvals for a kept worker are requested this long before it is empty.
constexpr auto kApprovalLeadTime = milliseconds(500);

// Returns how many tasks of the step fit on the empty worker.
std::uint32_t CountRoom(const worker_state& worker, const graph_step& spec,
                        std::uint32_t limit) {
  if (spec.max_per_worker > 0) limit = std::min(limit, spec.max_per_worker);
  resource_vector room = worker.info.capacity;
  std::uint32_t count = 0;
  while (count < limit && Fits(spec.need, room)) {
    room = room - spec.need;
    ++count;
  }
  return count;
}

}  // namespace

bool IsKeptForSuspect(const worker_state& worker, time_point now) {
  return worker.is_isolated || now < worker.kept_until;
}

std::vector<std::uint32_t> pool_scheduler::WaitingSuspects(
    const candidate& waiting) {
  graph_job& job = *waiting.job;
  std::vector<std::uint32_t> indices;
  if (job.crashed_tasks.empty()) return indices;
  const step_state& step = StateOf(waiting);
  const task_key first{job.submission.id, waiting.occurrence, waiting.step, 0};
  if (job.submission.graph.steps[waiting.step].is_gang) {
    if (!IsSuspect(job, first)) return indices;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) indices.push_back(i);
    return indices;
  }
  for (auto key = job.crashed_tasks.lower_bound(first);
       key != job.crashed_tasks.end() && key->occurrence == first.occurrence &&
       key->step == first.step;
       ++key) {
    if (step.tasks[key->index].phase == task_phase::kWaiting &&
        IsSuspect(job, *key)) {
      indices.push_back(key->index);
    }
  }
  return indices;
}

std::vector<std::uint32_t> pool_scheduler::StartableSuspects(
    const candidate& waiting) {
  graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const step_state& step = StateOf(waiting);
  const auto key_of = [&](std::uint32_t index) {
    return task_key{job.submission.id, waiting.occurrence, waiting.step, index};
  };
  auto indices = WaitingSuspects(waiting);
  std::erase_if(indices, [&](std::uint32_t index) {
    const task_key key = key_of(index);
    return HasVerdictPending(job, key) || HasEarlierRun(step.tasks[index], key);
  });
  if (spec.is_gang && indices.size() < step.tasks.size()) indices.clear();
  std::stable_partition(
      indices.begin(), indices.end(),
      [&](std::uint32_t index) { return IsStrongSuspect(job, key_of(index)); });
  return indices;
}

bool pool_scheduler::HasPlacedSuspect(graph_job& job) {
  const bool is_judged = std::any_of(
      verdicts_.begin(), verdicts_.end(), [&](const pending_verdict& verdict) {
        return verdict.task.job_id == job.submission.id;
      });
  if (is_judged) return true;
  return std::any_of(job.crashed_tasks.begin(), job.crashed_tasks.end(),
                     [&](const task_key& key) {
                       const step_state& step = StepOf(job, key);
                       const bool is_placed =
                           SpecOf(job, key).is_gang
                               ? step.placed > 0
                               : step.tasks[key.index].phase ==
                                     task_phase::kPlaced;
                       return is_placed && IsSuspect(job, key);
                     });
}

bool pool_scheduler::HoldsBackTasks(graph_job& job) {
  // A second crash makes it likely that more tasks of the job crash workers.
  constexpr int kCrashesToHoldBack = 2;
  if (job.crashes < kCrashesToHoldBack) return false;
  return std::any_of(job.crashed_tasks.begin(), job.crashed_tasks.end(),
                     [&](const task_key& key) {
                       return !StepOf(job, key).is_proven &&
                              IsSuspect(job, key);
                     });
}

void pool_scheduler::UpdateHold(graph_job& job, time_point now) {
  if (!HoldsBackTasks(job)) {
    job.held_back_since = {};
  } else if (job.held_back_since == time_point{}) {
    job.held_back_since = now;
  }
}

bool pool_scheduler::IsHeldBack(const candidate& waiting, time_point now) {
  const graph_job& job = *waiting.job;
  if (job.held_back_since == time_point{}) return false;
  // Each further crash holds the others back again, so that a job whose
  // suspects cannot be judged takes workers down at long intervals only.
  const time_point until =
      IsService(waiting)
          ? job.held_back_since + kMaxWaitOfService
          : std::max(job.held_back_since, job.last_crash_at) + kMaxHoldBack;
  if (until <= now) return false;
  next_decision_at_ = std::min(next_decision_at_, until);
  return true;
}

std::size_t pool_scheduler::CountSuspectWorkers(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      workers_.begin(), workers_.end(),
      [&](const auto& row) { return IsKeptForSuspect(row.second, now); }));
}

// Returns when the worker can be emptied for the suspect, or nothing if it
// cannot.
std::optional<time_point> pool_scheduler::EstimateEmptyAt(
    const candidate& waiting, const worker_state& worker,
    time_point now) const {
  if (worker.is_isolated || worker.reserved != resource_vector{} ||
      worker.kept_for_moves != resource_vector{} ||
      !CanHost(waiting, worker, now)) {
    return std::nullopt;
  }
  if (now < worker.kept_until &&
      worker.kept_for_job != waiting.job->submission.id) {
    return std::nullopt;
  }
  if (worker.runs.empty()) return std::max(now, worker.avoid_until);
  time_point empty_at = now + kOverdueRunTime;
  for (const auto& [task, run] : worker.runs) {
    if (run.job == nullptr || run.phase == run_phase::kStopping) continue;
    const graph_step& spec = SpecOf(*run.job, task);
    if (spec.is_service) return std::nullopt;
    empty_at = std::max<time_point>(
        empty_at, run.ordered_at + milliseconds(spec.estimate_ms));
  }
  return std::max(empty_at, worker.avoid_until);
}

std::vector<pool_scheduler::suspect_worker> pool_scheduler::FindSuspectWorkers(
    const candidate& waiting, time_point latest, time_point now) {
  graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const step_approvals& approvals = StateOf(waiting).approvals;
  const std::uint32_t count = spec.is_gang ? spec.task_count : 1;
  using rank =
      std::tuple<time_point, bool, bool, bool, std::int64_t, std::int64_t>;
  std::vector<std::pair<rank, suspect_worker>> found;
  const bool uses_kept = now < job.kept_until;
  for (auto& [id, worker] : workers_) {
    const bool is_kept =
        now < worker.kept_until && worker.kept_for_job == job.submission.id;
    if (uses_kept && !is_kept) continue;
    const auto empty_at = EstimateEmptyAt(waiting, worker, now);
    if (!empty_at || *empty_at > latest) continue;
    const bool has_ticket =
        !job.submission.queue.advisor ||
        FindApproval(approvals, worker.info, now) == approval_status::kValid;
    const resource_vector& size = worker.info.capacity;
    found.push_back(
        {rank(*empty_at, !has_ticket,
              !spec.data_rack.empty() && worker.info.rack != spec.data_rack,
              spec.need.accelerators == 0 && size.accelerators > 0,
              size.cpu_milli, size.memory_mib),
         suspect_worker{&worker, *empty_at, has_ticket}});
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const auto& left, const auto& right) {
                     return left.first < right.first;
                   });
  std::vector<suspect_worker> chosen;
  std::uint32_t room = 0;
  for (const auto& [order, each] : found) {
    if (room >= count) break;
    room += CountRoom(*each.worker, spec, count - room);
    chosen.push_back(each);
  }
  if (room < count) chosen.clear();
  const auto added = static_cast<std::size_t>(std::count_if(
      chosen.begin(), chosen.end(), [&](const suspect_worker& each) {
        return !IsKeptForSuspect(*each.worker, now);
      }));
  if (suspect_workers_ + added > MaxSuspectWorkers()) chosen.clear();
  return chosen;
}

bool pool_scheduler::StartSuspect(const candidate& waiting,
                                  std::span<const std::uint32_t> indices,
                                  std::span<const suspect_worker> workers,
                                  time_point now, pool_decisions& decisions) {
  graph_job& job = *waiting.job;
  std::vector<worker_state*> allowed;
  for (const suspect_worker& each : workers) allowed.push_back(each.worker);
  const speed_preference speeds = PreferenceOf(waiting, now);
  std::vector<placement> chosen;
  for (const std::uint32_t index : indices) {
    worker_state* worker =
        BestWorker(waiting, allowed, chosen, speeds, false, now);
    if (worker == nullptr) return false;
    chosen.push_back({index, worker});
  }
  StartTasks(waiting, chosen, now, decisions);
  for (const suspect_worker& each : workers) each.worker->kept_until = {};
  for (const placement& placed : chosen) {
    placed.worker->is_isolated = true;
    placed.worker->runs
        .at({job.submission.id, waiting.occurrence, waiting.step, placed.index})
        .is_alone = true;
  }
  job.kept_until = {};
  suspect_workers_ = CountSuspectWorkers(now);
  return true;
}

// Empties the workers for the suspect: nothing else is placed there.
std::vector<pool_worker> pool_scheduler::KeepForSuspect(
    const candidate& waiting, std::span<const suspect_worker> workers,
    time_point now) {
  graph_job& job = *waiting.job;
  if (job.kept_until <= now) job.kept_since = now;
  job.kept_until = now + kKeepTime;
  next_decision_at_ =
      std::min<time_point>(next_decision_at_, now + kKeepRenewInterval);
  std::vector<pool_worker> unapproved;
  for (const suspect_worker& each : workers) {
    if (!IsKeptForSuspect(*each.worker, now)) ++suspect_workers_;
    each.worker->kept_for_job = job.submission.id;
    each.worker->kept_until = now + kKeepTime;
    if (!each.has_ticket && each.empty_at <= now + kApprovalLeadTime) {
      unapproved.push_back(each.worker->info);
    }
    if (each.empty_at > now) {
      next_decision_at_ = std::min(next_decision_at_, each.empty_at);
    }
  }
  return unapproved;
}

void pool_scheduler::IsolateLoneSuspect(worker_state& worker, time_point now) {
  if (IsKeptForSuspect(worker, now)) return;
  if (suspect_workers_ >= MaxSuspectWorkers()) return;
  worker.is_isolated = true;
  ++suspect_workers_;
}

pool_scheduler::suspect_placement pool_scheduler::PlaceSuspects(
    const candidate& waiting, time_point now, pool_decisions& decisions) {
  graph_job& job = *waiting.job;
  suspect_placement placed;
  if (job.crashed_tasks.empty()) return placed;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  step_state& step = StateOf(waiting);
  placed.waiting = static_cast<std::uint32_t>(WaitingSuspects(waiting).size());
  auto indices = StartableSuspects(waiting);
  const bool needs_turn = !MaySkipTurn(waiting, indices);
  // One suspect of a job at a time: a job of crashing tasks takes down no more
  // workers than one such task. Lasting tasks must run again before each of
  // them has been alone.
  const bool must_wait = needs_turn && HasPlacedSuspect(job);
  if (indices.empty() || (must_wait && !spec.is_service)) {
    step.suspects_wait_since = {};
    return placed;
  }
  if (step.suspects_wait_since == time_point{}) step.suspects_wait_since = now;
  const bool takes_all = spec.is_gang || spec.is_service || !needs_turn;
  const auto startable =
      takes_all ? static_cast<std::uint32_t>(indices.size()) : 1;
  const auto place_like_others = [&] {
    // Workers that were kept for it are open to it from the next pass on.
    if (now < job.kept_until) {
      ReleaseKeptWorkers(job, now);
    } else {
      placed.allowed = startable;
    }
    return placed;
  };
  const time_point wait_ends_at = EndOfWait(waiting, indices);
  if (wait_ends_at <= now || !needs_turn) return place_like_others();
  next_decision_at_ = std::min(next_decision_at_, wait_ends_at);
  if (must_wait) return placed;
  if (!suspect_turns_.contains(&step)) {
    if (empty_workers_left_ == 0) return placed;
    --empty_workers_left_;
    placed.allowed = startable;
    placed.needs_empty_workers = true;
    return placed;
  }
  const bool has_kept_in_vain =
      now < job.kept_until && job.kept_since + kMaxKeepTime <= now;
  if (!spec.is_gang) indices.resize(1);
  const auto workers = has_kept_in_vain
                           ? std::vector<suspect_worker>()
                           : FindSuspectWorkers(waiting, wait_ends_at, now);
  if (workers.empty()) {
    step.turn_lost_at = now;
    next_decision_at_ =
        std::min<time_point>(next_decision_at_, now + kKeepRenewInterval);
    if (!has_kept_in_vain &&
        step.suspects_wait_since + kMaxWaitToBeAlone <= now) {
      return place_like_others();
    }
    ReleaseKeptWorkers(job, now);
    return placed;
  }
  const bool is_ready = std::all_of(
      workers.begin(), workers.end(), [&](const suspect_worker& each) {
        return each.empty_at <= now && each.has_ticket;
      });
  if (is_ready && StartSuspect(waiting, indices, workers, now, decisions)) {
    placed.waiting -= static_cast<std::uint32_t>(indices.size());
    step.turn_lost_at = {};
    return placed;
  }
  auto unapproved = KeepForSuspect(waiting, workers, now);
  if (unapproved.empty() || step.approvals.is_call_in_flight) return placed;
  if (now < step.approvals.retry_at) {
    next_decision_at_ = std::min(next_decision_at_, step.approvals.retry_at);
    return placed;
  }
  wanted_approvals_.push_back({waiting, std::move(unapproved)});
  placed.wants_approval = true;
  return placed;
}

void pool_scheduler::ReleaseKeptWorkers(graph_job& job, time_point now) {
  if (job.kept_until <= now) return;
  job.kept_until = {};
  // The next pass may use them.
  next_decision_at_ = now;
  for (auto& [id, worker] : workers_) {
    if (worker.kept_for_job == job.submission.id) worker.kept_until = {};
  }
}

void pool_scheduler::EndIsolation(const task_key& task) {
  graph_job* job = FindJob(task.job_id);
  if (job == nullptr || !HasTask(*job, task)) return;
  worker_state* worker =
      FindWorker(StepOf(*job, task).tasks[task.index].worker);
  if (worker == nullptr) return;
  const auto run = worker->runs.find(task);
  if (run != worker->runs.end()) run->second.is_alone = false;
  worker->is_isolated =
      std::any_of(worker->runs.begin(), worker->runs.end(),
                  [](const auto& row) { return row.second.is_alone; });
}

}  // namespace apricotwheel

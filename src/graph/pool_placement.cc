// The order of the waiting steps, the choice of workers, and the throttling of
// tasks that share a worker with serving tasks.
#include <algorithm>
#include <tuple>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// If the tail latency of a serving task reaches this percentage of its target,
// tasks with `uses_leftover` on the same worker are paused. At or below the
// lower percentage their speed rises by one step per pass.
constexpr int kPauseTailPercent = 70;
constexpr int kSpeedUpTailPercent = 40;
constexpr int kSpeedStepPercent = 20;
constexpr int kFullSpeedPercent = 100;
// Weight of an accelerator in thousandths of a core, to compare resource
// amounts of different kinds.
constexpr std::int64_t kCpuMilliPerAccelerator = 8000;
// Limit of starts without an answer. More would queue on the owner's link or
// processor and reach their workers after their tickets have expired: a start
// and its answer take about 1.2 kB, so that 100 take 0.1 s at 10 Mbit/s.
constexpr std::size_t kMaxUnansweredStarts = 100;
// A start without an answer after this time no longer counts, so that silent
// workers do not hold up the others.
constexpr auto kMaxTimeOfUnansweredStart = milliseconds(300);
constexpr auto kStartLimitCheckInterval = milliseconds(10);

std::int64_t WeightedSize(const resource_vector& need) {
  return need.cpu_milli + need.accelerators * kCpuMilliPerAccelerator;
}

bool HasLabel(const pool_worker& worker, std::string_view label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) !=
         worker.labels.end();
}

// Returns true for steps whose tasks answer requests of users.
bool IsServing(const graph_step& step) { return step.latency_target_ms > 0; }

// Returns true if a suspect is the only run on the worker.
bool HasLoneSuspect(const worker_state& worker) {
  return worker.runs.size() == 1 && worker.runs.begin()->second.is_alone;
}

// Returns true if a run on the worker must not share it with a task of `step`:
// serving tasks and tasks with `uses_leftover` are kept apart.
bool ConflictsWith(const worker_state& worker, const graph_step& step) {
  if (!IsServing(step) && !step.uses_leftover) return false;
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [&](const auto& row) {
        if (row.second.job == nullptr) return false;
        const graph_step& other =
            row.second.job->submission.graph.steps[row.first.step];
        return IsServing(step) ? other.uses_leftover : IsServing(other);
      });
}

}  // namespace

std::uint32_t CountRunsOfStep(const worker_state& worker,
                              const task_key& first) {
  std::uint32_t count = 0;
  for (auto row = worker.runs.lower_bound(first); row != worker.runs.end();
       ++row) {
    const task_key& key = row->first;
    if (key.job_id != first.job_id || key.occurrence != first.occurrence ||
        key.step != first.step) {
      break;
    }
    ++count;
  }
  return count;
}

bool pool_scheduler::IsReady(const graph_job& job, std::uint32_t occurrence,
                             std::uint32_t step,
                             std::int64_t wall_clock_ms) const {
  const run_schedule& schedule = job.submission.graph.schedule;
  if (schedule.repetitions > 0) {
    const std::int64_t due_ms =
        schedule.first_run_ms + occurrence * schedule.interval_ms;
    if (wall_clock_ms < due_ms) return false;
  }
  const auto& steps = job.occurrences[occurrence];
  const graph_step& spec = job.submission.graph.steps[step];
  return std::all_of(
      spec.after.begin(), spec.after.end(), [&](std::uint32_t dependency) {
        return steps[dependency].done == steps[dependency].tasks.size();
      });
}

std::vector<pool_scheduler::candidate> pool_scheduler::WaitingSteps(
    time_point now, std::int64_t wall_clock_ms) {
  // Interval at which due times are compared with the wall clock.
  constexpr auto kScheduleCheckInterval = milliseconds(50);
  const bool is_settled = IsTakeoverComplete(now);
  std::vector<candidate> waiting;
  for (graph_job* job : open_jobs_) {
    if (job->is_moving || (job->is_loaded && !is_settled)) continue;
    const job_submission& submission = job->submission;
    if (submission.graph.schedule.repetitions > 0) {
      next_decision_at_ =
          std::min<time_point>(next_decision_at_, now + kScheduleCheckInterval);
    }
    for (std::uint32_t n = 0; n < job->occurrences.size(); ++n) {
      for (std::uint32_t i = 0; i < job->occurrences[n].size(); ++i) {
        step_state& step = job->occurrences[n][i];
        if (step.waiting == 0 || !IsReady(*job, n, i, wall_clock_ms)) continue;
        const graph_step& spec = submission.graph.steps[i];
        if (spec.is_gang && step.placed > 0) {
          // If an earlier owner started only some members, they are stopped so
          // that the gang can start as a whole.
          if (job->is_loaded) StopStep(*job, {submission.id, n, i, 0}, now);
          continue;
        }
        waiting_step order;
        order.priority = submission.queue.priority;
        order.is_service = spec.is_service;
        order.is_restart = spec.is_service && (job->progress.has_started ||
                                               submission.guest.has_value());
        order.submitted_at = job->admitted_at;
        order.objective =
            LatencyObjective(submission.queue, job->critical_path_ms);
        order.remaining_path = milliseconds(job->longest_path_ms[i]);
        order.remaining_work =
            step.waiting * spec.estimate_ms * WeightedSize(spec.need) / 1000;
        waiting.push_back({job, n, i, RankOf(order, now), spec.need});
      }
    }
  }
  // Steps of equal rank must keep their order from pass to pass, because a step
  // that moves ahead of a reservation has to be examined again.
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const candidate& left, const candidate& right) {
                     return left.rank < right.rank;
                   });
  if (shares_.IsActive()) OrderByShares(waiting);
  return waiting;
}

void pool_scheduler::SetLeastNeeds(std::vector<candidate>& waiting) {
  for (std::size_t i = waiting.size(); i-- > 1;) {
    waiting[i - 1].least_need =
        ElementwiseMin(waiting[i - 1].least_need, waiting[i].least_need);
  }
}

bool pool_scheduler::AcceptsTasks(const worker_state& worker, time_point now) {
  return worker.is_claimed && worker.is_listed && !worker.info.is_draining &&
         !worker.has_unknown_run && worker.avoid_until <= now &&
         !IsKeptForSuspect(worker, now) && !HasOverdueStop(worker, now);
}

// Collects the workers with room for the smallest need of all waiting steps.
// Only they are examined in a pass, which saves most of the work in a full pool
// with many waiting steps. Steps that were examined in the last pass are only
// examined against workers that have changed since, so that a long queue does
// not examine every worker with room again for each step.
void pool_scheduler::FindWorkersWithRoom(const std::vector<candidate>& waiting,
                                         time_point now) {
  workers_with_room_.clear();
  changed_workers_.clear();
  has_skipped_steps_ = false;
  if (waiting.empty()) return;
  const resource_vector& least = waiting.front().least_need;
  for (auto& [id, worker] : workers_) {
    if (worker.avoid_until > now) {
      next_decision_at_ = std::min(next_decision_at_, worker.avoid_until);
    }
    if (worker.kept_until > now) {
      next_decision_at_ = std::min(next_decision_at_, worker.kept_until);
    }
    if (!AcceptsTasks(worker, now)) {
      worker.has_changed = true;
      continue;
    }
    if (!Fits(least, worker.info.capacity - worker.used)) continue;
    workers_with_room_.push_back(&worker);
    if (worker.has_changed || worker.is_change_pending) {
      changed_workers_.push_back(&worker);
    }
  }
}

void pool_scheduler::ClearChanges(time_point now) {
  for (worker_state* worker : workers_with_room_) {
    worker->is_change_pending =
        has_skipped_steps_ &&
        (worker->has_changed || worker->is_change_pending);
  }
  // Workers that accept no tasks stay marked until they do.
  for (auto& [id, worker] : workers_) {
    if (AcceptsTasks(worker, now)) worker.has_changed = false;
  }
}

void pool_scheduler::DropFullWorkers(const resource_vector& need) {
  std::erase_if(changed_workers_, [&](const worker_state* worker) {
    return !Fits(need, worker->info.capacity - worker->used);
  });
}

resource_vector pool_scheduler::FreeCapacityFor(const worker_state& worker,
                                                duration estimate,
                                                time_point now) {
  const resource_vector room =
      worker.info.capacity - worker.used - worker.kept_for_moves;
  if (now + estimate <= worker.reserved_from) return room;
  return room - worker.reserved;
}

// Returns true if the worker meets all conditions but free resources, sharing
// and a valid ticket.
bool pool_scheduler::CanHost(const candidate& waiting,
                             const worker_state& worker, time_point now) const {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  if (!worker.is_claimed || !worker.is_listed || worker.info.is_draining ||
      worker.has_unknown_run) {
    return false;
  }
  if (!spec.required_label.empty() &&
      !HasLabel(worker.info, spec.required_label)) {
    return false;
  }
  if (!Fits(spec.need, worker.info.capacity)) return false;
  if (!job.submission.queue.advisor) return true;
  const step_approvals& approvals =
      job.occurrences[waiting.occurrence][waiting.step].approvals;
  return FindApproval(approvals, worker.info, now) != approval_status::kRefused;
}

std::vector<worker_state*> pool_scheduler::FindAllowedWorkers(
    const candidate& waiting, std::span<worker_state* const> examined,
    time_point now, bool valid_only) {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const duration estimate = milliseconds(spec.estimate_ms);
  const step_approvals& approvals =
      job.occurrences[waiting.occurrence][waiting.step].approvals;
  std::vector<worker_state*> allowed;
  for (worker_state* worker : examined) {
    ++workers_examined_;
    // Resources are checked first: it is cheaper than the lookup of an approval
    // by worker id.
    if (!Fits(spec.need, FreeCapacityFor(*worker, estimate, now))) continue;
    if (!CanHost(waiting, *worker, now)) continue;
    if (IsKeptForSuspect(*worker, now)) continue;
    if (ConflictsWith(*worker, spec)) continue;
    if (valid_only && job.submission.queue.advisor &&
        FindApproval(approvals, worker->info, now) != approval_status::kValid) {
      continue;
    }
    allowed.push_back(worker);
  }
  return allowed;
}

worker_state* pool_scheduler::BestWorker(
    const candidate& waiting, const std::vector<worker_state*>& allowed,
    std::span<const placement> chosen, const speed_preference& speeds,
    bool is_suspect, time_point now) const {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  const task_key first{waiting.job->submission.id, waiting.occurrence,
                       waiting.step, 0};
  worker_state* best = nullptr;
  std::tuple<bool, bool, int, bool, std::size_t, bool, int, std::int64_t>
      best_rank;
  for (worker_state* worker : allowed) {
    resource_vector room =
        FreeCapacityFor(*worker, milliseconds(spec.estimate_ms), now);
    std::uint32_t tasks_added = 0;
    for (const placement& placed : chosen) {
      if (placed.worker != worker) continue;
      room = room - spec.need;
      ++tasks_added;
    }
    if (!Fits(spec.need, room)) continue;
    if (spec.max_per_worker > 0 &&
        tasks_added + CountRunsOfStep(*worker, first) >= spec.max_per_worker) {
      continue;
    }
    const bool is_off_data_rack =
        !spec.data_rack.empty() && worker->info.rack != spec.data_rack;
    const bool leaves_rack =
        spec.one_rack && !chosen.empty() &&
        worker->info.rack != chosen.front().worker->info.rack;
    // Tasks that need no accelerators avoid workers with free ones. Among equal
    // workers the one with the least resources left is best (best fit).
    const bool wastes_accelerators =
        spec.need.accelerators == 0 && room.accelerators > 0;
    // Workers on which the job loses value come last. Among the others, fast
    // workers are left to jobs that need them. A suspect endangers as few
    // other tasks as possible.
    const int speed_class = SpeedClass(*worker);
    const std::tuple rank(
        is_off_data_rack, leaves_rack, speeds.LossOn(speed_class),
        HasLoneSuspect(*worker), is_suspect ? worker->runs.size() : 0,
        wastes_accelerators, speeds.spares_fast_workers ? speed_class : 0,
        WeightedSize(room - spec.need));
    if (best == nullptr || rank < best_rank) {
      best = worker;
      best_rank = rank;
    }
  }
  return best;
}

bool pool_scheduler::HasEarlierRun(const graph_task& task,
                                   const task_key& key) const {
  // Only a task of which a run is known can have one.
  return task.last_run > 0 &&
         std::any_of(workers_.begin(), workers_.end(), [&](const auto& row) {
           return row.second.runs.contains(key);
         });
}

std::vector<pool_scheduler::placement> pool_scheduler::ChooseWorkers(
    const candidate& waiting, time_point now, std::size_t limit) {
  step_state& step = StateOf(waiting);
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  std::vector<placement> chosen;
  if (waiting.job->submission.queue.advisor &&
      !MayHaveValidTicket(step.approvals, now)) {
    return chosen;
  }
  const bool is_examined = step.placed_in_pass + 1 == pass_;
  step.placed_in_pass = pass_;
  auto allowed = FindAllowedWorkers(
      waiting, is_examined ? changed_workers_ : workers_with_room_, now, true);
  if (allowed.empty()) return chosen;
  // The other members of a gang may fit on workers that have not changed.
  if (is_examined && spec.is_gang) {
    allowed = FindAllowedWorkers(waiting, workers_with_room_, now, true);
  }
  const task_key first{waiting.job->submission.id, waiting.occurrence,
                       waiting.step, 0};
  const speed_preference speeds = PreferenceOf(waiting, now);
  std::uint32_t suspects = 0;
  for (std::uint32_t i = 0; i < step.tasks.size() && chosen.size() < limit;
       ++i) {
    if (step.tasks[i].phase != task_phase::kWaiting) continue;
    task_key key = first;
    key.index = i;
    const bool is_suspect = IsSuspect(*waiting.job, key);
    if (HasVerdictPending(*waiting.job, key) ||
        (is_suspect ? suspects == waiting.suspects_allowed
                    : waiting.is_held_back)) {
      step.placed_in_pass = 0;
      continue;
    }
    if (HasEarlierRun(step.tasks[i], key)) {
      step.placed_in_pass = 0;
      continue;
    }
    worker_state* worker =
        BestWorker(waiting, allowed, chosen, speeds, is_suspect, now);
    if (worker == nullptr) break;
    // The best worker for a suspect is one without another suspect and with
    // the fewest runs.
    const bool is_too_full = waiting.needs_empty_workers
                                 ? !worker->runs.empty()
                                 : !spec.is_service && HasLoneSuspect(*worker);
    if (is_suspect && is_too_full) {
      step.placed_in_pass = 0;
      continue;
    }
    if (WaitsForPlace(waiting, *worker, now)) {
      step.placed_in_pass = 0;
      step.waits_in_pass = pass_;
      break;
    }
    chosen.push_back({i, worker});
    if (is_suspect) ++suspects;
  }
  if (spec.is_gang && chosen.size() < spec.task_count) chosen.clear();
  return chosen;
}

std::size_t pool_scheduler::CountStartsAllowed(time_point now) {
  unanswered_starts_.erase(
      unanswered_starts_.begin(),
      unanswered_starts_.lower_bound(now - kMaxTimeOfUnansweredStart));
  return kMaxUnansweredStarts -
         std::min(kMaxUnansweredStarts, unanswered_starts_.size());
}

bool pool_scheduler::IsHeldUpByStartLimit(const candidate& waiting,
                                          time_point now) {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  const step_state& step = StateOf(waiting);
  if (spec.is_service || CountStartsAllowed(now) > 0) return false;
  // These renew their reservations in each pass.
  if (spec.is_gang || IsLarge(spec)) return false;
  if (waiting.job->submission.queue.advisor &&
      !MayHaveValidTicket(step.approvals, now)) {
    return false;
  }
  return step.placed_in_pass + 1 != pass_ || !changed_workers_.empty();
}

void pool_scheduler::PlaceStep(candidate waiting, time_point now,
                               pool_decisions& decisions) {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  step_state& step = StateOf(waiting);
  // Earlier steps of the pass may have used the limit up.
  if (IsHeldByLimit(waiting)) {
    step.placed_in_pass = 0;
    MarkReleasedReservations(step, now);
    return;
  }
  const auto suspects = PlaceSuspects(waiting, now, decisions);
  waiting.suspects_allowed = suspects.allowed;
  waiting.needs_empty_workers = suspects.needs_empty_workers;
  waiting.is_held_back = IsHeldBack(waiting, now);
  if (suspects.allowed == 0 &&
      (suspects.waiting == step.waiting || waiting.is_held_back)) {
    // The other tasks of the step may be placed when this ends.
    step.placed_in_pass = 0;
    MarkReleasedReservations(step, now);
    return;
  }
  if (IsHeldUpByStartLimit(waiting, now)) {
    next_decision_at_ =
        std::min<time_point>(next_decision_at_, now + kStartLimitCheckInterval);
    // The workers that have changed stay marked for it.
    if (step.placed_in_pass + 1 == pass_) step.placed_in_pass = pass_;
    has_skipped_steps_ = true;
    MarkReleasedReservations(step, now);
    return;
  }
  // Lasting tasks are few and must run again soon, also while urgent tasks use
  // up the limit. A gang starts as a whole.
  const std::size_t within_limit = CountTasksWithinLimit(waiting);
  const std::size_t starts_allowed = std::min<std::size_t>(
      spec.is_service ? spec.task_count : CountStartsAllowed(now),
      within_limit);
  // One more than may start shows that the limit holds the step up.
  auto chosen = ChooseWorkers(
      waiting, now, spec.is_gang ? spec.task_count : starts_allowed + 1);
  const bool is_limited = spec.is_gang ? starts_allowed == 0 && !chosen.empty()
                                       : chosen.size() > starts_allowed;
  if (is_limited) {
    next_decision_at_ =
        std::min<time_point>(next_decision_at_, now + kStartLimitCheckInterval);
    chosen.resize(spec.is_gang ? 0 : starts_allowed);
    step.placed_in_pass = 0;
  }
  if (!chosen.empty()) {
    StartTasks(waiting, chosen, now, decisions);
    DropFullWorkers(waiting.least_need);
  }
  std::vector<pool_worker> reserved;
  const bool is_done = step.waiting == 0 || is_limited ||
                       suspects.wants_approval || step.waits_in_pass == pass_ ||
                       IsHeldByLimit(waiting);
  const bool waits_for_empty =
      suspects.needs_empty_workers && suspects.waiting == step.waiting;
  if (!is_done && !waits_for_empty && (spec.is_gang || IsLarge(spec))) {
    reserved = ReserveWorkers(waiting, now);
  }
  MarkReleasedReservations(step, now);
  if (is_done) return;
  if (!waiting.job->submission.queue.advisor) return;
  if (step.approvals.is_call_in_flight) return;
  if (waits_for_empty) {
    reserved = EmptyWorkersToName(waiting, now);
    if (reserved.empty()) return;
  }
  if (now < step.approvals.retry_at) {
    next_decision_at_ = std::min(next_decision_at_, step.approvals.retry_at);
    return;
  }
  wanted_approvals_.push_back({waiting, std::move(reserved)});
}

void pool_scheduler::StartTasks(const candidate& waiting,
                                std::span<const placement> chosen,
                                time_point now, pool_decisions& decisions) {
  graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  step_state& step = job.occurrences[waiting.occurrence][waiting.step];
  std::uint64_t gang_run = options_.run_number_base;
  for (const placement& placed : chosen) {
    gang_run = std::max(gang_run, step.tasks[placed.index].last_run);
  }
  for (const placement& placed : chosen) {
    graph_task& task = step.tasks[placed.index];
    task_run run;
    run.task = {job.submission.id, waiting.occurrence, waiting.step,
                placed.index};
    run.number =
        (spec.is_gang ? gang_run
                      : std::max(task.last_run, options_.run_number_base)) +
        1;
    run.job = &job;
    run.ordered_at = now;
    run.checkpoint = spec.is_gang ? step.gang_checkpoint : task.checkpoint;
    unanswered_starts_.insert(now);
    if (task.last_run > 0) {
      Log(graph_events::kRunRepeated,
          {Field("task", FormatTask(run.task)), Field("run", run.number),
           Field("last_run", task.last_run),
           Field("worker", placed.worker->info.id)});
    }
    SetPhase(step, task, task_phase::kPlaced);
    task.last_run = run.number;
    task.worker = placed.worker->info.id;
    placed.worker->used = placed.worker->used + spec.need;
    if (HasLoneSuspect(*placed.worker)) {
      placed.worker->runs.begin()->second.is_alone = false;
    }
    organisation_use_.Add(job.submission.organisation, spec.need, 1);
    placed.worker->expected_in_pass = 0;
    start_order order{
        task.worker,    run.task,
        run.number,     job.submission.graph.payload,
        run.checkpoint, std::string(FindTicket(step.approvals, task.worker))};
    Log(graph_events::kRunOrdered,
        {Field("job", job.submission.id), Field("step", waiting.step),
         Field("index", placed.index), Field("run", run.number),
         Field("worker", task.worker)});
    run.is_alone = placed.worker->runs.empty() && IsSuspect(job, run.task);
    if (run.is_alone) IsolateLoneSuspect(*placed.worker, now);
    placed.worker->runs[run.task] = std::move(run);
    decisions.starts.push_back(std::move(order));
  }
  step.waiting_since = step.waiting == 0 ? time_point{} : now;
  // A step that waits for nothing else is not placed again before it crashes.
  if (WaitingSuspects(waiting).empty()) step.suspects_wait_since = {};
}

void pool_scheduler::CollectStops(time_point now, pool_decisions& decisions) {
  // A stop without a result is ordered again after this time.
  constexpr auto kStopResultTimeout = milliseconds(2500);
  for (auto& [id, worker] : workers_) {
    if (!worker.is_claimed) continue;
    for (auto& [task, run] : worker.runs) {
      if (run.phase != run_phase::kStopping) continue;
      if (run.next_stop_at <= now) {
        decisions.stops.push_back({id, task, run.number});
        run.next_stop_at = now + kStopResultTimeout;
      }
      next_decision_at_ = std::min(next_decision_at_, run.next_stop_at);
    }
  }
}

void pool_scheduler::CollectThrottles(pool_decisions& decisions) {
  for (auto& [id, worker] : workers_) {
    // Highest tail latency in percent of its target.
    std::int64_t worst_tail_percent = 0;
    bool has_leftover = false;
    for (const auto& [task, run] : worker.runs) {
      if (run.job == nullptr) continue;
      const graph_step& spec = SpecOf(*run.job, task);
      has_leftover = has_leftover || spec.uses_leftover;
      if (!IsServing(spec)) continue;
      worst_tail_percent =
          std::max(worst_tail_percent, run.load * 100 / spec.latency_target_ms);
    }
    if (!has_leftover) continue;
    for (auto& [task, run] : worker.runs) {
      if (run.job == nullptr || run.phase != run_phase::kRunning) continue;
      if (!SpecOf(*run.job, task).uses_leftover) continue;
      int speed = run.speed_percent;
      if (worst_tail_percent >= kPauseTailPercent) speed = 0;
      if (worst_tail_percent <= kSpeedUpTailPercent)
        speed = std::min(speed + kSpeedStepPercent, kFullSpeedPercent);
      if (speed == run.speed_percent) continue;
      run.speed_percent = speed;
      decisions.throttles.push_back({id, task, run.number, speed});
    }
  }
}

}  // namespace apricotwheel

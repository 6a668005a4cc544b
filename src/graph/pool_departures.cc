// Tasks that move from draining workers to others while these still serve.
#include <algorithm>
#include <tuple>
#include <utility>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// Stops that one pass may order, and moves that may be under way, so that many
// departures at once do not fill the owner's link.
constexpr std::size_t kMaxStopsPerPass = 8;
constexpr std::size_t kMaxMoves = 32;
// Interval at which moves are planned while runs remain that should move.
constexpr auto kPlanInterval = milliseconds(50);
// A worker with runs answers at least every 0.5 s. One that has not for this
// time counts as silent.
constexpr auto kMaxSilence = milliseconds(1500);
// The new place is kept for this time: a stop takes up to 0.9 s, a call for
// approval up to 0.6 s.
constexpr auto kMaxMoveTime = milliseconds(3000);
// A ticket is renewed this long before it expires while the stop is under way.
constexpr auto kTicketLeadTime = milliseconds(300);
// A run is never expected to end sooner: it may have exceeded its estimate, and
// the stop has to be over before the worker leaves.
constexpr auto kMinTimeToEnd = milliseconds(1000);
// A call names workers with room for this multiple of the tasks, divided by the
// expected share of approvals, and at most this many.
constexpr double kRoomToAskFor = 1.5;
constexpr std::size_t kMaxWorkersNamed = 30;
constexpr auto kDelayReportInterval = milliseconds(2000);
// Percentage that a lasting task reports while it is at work.
constexpr std::int64_t kAtWorkPercent = 100;

bool IsSilent(const worker_state& worker, time_point now) {
  // A worker without runs is polled rarely.
  return !worker.runs.empty() && now - worker.last_contact_at > kMaxSilence;
}

// Returns true if what is known about the draining worker is up to date.
bool IsKnownToLeave(const worker_state& worker, time_point now) {
  return worker.info.is_draining && worker.is_listed && worker.is_claimed &&
         worker.agent_incarnation == worker.info.incarnation &&
         !IsSilent(worker, now);
}

bool EndsInTime(const task_run& run, const graph_step& spec,
                time_point leaves_at, time_point now) {
  const duration left = milliseconds(spec.estimate_ms) - (now - run.ordered_at);
  return now + std::max<duration>(left, kMinTimeToEnd) <= leaves_at;
}

bool IsOfStep(const task_key& task, const task_key& first) {
  return std::tie(task.job_id, task.occurrence, task.step) ==
         std::tie(first.job_id, first.occurrence, first.step);
}

}  // namespace

bool IsAtWork(const worker_state& worker, const task_run& run, bool is_lasting,
              time_point now) {
  return run.phase == run_phase::kRunning && worker.is_claimed &&
         !IsSilent(worker, now) &&
         (!is_lasting || run.percent >= kAtWorkPercent);
}

std::uint32_t pool_scheduler::CountAwayTasks(const candidate& moving,
                                             time_point now) {
  const step_state& step = StateOf(moving);
  task_key key{moving.job->submission.id, moving.occurrence, moving.step, 0};
  std::uint32_t away = 0;
  for (; key.index < step.tasks.size(); ++key.index) {
    const graph_task& task = step.tasks[key.index];
    if (task.phase == task_phase::kDone) continue;
    bool is_at_work = false;
    const worker_state* worker =
        task.phase == task_phase::kPlaced ? FindWorker(task.worker) : nullptr;
    if (worker != nullptr) {
      const auto run = worker->runs.find(key);
      is_at_work = run != worker->runs.end() &&
                   IsAtWork(*worker, run->second, IsService(moving), now);
    }
    if (!is_at_work) ++away;
  }
  return away;
}

bool pool_scheduler::ShouldMove(const worker_state& worker, const task_run& run,
                                time_point now) {
  if (run.phase != run_phase::kRunning || run.job == nullptr) return false;
  graph_job& job = *run.job;
  if (IsFinal(job.progress.state) || job.is_moving) return false;
  if (job.is_loaded && !IsTakeoverComplete(now)) return false;
  const graph_step& spec = SpecOf(job, run.task);
  // A gang would have to stop as a whole, also on the workers that stay.
  if (spec.is_gang) return false;
  const bool is_due =
      spec.is_service ||
      (spec.checkpoints && !EndsInTime(run, spec, worker.leaves_at, now));
  if (!is_due) return false;
  // How many of the other partition's tasks are away is not known here.
  if (spec.has_disruption_budget && job.submission.guest) return false;
  // Suspects need an empty worker, and tasks that are held back for them would
  // not start elsewhere.
  if (run.is_alone || IsSuspect(job, run.task) || HoldsBackTasks(job)) {
    return false;
  }
  return IsPlacedOn(StepOf(job, run.task).tasks[run.task.index], worker);
}

std::vector<pool_scheduler::leaving_run> pool_scheduler::FindLeavingRuns(
    time_point now) {
  std::vector<leaving_run> leaving;
  for (auto& [id, worker] : workers_) {
    if (worker.runs.empty() || !IsKnownToLeave(worker, now)) continue;
    for (auto& [task, run] : worker.runs) {
      if (ShouldMove(worker, run, now)) leaving.push_back({&worker, &run});
    }
  }
  std::stable_sort(leaving.begin(), leaving.end(),
                   [&](const leaving_run& left, const leaving_run& right) {
                     const auto order = [&](const leaving_run& each) {
                       return std::tuple(
                           !SpecOf(*each.run->job, each.run->task).is_service,
                           each.worker->leaves_at);
                     };
                     return order(left) < order(right);
                   });
  return leaving;
}

std::vector<worker_state*> pool_scheduler::FindMoveTargets(
    const candidate& moving, std::span<worker_state* const> targets,
    time_point now, bool valid_only) {
  const graph_step& spec = moving.job->submission.graph.steps[moving.step];
  const task_key first{moving.job->submission.id, moving.occurrence,
                       moving.step, 0};
  auto allowed = FindAllowedWorkers(moving, targets, now, valid_only);
  if (spec.max_per_worker > 0) {
    std::erase_if(allowed, [&](const worker_state* worker) {
      const auto coming =
          std::count_if(moves_.begin(), moves_.end(), [&](const auto& row) {
            return IsOfStep(row.first, first) &&
                   row.second.target == worker->info.id;
          });
      return CountRunsOfStep(*worker, first) + coming >= spec.max_per_worker;
    });
  }
  return allowed;
}

void pool_scheduler::BeginMove(const leaving_run& leaving, worker_state& target,
                               time_point now) {
  task_run& run = *leaving.run;
  const resource_vector& need = SpecOf(*run.job, run.task).need;
  moves_[run.task] = {run.number, leaving.worker->info.id, target.info.id, need,
                      now};
  target.kept_for_moves = target.kept_for_moves + need;
  StopRun(run, now);
  ++run_counts_.moved;
  Log(graph_events::kRunMoved,
      {Field("task", FormatTask(run.task)), Field("run", run.number),
       Field("worker", leaving.worker->info.id),
       Field("target", target.info.id),
       Field("leaves_in_ms", ToMs(leaving.worker->leaves_at - now))});
}

pool_scheduler::step_moves& pool_scheduler::PlanOf(
    const candidate& moving, std::map<const step_state*, step_moves>& by_step,
    time_point now) {
  const auto [found, is_new] = by_step.try_emplace(&StateOf(moving));
  if (is_new) {
    found->second.moving = moving;
    found->second.away = CountAwayTasks(moving, now);
  }
  return found->second;
}

void pool_scheduler::PlanMoves(time_point now, pool_decisions& decisions) {
  if (now < next_move_plan_at_) {
    next_decision_at_ = std::min(next_decision_at_, next_move_plan_at_);
    return;
  }
  const std::vector<leaving_run> leaving = FindLeavingRuns(now);
  if (leaving.empty() && moves_.empty()) return;
  std::vector<worker_state*> targets;
  for (auto& [id, worker] : workers_) {
    if (AcceptsTasks(worker, now) && !IsSilent(worker, now)) {
      targets.push_back(&worker);
    }
  }
  std::map<const step_state*, step_moves> by_step;
  move_delays delays;
  std::size_t stops = 0;
  for (const leaving_run& each : leaving) {
    if (stops == kMaxStopsPerPass || moves_.size() >= kMaxMoves) {
      ++delays.limit;
      continue;
    }
    const candidate moving = MovingStep(each.run->task);
    const graph_step& spec = SpecOf(*moving.job, each.run->task);
    step_moves& plan = PlanOf(moving, by_step, now);
    const bool is_at_work =
        IsAtWork(*each.worker, *each.run, spec.is_service, now);
    const std::uint32_t away_after = plan.away + (is_at_work ? 1 : 0);
    if (spec.has_disruption_budget && away_after > spec.disruption_budget) {
      ++delays.budget;
      continue;
    }
    // Its other tasks need the same.
    if (plan.has_no_place) {
      ++delays.no_place;
      continue;
    }
    if (!MayStartAgainWithinLimit(*moving.job, spec)) {
      ++delays.organisation_limit;
      continue;
    }
    worker_state* target =
        BestWorker(moving, FindMoveTargets(moving, targets, now, true), {},
                   PreferenceOf(moving, now), false, now);
    if (target != nullptr) {
      plan.away = away_after;
      BeginMove(each, *target, now);
      ++stops;
    } else if (moving.job->submission.queue.advisor &&
               !FindMoveTargets(moving, targets, now, false).empty()) {
      ++plan.tickets_wanted;
      ++delays.approval;
    } else {
      plan.has_no_place = true;
      ++delays.no_place;
    }
  }
  RenewTickets(by_step, now);
  RequestMoveApprovals(by_step, targets, now);
  if (stops > 0) CollectStops(now, decisions);
  if (stops > 0 || !leaving.empty()) next_move_plan_at_ = now + kPlanInterval;
  if (leaving.size() > stops) {
    next_decision_at_ = std::min(next_decision_at_, next_move_plan_at_);
    ReportMoveDelays(leaving.size() - stops, delays, now);
  }
}

void pool_scheduler::RenewTickets(
    std::map<const step_state*, step_moves>& by_step, time_point now) {
  for (const auto& [task, move] : moves_) {
    const candidate moving = MovingStep(task);
    if (!moving.job->submission.queue.advisor) continue;
    const step_state& step = StateOf(moving);
    // A task that waits already is dealt with like any other.
    if (step.tasks[task.index].phase != task_phase::kPlaced) continue;
    const worker_state* target = FindWorker(move.target);
    const bool has_ticket =
        target != nullptr &&
        FindApproval(step.approvals, target->info, now + kTicketLeadTime) ==
            approval_status::kValid;
    if (has_ticket) continue;
    step_moves& plan = PlanOf(moving, by_step, now);
    ++plan.tickets_wanted;
    if (target != nullptr) plan.workers_to_name.push_back(target->info);
  }
}

void pool_scheduler::RequestMoveApprovals(
    const std::map<const step_state*, step_moves>& by_step,
    std::span<worker_state* const> targets, time_point now) {
  for (const auto& [step, plan] : by_step) {
    const step_approvals& approvals = step->approvals;
    if (plan.tickets_wanted == 0 || approvals.is_call_in_flight) continue;
    if (now < approvals.retry_at) {
      next_decision_at_ = std::min(next_decision_at_, approvals.retry_at);
      continue;
    }
    const candidate& moving = plan.moving;
    const graph_step& spec = moving.job->submission.graph.steps[moving.step];
    const double share = ApprovedShare(moving.job->submission.queue.name);
    std::vector<pool_worker> named = plan.workers_to_name;
    double expected = static_cast<double>(named.size());
    auto allowed = FindMoveTargets(moving, targets, now, false);
    const auto is_undecided = [&](const worker_state* worker) {
      return FindApproval(approvals, worker->info, now) ==
             approval_status::kUndecided;
    };
    std::stable_partition(
        allowed.begin(), allowed.end(),
        [&](const worker_state* worker) { return !is_undecided(worker); });
    for (const worker_state* worker : allowed) {
      if (expected >= kRoomToAskFor * plan.tickets_wanted ||
          named.size() >= kMaxWorkersNamed) {
        break;
      }
      const bool is_named = std::any_of(
          named.begin(), named.end(),
          [&](const pool_worker& each) { return each.id == worker->info.id; });
      if (is_named) continue;
      named.push_back(worker->info);
      const std::uint32_t room = CountFits(
          spec.need,
          FreeCapacityFor(*worker, milliseconds(spec.estimate_ms), now),
          spec.max_per_worker);
      expected += room * (is_undecided(worker) ? share : 1);
    }
    if (!named.empty()) move_approvals_.push_back({moving, std::move(named)});
  }
}

void pool_scheduler::AddMoveApprovals() {
  for (wanted_approval& wanted : move_approvals_) {
    const bool is_wanted = std::any_of(
        wanted_approvals_.begin(), wanted_approvals_.end(),
        [&](const wanted_approval& other) {
          return &StateOf(other.waiting) == &StateOf(wanted.waiting);
        });
    if (is_wanted) continue;
    const auto place =
        std::find_if(wanted_approvals_.begin(), wanted_approvals_.end(),
                     [](const wanted_approval& each) {
                       return each.waiting.rank.is_first_start;
                     });
    wanted_approvals_.insert(place, std::move(wanted));
  }
  move_approvals_.clear();
}

pool_scheduler::candidate pool_scheduler::MovingStep(const task_key& task) {
  candidate moving;
  moving.job = FindJob(task.job_id);
  moving.occurrence = task.occurrence;
  moving.step = task.step;
  moving.rank.is_first_start = false;
  moving.rank.priority = moving.job->submission.queue.priority;
  moving.rank.submitted_at = moving.job->admitted_at;
  moving.least_need = SpecOf(*moving.job, task).need;
  return moving;
}

bool pool_scheduler::IsUnderWay(const task_key& task, const task_move& move) {
  graph_job* job = FindJob(task.job_id);
  if (job == nullptr || IsFinal(job->progress.state)) return false;
  const graph_task& state = StepOf(*job, task).tasks[task.index];
  if (state.phase == task_phase::kWaiting) return true;
  if (state.phase != task_phase::kPlaced || state.worker != move.source) {
    return false;
  }
  const worker_state* source = FindWorker(move.source);
  if (source == nullptr) return false;
  const auto run = source->runs.find(task);
  return run != source->runs.end() && run->second.number == move.run;
}

void pool_scheduler::ReviewMoves(time_point now) {
  for (const auto& [task, move] : moves_) {
    worker_state* target = FindWorker(move.target);
    if (target != nullptr) target->kept_for_moves = {};
  }
  std::erase_if(moves_, [&](const auto& row) {
    const auto& [task, move] = row;
    worker_state* target = FindWorker(move.target);
    if (target == nullptr) return true;
    const resource_vector room = target->info.capacity - target->used;
    const resource_vector kept = target->kept_for_moves + move.need;
    if (IsUnderWay(task, move) && now < move.began_at + kMaxMoveTime &&
        AcceptsTasks(*target, now) && Fits(kept, room)) {
      target->kept_for_moves = kept;
      next_decision_at_ =
          std::min<time_point>(next_decision_at_, move.began_at + kMaxMoveTime);
      return false;
    }
    target->has_changed = true;
    return true;
  });
}

void pool_scheduler::ReleaseRoomOfMoves(const candidate& waiting) {
  if (moves_.empty()) return;
  const task_key first{waiting.job->submission.id, waiting.occurrence,
                       waiting.step, 0};
  for (auto row = moves_.lower_bound(first);
       row != moves_.end() && IsOfStep(row->first, first); ++row) {
    if (StateOf(waiting).tasks[row->first.index].phase !=
        task_phase::kWaiting) {
      continue;
    }
    worker_state* target = FindWorker(row->second.target);
    if (target == nullptr) continue;
    target->kept_for_moves = target->kept_for_moves - row->second.need;
    row->second.is_room_released = true;
  }
}

void pool_scheduler::KeepRoomOfMoves(const candidate& waiting, time_point now) {
  if (moves_.empty()) return;
  const task_key first{waiting.job->submission.id, waiting.occurrence,
                       waiting.step, 0};
  for (auto row = moves_.lower_bound(first);
       row != moves_.end() && IsOfStep(row->first, first); ++row) {
    task_move& move = row->second;
    if (!std::exchange(move.is_room_released, false)) continue;
    worker_state* target = FindWorker(move.target);
    const bool is_waiting =
        StateOf(waiting).tasks[row->first.index].phase == task_phase::kWaiting;
    // The task of another move of the step may have taken the room.
    const bool is_kept = is_waiting && target != nullptr &&
                         Fits(target->kept_for_moves + move.need,
                              target->info.capacity - target->used);
    if (is_kept) {
      target->kept_for_moves = target->kept_for_moves + move.need;
    } else {
      // The next pass ends the move and looks at the target again.
      next_decision_at_ = now;
    }
  }
}

void pool_scheduler::ReportMoveDelays(std::size_t runs,
                                      const move_delays& delays,
                                      time_point now) {
  if (now - move_delays_reported_at_ < kDelayReportInterval) return;
  move_delays_reported_at_ = now;
  Log(graph_events::kMovesDelayed,
      {Field("runs", runs), Field("budget", delays.budget),
       Field("no_place", delays.no_place), Field("approval", delays.approval),
       Field("limit", delays.limit),
       Field("organisation_limit", delays.organisation_limit)});
}

}  // namespace apricotwheel

// Where tasks go: the order of the waiting steps, the choice of workers, and
// what shares a worker.
#include <algorithm>
#include <tuple>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// A serving task's tail above this share of its target slows the tasks beside
// it that use what it leaves; below the lower share they speed up again.
constexpr int kPaceDownPercent = 70;
constexpr int kPaceUpPercent = 40;
constexpr int kPaceStep = 20;
constexpr int kFullPace = 100;
// An accelerator stands for this many thousandths of a core when work of
// different kinds is compared.
constexpr std::int64_t kCpuPerAccelerator = 8000;

std::int64_t SizeOf(const resource_vector& need) {
  return need.cpu_milli + need.accelerators * kCpuPerAccelerator;
}

bool HasLabel(const pool_worker& worker, std::string_view label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) !=
         worker.labels.end();
}

bool Serves(const graph_step& step) { return step.latency_target_ms > 0; }

// True if a run on the worker must not share it with a task of `step`.
bool Disturbs(const worker_state& worker, const graph_step& step) {
  if (!Serves(step) && !step.uses_leftover) return false;
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [&](const auto& row) {
        if (row.second.job == nullptr) return false;
        const graph_step& other =
            row.second.job->submission.graph.steps[row.first.step];
        return Serves(step) ? other.uses_leftover : Serves(other);
      });
}

std::uint32_t RunsOfStep(const worker_state& worker, const task_key& first) {
  std::uint32_t count = 0;
  for (auto at = worker.runs.lower_bound(first); at != worker.runs.end();
       ++at) {
    const task_key& key = at->first;
    if (key.job_id != first.job_id || key.occurrence != first.occurrence ||
        key.step != first.step) {
      break;
    }
    ++count;
  }
  return count;
}

}  // namespace

bool pool_scheduler::IsReady(const graph_job& job, std::uint32_t occurrence,
                             std::uint32_t step,
                             std::int64_t wall_clock_ms) const {
  const run_schedule& schedule = job.submission.graph.schedule;
  if (schedule.repetitions > 0) {
    const std::int64_t due =
        schedule.first_run_ms + occurrence * schedule.interval_ms;
    if (wall_clock_ms < due) return false;
  }
  const auto& steps = job.occurrences[occurrence];
  const graph_step& spec = job.submission.graph.steps[step];
  return std::all_of(spec.after.begin(), spec.after.end(),
                     [&](std::uint32_t before) {
                       return steps[before].done == steps[before].tasks.size();
                     });
}

std::vector<pool_scheduler::candidate> pool_scheduler::WaitingSteps(
    time_point now, std::int64_t wall_clock_ms) {
  constexpr auto kScheduleCheck = milliseconds(50);
  const bool is_settled = IsSettled(now);
  std::vector<candidate> waiting;
  for (graph_job* job : open_) {
    if (job->is_loaded && !is_settled) continue;
    const job_submission& submission = job->submission;
    if (submission.graph.schedule.repetitions > 0) {
      next_due_ = std::min<time_point>(next_due_, now + kScheduleCheck);
    }
    for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
      for (std::uint32_t at = 0; at < job->occurrences[k].size(); ++at) {
        const step_state& step = job->occurrences[k][at];
        if (step.waiting == 0 || !IsReady(*job, k, at, wall_clock_ms)) continue;
        const graph_step& spec = submission.graph.steps[at];
        if (spec.is_gang && step.placed > 0) {
          // An earlier owner started only some members.
          if (job->is_loaded) StopStep(*job, {submission.id, k, at, 0}, now);
          continue;
        }
        candidate one{job, k, at, {}};
        one.order.priority = submission.queue.priority;
        one.order.is_service = spec.is_service;
        one.order.submitted_at = job->admitted_at;
        one.order.objective = submission.queue.target +
                              milliseconds(static_cast<std::int64_t>(
                                  submission.queue.slowdown_limit *
                                  static_cast<double>(job->critical_path_ms)));
        one.order.remaining_path = milliseconds(job->path_from_step_ms[at]);
        one.order.remaining_work =
            step.waiting * spec.estimate_ms * SizeOf(spec.need) / 1000;
        waiting.push_back(one);
      }
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [&](const candidate& left, const candidate& right) {
              return GoesBefore(left.order, right.order, now);
            });
  return waiting;
}

// Only these are looked at for the steps of a pass: in a pool that is full,
// with many steps waiting, they are few.
void pool_scheduler::FindRoomyWorkers(const std::vector<candidate>& waiting) {
  roomy_.clear();
  if (waiting.empty()) return;
  const auto need_of = [](const candidate& one) -> const resource_vector& {
    return one.job->submission.graph.steps[one.step].need;
  };
  resource_vector least = need_of(waiting.front());
  for (const candidate& one : waiting) least = MinOf(least, need_of(one));
  for (auto& [id, worker] : workers_) {
    if (Fits(least, worker.info.capacity - worker.used)) {
      roomy_.push_back(&worker);
    }
  }
}

resource_vector pool_scheduler::RoomFor(const worker_state& worker,
                                        duration estimate, time_point now) {
  const resource_vector room = worker.info.capacity - worker.used;
  if (now + estimate <= worker.reserved_from) return room;
  return room - worker.reserved;
}

// All conditions but room, sharing and a valid ticket.
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
  const approval_book& book =
      job.occurrences[waiting.occurrence][waiting.step].approvals;
  return ApprovalOf(book, worker.info, now) != approval::kRefused;
}

std::vector<worker_state*> pool_scheduler::Allowed(const candidate& waiting,
                                                   time_point now,
                                                   bool valid_only) {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const duration estimate = milliseconds(spec.estimate_ms);
  const approval_book& book =
      job.occurrences[waiting.occurrence][waiting.step].approvals;
  std::vector<worker_state*> allowed;
  for (worker_state* worker : roomy_) {
    ++examined_;
    // Room first, since what the advisor said is looked up by name.
    if (!Fits(spec.need, RoomFor(*worker, estimate, now))) continue;
    if (!CanHost(waiting, *worker, now)) continue;
    if (worker->avoid_until > now) {
      next_due_ = std::min(next_due_, worker->avoid_until);
      continue;
    }
    if (Disturbs(*worker, spec)) continue;
    if (valid_only && job.submission.queue.advisor &&
        ApprovalOf(book, worker->info, now) != approval::kValid) {
      continue;
    }
    allowed.push_back(worker);
  }
  return allowed;
}

worker_state* pool_scheduler::BestWorker(
    const candidate& waiting, const std::vector<worker_state*>& allowed,
    std::span<const placement> chosen, time_point now) const {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  const task_key first{waiting.job->submission.id, waiting.occurrence,
                       waiting.step, 0};
  worker_state* best = nullptr;
  std::tuple<bool, bool, bool, std::int64_t> best_rank;
  for (worker_state* worker : allowed) {
    resource_vector room =
        RoomFor(*worker, milliseconds(spec.estimate_ms), now);
    std::uint32_t beside = 0;
    for (const placement& one : chosen) {
      if (one.worker != worker) continue;
      room = room - spec.need;
      ++beside;
    }
    if (!Fits(spec.need, room)) continue;
    if (spec.max_per_worker > 0 &&
        beside + RunsOfStep(*worker, first) >= spec.max_per_worker) {
      continue;
    }
    const bool is_far =
        !spec.data_rack.empty() && worker->info.rack != spec.data_rack;
    const bool leaves_rack =
        spec.one_rack && !chosen.empty() &&
        worker->info.rack != chosen.front().worker->info.rack;
    // Work without accelerators keeps clear of workers that have some, and
    // all work goes where it leaves the least.
    const bool wastes = spec.need.accelerators == 0 && room.accelerators > 0;
    const std::tuple rank(is_far, leaves_rack, wastes,
                          SizeOf(room - spec.need));
    if (best == nullptr || rank < best_rank) {
      best = worker;
      best_rank = rank;
    }
  }
  return best;
}

std::vector<pool_scheduler::placement> pool_scheduler::Choose(
    const candidate& waiting, time_point now, bool valid_only) {
  const step_state& step =
      waiting.job->occurrences[waiting.occurrence][waiting.step];
  const auto allowed = Allowed(waiting, now, valid_only);
  std::vector<placement> chosen;
  if (allowed.empty()) return chosen;
  const task_key first{waiting.job->submission.id, waiting.occurrence,
                       waiting.step, 0};
  for (std::uint32_t at = 0; at < step.tasks.size(); ++at) {
    if (step.tasks[at].phase != task_phase::kWaiting) continue;
    worker_state* worker = BestWorker(waiting, allowed, chosen, now);
    if (worker == nullptr) break;
    task_key key = first;
    key.index = at;
    // The task's last run has not left that worker yet.
    if (worker->runs.contains(key)) continue;
    chosen.push_back({at, worker});
  }
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  if (spec.is_gang && chosen.size() < spec.task_count) chosen.clear();
  return chosen;
}

void pool_scheduler::PlaceStep(const candidate& waiting, time_point now,
                               pool_decisions& decisions) {
  const auto chosen = Choose(waiting, now, true);
  if (!chosen.empty()) Start(waiting, chosen, now, decisions);
  step_state& step = waiting.job->occurrences[waiting.occurrence][waiting.step];
  if (step.waiting == 0) return;
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  if (spec.is_gang || IsLarge(spec)) ReserveRoom(waiting, now, decisions);
  if (!waiting.job->submission.queue.advisor) return;
  if (step.approvals.is_asking) return;
  if (now < step.approvals.retry_at) {
    next_due_ = std::min(next_due_, step.approvals.retry_at);
    return;
  }
  AskApproval(waiting, now, decisions);
}

void pool_scheduler::Start(const candidate& waiting,
                           std::span<const placement> chosen, time_point now,
                           pool_decisions& decisions) {
  graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  step_state& step = job.occurrences[waiting.occurrence][waiting.step];
  std::uint64_t gang_run = options_.run_base;
  for (const placement& one : chosen) {
    gang_run = std::max(gang_run, step.tasks[one.index].last_run);
  }
  for (const placement& one : chosen) {
    graph_task& task = step.tasks[one.index];
    task_run run;
    run.task = {job.submission.id, waiting.occurrence, waiting.step, one.index};
    run.number =
        (spec.is_gang ? gang_run : std::max(task.last_run, options_.run_base)) +
        1;
    run.job = &job;
    run.ordered_at = now;
    run.checkpoint = spec.is_gang ? step.gang_checkpoint : task.checkpoint;
    task.phase = task_phase::kPlaced;
    task.last_run = run.number;
    task.worker = one.worker->info.id;
    --step.waiting;
    ++step.placed;
    one.worker->used = one.worker->used + spec.need;
    start_order order{
        task.worker,    run.task,
        run.number,     job.submission.graph.payload,
        run.checkpoint, std::string(TicketFor(step.approvals, task.worker))};
    Log(graph_events::kRunOrdered,
        {Field("job", job.submission.id), Field("step", waiting.step),
         Field("index", one.index), Field("run", run.number),
         Field("worker", task.worker)});
    one.worker->runs[run.task] = std::move(run);
    decisions.starts.push_back(std::move(order));
  }
}

void pool_scheduler::CollectStops(time_point now, pool_decisions& decisions) {
  // Until a stop is answered it is not ordered again.
  constexpr auto kAnswerTime = milliseconds(2500);
  for (auto& [id, worker] : workers_) {
    if (!worker.is_claimed) continue;
    for (auto& [task, run] : worker.runs) {
      if (run.phase != run_phase::kStopping) continue;
      if (run.next_stop_at <= now) {
        decisions.stops.push_back({id, task, run.number});
        run.next_stop_at = now + kAnswerTime;
      }
      next_due_ = std::min(next_due_, run.next_stop_at);
    }
  }
}

void pool_scheduler::CollectPaces(pool_decisions& decisions) {
  for (auto& [id, worker] : workers_) {
    std::int64_t worst = 0;  // Tail in percent of the target.
    bool has_leftover = false;
    for (const auto& [task, run] : worker.runs) {
      if (run.job == nullptr) continue;
      const graph_step& spec = SpecOf(*run.job, task);
      has_leftover = has_leftover || spec.uses_leftover;
      if (!Serves(spec)) continue;
      worst = std::max(worst, run.load * 100 / spec.latency_target_ms);
    }
    if (!has_leftover) continue;
    for (auto& [task, run] : worker.runs) {
      if (run.job == nullptr || run.phase != run_phase::kRunning) continue;
      if (!SpecOf(*run.job, task).uses_leftover) continue;
      int pace = run.pace_percent;
      if (worst >= kPaceDownPercent) pace = 0;
      if (worst <= kPaceUpPercent) pace = std::min(pace + kPaceStep, kFullPace);
      if (pace == run.pace_percent) continue;
      run.pace_percent = pace;
      decisions.paces.push_back({id, task, run.number, pace});
    }
  }
}

}  // namespace apricotwheel

// Where tasks go: the order of the waiting steps, the choice of workers, the
// approvals to ask for, and what shares a worker.
#include <algorithm>
#include <tuple>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// The advisor takes at most this many workers in a call.
constexpr std::size_t kMaxAskedWorkers = 100;
// Workers beyond the need that a renewal of tickets names, since others may
// take the room while the call runs.
constexpr std::size_t kSpareAsked = 2;
// A serving task's tail above this share of its target slows the tasks beside
// it that use what it leaves; below the lower share they speed up again.
constexpr int kPaceDownPercent = 70;
constexpr int kPaceUpPercent = 40;
constexpr int kPaceStep = 20;
constexpr int kFullPace = 100;
// An accelerator stands for this many thousandths of a core when work of
// different kinds is compared.
constexpr std::int64_t kCpuPerAccelerator = 8000;

// Room is kept for one gang or large task at a time for so many workers. Room
// that is kept stands idle until the last part of it is free.
constexpr std::size_t kWorkersPerReservation = 3;
// When a run that has outlasted its estimate is taken to end.
constexpr auto kOverdueRun = milliseconds(400);
// A gang's room moves to another worker only if that is free this much sooner.
constexpr auto kKeptAdvantage = milliseconds(1500);
// Approvals for a reserved gang are asked for this long before they are needed,
// on top of the time that the advisor takes.
constexpr auto kAskAhead = milliseconds(250);

// Time that the advisor takes for a call that names so many workers.
duration CallCost(const advisor_terms& terms, std::size_t workers) {
  return std::chrono::microseconds(terms.decision_us +
                                   terms.per_worker_us *
                                       static_cast<std::int64_t>(workers));
}

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
  for (auto& [id, worker] : workers_) {
    if (!CanHost(waiting, worker, now)) continue;
    if (worker.avoid_until > now) {
      next_due_ = std::min(next_due_, worker.avoid_until);
      continue;
    }
    if (!Fits(spec.need, RoomFor(worker, estimate, now))) continue;
    if (Disturbs(worker, spec)) continue;
    if (valid_only && job.submission.queue.advisor &&
        ApprovalOf(book, worker.info, now) != approval::kValid) {
      continue;
    }
    allowed.push_back(&worker);
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

time_point pool_scheduler::FreeAt(const worker_state& worker,
                                  const resource_vector& need,
                                  time_point now) const {
  resource_vector room = worker.info.capacity - worker.used;
  if (Fits(need, room)) return now;
  std::vector<std::pair<time_point, resource_vector>> ends;
  for (const auto& [task, run] : worker.runs) {
    if (run.job == nullptr) continue;
    const graph_step& spec = SpecOf(*run.job, task);
    const bool is_stopping = run.phase == run_phase::kStopping;
    if (spec.is_service && !is_stopping) continue;
    const time_point expected =
        is_stopping ? now : run.ordered_at + milliseconds(spec.estimate_ms);
    ends.emplace_back(std::max<time_point>(expected, now + kOverdueRun),
                      spec.need);
  }
  std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) {
    return left.first < right.first;
  });
  for (const auto& [end, freed] : ends) {
    room = room + freed;
    if (Fits(need, room)) return end;
  }
  return time_point::max();
}

// Finds the workers that are free first for `count` tasks that start together,
// among those without a reservation. Returns when all of them are free.
std::optional<time_point> pool_scheduler::FindRoom(
    const candidate& waiting, std::uint32_t count,
    const std::set<std::string>& kept_on, time_point now,
    room_by_worker& room) {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  time_point ready_at = now;
  for (std::uint32_t at = 0; at < count; ++at) {
    worker_state* best = nullptr;
    time_point best_at = time_point::max();
    for (auto& [id, worker] : workers_) {
      if (!CanHost(waiting, worker, now) ||
          worker.reserved != resource_vector{}) {
        continue;
      }
      const auto found = room.find(&worker);
      const resource_vector need =
          found == room.end() ? spec.need : found->second + spec.need;
      if (!Fits(need, worker.info.capacity)) continue;
      time_point free_at = FreeAt(worker, need, now);
      if (free_at == time_point::max()) continue;
      free_at = std::max(free_at, worker.avoid_until);
      // Room that has been kept for a while is worth more than room elsewhere.
      if (kept_on.contains(id)) free_at -= kKeptAdvantage;
      if (free_at < best_at) {
        best = &worker;
        best_at = free_at;
      }
    }
    if (best == nullptr) return std::nullopt;
    room[best] = room[best] + spec.need;
    ready_at = std::max(ready_at, best_at);
  }
  return ready_at;
}

// Keeps the room of the workers that are free first for gangs and large tasks
// that wait, so that smaller work does not take each part of it as it becomes
// free.
void pool_scheduler::ReserveRoom(const candidate& waiting, time_point now,
                                 pool_decisions& decisions) {
  graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  step_state& step = job.occurrences[waiting.occurrence][waiting.step];
  const auto& advisor = job.submission.queue.advisor;
  // Before the first answer it is not known where the tasks may run.
  if (advisor && step.approvals.by_worker.empty()) return;
  const std::uint32_t together = spec.is_gang ? spec.task_count : 1;
  const std::uint32_t starts = spec.is_gang ? 1 : step.waiting;
  const auto kept_on = std::exchange(step.kept_on, {});
  std::vector<pool_worker> unapproved;
  for (std::uint32_t at = 0;
       at < starts && reservations_ * kWorkersPerReservation < workers_.size();
       ++at) {
    room_by_worker room;
    const auto ready_at = FindRoom(waiting, together, kept_on, now, room);
    if (!ready_at) break;
    ++reservations_;
    for (const auto& [worker, need] : room) {
      step.kept_on.insert(worker->info.id);
      worker->reserved = need;
      worker->reserved_from = *ready_at;
    }
    if (!advisor) continue;
    const time_point ask_at =
        *ready_at - CallCost(*advisor, room.size()) - kAskAhead;
    if (now < ask_at) {
      next_due_ = std::min(next_due_, ask_at);
      continue;
    }
    for (const auto& [worker, need] : room) {
      if (ApprovalOf(step.approvals, worker->info, now) != approval::kValid) {
        unapproved.push_back(worker->info);
      }
    }
  }
  if (unapproved.empty() || step.approvals.is_asking ||
      now < step.approvals.retry_at) {
    return;
  }
  step.approvals.is_asking = true;
  decisions.approvals.push_back(
      {job.submission.id, waiting.occurrence, waiting.step, unapproved,
       waiting.order.priority, CallCost(*advisor, unapproved.size())});
}

// True if the task takes so much of a worker that it finds no room by chance.
bool pool_scheduler::IsLarge(const graph_step& spec) const {
  const resource_vector twice = spec.need + spec.need;
  if (largest_.accelerators > 0) {
    return twice.accelerators >= largest_.accelerators;
  }
  return twice.cpu_milli >= largest_.cpu_milli ||
         twice.memory_mib >= largest_.memory_mib;
}

void pool_scheduler::AskApproval(const candidate& waiting, time_point now,
                                 pool_decisions& decisions) {
  graph_job& job = *waiting.job;
  step_state& step = job.occurrences[waiting.occurrence][waiting.step];
  approval_request request{job.submission.id,      waiting.occurrence,
                           waiting.step,           {},
                           waiting.order.priority, {}};
  const bool is_first = step.approvals.by_worker.empty();
  if (is_first) {
    // What an approval says does not change, so all that may ever run the step
    // are named once.
    for (const auto& [id, worker] : workers_) {
      if (CanHost(waiting, worker, now) &&
          request.workers.size() < kMaxAskedWorkers) {
        request.workers.push_back(worker.info);
      }
    }
  } else {
    const auto possible = Choose(waiting, now, false);
    std::set<const worker_state*> named;
    for (const placement& one : possible) named.insert(one.worker);
    const std::size_t most = named.size() + kSpareAsked;
    for (worker_state* worker : Allowed(waiting, now, false)) {
      if (possible.empty() || named.size() >= most) break;
      named.insert(worker);
    }
    for (const worker_state* worker : named) {
      if (request.workers.size() < kMaxAskedWorkers) {
        request.workers.push_back(worker->info);
      }
    }
  }
  if (request.workers.empty()) return;
  step.approvals.is_asking = true;
  request.cost =
      CallCost(*job.submission.queue.advisor, request.workers.size());
  decisions.approvals.push_back(std::move(request));
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

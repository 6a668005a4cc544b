// Reports why steps wait, and contradictions in the scheduler's state.
#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// The steps that have waited longest are logged if they wait this long, at this
// interval and at most so many.
constexpr auto kLongWait = milliseconds(10'000);
constexpr auto kLongWaitReportInterval = milliseconds(2000);
constexpr std::size_t kLongWaitsReported = 4;
// A run whose start or stop has no result for this time is logged, at most so
// many at a time. The owner repeats an order well before.
constexpr auto kLongUnsettled = milliseconds(3000);
constexpr std::size_t kUnsettledReported = 4;

std::int64_t MsSince(time_point since, time_point now) {
  return since == time_point{} ? 0 : ToMs(now - since);
}

}  // namespace

pool_scheduler::wait_counts pool_scheduler::CountWorkersFor(
    const candidate& waiting, time_point now) const {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const step_state& step = StateOf(waiting);
  const step_approvals& approvals = step.approvals;
  const task_key first{job.submission.id, waiting.occurrence, waiting.step, 0};
  wait_counts counts;
  for (const auto& [id, worker] : workers_) {
    const auto status = FindApproval(approvals, worker.info, now);
    if (status == approval_status::kRefused) ++counts.refused;
    if (status == approval_status::kTicketExpired) ++counts.approved;
    if (status == approval_status::kValid) ++counts.approved, ++counts.valid;
    if (!CanHost(waiting, worker, now)) continue;
    if (!Fits(spec.need, worker.info.capacity - worker.used)) continue;
    if (spec.max_per_worker > 0 &&
        CountRunsOfStep(worker, first) >= spec.max_per_worker) {
      ++counts.at_limit;
      continue;
    }
    ++counts.with_room;
    if (IsKeptForSuspect(worker, now)) ++counts.kept;
    if (worker.avoid_until > now) ++counts.avoided;
    const bool is_reserved_for_other =
        worker.reserved != resource_vector{} && worker.reserved_by != &step;
    if (is_reserved_for_other) ++counts.reserved_for_others;
  }
  for (task_key key = first; key.index < step.tasks.size(); ++key.index) {
    const graph_task& task = step.tasks[key.index];
    if (task.phase != task_phase::kWaiting) continue;
    if (HasEarlierRun(task, key)) ++counts.earlier_runs;
    if (HasVerdictPending(job, key)) ++counts.verdicts;
  }
  return counts;
}

std::string_view pool_scheduler::FindWaitReason(const candidate& waiting,
                                                const wait_counts& counts,
                                                time_point now) {
  graph_job& job = *waiting.job;
  const step_state& step = StateOf(waiting);
  if (job.is_moving) return "move";
  if (job.is_loaded && !IsTakeoverComplete(now)) return "takeover";
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  if (spec.is_gang && step.placed > 0) return "gang_ends";
  if (IsHeldByLimit(waiting)) return "organisation_limit";
  if (counts.verdicts == step.waiting) return "verdict";
  if (counts.earlier_runs == step.waiting) return "earlier_run";
  if (!WaitingSuspects(waiting).empty()) return "suspect";
  if (IsHeldBack(waiting, now)) return "held_back";
  if (counts.with_room == 0) {
    return counts.at_limit > 0 ? "worker_limit" : "no_room";
  }
  if (job.submission.queue.advisor && counts.valid == 0) {
    if (step.approvals.is_call_in_flight) return "call_in_flight";
    if (now < step.approvals.retry_at) return "call_failed";
    return step.approvals.wanted_since == time_point{} ? "no_call_wanted"
                                                       : "call_wanted";
  }
  if (CountStartsAllowed(now) == 0) return "start_limit";
  if (spec.is_gang) return "gang_room";
  return counts.reserved_for_others > 0 ? "reserved" : "limited";
}

void pool_scheduler::ReportLongWaits(time_point now,
                                     std::int64_t wall_clock_ms) {
  if (now - long_waits_reported_at_ < kLongWaitReportInterval) return;
  long_waits_reported_at_ = now;
  ReportContradictions();
  ReportUnsettledRuns(now);
  std::vector<std::tuple<time_point, graph_job*, std::uint32_t, std::uint32_t>>
      oldest;
  for (graph_job* job : open_jobs_) {
    if (now - job->admitted_at < kLongWait) continue;
    for (std::uint32_t n = 0; n < job->occurrences.size(); ++n) {
      for (std::uint32_t i = 0; i < job->occurrences[n].size(); ++i) {
        if (job->occurrences[n][i].waiting == 0) continue;
        if (!IsReady(*job, n, i, wall_clock_ms)) continue;
        oldest.emplace_back(job->admitted_at, job, n, i);
      }
    }
  }
  std::sort(oldest.begin(), oldest.end());
  if (oldest.size() > kLongWaitsReported) oldest.resize(kLongWaitsReported);
  for (const auto& [admitted_at, job, occurrence, index] : oldest) {
    const step_state& step = job->occurrences[occurrence][index];
    const graph_step& spec = job->submission.graph.steps[index];
    const candidate waiting{job, occurrence, index, {}, {}};
    const wait_counts counts = CountWorkersFor(waiting, now);
    Log(graph_events::kStepWaiting,
        {Field("job", job->submission.id),
         Field("queue", job->submission.queue.name),
         Field("step", index),
         Field("age_ms", ToMs(now - admitted_at)),
         Field("reason", FindWaitReason(waiting, counts, now)),
         Field("tasks", step.tasks.size()),
         Field("waiting", step.waiting),
         Field("placed", step.placed),
         Field("gang", spec.is_gang ? 1 : 0),
         Field("lasting", spec.is_service ? 1 : 0),
         Field("approved", counts.approved),
         Field("refused", counts.refused),
         Field("valid", counts.valid),
         Field("with_room", counts.with_room),
         Field("at_limit", counts.at_limit),
         Field("kept", counts.kept),
         Field("avoided", counts.avoided),
         Field("reserved_for_others", counts.reserved_for_others),
         Field("reserved", step.reserved_workers.size()),
         Field("earlier_runs", counts.earlier_runs),
         Field("in_call", step.approvals.is_call_in_flight ? 1 : 0),
         Field("call_wanted_ms", MsSince(step.approvals.wanted_since, now)),
         Field("unverified", unverified_workers_.size())});
  }
}

void pool_scheduler::ReportUnsettledRuns(time_point now) {
  std::size_t reported = 0;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker.runs) {
      if (run.phase == run_phase::kRunning) continue;
      const time_point since = run.phase == run_phase::kStopping
                                   ? run.stopping_since
                                   : run.ordered_at;
      if (now - since < kLongUnsettled) continue;
      if (++reported > kUnsettledReported) return;
      Log(graph_events::kRunUnsettled,
          {Field("task", FormatTask(task)), Field("run", run.number),
           Field("worker", id),
           Field("order", run.phase == run_phase::kStopping ? "stop" : "start"),
           Field("age_ms", ToMs(now - since)),
           Field("stop_confirmed", run.stop_confirmed ? 1 : 0),
           Field("claimed", worker.is_claimed ? 1 : 0),
           Field("listed", worker.is_listed ? 1 : 0),
           Field("contact_ms", MsSince(worker.last_contact_at, now))});
    }
  }
}

void pool_scheduler::ReportContradictions() {
  const scheduler_audit audit = Audit();
  if (audit.findings.empty()) return;
  ++run_counts_.contradictions;
  Log(graph_events::kStateContradicted,
      {Field("tasks_without_run", audit.tasks_without_run),
       Field("miscounted_steps", audit.miscounted_steps),
       Field("miscounted_workers", audit.miscounted_workers),
       Field("deleted_jobs", audit.deleted_jobs),
       Field("first", audit.findings.front())});
}

}  // namespace apricotwheel

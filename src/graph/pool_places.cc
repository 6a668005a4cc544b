// Waits of steps for better places than those that are free.
#include <algorithm>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// Below this slowdown a place counts as good.
constexpr double kMinSlowdown = 1.15;
// Waits that may begin in a pass. Each examines all workers.
constexpr std::size_t kMaxWaitsExamined = 16;

bool IsOffDataRack(const graph_step& spec, const worker_state& worker) {
  return !spec.data_rack.empty() && worker.info.rack != spec.data_rack;
}

}  // namespace

double pool_scheduler::SlowdownOn(const graph_step& spec,
                                  const worker_state& worker) const {
  const double slowdown = 1 / SpeedOfClass(SpeedClass(worker));
  return IsOffDataRack(spec, worker)
             ? slowdown * std::max(options_.remote_slowdown, 1.0)
             : slowdown;
}

// Returns the time until `count` tasks of the step have room on workers that
// are better than `slowdown`, or nothing if no end that is expected gives it.
std::optional<duration> pool_scheduler::TimeUntilBetter(
    const candidate& waiting, double slowdown, std::size_t count,
    time_point now) {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const task_key first{job.submission.id, waiting.occurrence, waiting.step, 0};
  const step_approvals& approvals = StateOf(waiting).approvals;
  const run_time_ratio& ratio = RatioOf(job);
  std::vector<time_point> slots;
  for (auto& [id, worker] : workers_) {
    if (!CanHost(waiting, worker, now) || !AcceptsTasks(worker, now)) continue;
    if (SlowdownOn(spec, worker) * kMinSlowdown > slowdown) continue;
    if (job.submission.queue.advisor &&
        FindApproval(approvals, worker.info, now) != approval_status::kValid) {
      continue;
    }
    std::uint32_t limit = 0;
    if (spec.max_per_worker > 0) {
      const std::uint32_t running = CountRunsOfStep(worker, first);
      if (running >= spec.max_per_worker) continue;
      limit = spec.max_per_worker - running;
    }
    EstimateEnds(worker, now);
    resource_vector room = worker.info.capacity - worker.used - worker.reserved;
    std::uint32_t fits = CountFits(spec.need, room, limit);
    for (const expected_end& end : worker.expected_ends) {
      room = room + end.freed;
      const std::uint32_t fits_then = CountFits(spec.need, room, limit);
      for (; fits < fits_then; ++fits) slots.push_back(end.at);
    }
  }
  if (slots.size() < count) return std::nullopt;
  const auto last = slots.begin() + static_cast<std::ptrdiff_t>(count) - 1;
  std::nth_element(slots.begin(), last, slots.end());
  return CorrectEstimate(ratio, *last - now);
}

bool pool_scheduler::WaitsForPlace(const candidate& waiting,
                                   const worker_state& worker, time_point now) {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  step_state& step = StateOf(waiting);
  place_wait& wait = step.wait;
  if (wait.is_over || spec.is_service || spec.is_gang) return false;
  const double slowdown = SlowdownOn(spec, worker);
  const auto finish = [&](const log_event_kind& kind, std::string_view reason) {
    Log(kind, {Field("job", job.submission.id), Field("step", waiting.step),
               Field("reason", reason)});
  };
  if (wait.has_begun) {
    // The other tasks of the step go on waiting.
    if (slowdown * kMinSlowdown <= wait.slowdown) {
      ++wait_counts_.paid;
      return false;
    }
    if (now >= wait.ends_at) {
      wait.is_over = true;
      ++wait_counts_.expired;
      finish(graph_events::kPlaceWaitEnded, "bound");
      return false;
    }
    if (!TimeUntilBetter(waiting, wait.slowdown, 1, now)) {
      wait.is_over = true;
      ++wait_counts_.without_place;
      finish(graph_events::kPlaceWaitEnded, "no_place");
      return false;
    }
  } else {
    if (slowdown < kMinSlowdown || ++waits_examined_ > kMaxWaitsExamined) {
      return false;
    }
    // Steps that wait already get the next places of their rack.
    const auto free_in = TimeUntilBetter(
        waiting, slowdown, waiting_for_[spec.data_rack] + step.waiting, now);
    if (!free_in) return false;
    place_choice choice;
    choice.bounds = BoundsOf(job, now);
    choice.work = WorkOf(waiting);
    choice.slowdown_now = slowdown;
    choice.free_in = *free_in;
    choice.costs_capacity =
        options_.remote_slowdown > 1 && IsOffDataRack(spec, worker);
    const duration longest = MaxPlaceWait(choice);
    if (longest <= duration::zero()) return false;
    wait = {true, false, slowdown, now + longest, step.waiting};
    ++wait_counts_.begun;
    Log(graph_events::kPlaceWaitBegun,
        {Field("job", job.submission.id), Field("step", waiting.step),
         Field("tasks", step.waiting), Field("rack", spec.data_rack),
         Field("slowdown_percent", static_cast<std::int64_t>(slowdown * 100)),
         Field("expected_ms", ToMs(*free_in)), Field("max_ms", ToMs(longest))});
  }
  waiting_for_[spec.data_rack] += step.waiting;
  next_decision_at_ = std::min(next_decision_at_, wait.ends_at);
  return true;
}

}  // namespace apricotwheel

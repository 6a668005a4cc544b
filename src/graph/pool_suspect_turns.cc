// Which suspects have workers to themselves next, and how long others wait. See
// docs/design/suspects.md.
#include <algorithm>
#include <tuple>

#include "graph/pool_scheduler.h"
#include "graph/suspect_bounds.h"

namespace apricotwheel {

namespace {

// Suspects with a turn have at most one in this many workers to themselves.
constexpr std::size_t kWorkersPerTurn = 3;
// The same for all suspects, with those that found an empty worker.
constexpr std::size_t kWorkersPerSuspect = 2;
// Empty workers that one call to the policy advisor names for a suspect.
constexpr std::size_t kMaxEmptyWorkersToName = 16;
// If less than this share of the pool is in use, a suspect that waits leaves
// room idle, and one that starts endangers few others.
constexpr double kMostlyFreeShare = 0.5;

// Returns about how long one worker takes to judge so many tasks of the step,
// one after the other.
duration TimeToJudge(const graph_step& spec, std::size_t tasks) {
  const duration estimate = milliseconds(spec.estimate_ms);
  return tasks * std::min<duration>(estimate, kSurvivalTime);
}

}  // namespace

std::size_t pool_scheduler::MaxSuspectWorkers() const {
  return std::max<std::size_t>(1, workers_.size() / kWorkersPerSuspect);
}

bool pool_scheduler::HasStrongSuspect(const candidate& waiting,
                                      std::span<const std::uint32_t> indices) {
  if (indices.empty()) return false;
  return IsStrongSuspect(*waiting.job,
                         {waiting.job->submission.id, waiting.occurrence,
                          waiting.step, indices.front()});
}

bool pool_scheduler::HasCrashedAsWhole(const candidate& waiting,
                                       std::size_t suspects) {
  const step_state& step = StateOf(waiting);
  if (step.done > 0 || step.placed > 0) return false;
  const auto started =
      std::count_if(step.tasks.begin(), step.tasks.end(),
                    [](const graph_task& task) { return task.last_run > 0; });
  return suspects >= static_cast<std::size_t>(started);
}

bool pool_scheduler::MaySkipTurn(const candidate& waiting,
                                 std::span<const std::uint32_t> indices) {
  if (!StateOf(waiting).is_proven) return false;
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  if (TimeToJudge(spec, indices.size()) > kTimeOfTurn) return true;
  return has_too_many_suspects_ && !HasStrongSuspect(waiting, indices);
}

time_point pool_scheduler::EndOfWait(const candidate& waiting,
                                     std::span<const std::uint32_t> indices) {
  const time_point since = StateOf(waiting).suspects_wait_since;
  if (IsService(waiting)) return since + kMaxWaitOfService;
  const bool is_strong = HasStrongSuspect(waiting, indices);
  // Each member of a gang adds a worker that may crash for another reason.
  if (waiting.job->submission.graph.steps[waiting.step].is_gang) {
    return since +
           (is_strong ? duration(kTimeOfTurn) : duration(kMaxWaitToBeAlone));
  }
  const bool has_healthy_task =
      !is_strong && !HasCrashedAsWhole(waiting, indices.size());
  return has_healthy_task || is_mostly_free_ ? since + kTimeOfTurn
                                             : time_point::max();
}

std::vector<pool_worker> pool_scheduler::EmptyWorkersToName(
    const candidate& waiting, time_point now) const {
  const step_approvals& approvals = StateOf(waiting).approvals;
  std::vector<pool_worker> named;
  for (const worker_state* worker : workers_with_room_) {
    if (named.size() == kMaxEmptyWorkersToName) break;
    if (!worker->runs.empty() || IsKeptForSuspect(*worker, now)) continue;
    if (!CanHost(waiting, *worker, now)) continue;
    const approval_status status = FindApproval(approvals, worker->info, now);
    if (status != approval_status::kValid) named.push_back(worker->info);
  }
  return named;
}

void pool_scheduler::ReviewRoomForSuspects() {
  empty_workers_left_ = static_cast<std::size_t>(std::count_if(
      workers_with_room_.begin(), workers_with_room_.end(),
      [](const worker_state* worker) { return worker->runs.empty(); }));
  resource_vector used;
  resource_vector capacity;
  for (const auto& [id, worker] : workers_) {
    if (!worker.is_claimed || !worker.is_listed) continue;
    used = used + worker.used;
    capacity = capacity + worker.info.capacity;
  }
  is_mostly_free_ = DominantShare(used, capacity) < kMostlyFreeShare;
}

void pool_scheduler::GrantTurns(std::span<const candidate> waiting,
                                time_point now) {
  // Strong suspects and those that have waited for long come first, then those
  // that have not lost a turn, then those of which most of the step crashed.
  struct claim {
    std::tuple<bool, time_point, double, time_point> rank;
    const step_state* step = nullptr;
  };
  suspect_turns_.clear();
  has_too_many_suspects_ = false;
  if (crashed_jobs_.empty()) return;
  ReviewRoomForSuspects();
  std::vector<claim> claims;
  duration work{};  // Time on workers until all that wait are judged.
  for (const candidate& each : waiting) {
    graph_job& job = *each.job;
    if (job.crashed_tasks.empty()) continue;
    const auto indices = StartableSuspects(each);
    if (indices.empty()) continue;
    work += TimeToJudge(job.submission.graph.steps[each.step], indices.size());
    if (HasPlacedSuspect(job)) continue;
    const step_state& step = StateOf(each);
    if (now < job.kept_until) {
      suspect_turns_.insert(&step);
      continue;
    }
    const bool is_new = step.suspects_wait_since == time_point{};
    const time_point since = is_new ? now : step.suspects_wait_since;
    const bool is_first =
        HasStrongSuspect(each, indices) || since + kTimeOfTurn <= now;
    const double crashed_share = static_cast<double>(indices.size()) /
                                 static_cast<double>(step.tasks.size());
    claims.push_back(
        {{!is_first, step.turn_lost_at, -crashed_share, since}, &step});
  }
  const std::size_t limit =
      std::max<std::size_t>(1, workers_.size() / kWorkersPerTurn);
  has_too_many_suspects_ = work > limit * kTimeOfTurn;
  const std::size_t left = limit - std::min(limit, suspect_workers_);
  std::stable_sort(claims.begin(), claims.end(),
                   [](const claim& first, const claim& second) {
                     return first.rank < second.rank;
                   });
  if (claims.size() > left) claims.resize(left);
  for (const claim& each : claims) suspect_turns_.insert(each.step);
}

}  // namespace apricotwheel

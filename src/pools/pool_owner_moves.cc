// Jobs that move from one partition of a pool to another.
#include <algorithm>
#include <utility>

#include "pools/pool_events.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

namespace {

// Jobs that one call of `MoveJobs` moves at most; about as many fit into one
// commit.
constexpr std::size_t kMaxMoves = 6;
// Copies of a submission come within seconds. A later request for the state
// finds the job in the store.
constexpr auto kMoveRetention = std::chrono::hours(1);

}  // namespace

pool_load pool_owner::Load() const {
  const std::lock_guard lock(mutex_);
  return is_loaded_ && !is_stopped_ ? scheduler_->MeasureLoad() : pool_load{};
}

void pool_owner::MoveJobs(
    const std::string& target, double pool_seconds,
    const std::function<bool(std::string_view)>& may_move) {
  std::vector<job_move> moves;
  {
    const std::lock_guard lock(mutex_);
    if (!is_loaded_ || is_stopped_ || is_quiesced_) return;
    const std::size_t limit =
        kMaxMoves - std::min(kMaxMoves, moving_jobs_.size());
    auto held = scheduler_->HoldJobs(pool_seconds, limit, may_move,
                                     options_.clock->Now());
    for (job_submission& job : held) {
      moving_jobs_.insert(job.id);
      moves.push_back({std::move(job), target});
    }
  }
  if (!moves.empty()) journal_->ScheduleMoves(std::move(moves));
}

void pool_owner::AddMoveCallbacks(job_journal::callbacks& callbacks) {
  callbacks.on_jobs_moved = [this](const std::vector<job_move>& moves) {
    {
      const std::lock_guard lock(mutex_);
      for (const job_move& move : moves) {
        scheduler_->RemoveMovedJob(move.job.id);
        moving_jobs_.erase(move.job.id);
        RecordMove(move.job.id, move.target, options_.clock->Now());
      }
      requests_changed_.notify_all();
    }
    options_.metrics->moved_jobs.Increment(static_cast<double>(moves.size()));
    Emit(options_.log, pool_events::kJobsMoved,
         {Field("pool", options_.pool), Field("target", moves.front().target),
          Field("jobs", moves.size()), Field("first", moves.front().job.id)});
    if (options_.on_jobs_moved) options_.on_jobs_moved();
  };
  callbacks.on_moves_rejected = [this](const std::vector<job_move>& moves) {
    const std::lock_guard lock(mutex_);
    for (const job_move& move : moves) {
      scheduler_->ReleaseJob(move.job.id);
      moving_jobs_.erase(move.job.id);
    }
    requests_changed_.notify_all();
    RequestDecision();
  };
}

void pool_owner::RecordMove(const std::string& job_id,
                            const std::string& target, time_point now) {
  moved_jobs_[job_id] = target;
  move_times_.emplace_back(now, job_id);
  unadopted_jobs_[target].insert(job_id);
}

void pool_owner::ForgetOldMoves(time_point now) {
  std::vector<std::string> forgotten;
  while (!move_times_.empty() &&
         move_times_.front().first + duration(kMoveRetention) <= now) {
    forgotten.push_back(std::move(move_times_.front().second));
    move_times_.pop_front();
    const auto moved = moved_jobs_.extract(forgotten.back());
    if (moved) unadopted_jobs_[moved.mapped()].erase(moved.key());
  }
  if (!forgotten.empty()) journal_->DeleteMoveRecords(std::move(forgotten));
}

std::optional<job_call_response> pool_owner::FindMoved(
    std::string_view job_id) const {
  job_call_response response;
  response.status = job_call_status::kMoved;
  const auto found = moved_jobs_.find(job_id);
  response.moved_to = found == moved_jobs_.end() ? scheduler_->GuestHome(job_id)
                                                 : found->second;
  if (response.moved_to.empty()) return std::nullopt;
  return response;
}

std::map<std::string, std::vector<std::string>> pool_owner::UnadoptedJobs()
    const {
  std::map<std::string, std::vector<std::string>> jobs;
  const std::lock_guard lock(mutex_);
  for (const auto& [target, ids] : unadopted_jobs_) {
    if (!ids.empty()) jobs[target].assign(ids.begin(), ids.end());
  }
  return jobs;
}

void pool_owner::OnAdopted(const std::string& target,
                           std::span<const std::string> jobs) {
  const std::lock_guard lock(mutex_);
  std::set<std::string>& unadopted = unadopted_jobs_[target];
  for (const std::string& id : jobs) unadopted.erase(id);
}

result<void> pool_owner::Adopt(std::span<const std::string> jobs) {
  const auto fail = [] {
    return Fail(error_kind::kUnavailable,
                "this owner cannot take jobs over now",
                "retry at the owner of the partition");
  };
  std::vector<std::string> unknown;
  {
    const std::lock_guard lock(mutex_);
    if (!is_loaded_ || is_stopped_) return fail();
    for (const std::string& id : jobs) {
      if (!scheduler_->FindJobState(id) && FindDeferred(id) == nullptr) {
        unknown.push_back(id);
      }
    }
  }
  if (unknown.empty()) return {};
  std::vector<job_submission> found;
  for (const std::string& id : unknown) {
    BOOST_LEAF_AUTO(record, options_.kv->Get(JobKey(options_.pool, id)));
    if (!record) continue;  // It has ended.
    auto job = Attempt([&] { return DecodeSubmission(record->value); });
    if (!job) {
      Emit(options_.log, pool_events::kRecordInvalid,
           {Field("key", record->key), Field("reason", Describe(job.failure))});
      continue;
    }
    found.push_back(std::move(*job));
  }
  // An owner that succeeds this one after the records were read loads them. One
  // that succeeded it before may have listed the jobs without them.
  BOOST_LEAF_AUTO(owner, options_.kv->Get(options_.owner_key));
  if (!owner || owner->revision != options_.epoch) return fail();
  const std::int64_t wall_ms = WallClockMs();
  const std::lock_guard lock(mutex_);
  if (is_stopped_) return fail();
  const auto now = options_.clock->Now();
  for (job_submission& job : found) {
    const auto age =
        milliseconds(std::max<std::int64_t>(0, wall_ms - job.accepted_at_ms));
    scheduler_->AdmitJob(std::move(job), now - age);
  }
  UpdateJobMemory();
  RequestDecision();
  return {};
}

}  // namespace apricotwheel

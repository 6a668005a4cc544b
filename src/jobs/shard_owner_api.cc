// Handles the job requests of clients.
#include <nlohmann/json.hpp>

#include "jobs/job_api_responses.h"
#include "jobs/shard_owner.h"
#include "jobs/submission.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Longer than the 3 s for which the outcome of a lost response is read back.
constexpr auto kCommitTimeout = milliseconds(5000);

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

resource_vector Multiply(const resource_vector& need, std::int64_t count) {
  return {need.cpu_milli * count, need.memory_mib * count,
          need.accelerators * count};
}

job_api_response MakeImpossibleResponse(const std::vector<std::string>& reasons,
                                        std::string_view reason) {
  auto response = MakeErrorResponse(
      422,
      {error_kind::kImpossible, "the job can never run: " + reasons.front(),
       "declare fewer resources, or add VMs or quota"},
      "not_run", reason);
  auto body = json::parse(response.body);
  body["reasons"] = reasons;
  response.body = Dump(body);
  return response;
}

}  // namespace

std::optional<job_api_response> shard_owner::CheckFeasibility(
    const job_record& job, const cell_snapshot& cell) const {
  const auto reasons = FindImpossibleResources(job.need, cell.vms.get());
  if (!reasons.empty()) return MakeImpossibleResponse(reasons, "impossible");
  const auto count = job.kind == task_kind::kGang
                         ? static_cast<std::int64_t>(job.tasks.size())
                         : 1;
  const auto needed = Multiply(job.need, count);
  const auto* team = cell.document->FindTeam(job.team);
  if (team != nullptr && !Fits(needed, team->quota)) {
    return MakeImpossibleResponse(
        {"quota: the tasks that must run together need more than "
         "the quota of team " +
         job.team},
        "over_quota");
  }
  if (job.kind == task_kind::kGang && cell.vms && !cell.vms->vms.empty()) {
    resource_vector total;
    for (const auto& vm : cell.vms->vms) total = total + vm.capacity;
    if (!Fits(needed, total)) {
      return MakeImpossibleResponse(
          {"gang: its tasks need more than all VMs have together"},
          "impossible");
    }
  }
  return {};
}

job_api_response shard_owner::Submit(std::string_view body) {
  const auto cell = options_.cell.snapshot();
  if (!cell.document)
    return MakeNotRunResponse("the cluster document is not loaded yet",
                              "no_document");
  auto parsed = ParseSubmission(body, *cell.document);
  if (auto* error_response = std::get_if<job_api_response>(&parsed))
    return std::move(*error_response);
  auto& job = std::get<job_record>(parsed);
  if (auto infeasible = CheckFeasibility(job, cell))
    return std::move(*infeasible);
  return StoreSubmission(std::move(job));
}

job_api_response shard_owner::StoreSubmission(job_record job) {
  const auto id = job.job_id;
  std::uint64_t version = 0;
  bool is_new = false;
  {
    std::lock_guard guard(mutex_);
    if (!records_loaded_ || store_.IsFenced()) {
      return MakeNotRunResponse("the shard's records are being taken over",
                                "ownership_uncertain");
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      is_new = true;
      for (auto& task : job.tasks) task.queued_at = options_.clock->Now();
      auto& stored_job = jobs_.emplace(id, std::move(job)).first->second;
      uncommitted_jobs_.insert(id);
      StageJob(stored_job);
      version = stored_job.version;
    } else {
      version = found->second.version;
    }
  }
  const auto state =
      store_.WaitCommitted(id, version, options_.clock->Now() + kCommitTimeout);
  std::lock_guard guard(mutex_);
  const auto found = jobs_.find(id);
  if (state == commit_state::kRejected) {
    if (found != jobs_.end() && !found->second.committed) {
      jobs_.erase(found);
      uncommitted_jobs_.erase(id);
    }
    return MakeNotRunResponse("the job's record could not be committed",
                              "record_not_committed");
  }
  if (state != commit_state::kCommitted || found == jobs_.end()) {
    return MakeUnknownOutcomeResponse(
        "it is unknown whether the job was committed", "commit_unknown");
  }
  uncommitted_jobs_.erase(id);
  QueueCommittedJob(id);
  return {is_new ? 201 : 200,
          Dump({{"job_id", id}, {"state", JobStateName(found->second)}})};
}

job_api_response shard_owner::Get(std::string_view job_id, duration wait) {
  std::unique_lock lock(mutex_);
  if (!records_loaded_) {
    return MakeNotRunResponse("the shard's records are being taken over",
                              "ownership_uncertain");
  }
  const auto ended = [&] {
    const auto found = jobs_.find(job_id);
    return found == jobs_.end() || HasEnded(found->second) ||
           round_wake_.Stopped();
  };
  options_.clock->WaitFor(lock, job_changed_, wait, ended);
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return MakeUnknownJobResponse(job_id);
  return {200, Dump(DescribeJob(found->second, true))};
}

job_api_response shard_owner::Cancel(std::string_view job_id) {
  std::uint64_t version = 0;
  {
    std::lock_guard guard(mutex_);
    if (!records_loaded_ || store_.IsFenced()) {
      return MakeNotRunResponse("the shard's records are being taken over",
                                "ownership_uncertain");
    }
    const auto found = jobs_.find(job_id);
    if (found == jobs_.end()) return MakeUnknownJobResponse(job_id);
    auto& job = found->second;
    if (!job.cancelled && !HasEnded(job)) {
      job.cancelled = true;
      for (auto& task : job.tasks) {
        if (IsActive(task.state)) {
          task.stop_requested = true;
          task.stop_sent_at = time_point::min();
          stopping_tasks_.insert(task.task_id);
        } else if (!HasEnded(task.state)) {
          SetTaskState({&task, &job, nullptr}, attempt_state::kStopped);
        }
      }
      StageJob(job);
      round_wake_.Wake();
    }
    version = job.version;
  }
  const auto state = store_.WaitCommitted(
      job_id, version, options_.clock->Now() + kCommitTimeout);
  std::lock_guard guard(mutex_);
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return MakeUnknownJobResponse(job_id);
  if (state != commit_state::kCommitted) {
    return MakeUnknownOutcomeResponse("the cancellation is not committed yet",
                                      "commit_unknown");
  }
  return {200, Dump({{"job_id", job_id},
                     {"state", JobStateName(found->second)},
                     {"had_run", HadRun(found->second)}})};
}

job_api_response shard_owner::ExplainJob(std::string_view job_id) {
  std::vector<std::string> reasons;
  std::string state;
  std::optional<wire::taskT> pending_task;
  std::vector<std::string> queue_reasons;
  {
    std::lock_guard guard(mutex_);
    const auto found = jobs_.find(job_id);
    if (found == jobs_.end()) return MakeUnknownJobResponse(job_id);
    auto& job = found->second;
    state = JobStateName(job);
    std::map<std::string, std::size_t> counts;
    for (auto& task : job.tasks) {
      if (task.state == attempt_state::kFailed) {
        ++counts["failed: " + task.message];
      }
      if (HasEnded(task.state) || task.state == attempt_state::kRunning) {
        continue;
      }
      if (task.state == attempt_state::kPlaced) {
        ++counts[task.worker.empty() ? "it may run; inventories are being read"
                                     : "it is being started on " + task.worker];
        continue;
      }
      ++counts[task.reason.empty() ? "waits for its turn" : task.reason];
      if (!pending_task) {
        const task_ref ref{&task, &job, nullptr};
        pending_task = ToWireTask(ref);
        queue_reasons = ExplainQueueWait(ref);
      }
    }
    for (const auto& [reason, count] : counts) {
      reasons.push_back(std::to_string(count) + " task(s): " + reason);
    }
  }
  reasons.insert(reasons.end(), queue_reasons.begin(), queue_reasons.end());
  if (pending_task && options_.cell.explain_placement) {
    for (auto& line : options_.cell.explain_placement(*pending_task)) {
      reasons.push_back(std::move(line));
    }
  }
  return {200, Dump({{"job_id", job_id},
                     {"state", state},
                     {"reasons", std::move(reasons)}})};
}

job_api_response shard_owner::List() {
  std::lock_guard guard(mutex_);
  json all = json::array();
  for (const auto& [id, job] : jobs_) {
    if (job.committed) all.push_back(DescribeJob(job, false));
  }
  return {records_loaded_ ? 200 : 503, Dump({{"jobs", std::move(all)}})};
}

}  // namespace apricotwheel

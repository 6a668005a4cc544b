// The job calls of callers.
#include <nlohmann/json.hpp>

#include "jobs/job_replies.h"
#include "jobs/shard_owner.h"
#include "jobs/submission.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Covers the settling of a lost reply to the write of the record.
constexpr auto kCommitLimit = milliseconds(5000);

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

resource_vector Times(const resource_vector& need, std::int64_t count) {
  return {need.cpu_milli * count, need.memory_mib * count,
          need.accelerators * count};
}

job_reply Impossible(const std::vector<std::string>& reasons,
                     std::string_view reason) {
  auto reply = ErrorReply(
      422,
      {error_kind::kImpossible, "the job can never run: " + reasons.front(),
       "declare less, or add VMs or quota"},
      "not_run", reason);
  auto body = json::parse(reply.body);
  body["reasons"] = reasons;
  reply.body = Dump(body);
  return reply;
}

}  // namespace

std::optional<job_reply> shard_owner::Refusal(const job_record& job,
                                              const cell_picture& cell) const {
  const auto reasons = ImpossibleResources(job.need, cell.vms.get());
  if (!reasons.empty()) return Impossible(reasons, "impossible");
  const auto count = job.kind == task_kind::kGang
                         ? static_cast<std::int64_t>(job.tasks.size())
                         : 1;
  const auto needed = Times(job.need, count);
  const auto* team = cell.document->FindTeam(job.team);
  if (team != nullptr && !Fits(needed, team->quota)) {
    return Impossible({"quota: the tasks that must run together need more than "
                       "the quota of team " +
                       job.team},
                      "over_quota");
  }
  if (job.kind == task_kind::kGang && cell.vms && !cell.vms->vms.empty()) {
    resource_vector total;
    for (const auto& vm : cell.vms->vms) total = total + vm.capacity;
    if (!Fits(needed, total)) {
      return Impossible({"gang: all VMs together cannot hold its tasks"},
                        "impossible");
    }
  }
  return {};
}

job_reply shard_owner::Submit(std::string_view body) {
  const auto cell = options_.cell.picture();
  if (!cell.document) return NotRun("no document is known yet", "no_document");
  auto parsed = ParseSubmission(body, *cell.document);
  if (auto* reply = std::get_if<job_reply>(&parsed)) return std::move(*reply);
  auto& job = std::get<job_record>(parsed);
  if (auto refusal = Refusal(job, cell)) return std::move(*refusal);
  return SubmitJob(std::move(job));
}

job_reply shard_owner::SubmitJob(job_record job) {
  const auto id = job.job_id;
  std::uint64_t version = 0;
  bool is_new = false;
  {
    std::lock_guard guard(mutex_);
    if (!loaded_ || store_.Fenced()) {
      return NotRun("the shard's records are being taken over",
                    "ownership_uncertain");
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      is_new = true;
      for (auto& task : job.tasks) task.queued_at = options_.clock->Now();
      auto& kept = jobs_.emplace(id, std::move(job)).first->second;
      uncommitted_.insert(id);
      StageJob(kept);
      version = kept.version;
    } else {
      version = found->second.version;
    }
  }
  const auto state =
      store_.WaitCommitted(id, version, options_.clock->Now() + kCommitLimit);
  std::lock_guard guard(mutex_);
  const auto found = jobs_.find(id);
  if (state == commit_state::kRejected) {
    if (found != jobs_.end() && !found->second.committed) {
      jobs_.erase(found);
      uncommitted_.erase(id);
    }
    return NotRun("the job's record could not be committed",
                  "record_not_committed");
  }
  if (state != commit_state::kCommitted || found == jobs_.end()) {
    return UnknownEffect("it is not known whether the job was committed",
                         "commit_unknown");
  }
  uncommitted_.erase(id);
  PromoteCommitted(id);
  return {is_new ? 201 : 200,
          Dump({{"job_id", id}, {"state", StateName(found->second)}})};
}

job_reply shard_owner::Get(std::string_view job_id, duration wait) {
  std::unique_lock lock(mutex_);
  if (!loaded_) {
    return NotRun("the shard's records are being taken over",
                  "ownership_uncertain");
  }
  const auto ended = [&] {
    const auto found = jobs_.find(job_id);
    return found == jobs_.end() || HasEnded(found->second) ||
           round_wake_.Stopped();
  };
  options_.clock->WaitFor(lock, changed_, wait, ended);
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return NoSuchJob(job_id);
  return {200, Dump(DescribeJob(found->second, true))};
}

job_reply shard_owner::Cancel(std::string_view job_id) {
  std::uint64_t version = 0;
  {
    std::lock_guard guard(mutex_);
    if (!loaded_ || store_.Fenced()) {
      return NotRun("the shard's records are being taken over",
                    "ownership_uncertain");
    }
    const auto found = jobs_.find(job_id);
    if (found == jobs_.end()) return NoSuchJob(job_id);
    auto& job = found->second;
    if (!job.cancelled && !HasEnded(job)) {
      job.cancelled = true;
      for (auto& task : job.tasks) {
        if (IsActive(task.state)) {
          task.stopping = true;
          task.stop_sent_at = time_point::min();
          stopping_.insert(task.task_id);
        } else if (!HasEnded(task.state)) {
          SetState({&task, &job, nullptr}, attempt_state::kStopped);
        }
      }
      StageJob(job);
      round_wake_.Wake();
    }
    version = job.version;
  }
  const auto state = store_.WaitCommitted(job_id, version,
                                          options_.clock->Now() + kCommitLimit);
  std::lock_guard guard(mutex_);
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return NoSuchJob(job_id);
  if (state != commit_state::kCommitted) {
    return UnknownEffect("the cancellation is not committed yet",
                         "commit_unknown");
  }
  return {200, Dump({{"job_id", job_id},
                     {"state", StateName(found->second)},
                     {"had_run", HadRun(found->second)}})};
}

job_reply shard_owner::Why(std::string_view job_id) {
  std::vector<std::string> reasons;
  std::string state;
  std::optional<wire::taskT> example;
  std::vector<std::string> queue_lines;
  {
    std::lock_guard guard(mutex_);
    const auto found = jobs_.find(job_id);
    if (found == jobs_.end()) return NoSuchJob(job_id);
    auto& job = found->second;
    state = StateName(job);
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
      if (!example) {
        const task_ref ref{&task, &job, nullptr};
        example = ToWireTask(ref);
        queue_lines = ExplainQueue(ref);
      }
    }
    for (const auto& [reason, count] : counts) {
      reasons.push_back(std::to_string(count) + " task(s): " + reason);
    }
  }
  reasons.insert(reasons.end(), queue_lines.begin(), queue_lines.end());
  if (example && options_.cell.explain) {
    for (auto& line : options_.cell.explain(*example)) {
      reasons.push_back(std::move(line));
    }
  }
  return {200, Dump({{"job_id", job_id},
                     {"state", state},
                     {"reasons", std::move(reasons)}})};
}

job_reply shard_owner::List() {
  std::lock_guard guard(mutex_);
  json all = json::array();
  for (const auto& [id, job] : jobs_) {
    if (job.committed) all.push_back(DescribeJob(job, false));
  }
  return {loaded_ ? 200 : 503, Dump({{"jobs", std::move(all)}})};
}

}  // namespace apricotwheel

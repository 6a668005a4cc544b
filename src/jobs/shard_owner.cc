#include "jobs/shard_owner.h"

#include <algorithm>
#include <charconv>

#include "jobs/jobs_events.h"

namespace apricotwheel {

namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr auto kAttemptBackoffBase = milliseconds(200);
constexpr auto kMaxAttemptBackoff = milliseconds(10'000);
constexpr auto kBusyRoundInterval = milliseconds(20);
constexpr auto kIdleRoundInterval = milliseconds(500);
constexpr auto kCommitRetryInterval = milliseconds(200);
// Backoff of tasks that did not fit. It is shorter than the default of the
// queue, since free capacity is published with a lag and urgent tasks must
// start within 2.4 s.
constexpr auto kQueueBackoffBase = milliseconds(50);
constexpr auto kMaxQueueBackoff = milliseconds(500);
// Bounds the length of a round: each gang takes several calls.
constexpr std::size_t kMaxGangsPerRound = 4;
constexpr auto kSegmentCleanupInterval = milliseconds(30'000);
// From this many staged records on, a commit does not wait for more of them.
constexpr std::size_t kGroupCommitSize = 256;
// Prefix of the message of a task that failed before its start.
constexpr std::string_view kNotStartedPrefix = "not started";

// Returns true if the attempt failed because of its worker. Such an attempt
// does not count against the task. The texts are those of `worker_fleet`.
bool IsWorkerFailure(std::string_view message) {
  return message.starts_with("lease expired") ||
         message.starts_with("the worker no longer");
}

}  // namespace

const std::string& shard_owner::task_ref::Team() const {
  static const std::string no_team;
  if (job != nullptr) return job->team;
  return service != nullptr ? service->config.team : no_team;
}

resource_vector shard_owner::task_ref::Need() const {
  if (job != nullptr) return job->need;
  return service != nullptr ? service->config.resources : resource_vector{};
}

priority_class shard_owner::task_ref::Priority() const {
  if (job != nullptr) return job->priority;
  return service != nullptr ? service->config.priority : priority_class::kBatch;
}

bool shard_owner::task_ref::IsNoLongerNeeded() const {
  return job ? job->cancelled : task->stop_requested;
}

shard_owner::shard_owner(shard_owner_options options)
    : options_(std::move(options)),
      store_({options_.shard, options_.epoch, options_.member_id, options_.kv,
              options_.clock, options_.log}),
      random_{options_.random_seed},
      round_wake_(options_.clock),
      commit_wake_(options_.clock) {
  queue_.settings.backoff_base = kQueueBackoffBase;
  queue_.settings.backoff_limit = kMaxQueueBackoff;
}

shard_owner::~shard_owner() { Stop(); }

result<void> shard_owner::Start() {
  BOOST_LEAF_CHECK(threads_.Spawn("shard", [this] {
    while (!round_wake_.Stopped()) {
      RunRound();
      round_wake_.WaitFor(PendingTaskCount() > 0
                              ? duration(kBusyRoundInterval)
                              : duration(kIdleRoundInterval));
    }
  }));
  return threads_.Spawn("shard-commit", [this] {
    auto next_drop = options_.clock->Now() + kSegmentCleanupInterval;
    while (!commit_wake_.Stopped()) {
      commit_wake_.WaitFor(kSegmentCleanupInterval);
      if (store_.StagedCount() < kGroupCommitSize) {
        options_.clock->SleepFor(options_.commit_interval);
      }
      while (!CommitStagedRecords() && !commit_wake_.Stopped() &&
             !store_.IsFenced()) {
        options_.clock->SleepFor(kCommitRetryInterval);
      }
      if (options_.clock->Now() < next_drop) continue;
      next_drop = options_.clock->Now() + kSegmentCleanupInterval;
      const auto dropped = store_.DropExpiredSegments();
      std::lock_guard guard(mutex_);
      for (const auto& id : dropped) jobs_.erase(id);
    }
    CommitStagedRecords();
  });
}

void shard_owner::Stop() {
  round_wake_.Stop();
  commit_wake_.Stop();
  threads_.JoinAll();
  job_changed_.notify_all();
}

bool shard_owner::CommitStagedRecords() {
  {
    std::lock_guard guard(mutex_);
    if (!records_loaded_) return true;
  }
  const auto flushed = Attempt([&] { return store_.Flush(); });
  if (flushed) {
    options_.metrics->commits.Increment(static_cast<double>(*flushed));
    if (*flushed > 0) round_wake_.Wake();
    return true;
  }
  Emit(options_.log, store_.IsFenced() ? kJobStoreFenced : kJobCommitFailed,
       {Field("shard", options_.shard),
        Field("error", Describe(flushed.failure))});
  return false;
}

bool shard_owner::LoadRecords() {
  auto loaded = Attempt([&] { return store_.Load(); });
  std::lock_guard guard(mutex_);
  if (!loaded) {
    Emit(options_.log, kShardLoadFailed,
         {Field("shard", options_.shard),
          Field("error", Describe(loaded.failure))});
    return false;
  }
  const auto now = options_.clock->Now();
  for (auto& job : *loaded) {
    job.committed = true;
    const auto id = job.job_id;
    auto& stored_job = jobs_.insert_or_assign(id, std::move(job)).first->second;
    for (auto& task : stored_job.tasks) {
      task.queued_at = now;
      if (HasEnded(task.state)) continue;
      // The task may be running. Complete inventories will show whether it is.
      SetTaskState({&task, &stored_job, nullptr}, attempt_state::kPlaced);
      task.state_changed_at = time_point::min();
      if (stored_job.cancelled) {
        task.stop_requested = true;
        stopping_tasks_.insert(task.task_id);
      }
    }
  }
  records_loaded_ = true;
  Emit(options_.log, kShardTaken,
       {Field("shard", options_.shard), Field("epoch", options_.epoch),
        Field("jobs", jobs_.size())});
  return true;
}

void shard_owner::RunRound() {
  if (store_.IsFenced()) return;
  const auto cell = options_.cell.snapshot();
  if (!cell.view) return;
  if (!records_loaded_ && !LoadRecords()) return;
  QueueCommittedJobs();
  CollectInventories(cell);
  ReconcileServices(cell);
  SendStopRequests(cell);
  for (std::size_t gangs = 0; gangs < kMaxGangsPerRound; ++gangs) {
    if (!PlacePendingTasks(cell)) break;
  }
}

void shard_owner::QueueCommittedJob(std::string_view job_id) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second.committed) return;
  found->second.committed = true;
  for (const auto& task : found->second.tasks) {
    if (task.state != attempt_state::kPending) continue;
    SetTaskState(FindTask(task.task_id), attempt_state::kPending);
  }
  round_wake_.Wake();
}

void shard_owner::QueueCommittedJobs() {
  // Handles records that were committed after their caller stopped waiting.
  std::lock_guard guard(mutex_);
  std::erase_if(uncommitted_jobs_, [&](const auto& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return true;
    if (store_.CommitStateOf(id, found->second.version) !=
        commit_state::kCommitted) {
      return false;
    }
    QueueCommittedJob(id);
    return true;
  });
}

shard_owner::task_ref shard_owner::FindTask(std::string_view task_id) {
  const auto slash = task_id.rfind('/');
  if (slash == std::string_view::npos) return {};
  std::uint32_t index = 0;
  const auto digits = task_id.substr(slash + 1);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (parsed.ec != std::errc()) return {};
  if (task_id.starts_with(kServiceTaskIdPrefix)) {
    const auto name = task_id.substr(kServiceTaskIdPrefix.size(),
                                     slash - kServiceTaskIdPrefix.size());
    const auto service = services_.find(name);
    if (service == services_.end()) return {};
    const auto instance = service->second.instances.find(index);
    if (instance == service->second.instances.end()) return {};
    return {&instance->second, nullptr, &service->second};
  }
  const auto job = jobs_.find(task_id.substr(0, slash));
  if (job == jobs_.end() || index >= job->second.tasks.size()) return {};
  return {&job->second.tasks[index], &job->second, nullptr};
}

void shard_owner::SetTaskState(const task_ref& ref, attempt_state state) {
  auto& task = *ref.task;
  const bool was_active = IsActive(task.state);
  task.state = state;
  task.state_changed_at = options_.clock->Now();
  const bool taken_from_queue = queue_.taken.contains(task.task_id);
  if (state != attempt_state::kPending) {
    pending_tasks_.erase(task.task_id);
    if (ref.IsGang()) {
      RemoveEntry(queue_, ref.job->job_id);
    } else if (!taken_from_queue) {
      RemoveEntry(queue_, task.task_id);
    }
  }
  if (IsActive(state) && !was_active) {
    task.charged_resources = ref.Need();
    // `TakeNext` has already charged an entry that was taken from the queue.
    if (!taken_from_queue) Charge(queue_, ref.Team(), task.charged_resources);
    ++active_task_count_;
  } else if (!IsActive(state) && was_active) {
    ConfirmStarted(queue_, task.task_id);
    Refund(queue_, ref.Team(), task.charged_resources);
    EndBackoff(queue_, task.charged_resources, task.state_changed_at);
    task.charged_resources = {};
    --active_task_count_;
    stopping_tasks_.erase(task.task_id);
    task.stop_requested = false;
  }
  if (state == attempt_state::kPending) {
    pending_tasks_.insert(task.task_id);
    QueueTask(ref);
  }
}

void shard_owner::StageJob(job_record& job) {
  if (is_batching_) {
    batched_jobs_.insert(job.job_id);
    return;
  }
  if (HasEnded(job) && job.ended_at_ms == 0) job.ended_at_ms = WallClockMs();
  job.version = store_.Stage(job);
  commit_wake_.Wake();
  job_changed_.notify_all();
}

void shard_owner::EndTask(const task_ref& ref, attempt_state state) {
  if (ref.service != nullptr) {
    const auto id = ref.task->task_id;
    SetTaskState(ref, state);
    std::erase_if(ref.service->instances, [&](const auto& entry) {
      return entry.second.task_id == id;
    });
    return;
  }
  SetTaskState(ref, state);
  StageJob(*ref.job);
}

void shard_owner::RequeueTask(const task_ref& ref, std::string_view reason,
                              duration delay) {
  if (ref.IsNoLongerNeeded()) {
    EndTask(ref, attempt_state::kStopped);
    return;
  }
  if (ref.service != nullptr) {
    // The next round starts a new instance.
    ref.service->retry_at =
        std::max(ref.service->retry_at, options_.clock->Now() + delay);
    EndTask(ref, attempt_state::kStopped);
    return;
  }
  ref.task->reason = reason;
  ref.task->worker.clear();
  ref.task->partition.clear();
  ref.task->backoff_until = options_.clock->Now() + delay;
  SetTaskState(ref, attempt_state::kPending);
  if (ref.job->restarting) FinishGangRestart(*ref.job);
}

void shard_owner::RestartGang(job_record& job, std::string_view reason) {
  job.restarting = true;
  for (auto& task : job.tasks) {
    if (!IsActive(task.state)) continue;
    task.reason = reason;
    task.stop_requested = true;
    stopping_tasks_.insert(task.task_id);
  }
  FinishGangRestart(job);
}

void shard_owner::FinishGangRestart(job_record& job) {
  for (const auto& task : job.tasks) {
    if (IsActive(task.state)) return;
  }
  job.restarting = false;
  const bool failed = std::any_of(
      job.tasks.begin(), job.tasks.end(),
      [](const auto& task) { return task.state == attempt_state::kFailed; });
  if (!failed) {
    QueueGang(job);
    return;
  }
  for (auto& task : job.tasks) {
    if (HasEnded(task.state)) continue;
    task.message = "stopped: another task of the gang failed";
    SetTaskState({&task, &job, nullptr}, attempt_state::kStopped);
  }
}

void shard_owner::OnAttemptFailed(const task_ref& ref,
                                  std::string_view message) {
  auto& task = *ref.task;
  Emit(options_.log, kTaskFailed,
       {Field("task", task.task_id), Field("worker", task.worker),
        Field("message", message)});
  const bool not_started = message.starts_with(kNotStartedPrefix);
  const bool counts_as_attempt = !not_started && !IsWorkerFailure(message);
  if (ref.service != nullptr) {
    auto& service = *ref.service;
    ++service.recent_failures;
    service.failed_on.push_back(task.worker);
    if (service.failed_on.size() > kMaxAttempts) {
      service.failed_on.erase(service.failed_on.begin());
    }
    const int exponent =
        static_cast<int>(std::min<std::uint32_t>(service.recent_failures, 8)) -
        1;
    RequeueTask(ref, message,
                BackoffWithJitter(random_, exponent, kAttemptBackoffBase,
                                  kMaxAttemptBackoff));
    return;
  }
  task.message = message;
  if (counts_as_attempt) {
    ++task.failed_attempts;
    task.failed_on.push_back(task.worker);
  }
  if (ref.IsGang()) RestartGang(*ref.job, message);
  if (task.failed_attempts >= kMaxAttempts && !ref.IsNoLongerNeeded()) {
    SetTaskState(ref, attempt_state::kFailed);
    if (ref.IsGang()) FinishGangRestart(*ref.job);
    return;
  }
  RequeueTask(ref, message,
              BackoffWithJitter(random_, static_cast<int>(task.failed_attempts),
                                kAttemptBackoffBase, kMaxAttemptBackoff));
}

void shard_owner::SetTaskRunning(const task_ref& ref, const std::string& member,
                                 const wire::running_taskT& event) {
  auto& task = *ref.task;
  const auto now = options_.clock->Now();
  ConfirmStarted(queue_, task.task_id);
  if (task.state != attempt_state::kRunning) {
    SetTaskState(ref, attempt_state::kRunning);
    if (!task.had_run) {
      const auto waited = now - task.queued_at;
      task.waited_ms = std::chrono::duration_cast<milliseconds>(waited).count();
      options_.metrics->ObserveTaskWait(
          ref.Priority(), std::chrono::duration<double>(waited).count());
    }
    task.had_run = true;
    if (ref.service != nullptr) ref.service->recent_failures = 0;
  }
  task.member = member;
  task.worker = event.worker;
  task.partition = event.partition;
  task.address = event.address;
  job_changed_.notify_all();
}

std::size_t shard_owner::PendingTaskCount() const {
  std::lock_guard guard(mutex_);
  return pending_tasks_.size();
}

std::size_t shard_owner::ActiveTaskCount() const {
  std::lock_guard guard(mutex_);
  return active_task_count_;
}

}  // namespace apricotwheel

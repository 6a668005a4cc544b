#include "jobs/shard_owner.h"

#include <algorithm>
#include <charconv>

#include "jobs/jobs_events.h"

namespace apricotwheel {

namespace {

constexpr std::uint32_t kAttempts = 3;
constexpr auto kRetryBase = milliseconds(200);
constexpr auto kRetryLimit = milliseconds(10'000);
constexpr auto kBusyRound = milliseconds(20);
constexpr auto kIdleRound = milliseconds(500);
constexpr auto kCommitRetry = milliseconds(200);
// Room is published with a lag, and urgent tasks must start within 2.4 s, so a
// size that does not fit is tried again sooner than by default.
constexpr auto kQueueBackoff = milliseconds(50);
constexpr auto kQueueBackoffLimit = milliseconds(500);
constexpr std::size_t kGangsPerRound = 4;
constexpr auto kDropInterval = milliseconds(30'000);
constexpr std::size_t kGroupSize = 256;
constexpr std::string_view kNotStarted = "not started";

// The failure is the worker's, not the task's.
bool LostWithWorker(std::string_view message) {
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

bool shard_owner::task_ref::Unwanted() const {
  return job ? job->cancelled : task->stopping;
}

shard_owner::shard_owner(shard_owner_options options)
    : options_(std::move(options)),
      store_({options_.shard, options_.epoch, options_.member_id, options_.kv,
              options_.clock, options_.log}),
      random_{options_.random_seed},
      round_wake_(options_.clock),
      commit_wake_(options_.clock) {
  queue_.settings.backoff_base = kQueueBackoff;
  queue_.settings.backoff_limit = kQueueBackoffLimit;
}

shard_owner::~shard_owner() { Stop(); }

result<void> shard_owner::Start() {
  BOOST_LEAF_CHECK(threads_.Spawn("shard", [this] {
    while (!round_wake_.Stopped()) {
      Round();
      round_wake_.WaitFor(PendingTasks() > 0 ? duration(kBusyRound)
                                             : duration(kIdleRound));
    }
  }));
  return threads_.Spawn("shard-commit", [this] {
    auto next_drop = options_.clock->Now() + kDropInterval;
    while (!commit_wake_.Stopped()) {
      commit_wake_.WaitFor(kDropInterval);
      if (store_.StagedCount() < kGroupSize) {
        options_.clock->SleepFor(options_.commit_interval);
      }
      while (!Commit() && !commit_wake_.Stopped() && !store_.Fenced()) {
        options_.clock->SleepFor(kCommitRetry);
      }
      if (options_.clock->Now() < next_drop) continue;
      next_drop = options_.clock->Now() + kDropInterval;
      const auto dropped = store_.DropOld();
      std::lock_guard guard(mutex_);
      for (const auto& id : dropped) jobs_.erase(id);
    }
    Commit();
  });
}

void shard_owner::Stop() {
  round_wake_.Stop();
  commit_wake_.Stop();
  threads_.JoinAll();
  changed_.notify_all();
}

bool shard_owner::Commit() {
  {
    std::lock_guard guard(mutex_);
    if (!loaded_) return true;
  }
  const auto flushed = Attempt([&] { return store_.Flush(); });
  if (flushed) {
    options_.metrics->commits.Increment(static_cast<double>(*flushed));
    if (*flushed > 0) round_wake_.Wake();
    return true;
  }
  Emit(options_.log, store_.Fenced() ? kJobStoreFenced : kJobCommitFailed,
       {Field("shard", options_.shard),
        Field("error", Describe(flushed.failure))});
  return false;
}

bool shard_owner::Load() {
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
    auto& kept = jobs_.insert_or_assign(id, std::move(job)).first->second;
    for (auto& task : kept.tasks) {
      task.queued_at = now;
      if (HasEnded(task.state)) continue;
      // It may run: only complete inventories tell.
      SetState({&task, &kept, nullptr}, attempt_state::kPlaced);
      task.changed_at = time_point::min();
      if (kept.cancelled) {
        task.stopping = true;
        stopping_.insert(task.task_id);
      }
    }
  }
  loaded_ = true;
  Emit(options_.log, kShardTaken,
       {Field("shard", options_.shard), Field("epoch", options_.epoch),
        Field("jobs", jobs_.size())});
  return true;
}

void shard_owner::Round() {
  if (store_.Fenced()) return;
  const auto cell = options_.cell.picture();
  if (!cell.view) return;
  if (!loaded_ && !Load()) return;
  PromoteAllCommitted();
  TakeInventory(cell);
  KeepServices(cell);
  SendStops(cell);
  for (std::size_t gangs = 0; gangs < kGangsPerRound; ++gangs) {
    if (!PlacePending(cell)) break;
  }
}

void shard_owner::PromoteCommitted(std::string_view job_id) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second.committed) return;
  found->second.committed = true;
  for (const auto& task : found->second.tasks) {
    if (task.state != attempt_state::kPending) continue;
    SetState(Find(task.task_id), attempt_state::kPending);
  }
  round_wake_.Wake();
}

void shard_owner::PromoteAllCommitted() {
  // A record whose commit outlasted its caller's wait.
  std::lock_guard guard(mutex_);
  std::erase_if(uncommitted_, [&](const auto& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return true;
    if (store_.StateOf(id, found->second.version) != commit_state::kCommitted) {
      return false;
    }
    PromoteCommitted(id);
    return true;
  });
}

shard_owner::task_ref shard_owner::Find(std::string_view task_id) {
  const auto slash = task_id.rfind('/');
  if (slash == std::string_view::npos) return {};
  std::uint32_t index = 0;
  const auto digits = task_id.substr(slash + 1);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (parsed.ec != std::errc()) return {};
  if (task_id.starts_with(kServicePrefix)) {
    const auto name =
        task_id.substr(kServicePrefix.size(), slash - kServicePrefix.size());
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

void shard_owner::SetState(const task_ref& ref, attempt_state state) {
  auto& task = *ref.task;
  const bool was_active = IsActive(task.state);
  task.state = state;
  task.changed_at = options_.clock->Now();
  const bool taken = queue_.taken.contains(task.task_id);
  if (state != attempt_state::kPending) {
    pending_.erase(task.task_id);
    if (ref.IsGang()) {
      RemoveEntry(queue_, ref.job->job_id);
    } else if (!taken) {
      RemoveEntry(queue_, task.task_id);
    }
  }
  if (IsActive(state) && !was_active) {
    task.charged = ref.Need();
    // A taken entry is charged already.
    if (!taken) Charge(queue_, ref.Team(), task.charged);
    ++active_;
  } else if (!IsActive(state) && was_active) {
    ConfirmStarted(queue_, task.task_id);
    Refund(queue_, ref.Team(), task.charged);
    EndBackoff(queue_, task.charged, task.changed_at);
    task.charged = {};
    --active_;
    stopping_.erase(task.task_id);
    task.stopping = false;
  }
  if (state == attempt_state::kPending) {
    pending_.insert(task.task_id);
    QueueTask(ref);
  }
}

void shard_owner::StageJob(job_record& job) {
  if (batching_) {
    batch_.insert(job.job_id);
    return;
  }
  if (HasEnded(job) && job.ended_at_ms == 0) job.ended_at_ms = WallClockMs();
  job.version = store_.Stage(job);
  commit_wake_.Wake();
  changed_.notify_all();
}

void shard_owner::Finish(const task_ref& ref, attempt_state state) {
  if (ref.service != nullptr) {
    const auto id = ref.task->task_id;
    SetState(ref, state);
    std::erase_if(ref.service->instances, [&](const auto& entry) {
      return entry.second.task_id == id;
    });
    return;
  }
  SetState(ref, state);
  StageJob(*ref.job);
}

void shard_owner::Requeue(const task_ref& ref, std::string_view reason,
                          duration delay) {
  if (ref.Unwanted()) {
    Finish(ref, attempt_state::kStopped);
    return;
  }
  if (ref.service != nullptr) {
    // Its index is free again; the next round fills it.
    ref.service->retry_at =
        std::max(ref.service->retry_at, options_.clock->Now() + delay);
    Finish(ref, attempt_state::kStopped);
    return;
  }
  ref.task->reason = reason;
  ref.task->worker.clear();
  ref.task->partition.clear();
  ref.task->ready_at = options_.clock->Now() + delay;
  SetState(ref, attempt_state::kPending);
  if (ref.job->restarting) SettleGang(*ref.job);
}

void shard_owner::RestartGang(job_record& job, std::string_view reason) {
  job.restarting = true;
  for (auto& task : job.tasks) {
    if (!IsActive(task.state)) continue;
    task.reason = reason;
    task.stopping = true;
    stopping_.insert(task.task_id);
  }
  SettleGang(job);
}

void shard_owner::SettleGang(job_record& job) {
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
    SetState({&task, &job, nullptr}, attempt_state::kStopped);
  }
}

void shard_owner::OnAttemptFailed(const task_ref& ref,
                                  std::string_view message) {
  auto& task = *ref.task;
  Emit(options_.log, kTaskFailed,
       {Field("task", task.task_id), Field("worker", task.worker),
        Field("message", message)});
  const bool not_started = message.starts_with(kNotStarted);
  const bool counts = !not_started && !LostWithWorker(message);
  if (ref.service != nullptr) {
    auto& service = *ref.service;
    ++service.failures;
    service.failed_on.push_back(task.worker);
    if (service.failed_on.size() > kAttempts) {
      service.failed_on.erase(service.failed_on.begin());
    }
    const int exponent =
        static_cast<int>(std::min<std::uint32_t>(service.failures, 8)) - 1;
    Requeue(ref, message,
            BackoffWithJitter(random_, exponent, kRetryBase, kRetryLimit));
    return;
  }
  task.message = message;
  if (counts) {
    ++task.attempts;
    task.failed_on.push_back(task.worker);
  }
  if (ref.IsGang()) RestartGang(*ref.job, message);
  if (task.attempts >= kAttempts && !ref.Unwanted()) {
    SetState(ref, attempt_state::kFailed);
    if (ref.IsGang()) SettleGang(*ref.job);
    return;
  }
  Requeue(ref, message,
          BackoffWithJitter(random_, static_cast<int>(task.attempts),
                            kRetryBase, kRetryLimit));
}

void shard_owner::SetRunning(const task_ref& ref, const std::string& member,
                             const wire::running_taskT& event) {
  auto& task = *ref.task;
  const auto now = options_.clock->Now();
  ConfirmStarted(queue_, task.task_id);
  if (task.state != attempt_state::kRunning) {
    SetState(ref, attempt_state::kRunning);
    if (!task.had_run) {
      const auto waited = now - task.queued_at;
      task.waited_ms = std::chrono::duration_cast<milliseconds>(waited).count();
      options_.metrics->Waited(ref.Priority(),
                               std::chrono::duration<double>(waited).count());
    }
    task.had_run = true;
    if (ref.service != nullptr) ref.service->failures = 0;
  }
  task.member = member;
  task.worker = event.worker;
  task.partition = event.partition;
  task.address = event.address;
  changed_.notify_all();
}

std::size_t shard_owner::PendingTasks() const {
  std::lock_guard guard(mutex_);
  return pending_.size();
}

std::size_t shard_owner::ActiveTasks() const {
  std::lock_guard guard(mutex_);
  return active_;
}

}  // namespace apricotwheel

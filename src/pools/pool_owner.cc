#include "pools/pool_owner.h"

#include <algorithm>
#include <utility>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Progress waits this long for more, so that ends cost a write for each group.
constexpr auto kProgressDelay = milliseconds(60);
// Callers learn of a result once it is stored.
constexpr auto kResultDelay = milliseconds(10);
constexpr auto kLoadRetry = milliseconds(150);
// Run numbers of one owner; no owner orders more runs of one task.
constexpr std::uint64_t kRunsPerTenure = 100'000;
// The slowest clock of a worker, and a margin, on top of its lease.
constexpr double kSlowClockFactor = 1.02;
constexpr auto kLapseMargin = milliseconds(200);
constexpr auto kUnavailableRetry = 500;  // ms, while an owner loads.
// While the store is away, ms: callers come back some times within the few
// seconds that they have, and are spread over them by when they came first.
constexpr auto kStoreRetry = 1000;

gate_reply Unavailable(std::string reason) {
  gate_reply reply;
  reply.answer = job_answer::kUnavailable;
  reply.retry_after_ms = kUnavailableRetry;
  reply.reason = std::move(reason);
  return reply;
}

gate_reply StoreLost() {
  gate_reply reply;
  reply.answer = job_answer::kNotStored;
  reply.retry_after_ms = kStoreRetry;
  reply.reason = "the store does not answer";
  return reply;
}

gate_reply Answer(job_answer answer) {
  gate_reply reply;
  reply.answer = answer;
  return reply;
}

}  // namespace

pool_owner::pool_owner(pool_owner_options options)
    : options_(std::move(options)) {}

result<void> pool_owner::Start() {
  job_journal_options journal;
  journal.pool = options_.pool;
  journal.owner_key = options_.owner_key;
  journal.epoch = options_.epoch;
  journal.writer = options_.member_id;
  journal.kv = options_.kv;
  journal.metrics = options_.metrics;
  journal.clock = options_.clock;
  journal.log = options_.log;
  journal_ = std::make_unique<job_journal>(journal, JournalCallbacks());
  desk_ = std::make_unique<approval_desk>(
      options_.clock, options_.log, options_.members, options_.ask_through,
      [this](const approval_request& request,
             const outcome<approval_desk::approvals>& answer) {
        ApprovalAnswered(request, answer);
      });
  BOOST_LEAF_CHECK(desk_->Start());
  return threads_.Spawn("pool-owner", [this] { Run(); });
}

void pool_owner::Stop() {
  std::map<std::string, std::shared_ptr<agent_session>> sessions;
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
    changed_.notify_all();
  }
  if (journal_) journal_->Stop();
  if (desk_) desk_->Stop();
  threads_.JoinAll();
  {
    const std::lock_guard lock(mutex_);
    sessions.swap(sessions_);
  }
  for (auto& [id, session] : sessions) session->Stop();
}

void pool_owner::Quiesce(time_point deadline) {
  {
    std::unique_lock lock(mutex_);
    is_quiet_ = true;
    changed_.notify_all();
    options_.clock->WaitUntil(lock, changed_, deadline, [&] {
      return is_stopped_ || submitting_.empty();
    });
    if (!is_loaded_ || is_stopped_) return;
  }
  journal_->Flush(deadline);
}

job_journal::callbacks pool_owner::JournalCallbacks() {
  job_journal::callbacks calls;
  calls.take_progress = [this] {
    const std::lock_guard lock(mutex_);
    return scheduler_ ? scheduler_->TakeProgress() : progress_batch{};
  };
  calls.stored = [this](const progress_batch& batch) {
    const std::lock_guard lock(mutex_);
    scheduler_->OnProgressStored(batch);
    for (const auto& [id, mark] : batch.ends_by_worker) {
      const auto found = sessions_.find(id);
      if (found != sessions_.end()) found->second->Wake();
    }
  };
  calls.failed = [this](const progress_batch& batch) {
    const std::lock_guard lock(mutex_);
    scheduler_->OnProgressNotStored(batch);
  };
  calls.accepted = [this](const job_submission& job) {
    const std::lock_guard lock(mutex_);
    scheduler_->AdmitJob(job, options_.clock->Now());
    WakeLoop();
  };
  calls.succeeded = [this] { options_.succeeded(); };
  calls.store_lost = options_.store_lost;
  return calls;
}

void pool_owner::WakeLoop() {
  needs_decision_ = true;
  changed_.notify_all();
}

bool pool_owner::LoadAll() {
  while (true) {
    auto contents = Attempt([&] { return journal_->Load(); });
    if (contents) {
      Restore(*contents);
      return true;
    }
    Emit(options_.log, pool_events::kCommitFailed,
         {Field("pool", options_.pool), Field("number", 0),
          Field("reason", Describe(contents.failure))});
    if (contents.failure.kind == error_kind::kConflict) {
      options_.succeeded();
    }
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, changed_, kLoadRetry,
                            [&] { return is_stopped_; });
    if (is_stopped_) return false;
  }
}

void pool_owner::Restore(const journal_contents& contents) {
  const auto now = options_.clock->Now();
  const std::int64_t wall_ms = WallClockMs();
  pool_scheduler_options options;
  options.run_number_base = contents.tenure * kRunsPerTenure;
  const auto lease = std::chrono::duration_cast<duration>(options_.task_lease *
                                                          kSlowClockFactor);
  options.earlier_leases_expire_at =
      now + options_.member_lease + lease + duration(kLapseMargin);
  for (const auto& [id, address] : contents.workers) {
    options.earlier_workers.insert(id);
  }
  options.log = options_.log;
  auto scheduler = std::make_unique<pool_scheduler>(std::move(options));
  for (const auto& job : contents.jobs) {
    const auto age = milliseconds(
        std::max<std::int64_t>(0, wall_ms - job.submission.accepted_at_ms));
    scheduler->RestoreJob(job.submission, job.progress, now - age);
  }
  for (const auto& [id, state] : contents.finished) {
    job_submission job;
    job.id = id;
    job_progress progress;
    progress.state = state;
    scheduler->RestoreJob(std::move(job), std::move(progress), now);
  }
  Emit(options_.log, pool_events::kPoolLoaded,
       {Field("pool", options_.pool), Field("epoch", options_.epoch),
        Field("tenure", contents.tenure), Field("jobs", contents.jobs.size()),
        Field("finished", contents.finished.size()),
        Field("earlier_workers", contents.workers.size())});
  const std::lock_guard lock(mutex_);
  scheduler_ = std::move(scheduler);
  roster_ = contents.workers;
  is_loaded_ = true;
}

void pool_owner::Run() {
  if (!LoadAll()) return;
  const auto started = Attempt([&] { return journal_->Start(); });
  if (!started) {
    Emit(options_.log, pool_events::kThreadFailed,
         {Field("reason", Describe(started.failure))});
    options_.succeeded();
    return;
  }
  bool was_settled = false;
  while (true) {
    FollowWorkers();
    pool_decisions decisions;
    {
      std::unique_lock lock(mutex_);
      if (is_stopped_) return;
      const auto due = scheduler_->NextDecisionAt(options_.clock->Now());
      options_.clock->WaitUntil(lock, changed_, due, [&] {
        return is_stopped_ || needs_decision_ || workers_changed_;
      });
      if (is_stopped_) return;
      needs_decision_ = false;
      const auto now = options_.clock->Now();
      const auto examined = scheduler_->WorkersExamined();
      decisions = scheduler_->Decide(now, WallClockMs());
      options_.metrics->workers_examined.Increment(
          static_cast<double>(scheduler_->WorkersExamined() - examined));
      if (!was_settled && scheduler_->IsTakeoverComplete(now) &&
          !followed_.empty()) {
        was_settled = true;
        Emit(options_.log, pool_events::kPoolSettled,
             {Field("pool", options_.pool), Field("epoch", options_.epoch),
              Field("workers", followed_.size())});
      }
      if (scheduler_->HasUnstoredProgress()) {
        journal_->Wake(scheduler_->HasUnstoredResults() ? kResultDelay
                                                        : kProgressDelay);
      }
      CarryOut(std::move(decisions));
    }
  }
}

void pool_owner::CarryOut(pool_decisions decisions) {
  // Called with mutex_ held; sessions only queue.
  const auto send = [&](auto order) {
    const auto found = sessions_.find(order.worker);
    if (found != sessions_.end()) {
      found->second->Send(std::move(order));
    } else if constexpr (std::is_same_v<decltype(order), start_order>) {
      scheduler_->OnStartResult(order, start_result::kUnreachable,
                                options_.clock->Now());
      needs_decision_ = true;
    }
  };
  for (auto& order : decisions.stops) send(std::move(order));
  for (auto& order : decisions.throttles) send(std::move(order));
  for (auto& order : decisions.starts) send(std::move(order));
  for (auto& request : decisions.approvals) desk_->Ask(std::move(request));
}

void pool_owner::ApprovalAnswered(
    const approval_request& request,
    const outcome<approval_desk::approvals>& answer) {
  // Tickets are issued at the end of a call; this is the way back.
  constexpr auto kReturnTime = milliseconds(30);
  const std::lock_guard lock(mutex_);
  const auto now = options_.clock->Now();
  const approval_desk::approvals none;
  scheduler_->OnApprovalResult(request, answer ? *answer.value : none,
                               static_cast<bool>(answer), now - kReturnTime,
                               now);
  WakeLoop();
}

gate_reply pool_owner::Submit(const job_submission& job, time_point deadline) {
  {
    std::unique_lock lock(mutex_);
    const auto is_free = [&] {
      return is_stopped_ || (is_loaded_ && !submitting_.contains(job.id));
    };
    if (!options_.clock->WaitUntil(lock, changed_, deadline, is_free)) {
      return is_loaded_ ? Answer(job_answer::kUnknown)
                        : Unavailable("the pool is loading");
    }
    if (is_stopped_ || is_quiet_) {
      return Unavailable("the pool gets another owner");
    }
    if (scheduler_->FindJobState(job.id)) return Answer(job_answer::kAccepted);
    submitting_.insert(job.id);
  }
  const submit_outcome outcome = journal_->Submit(job, deadline);
  {
    const std::lock_guard lock(mutex_);
    submitting_.erase(submitting_.find(job.id));
    changed_.notify_all();
  }
  switch (outcome) {
    case submit_outcome::kStored:
      return Answer(job_answer::kAccepted);
    case submit_outcome::kNotStored:
      return journal_->IsStoreLost()
                 ? StoreLost()
                 : Unavailable("the job could not be stored");
    case submit_outcome::kUnknown:
      break;
  }
  return Answer(job_answer::kUnknown);
}

gate_reply pool_owner::Cancel(std::string_view job_id, time_point deadline) {
  {
    std::unique_lock lock(mutex_);
    if (!options_.clock->WaitUntil(lock, changed_, deadline, [&] {
          return is_stopped_ || is_quiet_ ||
                 (is_loaded_ && !submitting_.contains(job_id));
        })) {
      return Answer(job_answer::kUnknown);
    }
    if (is_stopped_ || is_quiet_) {
      return Unavailable("the pool gets another owner");
    }
    if (!scheduler_->CancelJob(job_id, options_.clock->Now())) {
      return Answer(job_answer::kAbsent);
    }
    WakeLoop();
  }
  return journal_->Flush(deadline) ? Answer(job_answer::kCancelled)
                                   : Answer(job_answer::kUnknown);
}

gate_reply pool_owner::State(std::string_view job_id) const {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return Unavailable("the pool is loading");
  const auto state = scheduler_->FindStoredJobState(job_id);
  if (!state) return Answer(job_answer::kAbsent);
  gate_reply reply = Answer(job_answer::kState);
  reply.state = *state;
  return reply;
}

gate_reply pool_owner::Pending(std::string_view queue) const {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return Unavailable("the pool is loading");
  gate_reply reply = Answer(job_answer::kCount);
  reply.count = scheduler_->CountPendingJobs(queue);
  return reply;
}

}  // namespace apricotwheel

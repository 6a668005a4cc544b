#include "pools/pool_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "graph/job_footprint.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Progress is collected for this time, so that one commit stores the ends of
// many tasks.
constexpr auto kProgressCommitDelay = milliseconds(60);
// Shorter for the result of a job, which callers see only after it is stored.
constexpr auto kResultCommitDelay = milliseconds(10);
constexpr auto kLoadRetryInterval = milliseconds(150);
// Events within this time after a pass share the next one. A pass costs the
// same for one event as for many, and busy workers report hundreds of times a
// second.
constexpr auto kPassInterval = milliseconds(5);
constexpr auto kActivityReportInterval = milliseconds(2000);
// Refusals of a queue are logged together at this interval.
constexpr auto kRefusalReportInterval = milliseconds(2000);
// Range of run numbers reserved for each owner. An owner starts fewer runs of
// one task than this.
constexpr std::uint64_t kRunsPerTenure = 100'000;
// While the owner loads or hands the pool over.
constexpr auto kLoadingRetryAfterMs = 500;
// While the store is unreachable. Callers retry a few times within their
// deadline of a few seconds, and the times of their first attempts spread them
// out.
constexpr auto kStoreRetryAfterMs = 1000;

job_call_response MakeResponse(job_call_status status) {
  job_call_response response;
  response.status = status;
  return response;
}

}  // namespace

job_call_response pool_owner::Unavailable(std::string reason) {
  job_call_response response;
  response.status = job_call_status::kUnavailable;
  response.retry_after_ms = kLoadingRetryAfterMs;
  response.reason = std::move(reason);
  return response;
}

job_call_response pool_owner::NotStored(std::string reason) const {
  if (!journal_->IsStoreUnreachable()) return Unavailable(std::move(reason));
  job_call_response response;
  response.status = job_call_status::kNotStored;
  response.retry_after_ms = kStoreRetryAfterMs;
  response.reason = "the store does not respond";
  return response;
}

pool_owner::pool_owner(pool_owner_options options)
    : options_(std::move(options)),
      authority_(
          {AuthoritySpan(options_.task_lease, options_.confirmation_interval),
           options_.max_extension, options_.clock->Now(),
           [this] { return ConfirmOwnership(); }, options_.clock}) {}

result<void> pool_owner::Start() {
  job_journal_options journal;
  journal.pool = options_.pool;
  journal.first_partition = options_.first_partition;
  journal.partitions_key = options_.partitions_key;
  journal.owner_key = options_.owner_key;
  journal.epoch = options_.epoch;
  journal.writer = options_.member_id;
  journal.free_job_memory = [this] { return MemoryToLoad(); };
  journal.kv = options_.kv;
  journal.metrics = options_.metrics;
  journal.clock = options_.clock;
  journal.log = options_.log;
  journal_ = std::make_unique<job_journal>(journal, JournalCallbacks());
  approval_dispatcher_ = std::make_unique<approval_dispatcher>(
      options_.clock, options_.log, options_.members,
      options_.request_approvals,
      [this](const approval_request& request,
             const outcome<approval_dispatcher::approvals>& approved) {
        OnApprovalResult(request, approved);
      });
  approval_dispatcher_->SetWaitCallback([this](duration waited) {
    options_.metrics->approval_wait_seconds.Observe(
        std::chrono::duration<double>(waited).count());
  });
  BOOST_LEAF_CHECK(approval_dispatcher_->Start());
  BOOST_LEAF_CHECK(
      threads_.Spawn("pool-authority", [this] { RunAuthority(); }));
  BOOST_LEAF_CHECK(
      threads_.Spawn("pool-deferred", [this] { RunDeferredLoads(); }));
  return threads_.Spawn("pool-owner", [this] { Run(); });
}

void pool_owner::Stop() {
  std::map<std::string, std::shared_ptr<agent_session>> sessions;
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  owner_changed_.notify_all();
  authority_changed_.notify_all();
  requests_changed_.notify_all();
  deferred_changed_.notify_all();
  if (journal_) journal_->Stop();
  if (approval_dispatcher_) approval_dispatcher_->Stop();
  threads_.JoinAll();
  if (options_.jobs_memory != nullptr) {
    options_.jobs_memory->SetUsed(MemoryKey(), 0);
  }
  options_.metrics->SetWorkerSpeeds(options_.pool, {});
  {
    const std::lock_guard lock(mutex_);
    sessions.swap(sessions_);
  }
  for (auto& [id, session] : sessions) {
    session->Stop();
    KeepLeasesOf(id, *session);
  }
}

void pool_owner::Quiesce(time_point deadline) {
  {
    std::unique_lock lock(mutex_);
    is_quiesced_ = true;
    requests_changed_.notify_all();
    options_.clock->WaitUntil(lock, requests_changed_, deadline,
                              [&] { return is_stopped_ || busy_ids_.empty(); });
    if (!is_loaded_ || is_stopped_) return;
  }
  journal_->Flush(deadline);
}

job_journal::callbacks pool_owner::JournalCallbacks() {
  job_journal::callbacks callbacks;
  callbacks.take_progress = [this] {
    const std::lock_guard lock(mutex_);
    return scheduler_ ? scheduler_->TakeProgress() : progress_batch{};
  };
  callbacks.on_progress_stored = [this](const progress_batch& batch) {
    std::vector<std::shared_ptr<agent_session>> waiting;
    {
      const std::lock_guard lock(mutex_);
      scheduler_->OnProgressStored(batch);
      if (waiting_cancellations_ > 0) requests_changed_.notify_all();
      for (const auto& [id, mark] : batch.ends_by_worker) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end()) waiting.push_back(found->second);
      }
    }
    // A session that is woken takes mutex_ at once.
    for (const auto& session : waiting) session->Wake();
  };
  callbacks.on_progress_failed = [this](const progress_batch& batch) {
    const std::lock_guard lock(mutex_);
    scheduler_->OnProgressNotStored(batch);
  };
  callbacks.on_job_accepted = [this](const job_submission& job) {
    const std::lock_guard lock(mutex_);
    scheduler_->AdmitJob(job, options_.clock->Now());
    UpdateJobMemory();
    RequestDecision();
  };
  AddMoveCallbacks(callbacks);
  callbacks.on_superseded = [this] { options_.on_superseded(); };
  callbacks.on_ownership_confirmed = [this](time_point sent_at) {
    OnOwnershipConfirmed(sent_at);
  };
  callbacks.on_store_unreachable = options_.on_store_unreachable;
  return callbacks;
}

void pool_owner::RequestDecision() {
  if (std::exchange(needs_decision_, true)) return;
  decision_requested_at_ = options_.clock->Now();
  if (!is_collecting_events_) owner_changed_.notify_one();
}

bool pool_owner::WaitForPass(std::unique_lock<std::mutex>& lock) {
  is_collecting_events_ = true;
  options_.clock->WaitUntil(lock, owner_changed_,
                            last_pass_at_ + duration(kPassInterval),
                            [&] { return is_stopped_; });
  is_collecting_events_ = false;
  const auto due = scheduler_->NextDecisionAt(options_.clock->Now());
  options_.clock->WaitUntil(lock, owner_changed_, due, [&] {
    return is_stopped_ || needs_decision_ || workers_changed_;
  });
  return WaitForAuthority(lock);
}

bool pool_owner::LoadWithRetries() {
  while (true) {
    auto contents = Attempt([&] { return journal_->Load(); });
    if (contents) {
      Restore(std::move(*contents));
      return true;
    }
    Emit(options_.log, pool_events::kCommitFailed,
         {Field("pool", options_.pool), Field("number", 0),
          Field("reason", Describe(contents.failure))});
    if (contents.failure.kind == error_kind::kConflict) {
      options_.on_superseded();
    }
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, owner_changed_, kLoadRetryInterval,
                            [&] { return is_stopped_; });
    if (is_stopped_) return false;
  }
}

void pool_owner::SetOrganisations(organisation_table organisations) {
  const std::lock_guard lock(mutex_);
  organisations_ = std::move(organisations);
  if (!scheduler_) return;
  scheduler_->SetOrganisations(*organisations_);
  RequestDecision();
}

std::optional<pool_owner::limit_states> pool_owner::LimitStates() const {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return std::nullopt;
  limit_states states;
  states.by_organisation =
      scheduler_->OrganisationStates(options_.clock->Now());
  // The workers are walked only where a limit has to be divided.
  if (!states.by_organisation.empty()) states.capacity = scheduler_->Capacity();
  return states;
}

void pool_owner::SetPortion(const std::string& organisation,
                            const limit_portion& portion) {
  const std::lock_guard lock(mutex_);
  auto& known = portions_[organisation];
  if (known == portion || !scheduler_) return;
  known = portion;
  scheduler_->SetPortion(organisation, portion);
  RequestDecision();
}

void pool_owner::Restore(journal_contents contents) {
  const auto now = options_.clock->Now();
  const std::int64_t wall_ms = WallClockMs();
  pool_scheduler_options options;
  options.run_number_base = contents.tenure * kRunsPerTenure;
  // Set by `EndEarlierLeases`.
  options.earlier_leases_expire_at = time_point::max();
  for (const auto& [id, address] : contents.workers) {
    options.earlier_workers.insert(id);
  }
  options.enforces_limits = true;
  options.remote_slowdown = options_.remote_slowdown;
  options.log = options_.log;
  auto scheduler = std::make_unique<pool_scheduler>(std::move(options));
  const std::size_t loaded = contents.jobs.size();
  for (auto& job : contents.jobs) {
    const auto age = milliseconds(
        std::max<std::int64_t>(0, wall_ms - job.submission.accepted_at_ms));
    scheduler->RestoreJob(std::move(job.submission), std::move(job.progress),
                          now - age);
  }
  for (const auto& [id, state] : contents.finished) {
    job_submission job;
    job.id = id;
    const auto organisation = contents.finished_organisations.find(id);
    if (organisation != contents.finished_organisations.end()) {
      job.organisation = organisation->second;
    }
    job_progress progress;
    progress.state = state;
    progress.is_guest = contents.finished_guests.contains(id);
    scheduler->RestoreJob(std::move(job), std::move(progress), now);
  }
  Emit(options_.log, pool_events::kPoolLoaded,
       {Field("pool", options_.pool), Field("epoch", options_.epoch),
        Field("tenure", contents.tenure), Field("jobs", loaded),
        Field("deferred", contents.deferred.size()),
        Field("finished", contents.finished.size()),
        Field("earlier_workers", contents.workers.size())});
  const std::lock_guard lock(mutex_);
  if (organisations_) scheduler->SetOrganisations(*organisations_);
  scheduler_ = std::move(scheduler);
  deferred_jobs_ = std::move(contents.deferred);
  if (!deferred_jobs_.empty()) deferred_changed_.notify_all();
  UpdateJobMemory();
  worker_list_ = contents.workers;
  for (const auto& [id, target] : contents.moved_jobs) {
    RecordMove(id, target, now);
  }
  is_loaded_ = true;
  authority_changed_.notify_all();
  requests_changed_.notify_all();
  RequestDecision();
}

void pool_owner::Run() {
  if (!LoadWithRetries()) return;
  const auto started = Attempt([&] { return journal_->Start(); });
  if (!started) {
    Emit(options_.log, pool_events::kThreadFailed,
         {Field("reason", Describe(started.failure))});
    options_.on_superseded();
    return;
  }
  bool is_takeover_logged = false;
  while (true) {
    UpdateWorkers();
    pool_decisions decisions;
    {
      std::unique_lock lock(mutex_);
      if (std::exchange(is_storing_workers_, false)) {
        decisions_resumed_at_ = options_.clock->Now();
      }
      if (!WaitForPass(lock)) return;
      decisions = DecideNow();
      UpdateJobMemory();
      const auto now = options_.clock->Now();
      last_pass_at_ = now;
      ReportActivityIfDue(now);
      if (!is_takeover_logged && scheduler_->IsTakeoverComplete(now) &&
          !scheduled_workers_.empty()) {
        is_takeover_logged = true;
        Emit(options_.log, pool_events::kPoolTakeoverComplete,
             {Field("pool", options_.pool), Field("epoch", options_.epoch),
              Field("workers", scheduled_workers_.size())});
      }
      if (scheduler_->HasUnstoredProgress()) {
        journal_->ScheduleCommit(scheduler_->HasUnstoredResults()
                                     ? kResultCommitDelay
                                     : kProgressCommitDelay);
      }
      SendDecisions(std::move(decisions));
    }
  }
}

void pool_owner::UpdateCounters() {
  const auto add = [](prometheus::Counter& counter, std::uint64_t& counted,
                      std::uint64_t count) {
    counter.Increment(
        static_cast<double>(count - std::exchange(counted, count)));
  };
  pool_metrics& metrics = *options_.metrics;
  const run_counts& runs = scheduler_->RunCounts();
  add(metrics.worker_crashes, counted_crashes_, scheduler_->WorkersCrashed());
  add(metrics.tasks_given_up, counted_given_up_, scheduler_->TasksGivenUp());
  add(metrics.runs_adopted, counted_runs_.adopted, runs.adopted);
  add(metrics.stale_ends, counted_runs_.stale_ends, runs.stale_ends);
  add(metrics.state_contradictions, counted_runs_.contradictions,
      runs.contradictions);
  add(metrics.runs_moved, counted_runs_.moved, runs.moved);
  const place_wait_counts& waits = scheduler_->PlaceWaitCounts();
  add(metrics.place_waits, counted_waits_.begun, waits.begun);
  add(metrics.place_waits_paid, counted_waits_.paid, waits.paid);
  add(metrics.place_waits_expired, counted_waits_.expired, waits.expired);
  add(metrics.place_waits_without_place, counted_waits_.without_place,
      waits.without_place);
  metrics.SetWorkerSpeeds(options_.pool, scheduler_->SpeedCounts());
}

pool_decisions pool_owner::DecideNow() {
  const auto started_at = options_.clock->Now();
  if (std::exchange(needs_decision_, false)) {
    const duration delay = started_at - decision_requested_at_;
    decision_delay_sum_ +=
        started_at - std::max(decision_requested_at_, decisions_resumed_at_);
    ++decision_delay_count_;
    activity_.longest_decision_delay =
        std::max(activity_.longest_decision_delay, delay);
    options_.metrics->decision_delay_seconds.Observe(
        std::chrono::duration<double>(delay).count());
  }
  const auto examined = scheduler_->WorkersExamined();
  pool_decisions decisions = scheduler_->Decide(
      started_at, WallClockMs(), approval_dispatcher_->Capacity());
  UpdateCounters();
  const auto examined_now = scheduler_->WorkersExamined() - examined;
  activity_.workers_examined += examined_now;
  options_.metrics->workers_examined.Increment(
      static_cast<double>(examined_now));
  const duration took = options_.clock->Now() - started_at;
  options_.metrics->pass_seconds.Observe(
      std::chrono::duration<double>(took).count());
  ++activity_.passes;
  activity_.starts += decisions.starts.size();
  activity_.pass_time += took;
  return decisions;
}

void pool_owner::ReportActivityIfDue(time_point now) {
  if (now - activity_reported_at_ < kActivityReportInterval) return;
  activity_reported_at_ = now;
  ForgetOldMoves(now);
  const auto approvals = approval_dispatcher_->TakeWaitStatistics();
  Emit(
      options_.log, pool_events::kOwnerLoad,
      {Field("pool", options_.pool), Field("epoch", options_.epoch),
       Field("passes", activity_.passes),
       Field("pass_ms", ToMs(activity_.pass_time)),
       Field("workers_examined", activity_.workers_examined),
       Field("waiting_steps", scheduler_->CountWaitingSteps()),
       Field("open_jobs", scheduler_->CountOpenJobs()),
       Field("unanswered_starts", scheduler_->CountUnansweredStarts()),
       Field("decision_delay_ms", ToMs(activity_.longest_decision_delay)),
       Field("reports", activity_.reports),
       Field("requests", activity_.requests), Field("starts", activity_.starts),
       Field("approvals_pending",
             approvals.pending + scheduler_->CountDelayedApprovals()),
       Field("approval_wait_ms", ToMs(approvals.longest_wait))});
  activity_ = {};
}

bool pool_owner::IsTakeoverComplete() const {
  const std::lock_guard lock(mutex_);
  return is_loaded_ && scheduler_->IsTakeoverComplete(options_.clock->Now());
}

duration pool_owner::TakeMeanDecisionDelay() {
  const std::lock_guard lock(mutex_);
  duration sum = std::exchange(decision_delay_sum_, duration::zero());
  int count = std::exchange(decision_delay_count_, 0);
  if (needs_decision_ && !is_storing_workers_) {
    sum += options_.clock->Now() -
           std::max(decision_requested_at_, decisions_resumed_at_);
    ++count;
  }
  return count == 0 ? duration::zero() : sum / count;
}

void pool_owner::SendDecisions(pool_decisions decisions) {
  // Called with mutex_ held; `Send` only queues an order.
  const auto send = [&](auto order) {
    const auto found = sessions_.find(order.worker);
    if (found != sessions_.end()) {
      found->second->Send(std::move(order));
    } else if constexpr (std::is_same_v<decltype(order), start_order>) {
      scheduler_->OnStartResult(order, start_result::kUnreachable,
                                options_.clock->Now());
      RequestDecision();
    }
  };
  for (auto& order : decisions.stops) send(std::move(order));
  for (auto& order : decisions.throttles) send(std::move(order));
  for (auto& order : decisions.starts) send(std::move(order));
  for (auto& request : decisions.approvals)
    approval_dispatcher_->Enqueue(std::move(request));
}

void pool_owner::OnApprovalResult(
    const approval_request& request,
    const outcome<approval_dispatcher::approvals>& approved) {
  // The advisor issues tickets at the end of a call; this is the time that its
  // response takes to arrive.
  constexpr auto kResponseDelay = milliseconds(30);
  const std::lock_guard lock(mutex_);
  const auto now = options_.clock->Now();
  const approval_dispatcher::approvals none;
  scheduler_->OnApprovalResult(request, approved ? *approved.value : none,
                               static_cast<bool>(approved),
                               now - kResponseDelay, now);
  RequestDecision();
}

bool pool_owner::IsClosedTo(std::string_view job_id,
                            const caller_identity& caller) const {
  if (const deferred_job* job = FindDeferred(job_id)) {
    return !MayAccess(caller, {job->organisation, job->queue});
  }
  const auto organisation = scheduler_->FindOrganisation(job_id);
  return organisation &&
         !MayAccess(caller, {*organisation, *scheduler_->FindQueueOf(job_id)});
}

job_call_response pool_owner::Submit(const job_submission& job,
                                     time_point deadline) {
  std::size_t reserved = 0;
  {
    std::unique_lock lock(mutex_);
    ++activity_.requests;
    const auto is_free = [&] {
      return is_stopped_ || (is_loaded_ && !busy_ids_.contains(job.id));
    };
    if (!options_.clock->WaitUntil(lock, requests_changed_, deadline,
                                   is_free)) {
      return is_loaded_ ? MakeResponse(job_call_status::kUnknown)
                        : Unavailable("the pool is loading");
    }
    if (is_stopped_ || is_quiesced_) {
      return Unavailable("the pool is being handed over");
    }
    if (IsClosedTo(job.id, {job.organisation, {}})) {
      return MakeResponse(job_call_status::kForbidden);
    }
    const auto moved = job.guest ? std::nullopt : FindMoved(job.id);
    // The organisation of a job that was moved is known there. Senders that
    // name the caller's organisation ask there.
    if (moved && !job.organisation.empty()) return *moved;
    if (scheduler_->FindJobState(job.id) || moved ||
        FindDeferred(job.id) != nullptr) {
      return MakeResponse(job_call_status::kAccepted);
    }
    if (auto reason = scheduler_->FindWiderGang(job)) {
      job_call_response response = MakeResponse(job_call_status::kInvalid);
      response.reason = std::move(*reason);
      return response;
    }
    // An earlier copy with an unknown outcome may still be stored, so that a
    // refusal would not be true.
    if (!unresolved_submissions_.contains(job.id)) {
      if (const auto overload =
              scheduler_->FindOverload(job, options_.clock->Now())) {
        return Refuse(job, *overload);
      }
      // The partition of a guest job has counted it.
      if (!job.guest) {
        if (auto refusal = ReserveMemory(job)) return *refusal;
        reserved = EstimateJobMemory(job);
      }
    }
    busy_ids_.insert(job.id);
  }
  const submit_outcome outcome = journal_->Submit(job, deadline);
  {
    const std::lock_guard lock(mutex_);
    busy_ids_.erase(job.id);
    if (options_.jobs_memory != nullptr) {
      options_.jobs_memory->Release(reserved);
    }
    if (outcome == submit_outcome::kUnknown) {
      unresolved_submissions_.insert(job.id);
    } else if (outcome != submit_outcome::kNotStored) {
      // A later copy that was not stored says nothing about the earlier one.
      unresolved_submissions_.erase(job.id);
      // What is stored may be an earlier copy.
      if (IsClosedTo(job.id, {job.organisation, {}})) {
        requests_changed_.notify_all();
        return MakeResponse(job_call_status::kForbidden);
      }
    }
  }
  requests_changed_.notify_all();
  switch (outcome) {
    case submit_outcome::kStored:
      return MakeResponse(job_call_status::kAccepted);
    case submit_outcome::kNotStored:
      return NotStored("the job could not be stored");
    case submit_outcome::kCancelled:
      return MakeResponse(job_call_status::kCancelled);
    case submit_outcome::kForbidden:
      return MakeResponse(job_call_status::kForbidden);
    case submit_outcome::kUnknown:
      break;
  }
  return MakeResponse(job_call_status::kUnknown);
}

job_call_response pool_owner::Refuse(const job_submission& job,
                                     const admission_estimate& estimate) {
  options_.metrics->overload_refusals.Increment();
  queue_refusals& refusals = refusals_[job.queue.name];
  job_call_response response = MakeResponse(job_call_status::kRefused);
  response.retry_after_ms = RetryAfterMs(estimate, ++refusals.total);
  response.reason = "the queue has more work than the pool can start in time";
  ++refusals.unreported;
  const auto now = options_.clock->Now();
  if (now - refusals.reported_at < kRefusalReportInterval) return response;
  refusals.reported_at = now;
  const queue_load load = scheduler_->LoadOfQueue(job.queue.name);
  Emit(options_.log, pool_events::kJobsRefused,
       {Field("pool", options_.pool), Field("queue", job.queue.name),
        Field("organisation", job.organisation),
        Field("jobs", std::exchange(refusals.unreported, 0)),
        Field("waiting_tasks", std::llround(load.waiting.tasks)),
        Field("starts_per_second", std::llround(load.drained_per_second.tasks)),
        Field("wait_ms", ToMs(estimate.wait)),
        Field("completion_ms", ToMs(estimate.completion)),
        Field("limit_ms", ToMs(estimate.limit)),
        Field("retry_after_ms", response.retry_after_ms)});
  return response;
}

job_call_response pool_owner::State(std::string_view job_id,
                                    const caller_identity& caller) const {
  const std::lock_guard lock(mutex_);
  ++activity_.requests;
  if (!is_loaded_ || is_stopped_) return Unavailable("the pool is loading");
  if (const auto moved = FindMoved(job_id)) return *moved;
  if (IsClosedTo(job_id, caller)) {
    return MakeResponse(job_call_status::kForbidden);
  }
  const deferred_job* deferred = FindDeferred(job_id);
  const auto state = deferred != nullptr
                         ? std::optional(deferred->state)
                         : scheduler_->FindStoredJobState(job_id);
  if (!state) return MakeResponse(job_call_status::kAbsent);
  job_call_response response = MakeResponse(job_call_status::kState);
  response.state = *state;
  return response;
}

job_call_response pool_owner::Pending(std::string_view queue) const {
  const std::lock_guard lock(mutex_);
  ++activity_.requests;
  if (!is_loaded_ || is_stopped_) return Unavailable("the pool is loading");
  job_call_response response = MakeResponse(job_call_status::kCount);
  response.count = scheduler_->CountPendingJobs(queue) + CountDeferred(queue);
  return response;
}

}  // namespace apricotwheel

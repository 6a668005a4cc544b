#include "pools/pool_host.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "kernel/json_reading.h"
#include "pools/partition_table.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Timeout of a forwarded job request whose sender, an earlier build, does not
// say how long it waits.
constexpr auto kDefaultCallTimeout = milliseconds(1000);
// Part of the sender's timeout that is reserved for the response, so that it
// arrives before the sender has to report an unknown outcome.
constexpr auto kForwardReserve = milliseconds(100);
// Limit of forwarded submissions that are executed at a time. About four
// commits hold so many; a store that takes 0.3 s for each uses up the time that
// a submission has.
constexpr int kMaxExecutingSubmissions = 64;
// Callers have a few seconds and round up to whole ones, so refused submissions
// are told to return after one or two, in turn.
constexpr std::int64_t kRefusedRetryAfterMs = 1000;
constexpr std::int64_t kRefusedRetrySpread = 2;
// Limit of a timeout that a sender states.
constexpr std::int64_t kMaxCallTimeoutMs = 60'000;
// Workers write heartbeats continuously; changes are read in batches at this
// interval.
constexpr auto kWorkerWatchInterval = milliseconds(400);

// Decrements a counter at the end of a scope.
struct counter_release {
  std::atomic<int>& counter;
  ~counter_release() { --counter; }
};

// Returns the time until which the sender of a call can use its response, with
// a reserve for the way back.
time_point ResponseDeadline(const wire::pool_callT& call, duration unstated,
                            time_point received_at) {
  const duration timeout =
      call.timeout_ms > 0
          ? milliseconds(std::min(call.timeout_ms, kMaxCallTimeoutMs))
          : unstated;
  return received_at + timeout -
         std::min<duration>(kForwardReserve, timeout / 2);
}

std::string EncodeApprovalRequest(const approval_request& request) {
  json workers = json::array();
  for (const pool_worker& worker : request.workers) {
    workers.push_back(worker.id);
  }
  return json{{"job", request.job_id},
              {"occurrence", request.occurrence},
              {"step", request.step},
              {"workers", std::move(workers)}}
      .dump();
}

}  // namespace

pool_host::pool_host(pool_host_options options)
    : options_(std::move(options)),
      job_memory_(JobMemoryBytes(options_.settings)),
      balancer_({options_.peers, options_.directory,
                 [this] { return CurrentOwners(); }, options_.clock,
                 options_.log}),
      guests_({options_.kv, options_.peers, options_.directory,
               [this] { return CurrentOwners(); },
               [this](const std::string& partition) {
                 return balancer_.MayHaveWorkers(partition);
               },
               [this](const wire::pool_callT& call) {
                 return HandleJobCall(call, options_.clock->Now());
               },
               options_.clock, options_.log}),
      limits_({options_.kv, options_.peers, options_.directory,
               options_.metrics, [this] { return CurrentOwners(); },
               options_.clock, options_.log}),
      confirmations_({options_.peers, options_.directory,
                      options_.settings.outage_extension +
                          AuthoritySpan(options_.settings.task_lease,
                                        options_.settings.lease_renew_interval),
                      options_.clock}),
      departures_(options_.settings.worker_heartbeat) {}

result<void> pool_host::Start() {
  options_.directory->SetAcquiredCallback(
      [this](const std::string& pool, std::uint64_t epoch) {
        const std::lock_guard lock(mutex_);
        owned_epochs_[pool] = epoch;
        unsettled_epochs_.erase(pool);
        needs_reconcile_ = true;
        changed_.notify_all();
      });
  options_.directory->SetLostCallback(
      [this](const std::string& pool, std::uint64_t epoch) {
        DropOwner(pool, epoch);
      });
  options_.directory->SetPartitionsCallback([this] {
    const std::lock_guard lock(mutex_);
    needs_distribution_ = true;
    needs_reconcile_ = true;
    changed_.notify_all();
  });
  options_.peers->SetTimedHandler(
      wire::body::pool_call,
      [this](const std::string& sender, const wire_message& request,
             time_point received_at) {
        return HandleRequest(sender, request, received_at);
      });
  BOOST_LEAF_CHECK(
      threads_.Spawn("pool-rescue", [this] { RunStoreFailover(); }));
  BOOST_LEAF_CHECK(
      threads_.Spawn("pool-check", [this] { RunOwnershipChecks(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("pool-move", [this] { RunMoves(); }));
  BOOST_LEAF_CHECK(balancer_.Start());
  BOOST_LEAF_CHECK(guests_.Start());
  BOOST_LEAF_CHECK(limits_.Start());
  BOOST_LEAF_CHECK(confirmations_.Start());
  return threads_.Spawn("pool-host", [this] { Run(); });
}

void pool_host::Stop() {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(is_stopped_, true)) return;
    owned_epochs_.clear();
    needs_reconcile_ = true;
  }
  changed_.notify_all();
  balancer_.Stop();
  guests_.Stop();
  limits_.Stop();
  confirmations_.Stop();
  threads_.JoinAll();
  if (worker_watcher_) worker_watcher_->Stop();
}

std::shared_ptr<pool_owner> pool_host::OwnerOf(std::string_view pool) const {
  const std::lock_guard lock(mutex_);
  const auto found = owners_.find(pool);
  return found == owners_.end() ? nullptr : found->second;
}

owner_map pool_host::CurrentOwners() const {
  const std::lock_guard lock(mutex_);
  owner_map current;
  for (const auto& [partition, owner] : owners_) {
    if (owned_epochs_.contains(partition)) current[partition] = owner;
  }
  return current;
}

void pool_host::SetOrganisations(organisation_table organisations) {
  const std::lock_guard lock(mutex_);
  organisations_ = std::move(organisations);
  for (const auto& [pool, owner] : owners_) {
    owner->SetOrganisations(*organisations_);
  }
}

void pool_host::Run() {
  while (true) {
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, changed_, time_point::max(),
                                [&] { return needs_reconcile_; });
      needs_reconcile_ = false;
    }
    Reconcile();
    const std::lock_guard lock(mutex_);
    if (is_stopped_) return;
  }
}

void pool_host::Reconcile() {
  std::vector<std::shared_ptr<pool_owner>> superseded;
  std::vector<std::pair<std::string, std::uint64_t>> missing;
  {
    const std::lock_guard lock(mutex_);
    for (auto it = owners_.begin(); it != owners_.end();) {
      const auto found = owned_epochs_.find(it->first);
      const bool is_current =
          found != owned_epochs_.end() && found->second == it->second->Epoch();
      if (!is_current) superseded.push_back(it->second);
      it = is_current ? std::next(it) : owners_.erase(it);
    }
    for (const auto& [pool, epoch] : owned_epochs_) {
      if (!owners_.contains(pool)) missing.emplace_back(pool, epoch);
    }
  }
  for (const auto& owner : superseded) {
    confirmations_.Withdraw(owner->Pool(), owner->Epoch());
    owner->Stop();
    SendRelease(*owner);
  }
  if (!missing.empty() && !worker_watcher_) {
    worker_watcher_ = std::make_unique<kv_watcher>(
        kv_watcher_options{options_.platform->workers_prefix, options_.kv,
                           options_.clock, options_.log, kWorkerWatchInterval},
        kv_watcher::callbacks{
            [this](const kv_event& event) { ApplyWorkerEvent(event); },
            [this](bool is_listing) {
              {
                const std::lock_guard lock(mutex_);
                are_workers_listed_ = are_workers_listed_ || is_listing;
              }
              DistributeWorkers();
            }});
    const auto started = Attempt([&] { return worker_watcher_->Start(); });
    if (!started) {
      Emit(options_.log, pool_events::kThreadFailed,
           {Field("reason", Describe(started.failure))});
    }
  }
  for (const auto& [pool, epoch] : missing) {
    const auto owner = MakeOwner(pool, epoch);
    const auto started = Attempt([&] { return owner->Start(); });
    if (!started) {
      Emit(options_.log, pool_events::kThreadFailed,
           {Field("reason", Describe(started.failure))});
    }
    confirmations_.Announce(pool, epoch,
                            [owner] { owner->OnMembersInformed(); });
    {
      const std::lock_guard lock(mutex_);
      if (organisations_) owner->SetOrganisations(*organisations_);
      owners_[pool] = owner;
    }
    ApplyRelease(pool);
  }
  bool needs_distribution = !missing.empty();
  {
    const std::lock_guard lock(mutex_);
    needs_distribution =
        std::exchange(needs_distribution_, false) || needs_distribution;
  }
  if (needs_distribution) DistributeWorkers();
  const std::lock_guard lock(mutex_);
  options_.metrics->owned_pools.Set(static_cast<double>(owners_.size()));
}

std::shared_ptr<pool_owner> pool_host::MakeOwner(const std::string& pool,
                                                 std::uint64_t epoch) {
  pool_owner_options owner;
  owner.pool = pool;
  owner.epoch = epoch;
  const std::string first(PoolOfPartition(pool));
  if (first != pool) {
    owner.first_partition = first;
  } else {
    owner.partitions_key = partition_directory::KeyOf(pool);
  }
  owner.owner_key = pool_directory::OwnerKey(pool);
  owner.member_id = options_.directory->SelfId();
  owner.confirmation_interval = options_.settings.lease_renew_interval;
  owner.task_lease = options_.settings.task_lease;
  owner.remote_slowdown = options_.settings.remote_slowdown;
  owner.max_extension = options_.settings.outage_extension;
  owner.ask_members = [this, pool, epoch] {
    return confirmations_.AskMembers(pool, epoch);
  };
  owner.has_left = [this](const pool_worker& worker) {
    const std::lock_guard lock(mutex_);
    return departures_.HasLeft(worker.id, worker.address, worker.incarnation);
  };
  owner.jobs_memory = &job_memory_;
  owner.least_job_memory = [directory = options_.directory] {
    return directory->LeastJobMemory();
  };
  owner.kv = options_.kv;
  owner.platform = options_.platform;
  owner.metrics = options_.metrics;
  owner.members = [directory = options_.directory, pool] {
    std::vector<std::string> ids;
    for (const member& entry : directory->Members()) {
      if (!entry.leaving) ids.push_back(entry.id);
    }
    const auto pools = directory->Pools();
    const auto index = std::distance(
        pools.begin(), std::find(pools.begin(), pools.end(), pool));
    return OrderMembers(std::move(ids), static_cast<std::size_t>(index),
                        pools.size());
  };
  owner.request_approvals = [this](const std::string& member_id,
                                   const approval_request& request,
                                   duration timeout) {
    const auto sent_at = options_.clock->Now();
    auto approvals = RequestApprovals(member_id, request, timeout);
    const std::chrono::duration<double> took = options_.clock->Now() - sent_at;
    options_.metrics->approval_seconds.Observe(took.count());
    return approvals;
  };
  // Called on the owner's threads, which the host joins.
  owner.on_superseded = [this, pool, epoch] { OnOwnerSuperseded(pool, epoch); };
  owner.on_store_unreachable = [this] {
    const std::lock_guard lock(mutex_);
    is_store_unreachable_ = true;
    changed_.notify_all();
  };
  owner.on_jobs_moved = [this] { balancer_.OnJobsMoved(); };
  owner.clock = options_.clock;
  owner.log = options_.log;
  return std::make_shared<pool_owner>(std::move(owner));
}

bool pool_host::EraseEpoch(epochs_by_pool& epochs, const std::string& pool,
                           std::uint64_t epoch) {
  const auto found = epochs.find(pool);
  if (found == epochs.end() || found->second != epoch) return false;
  epochs.erase(found);
  return true;
}

void pool_host::DropOwner(const std::string& pool, std::uint64_t epoch) {
  const std::lock_guard lock(mutex_);
  EraseEpoch(unsettled_epochs_, pool, epoch);
  if (!EraseEpoch(owned_epochs_, pool, epoch)) return;
  needs_reconcile_ = true;
  changed_.notify_all();
}

void pool_host::OnOwnerSuperseded(const std::string& pool,
                                  std::uint64_t epoch) {
  const std::lock_guard lock(mutex_);
  if (!EraseEpoch(owned_epochs_, pool, epoch)) return;
  unsettled_epochs_[pool] = epoch;
  needs_reconcile_ = true;
  changed_.notify_all();
}

void pool_host::ApplyWorkerEvent(const kv_event& event) {
  const std::lock_guard lock(mutex_);
  const auto known = workers_.find(event.entry.key);
  const std::string known_id = known == workers_.end() ? "" : known->second.id;
  workers_.erase(event.entry.key);
  if (event.deleted) {
    if (!departures_.OnRemoved(known_id, options_.clock->Now())) return;
    Emit(options_.log, pool_events::kWorkerLeft, {Field("worker", known_id)});
    return;
  }
  auto worker =
      options_.platform->decode_worker(event.entry.key, event.entry.value);
  if (!worker) return departures_.OnUnreadableEntry(known_id);
  departures_.OnEntry(*worker, worker_watcher_->WrittenAfter());
  workers_[event.entry.key] = std::move(*worker);
}

void pool_host::DistributeWorkers() {
  const std::lock_guard distribution_lock(distribution_mutex_);
  std::map<std::string, workers_by_id> by_pool;
  std::map<std::string, std::shared_ptr<pool_owner>, std::less<>> owners;
  {
    const std::lock_guard lock(mutex_);
    if (!are_workers_listed_) return;
    for (const auto& [key, worker] : workers_) {
      by_pool[worker.pool][worker.id] = worker;
    }
    owners = owners_;
  }
  std::set<std::string> pools;
  for (const auto& [partition, owner] : owners) {
    pools.emplace(PoolOfPartition(partition));
  }
  for (const std::string& pool : pools) {
    auto by_partition = AssignWorkers(pool, by_pool[pool]);
    for (const auto& [partition, owner] : owners) {
      if (PoolOfPartition(partition) != pool) continue;
      owner->SetWorkers(std::move(by_partition[partition]));
    }
  }
}

job_call_response pool_host::HandleJobCall(const wire::pool_callT& call,
                                           time_point received_at) {
  const auto deadline =
      ResponseDeadline(call, kDefaultCallTimeout, received_at);
  job_call_response response;
  // The sender does not wait any more, or repeats the request. Executing what
  // nobody waits for would delay the requests behind it until they expire too.
  if (options_.clock->Now() >= deadline) {
    options_.metrics->expired_requests.Increment();
    response.reason = "the request expired before it was executed";
    return response;
  }
  if (call.topic == kSubmitTopic) {
    // Handler threads are left for cancellations and state requests, and a
    // submission is refused before its body is decoded.
    const int executing = ++executing_submissions_;
    const counter_release release{executing_submissions_};
    if (executing > kMaxExecutingSubmissions) {
      const double refused = options_.metrics->refused_submissions.Value();
      options_.metrics->refused_submissions.Increment();
      response.status = job_call_status::kNotStored;
      response.retry_after_ms =
          kRefusedRetryAfterMs *
          (1 + static_cast<std::int64_t>(refused) % kRefusedRetrySpread);
      response.reason = "the owner of the pool is overloaded";
      return response;
    }
    // The tree of the record, and then the job and its record for the store.
    const memory_reservation reservation(job_memory_,
                                         2 * EstimateJsonMemory(call.body));
    if (!reservation.IsGranted()) {
      response.status = job_call_status::kNotStored;
      response.retry_after_ms = kRefusedRetryAfterMs;
      response.reason = "the owner of the pool has no memory for the request";
      return response;
    }
    const auto job = Attempt([&] { return DecodeSubmission(call.body); });
    if (!job) {
      response.status = job_call_status::kInvalid;
      response.reason = Describe(job.failure);
      return response;
    }
    if (auto failure = CheckHome(job->queue.pool, job->id)) return *failure;
    const auto owner = OwnerOf(job->queue.pool);
    return owner ? owner->Submit(*job, deadline) : response;
  }
  if (call.topic == kHostTopic) {
    const auto job = Attempt([&] { return DecodeSubmission(call.body); });
    if (!job || !job->guest) {
      response.status = job_call_status::kInvalid;
      response.reason = job ? "no tasks are named" : Describe(job.failure);
      return response;
    }
    const auto host = OwnerOf(job->queue.pool);
    return host ? host->Host(*job, deadline) : response;
  }
  const auto reference = Attempt([&] { return DecodeReference(call.body); });
  if (!reference) {
    response.status = job_call_status::kInvalid;
    response.reason = Describe(reference.failure);
    return response;
  }
  const auto owner = OwnerOf(reference->pool);
  if (!owner) return response;
  if (call.topic == kStateTopic) {
    return owner->State(reference->name, reference->caller);
  }
  if (call.topic == kPendingTopic) return owner->Pending(reference->name);
  if (call.topic == kCancelTopic) {
    return owner->Cancel(reference->name, deadline, reference->caller);
  }
  response.status = job_call_status::kInvalid;
  response.reason = "unknown topic " + call.topic;
  return response;
}

wire_message pool_host::HandleApprovalCall(const wire::pool_callT& call,
                                           time_point received_at) {
  const json in = json::parse(call.body, nullptr, false);
  if (!in.is_object() || !in.contains("job") || !in.contains("workers")) {
    return MakeFailure({error_kind::kInvalidArgument,
                        "malformed approval request",
                        "check that all daemons run compatible versions"});
  }
  const task_key step{in.value("job", ""), in.value("occurrence", 0U),
                      in.value("step", 0U), 0};
  const auto workers = in.value("workers", std::vector<std::string>{});
  // Daemons of an earlier build wait for the longest time.
  const duration left =
      ResponseDeadline(call, kMaxApprovalTimeout, received_at) -
      options_.clock->Now();
  // The sender asks another member, and the advisor would be asked twice.
  if (left <= duration{}) {
    options_.metrics->expired_requests.Increment();
    return MakeFailure({error_kind::kTimeout,
                        "the approval request expired before it was sent",
                        "retry through another daemon"});
  }
  const auto approvals = Attempt([&] {
    return options_.platform->request_approvals(step, workers, left);
  });
  if (!approvals) return MakeFailure(approvals.failure);
  json approved = json::array();
  for (const approved_worker& entry : *approvals) {
    approved.push_back({entry.worker, entry.ticket});
  }
  return MakePoolReply(approved.dump());
}

wire_message pool_host::HandleLoadReport(const wire::pool_callT& call) {
  const auto report = Attempt([&] { return DecodeReport(call.body); });
  if (!report) return MakeFailure(report.failure);
  balancer_.HandleReport(*report);
  return MakePoolReply("");
}

wire_message pool_host::HandleAdoptionCall(const wire::pool_callT& call) {
  const auto list = Attempt([&] { return DecodeJobList(call.body); });
  if (!list) return MakeFailure(list.failure);
  const auto adopted = Attempt([&] { return balancer_.HandleAdoption(*list); });
  if (!adopted) return MakeFailure(adopted.failure);
  return MakePoolReply("");
}

wire_message pool_host::HandleLimitRequest(const wire::pool_callT& call) {
  const auto request = Attempt([&] { return DecodeLimitRequest(call.body); });
  if (!request) return MakeFailure(request.failure);
  limits_.HandleRequest(*request);
  return MakePoolReply("");
}

wire_message pool_host::HandleOwnershipNotice(const std::string& sender,
                                              const wire::pool_callT& call) {
  const auto notice = Attempt([&] { return DecodeNotice(call.body); });
  if (!notice) return MakeFailure(notice.failure);
  if (call.topic == kConfirmTopic) {
    confirmations_.HandleQuestion(sender, *notice);
  } else if (call.topic == kConfirmedTopic) {
    confirmations_.HandleConfirmation(sender, *notice);
  } else if (call.topic == kClaimTopic) {
    confirmations_.HandleAnnouncement(sender, *notice);
  } else {
    confirmations_.HandleAcknowledgement(sender, *notice);
  }
  return MakePoolReply("");
}

wire_message pool_host::HandleRequest(const std::string& sender,
                                      const wire_message& request,
                                      time_point received_at) {
  const wire::pool_callT* call = request.body.Aspool_call();
  if (call == nullptr) {
    return MakeFailure({error_kind::kInvalidArgument, "empty pool request",
                        "check that all daemons run compatible versions"});
  }
  if (call->topic == kApprovalTopic) {
    return HandleApprovalCall(*call, received_at);
  }
  if (call->topic == kTakeoverTopic) return HandleTakeoverCall(*call);
  if (call->topic == kReleaseTopic) return HandleRelease(*call, received_at);
  if (call->topic == kOwnerTopic) return HandleOwnerCall(*call);
  if (call->topic == kLoadTopic) return HandleLoadReport(*call);
  if (call->topic == kAdoptTopic) return HandleAdoptionCall(*call);
  if (call->topic == kLimitTopic) return HandleLimitRequest(*call);
  if (call->topic == kConfirmTopic || call->topic == kConfirmedTopic ||
      call->topic == kClaimTopic || call->topic == kClaimKnownTopic) {
    return HandleOwnershipNotice(sender, *call);
  }
  return MakePoolReply(EncodeResponse(HandleJobCall(*call, received_at)));
}

result<approval_dispatcher::approvals> pool_host::RequestApprovals(
    const std::string& member_id, const approval_request& request,
    duration timeout) {
  if (member_id == options_.directory->SelfId()) {
    std::vector<std::string> ids;
    for (const pool_worker& worker : request.workers) ids.push_back(worker.id);
    return options_.platform->request_approvals(
        {request.job_id, request.occurrence, request.step, 0}, ids, timeout);
  }
  wire_message call =
      MakePoolCall(kApprovalTopic, EncodeApprovalRequest(request));
  call.body.Aspool_call()->timeout_ms = ToMs(timeout);
  BOOST_LEAF_AUTO(response, options_.peers->Call(member_id, call, timeout));
  const wire::pool_replyT* body = response.body.Aspool_reply();
  const json rows =
      body == nullptr ? json() : json::parse(body->body, nullptr, false);
  if (!rows.is_array()) {
    return Fail(error_kind::kCorrupt,
                "malformed response to an approval request",
                "check that all daemons run compatible versions");
  }
  approval_dispatcher::approvals approved;
  for (const json& row : rows) {
    if (!row.is_array() || row.size() != 2) continue;
    approved.push_back({row[0].get<std::string>(), row[1].get<std::string>()});
  }
  return approved;
}

}  // namespace apricotwheel

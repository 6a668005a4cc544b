#include "pools/pool_host.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Time for a job call that another daemon forwards. It is shorter than the one
// that a caller's daemon allows, so that the owner's answer arrives before that
// daemon has to call the outcome unknown.
constexpr auto kForwardedCall = milliseconds(900);
// Workers write heartbeats all the time; what changes is read this often.
constexpr auto kWorkersInterval = milliseconds(400);
// The advisor may take more than half a second for many workers, and another
// owner's call may be before ours.
constexpr auto kAdviseTimeout = milliseconds(4000);

std::string EncodeAdvise(const approval_request& request) {
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
    : options_(std::move(options)) {}

result<void> pool_host::Start() {
  options_.directory->OnAcquired(
      [this](const std::string& pool, std::uint64_t epoch) {
        const std::lock_guard lock(mutex_);
        wanted_[pool] = epoch;
        needs_work_ = true;
        changed_.notify_all();
      });
  options_.directory->OnLost(
      [this](const std::string& pool, std::uint64_t epoch) {
        GiveUp(pool, epoch);
      });
  options_.peers->Handle(
      wire::body::pool_call,
      [this](const std::string&, const wire_message& request) {
        return Answer(request);
      });
  BOOST_LEAF_CHECK(threads_.Spawn("pool-rescue", [this] { RunRescue(); }));
  return threads_.Spawn("pool-host", [this] { Run(); });
}

void pool_host::Stop() {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(is_stopped_, true)) return;
    wanted_.clear();
    needs_work_ = true;
  }
  changed_.notify_all();
  threads_.JoinAll();
  if (worker_follower_) worker_follower_->Stop();
}

std::shared_ptr<pool_owner> pool_host::OwnerOf(std::string_view pool) const {
  const std::lock_guard lock(mutex_);
  const auto found = owners_.find(pool);
  return found == owners_.end() ? nullptr : found->second;
}

void pool_host::Run() {
  while (true) {
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, changed_, time_point::max(),
                                [&] { return needs_work_; });
      needs_work_ = false;
    }
    Reconcile();
    const std::lock_guard lock(mutex_);
    if (is_stopped_) return;
  }
}

void pool_host::Reconcile() {
  std::vector<std::shared_ptr<pool_owner>> ended;
  std::vector<std::pair<std::string, std::uint64_t>> missing;
  {
    const std::lock_guard lock(mutex_);
    for (auto at = owners_.begin(); at != owners_.end();) {
      const auto found = wanted_.find(at->first);
      const bool is_current =
          found != wanted_.end() && found->second == at->second->Epoch();
      if (!is_current) ended.push_back(at->second);
      at = is_current ? std::next(at) : owners_.erase(at);
    }
    for (const auto& [pool, epoch] : wanted_) {
      if (!owners_.contains(pool)) missing.emplace_back(pool, epoch);
    }
  }
  for (const auto& owner : ended) owner->Stop();
  if (!missing.empty() && !worker_follower_) {
    worker_follower_ = std::make_unique<kv_follower>(
        kv_follower_options{options_.ports->workers_prefix, options_.kv,
                            options_.clock, options_.log, kWorkersInterval},
        kv_follower::callbacks{
            [this](const kv_event& event) { WorkerChanged(event); },
            [this](bool is_listing) {
              {
                const std::lock_guard lock(mutex_);
                workers_listed_ = workers_listed_ || is_listing;
              }
              PublishWorkers();
            }});
    const auto started = Attempt([&] { return worker_follower_->Start(); });
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
    const std::lock_guard lock(mutex_);
    owners_[pool] = owner;
  }
  if (!missing.empty()) PublishWorkers();
  const std::lock_guard lock(mutex_);
  options_.metrics->owned_pools.Set(static_cast<double>(owners_.size()));
}

std::shared_ptr<pool_owner> pool_host::MakeOwner(const std::string& pool,
                                                 std::uint64_t epoch) {
  pool_owner_options owner;
  owner.pool = pool;
  owner.epoch = epoch;
  owner.owner_key = pool_directory::OwnerKey(pool);
  owner.member_id = options_.directory->SelfId();
  owner.member_lease = options_.settings.lease_ttl;
  owner.task_lease = options_.settings.task_lease;
  owner.kv = options_.kv;
  owner.ports = options_.ports;
  owner.metrics = options_.metrics;
  owner.members = [directory = options_.directory, pool] {
    std::vector<std::string> ids;
    for (const member& one : directory->Members()) {
      if (!one.leaving) ids.push_back(one.id);
    }
    const auto pools = directory->Pools();
    const auto index = std::distance(
        pools.begin(), std::find(pools.begin(), pools.end(), pool));
    return OrderMembers(std::move(ids), static_cast<std::size_t>(index),
                        pools.size());
  };
  owner.ask_through = [this](const std::string& member_id,
                             const approval_request& request) {
    const auto asked_at = options_.clock->Now();
    auto answer = AskThrough(member_id, request);
    const std::chrono::duration<double> took = options_.clock->Now() - asked_at;
    options_.metrics->approval_seconds.Observe(took.count());
    return answer;
  };
  // Called from the owner's threads, which the host joins.
  owner.succeeded = [this, pool, epoch] { GiveUp(pool, epoch); };
  owner.store_lost = [this] {
    const std::lock_guard lock(mutex_);
    is_store_lost_ = true;
    changed_.notify_all();
  };
  owner.clock = options_.clock;
  owner.log = options_.log;
  return std::make_shared<pool_owner>(std::move(owner));
}

void pool_host::GiveUp(const std::string& pool, std::uint64_t epoch) {
  const std::lock_guard lock(mutex_);
  const auto found = wanted_.find(pool);
  if (found == wanted_.end() || found->second != epoch) return;
  wanted_.erase(found);
  needs_work_ = true;
  changed_.notify_all();
}

void pool_host::WorkerChanged(const kv_event& event) {
  const std::lock_guard lock(mutex_);
  workers_.erase(event.entry.key);
  if (event.deleted) return;
  auto worker =
      options_.ports->decode_worker(event.entry.key, event.entry.value);
  if (worker) workers_[event.entry.key] = std::move(*worker);
}

void pool_host::PublishWorkers() {
  std::map<std::string, std::map<std::string, pool_worker>> by_pool;
  std::map<std::string, std::shared_ptr<pool_owner>, std::less<>> owners;
  {
    const std::lock_guard lock(mutex_);
    if (!workers_listed_) return;
    for (const auto& [key, worker] : workers_) {
      by_pool[worker.pool][worker.id] = worker;
    }
    owners = owners_;
  }
  for (const auto& [pool, owner] : owners) owner->SetWorkers(by_pool[pool]);
}

gate_reply pool_host::AnswerJobCall(const wire::pool_callT& call) {
  const auto deadline = options_.clock->Now() + duration(kForwardedCall);
  gate_reply reply;
  if (call.topic == kSubmitTopic) {
    const auto job = Attempt([&] { return DecodeSubmission(call.body); });
    if (!job) {
      reply.answer = job_answer::kInvalid;
      reply.reason = Describe(job.failure);
      return reply;
    }
    const auto owner = OwnerOf(job->queue.pool);
    return owner ? owner->Submit(*job, deadline) : reply;
  }
  const auto reference = Attempt([&] { return DecodeReference(call.body); });
  if (!reference) {
    reply.answer = job_answer::kInvalid;
    reply.reason = Describe(reference.failure);
    return reply;
  }
  const auto owner = OwnerOf(reference->pool);
  if (!owner) return reply;
  if (call.topic == kStateTopic) return owner->State(reference->name);
  if (call.topic == kPendingTopic) return owner->Pending(reference->name);
  if (call.topic == kCancelTopic) {
    return owner->Cancel(reference->name, deadline);
  }
  reply.answer = job_answer::kInvalid;
  reply.reason = "unknown topic " + call.topic;
  return reply;
}

wire_message pool_host::AnswerAdvise(const wire::pool_callT& call) {
  const json in = json::parse(call.body, nullptr, false);
  if (!in.is_object() || !in.contains("job") || !in.contains("workers")) {
    return MakeFailure({error_kind::kInvalidArgument, "malformed advise call",
                        "check that all daemons run compatible versions"});
  }
  const task_key step{in.value("job", ""), in.value("occurrence", 0U),
                      in.value("step", 0U), 0};
  const auto workers = in.value("workers", std::vector<std::string>{});
  const auto answer = Attempt([&] {
    return options_.ports->ask_advisor(step, workers, kAdviseTimeout);
  });
  if (!answer) return MakeFailure(answer.failure);
  json approved = json::array();
  for (const approved_worker& one : *answer) {
    approved.push_back({one.worker, one.ticket});
  }
  return MakePoolReply(approved.dump());
}

wire_message pool_host::Answer(const wire_message& request) {
  const wire::pool_callT* call = request.body.Aspool_call();
  if (call == nullptr) {
    return MakeFailure({error_kind::kInvalidArgument, "an empty pool call",
                        "check that all daemons run compatible versions"});
  }
  if (call->topic == kAdviseTopic) return AnswerAdvise(*call);
  if (call->topic == kTakeTopic) return AnswerTake(*call);
  if (call->topic == kOwnerTopic) return AnswerOwner(*call);
  return MakePoolReply(EncodeReply(AnswerJobCall(*call)));
}

result<approval_desk::approvals> pool_host::AskThrough(
    const std::string& member_id, const approval_request& request) {
  if (member_id == options_.directory->SelfId()) {
    std::vector<std::string> ids;
    for (const pool_worker& worker : request.workers) ids.push_back(worker.id);
    return options_.ports->ask_advisor(
        {request.job_id, request.occurrence, request.step, 0}, ids,
        kAdviseTimeout);
  }
  wire::pool_callT call;
  call.topic = kAdviseTopic;
  call.body = EncodeAdvise(request);
  BOOST_LEAF_AUTO(reply,
                  options_.peers->Call(member_id, MakeMessage(std::move(call)),
                                       kAdviseTimeout));
  const wire::pool_replyT* body = reply.body.Aspool_reply();
  const json rows =
      body == nullptr ? json() : json::parse(body->body, nullptr, false);
  if (!rows.is_array()) {
    return Fail(error_kind::kCorrupt, "a malformed reply to an advise call",
                "check that all daemons run compatible versions");
  }
  approval_desk::approvals approved;
  for (const json& row : rows) {
    if (!row.is_array() || row.size() != 2) continue;
    approved.push_back({row[0].get<std::string>(), row[1].get<std::string>()});
  }
  return approved;
}

}  // namespace apricotwheel

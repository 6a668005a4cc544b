#include "dispatch/dispatcher.h"

#include <map>

#include "dispatch/dispatch_events.h"
#include "dispatch/dispatch_outcome.h"
#include "dispatch/request_flow.h"
#include "dispatch/service_executor.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

namespace {

// Interval for detecting slots that become free with time: when an authority
// starts, a backoff ends or a usage read is due.
constexpr duration kMaintenanceInterval = milliseconds(50);
// A change wakes the publishing thread at once. This timeout only bounds how
// long `Stop` takes.
constexpr duration kPublishTimeout = milliseconds(500);
constexpr duration kSlowMaintenanceInterval = std::chrono::seconds(1);
constexpr duration kHandoverTimeout = std::chrono::seconds(2);

}  // namespace

struct dispatcher::state {
  explicit state(dispatcher_options initial)
      : options(std::move(initial)),
        metrics(std::make_shared<dispatch_metrics>(options.metrics)),
        flow(FlowOptions()),
        stop(options.clock) {}

  request_flow_options FlowOptions();
  std::shared_ptr<service_executor> FindExecutor(
      const std::string& service) const;
  std::shared_ptr<service_executor> FindOrCreateExecutor(
      const std::string& service);
  service_response RunLocally(const admitted_request& admitted) const;
  void UpdateShardOwnership();
  void HandOverShard(std::uint32_t shard, const std::string& successor,
                     time_point deadline);
  void NotifyCapacityChange();
  void PublishChanges();
  void PublishCapacity(const std::string& service,
                       const service_capacity& load);
  void MoveQueuedRequests(const std::string& service);
  std::map<std::string, std::shared_ptr<service_executor>> Executors() const;
  void RunExecutorWork();
  void RunSlowMaintenance();
  void RunMaintenance();

  const dispatcher_options options;
  const std::shared_ptr<dispatch_metrics> metrics;
  request_flow flow;
  mutable std::mutex mutex;
  std::map<std::string, std::shared_ptr<service_executor>, std::less<>>
      executors;
  stop_signal stop;
  std::mutex change_mutex;
  std::condition_variable change_condition;
  bool change_pending = false;
  std::uint64_t last_sequence = 0;  // Only the publishing thread uses it.
  thread_group threads;
};

request_flow_options dispatcher::state::FlowOptions() {
  request_flow_options flow_options;
  flow_options.member_id = options.member_id;
  flow_options.settings = options.settings;
  flow_options.clock = options.clock;
  flow_options.log = options.log;
  flow_options.metrics = metrics;
  flow_options.random_seed = options.random_seed;
  flow_options.document = [this]() -> std::shared_ptr<const cell_document> {
    const auto active = options.cluster->Document();
    return active ? active->document : nullptr;
  };
  flow_options.shard_owner = [this](std::uint32_t shard) {
    const auto view = options.cluster->View();
    return view ? view->owners.shards[shard] : ownership{};
  };
  flow_options.peer_summaries = [this] {
    return options.cluster->PeerSummaries();
  };
  flow_options.holds_lease = [this] { return options.cluster->HoldsLease(); };
  flow_options.local_capacity = [this](const std::string& service) {
    const auto executor = FindExecutor(service);
    return executor ? executor->Capacity() : service_capacity{};
  };
  flow_options.run_locally = [this](const admitted_request& admitted) {
    return RunLocally(admitted);
  };
  flow_options.call_peer = [this](const std::string& member_id,
                                  const wire_message& message,
                                  duration timeout) {
    return Attempt(
        [&] { return options.peers->Call(member_id, message, timeout); });
  };
  return flow_options;
}

std::shared_ptr<service_executor> dispatcher::state::FindExecutor(
    const std::string& service) const {
  const std::lock_guard lock(mutex);
  const auto found = executors.find(service);
  return found == executors.end() ? nullptr : found->second;
}

std::shared_ptr<service_executor> dispatcher::state::FindOrCreateExecutor(
    const std::string& service) {
  const std::lock_guard lock(mutex);
  auto& executor = executors[service];
  if (executor) return executor;
  service_executor_options executor_options;
  executor_options.service = service;
  executor_options.pool.breaker_failures = options.settings.breaker_failures;
  executor_options.pool.random_seed = options.random_seed;
  executor_options.pool.authority_expiry = [this](std::string_view task_id) {
    return options.workers->DispatchAuthorityExpiry(task_id);
  };
  executor_options.open_connection = MakeInstanceConnectionOpener();
  executor_options.clock = options.clock;
  executor_options.log = options.log;
  executor_options.metrics = metrics;
  executor_options.on_capacity_changed = [this] { NotifyCapacityChange(); };
  executor = std::make_shared<service_executor>(std::move(executor_options));
  return executor;
}

service_response dispatcher::state::RunLocally(
    const admitted_request& admitted) const {
  const auto executor = FindExecutor(admitted.request.service);
  return executor ? executor->Run(admitted) : MakeNotRun(reason::kNoInstance);
}

void dispatcher::state::UpdateShardOwnership() {
  const auto view = options.cluster->View();
  if (!view) return;
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    const ownership& owned = view->owners.shards[shard];
    flow.KeyRegistry().SetOwnership(shard, owned.epoch,
                                    owned.owner == options.member_id);
  }
}

std::map<std::string, std::shared_ptr<service_executor>>
dispatcher::state::Executors() const {
  const std::lock_guard lock(mutex);
  return {executors.begin(), executors.end()};
}

void dispatcher::state::NotifyCapacityChange() {
  const std::lock_guard lock(change_mutex);
  change_pending = true;
  change_condition.notify_one();
}

// Runs on its own thread, because a peer that reads slowly must not delay
// requests.
void dispatcher::state::PublishChanges() {
  while (!stop.StopRequested()) {
    {
      std::unique_lock lock(change_mutex);
      options.clock->WaitFor(lock, change_condition, kPublishTimeout,
                             [this] { return change_pending; });
      change_pending = false;
    }
    for (const auto& [service, executor] : Executors()) {
      const auto changed = executor->TakeCapacityChange();
      if (!changed) continue;
      PublishCapacity(service, *changed);
      MoveQueuedRequests(service);
    }
  }
}

void dispatcher::state::PublishCapacity(const std::string& service,
                                        const service_capacity& load) {
  wire::service_summaryT summary;
  summary.service = service;
  summary.instances = flow.IsDraining() ? 0 : load.instances;
  summary.free_slots = static_cast<std::uint32_t>(load.free_slots);
  summary.queued = static_cast<std::uint32_t>(load.queued);
  summary.sequence = ++last_sequence;
  const wire_message message = MakeMessage(std::move(summary));
  for (const peer_summary& peer : options.cluster->PeerSummaries()) {
    options.peers->Post(peer.member_id, message);
  }
}

void dispatcher::state::MoveQueuedRequests(const std::string& service) {
  const auto executor = FindExecutor(service);
  if (!executor) return;
  const auto summaries = options.cluster->PeerSummaries();
  executor->MoveQueuedRequests([&](std::int64_t own_score) {
    return flow.Router().ReserveBetterPeer(service, own_score, summaries);
  });
}

void dispatcher::state::RunExecutorWork() {
  for (const auto& entry : Executors()) {
    const auto executor = entry.second;
    executor->RunPeriodicWork();
    while (auto read = executor->StartUsageRead()) {
      // Each read runs on its own thread, because it blocks if the instance
      // does not respond.
      const auto spawned = Attempt([&] {
        return threads.Spawn(
            "usage", [executor, due = *read] { executor->RunUsageRead(due); });
      });
      if (!spawned) executor->RunUsageRead(std::move(*read));
    }
  }
}

void dispatcher::state::RunSlowMaintenance() {
  flow.KeyRegistry().RemoveExpiredRecords();
  metrics->SetInFlight(flow.InFlightRequests());
  metrics->SetKeyRecords(flow.KeyRegistry().CountRecords());
  const auto active = options.cluster->Document();
  const std::lock_guard lock(mutex);
  for (const auto& [service, executor] : executors) {
    executor->UpdateGauges();
    const workload_config* workload =
        active ? active->document->FindWorkload(service) : nullptr;
    if (workload != nullptr) executor->SetQueueLimit(workload->queue_limit);
  }
}

void dispatcher::state::RunMaintenance() {
  time_point next_slow = options.clock->Now();
  while (!stop.StopRequested()) {
    UpdateShardOwnership();
    RunExecutorWork();
    if (options.clock->Now() >= next_slow) {
      RunSlowMaintenance();
      next_slow = options.clock->Now() + kSlowMaintenanceInterval;
    }
    stop.WaitFor(kMaintenanceInterval);
  }
}

dispatcher::dispatcher(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

dispatcher::~dispatcher() { Stop(); }

result<std::unique_ptr<dispatcher>> dispatcher::Create(
    dispatcher_options options) {
  if (options.cluster == nullptr || options.workers == nullptr ||
      options.peers == nullptr || !options.clock || options.member_id.empty()) {
    return Fail(error_kind::kInvalidArgument,
                "the dispatcher options lack a manager, the peer node, the "
                "clock or the member id",
                "set all fields of dispatcher_options");
  }
  return std::unique_ptr<dispatcher>(
      new dispatcher(std::make_unique<state>(std::move(options))));
}

result<void> dispatcher::Start() {
  state& self = *state_;
  self.options.peers->SetHandler(
      wire::body::dispatch_request,
      [&self](const std::string&, const wire_message& request) {
        const auto* message = request.body.Asdispatch_request();
        return MakeMessage(ToWire(self.flow.HandlePeerRequest(*message)));
      });
  self.options.peers->SetHandler(
      wire::body::service_summary,
      [&self](const std::string& sender, const wire_message& request) {
        const auto* load = request.body.Asservice_summary();
        self.flow.Router().SetPeerLoad(sender, *load);
        self.MoveQueuedRequests(load->service);
        return MakeMessage(wire::acknowledgementT{});
      });
  self.options.peers->SetHandler(
      wire::body::ticket_request,
      [&self](const std::string&, const wire_message&) {
        wire::ticket_responseT response;
        response.ticket = self.flow.IssueLocalTicket();
        return MakeMessage(std::move(response));
      });
  self.options.peers->SetHandler(
      wire::body::key_handover,
      [&self](const std::string& sender, const wire_message& request) {
        const auto* handover = request.body.Askey_handover();
        auto acknowledgement =
            self.flow.KeyRegistry().AcceptHandover(*handover);
        Emit(self.options.log, dispatch_events::kKeysReceived,
             {Field("from", sender), Field("shard", handover->shard),
              Field("epoch", handover->epoch),
              Field("records", handover->records.size()),
              Field("refused", acknowledgement.reason)});
        return MakeMessage(std::move(acknowledgement));
      });
  BOOST_LEAF_CHECK(
      self.threads.Spawn("publish", [&self] { self.PublishChanges(); }));
  return self.threads.Spawn("dispatch", [&self] { self.RunMaintenance(); });
}

void dispatcher::SetInstances(std::span<const instance_record> instances) {
  std::map<std::string, std::vector<instance_record>> by_service;
  {
    const std::lock_guard lock(state_->mutex);
    for (const auto& [name, executor] : state_->executors) by_service[name];
  }
  for (const instance_record& record : instances) {
    by_service[record.service].push_back(record);
  }
  for (const auto& [service, records] : by_service) {
    state_->FindOrCreateExecutor(service)->SetInstances(records);
  }
  state_->stop.Wake();
}

service_response dispatcher::HandleRequest(const service_request& request) {
  return state_->flow.HandleRequest(request);
}

result<std::string> dispatcher::IssueTicket() {
  return state_->flow.IssueTicket();
}

void dispatcher::FillGossip(wire::gossipT& gossip) const {
  const std::lock_guard lock(state_->mutex);
  for (const auto& [service, executor] : state_->executors) {
    const service_capacity capacity = executor->Capacity();
    auto& summary = gossip.services.emplace_back(
        std::make_unique<wire::service_summaryT>());
    summary->service = service;
    summary->instances = capacity.instances;
    summary->free_slots = static_cast<std::uint32_t>(capacity.free_slots);
    summary->queued = static_cast<std::uint32_t>(capacity.queued);
  }
  if (state_->flow.IsDraining()) gossip.draining = true;
}

void dispatcher::StartDraining() { state_->flow.StartDraining(); }

std::size_t dispatcher::InFlightRequests() const {
  return state_->flow.InFlightRequests();
}

void dispatcher::state::HandOverShard(std::uint32_t shard,
                                      const std::string& successor,
                                      time_point deadline) {
  // Reserves a quarter of the frame for headers and the encoding.
  auto handover = flow.KeyRegistry().StartHandover(
      shard,
      static_cast<std::size_t>(options.settings.max_frame_bytes) / 4 * 3);
  if (!handover) return;
  const std::size_t records = handover->records.size();
  const duration time_left = deadline - options.clock->Now();
  const auto message = MakeMessage(std::move(*handover));
  const auto call_result = Attempt([&] {
    return options.peers->Call(successor, message,
                               std::min(time_left, kHandoverTimeout));
  });
  const auto* acknowledgement =
      call_result ? call_result->body.Asacknowledgement() : nullptr;
  if (acknowledgement != nullptr && acknowledgement->accepted) {
    Emit(options.log, dispatch_events::kKeysHandedOver,
         {Field("shard", shard), Field("to", successor),
          Field("records", records)});
    return;
  }
  Emit(
      options.log, dispatch_events::kKeyHandoverFailed,
      {Field("shard", shard), Field("to", successor),
       Field("failure", call_result ? (acknowledgement ? acknowledgement->reason
                                                       : "wrong response type")
                                    : Describe(call_result.failure))});
}

void dispatcher::HandOverKeyRecords(const assignment& next,
                                    time_point deadline) {
  state_->UpdateShardOwnership();
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    const std::string& successor = next.shards[shard].owner;
    if (successor.empty() || successor == state_->options.member_id) continue;
    if (state_->options.clock->Now() >= deadline) return;
    state_->HandOverShard(shard, successor, deadline);
  }
}

void dispatcher::Stop() {
  state_->stop.RequestStop();
  state_->NotifyCapacityChange();
  state_->threads.JoinAll();
}

}  // namespace apricotwheel

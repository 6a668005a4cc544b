#include "dispatch/dispatcher.h"

#include <map>

#include "dispatch/dispatch_events.h"
#include "dispatch/dispatch_outcome.h"
#include "dispatch/request_flow.h"
#include "dispatch/service_lane.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

namespace {

// How often slots that become free with time are noticed: authority that
// starts, back-offs that end, usage reports that are due.
constexpr duration kTickInterval = milliseconds(50);
// Changes wake the publishing thread; this only bounds a stop.
constexpr duration kPublishWait = milliseconds(500);
constexpr duration kSlowTickInterval = std::chrono::seconds(1);
constexpr duration kHandoverTimeout = std::chrono::seconds(2);

}  // namespace

struct dispatcher::state {
  explicit state(dispatcher_options initial)
      : options(std::move(initial)),
        metrics(std::make_shared<dispatch_metrics>(options.metrics)),
        flow(FlowOptions()),
        stop(options.clock) {}

  request_flow_options FlowOptions();
  std::shared_ptr<service_lane> FindLane(const std::string& service) const;
  std::shared_ptr<service_lane> MakeLane(const std::string& service);
  service_response RunHere(const staged_request& staged) const;
  void FollowShards();
  void HandOver(std::uint32_t shard, const std::string& successor,
                time_point deadline);
  void NoteChange();
  void PublishChanges();
  void Publish(const std::string& service, const own_capacity& load);
  void MoveWaiting(const std::string& service);
  std::map<std::string, std::shared_ptr<service_lane>> Lanes() const;
  void ReadUsage();
  void SlowTick();
  void Maintain();

  const dispatcher_options options;
  const std::shared_ptr<dispatch_metrics> metrics;
  request_flow flow;
  mutable std::mutex mutex;
  std::map<std::string, std::shared_ptr<service_lane>, std::less<>> lanes;
  stop_signal stop;
  std::mutex change_mutex;
  std::condition_variable change;
  bool change_due = false;
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
  flow_options.summaries = [this] { return options.cluster->Summaries(); };
  flow_options.holds_lease = [this] { return options.cluster->HoldsLease(); };
  flow_options.own_capacity_of = [this](const std::string& service) {
    const auto lane = FindLane(service);
    return lane ? lane->Capacity() : own_capacity{};
  };
  flow_options.run_here = [this](const staged_request& staged) {
    return RunHere(staged);
  };
  flow_options.call = [this](const std::string& member_id,
                             const wire_message& message, duration timeout) {
    return Attempt(
        [&] { return options.peers->Call(member_id, message, timeout); });
  };
  return flow_options;
}

std::shared_ptr<service_lane> dispatcher::state::FindLane(
    const std::string& service) const {
  const std::lock_guard lock(mutex);
  const auto found = lanes.find(service);
  return found == lanes.end() ? nullptr : found->second;
}

std::shared_ptr<service_lane> dispatcher::state::MakeLane(
    const std::string& service) {
  const std::lock_guard lock(mutex);
  auto& lane = lanes[service];
  if (lane) return lane;
  service_lane_options lane_options;
  lane_options.service = service;
  lane_options.pool.breaker_failures = options.settings.breaker_failures;
  lane_options.pool.random_seed = options.random_seed;
  lane_options.pool.authority = [this](std::string_view task_id) {
    return options.workers->DispatchAuthorityExpiry(task_id);
  };
  lane_options.open = InstanceClientOpener();
  lane_options.clock = options.clock;
  lane_options.log = options.log;
  lane_options.metrics = metrics;
  lane_options.changed = [this] { NoteChange(); };
  lane = std::make_shared<service_lane>(std::move(lane_options));
  return lane;
}

service_response dispatcher::state::RunHere(
    const staged_request& staged) const {
  const auto lane = FindLane(staged.request.service);
  return lane ? lane->Run(staged) : MakeNotRun(reason::kNoInstance);
}

void dispatcher::state::FollowShards() {
  const auto view = options.cluster->View();
  if (!view) return;
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    const ownership& owned = view->owners.shards[shard];
    flow.Keys().SetOwnership(shard, owned.epoch,
                             owned.owner == options.member_id);
  }
}

std::map<std::string, std::shared_ptr<service_lane>> dispatcher::state::Lanes()
    const {
  const std::lock_guard lock(mutex);
  return {lanes.begin(), lanes.end()};
}

void dispatcher::state::NoteChange() {
  const std::lock_guard lock(change_mutex);
  change_due = true;
  change.notify_one();
}

// A thread of its own, so that a peer that reads slowly delays no request.
void dispatcher::state::PublishChanges() {
  while (!stop.StopRequested()) {
    {
      std::unique_lock lock(change_mutex);
      options.clock->WaitFor(lock, change, kPublishWait,
                             [this] { return change_due; });
      change_due = false;
    }
    for (const auto& [service, lane] : Lanes()) {
      const auto changed = lane->TakeChange();
      if (!changed) continue;
      Publish(service, *changed);
      MoveWaiting(service);
    }
  }
}

void dispatcher::state::Publish(const std::string& service,
                                const own_capacity& load) {
  wire::service_summaryT summary;
  summary.service = service;
  summary.instances = flow.Refusing() ? 0 : load.instances;
  summary.free_slots = static_cast<std::uint32_t>(load.free_slots);
  summary.queued = static_cast<std::uint32_t>(load.queued);
  summary.sequence = ++last_sequence;
  const wire_message message = MakeMessage(std::move(summary));
  for (const peer_summary& peer : options.cluster->Summaries()) {
    options.peers->Post(peer.member_id, message);
  }
}

void dispatcher::state::MoveWaiting(const std::string& service) {
  const auto lane = FindLane(service);
  if (!lane) return;
  const auto summaries = options.cluster->Summaries();
  lane->MoveWaiting([&](std::int64_t own_score) {
    return flow.Routes().TakeBetterPeer(service, own_score, summaries);
  });
}

void dispatcher::state::ReadUsage() {
  for (const auto& entry : Lanes()) {
    const auto lane = entry.second;
    lane->Tick();
    while (auto read = lane->StartUsageRead()) {
      // A read can block on an instance that does not answer, so each has its
      // own thread.
      const auto spawned = Attempt([&] {
        return threads.Spawn("usage",
                             [lane, due = *read] { lane->RunUsageRead(due); });
      });
      if (!spawned) lane->RunUsageRead(std::move(*read));
    }
  }
}

void dispatcher::state::SlowTick() {
  flow.Keys().DropExpired();
  metrics->SetInFlight(flow.InFlight());
  metrics->SetKeyRecords(flow.Keys().RecordCount());
  const auto active = options.cluster->Document();
  const std::lock_guard lock(mutex);
  for (const auto& [service, lane] : lanes) {
    lane->UpdateGauges();
    const workload_config* workload =
        active ? active->document->FindWorkload(service) : nullptr;
    if (workload != nullptr) lane->SetQueueLimit(workload->queue_limit);
  }
}

void dispatcher::state::Maintain() {
  time_point next_slow = options.clock->Now();
  while (!stop.StopRequested()) {
    FollowShards();
    ReadUsage();
    if (options.clock->Now() >= next_slow) {
      SlowTick();
      next_slow = options.clock->Now() + kSlowTickInterval;
    }
    stop.WaitFor(kTickInterval);
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
                "the dispatcher lacks a manager, a clock or a member id",
                "set all fields of dispatcher_options");
  }
  return std::unique_ptr<dispatcher>(
      new dispatcher(std::make_unique<state>(std::move(options))));
}

result<void> dispatcher::Start() {
  state& self = *state_;
  self.options.peers->Handle(
      wire::body::dispatch_request,
      [&self](const std::string&, const wire_message& request) {
        const auto* message = request.body.Asdispatch_request();
        return MakeMessage(ToWire(self.flow.HandlePeer(*message)));
      });
  self.options.peers->Handle(
      wire::body::service_summary,
      [&self](const std::string& sender, const wire_message& request) {
        const auto* load = request.body.Asservice_summary();
        self.flow.Routes().SetPeerLoad(sender, *load);
        self.MoveWaiting(load->service);
        return MakeMessage(wire::acknowledgementT{});
      });
  self.options.peers->Handle(wire::body::ticket_request,
                             [&self](const std::string&, const wire_message&) {
                               wire::ticket_responseT response;
                               response.ticket = self.flow.MintOwnTicket();
                               return MakeMessage(std::move(response));
                             });
  self.options.peers->Handle(
      wire::body::key_handover,
      [&self](const std::string& sender, const wire_message& request) {
        const auto* handover = request.body.Askey_handover();
        auto answer = self.flow.Keys().AcceptHandover(*handover);
        Emit(self.options.log, dispatch_events::kKeysReceived,
             {Field("from", sender), Field("shard", handover->shard),
              Field("epoch", handover->epoch),
              Field("records", handover->records.size()),
              Field("refused", answer.reason)});
        return MakeMessage(std::move(answer));
      });
  BOOST_LEAF_CHECK(
      self.threads.Spawn("publish", [&self] { self.PublishChanges(); }));
  return self.threads.Spawn("dispatch", [&self] { self.Maintain(); });
}

void dispatcher::SetInstances(std::span<const instance_record> instances) {
  std::map<std::string, std::vector<instance_record>> by_service;
  {
    const std::lock_guard lock(state_->mutex);
    for (const auto& [service, lane] : state_->lanes) by_service[service];
  }
  for (const instance_record& record : instances) {
    by_service[record.service].push_back(record);
  }
  for (const auto& [service, records] : by_service) {
    state_->MakeLane(service)->SetInstances(records);
  }
  state_->stop.Wake();
}

service_response dispatcher::Handle(const service_request& request) {
  return state_->flow.Handle(request);
}

result<std::string> dispatcher::MintTicket() {
  return state_->flow.MintTicket();
}

void dispatcher::FillGossip(wire::gossipT& gossip) const {
  const std::lock_guard lock(state_->mutex);
  for (const auto& [service, lane] : state_->lanes) {
    const own_capacity own = lane->Capacity();
    auto& summary = gossip.services.emplace_back(
        std::make_unique<wire::service_summaryT>());
    summary->service = service;
    summary->instances = own.instances;
    summary->free_slots = static_cast<std::uint32_t>(own.free_slots);
    summary->queued = static_cast<std::uint32_t>(own.queued);
  }
  if (state_->flow.Refusing()) gossip.draining = true;
}

void dispatcher::RefuseNew() { state_->flow.RefuseNew(); }

std::size_t dispatcher::InFlight() const { return state_->flow.InFlight(); }

void dispatcher::state::HandOver(std::uint32_t shard,
                                 const std::string& successor,
                                 time_point deadline) {
  // A quarter of the frame is left for headers and the encoding.
  auto handover = flow.Keys().TakeHandover(
      shard,
      static_cast<std::size_t>(options.settings.max_frame_bytes) / 4 * 3);
  if (!handover) return;
  const std::size_t records = handover->records.size();
  const duration left = deadline - options.clock->Now();
  const auto message = MakeMessage(std::move(*handover));
  const auto answered = Attempt([&] {
    return options.peers->Call(successor, message,
                               std::min(left, kHandoverTimeout));
  });
  const auto* answer = answered ? answered->body.Asacknowledgement() : nullptr;
  if (answer != nullptr && answer->accepted) {
    Emit(options.log, dispatch_events::kKeysHandedOver,
         {Field("shard", shard), Field("to", successor),
          Field("records", records)});
    return;
  }
  Emit(options.log, dispatch_events::kKeyHandoverFailed,
       {Field("shard", shard), Field("to", successor),
        Field("failure", answered ? (answer ? answer->reason : "wrong reply")
                                  : Describe(answered.failure))});
}

void dispatcher::HandOverKeys(const assignment& next, time_point deadline) {
  state_->FollowShards();
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    const std::string& successor = next.shards[shard].owner;
    if (successor.empty() || successor == state_->options.member_id) continue;
    if (state_->options.clock->Now() >= deadline) return;
    state_->HandOver(shard, successor, deadline);
  }
}

void dispatcher::Stop() {
  state_->stop.RequestStop();
  state_->NoteChange();
  state_->threads.JoinAll();
}

}  // namespace apricotwheel

#include "workers/worker_manager.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

#include "kernel/thread_group.h"
#include "workers/removed_vm_tracker.h"
#include "workers/task_event_sender.h"
#include "workers/worker_fleet.h"
#include "workers/worker_session.h"
#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

constexpr auto kReconcileInterval = milliseconds(100);
// New events wake the sender; without them it runs this often.
constexpr auto kEventSendInterval = milliseconds(1000);
// Delay before events are sent again that were not accepted.
constexpr auto kEventRetryInterval = milliseconds(200);

std::string PartitionOf(const vm_record& vm) {
  return vm.failure_domain + "/" + vm.rack;
}

worker_fleet_options MakeFleetOptions(const worker_manager_options& options) {
  worker_fleet_options fleet;
  fleet.lease.task_lease = options.settings.task_lease;
  fleet.lease.dispatch_authority = options.settings.dispatch_authority;
  fleet.lease.authority_margin = options.settings.clock_margin;
  fleet.health.failed_jobs_to_quarantine =
      static_cast<std::size_t>(options.settings.quarantine_failures);
  fleet.health.quarantine_base = options.settings.quarantine;
  fleet.clock = options.clock;
  fleet.log = options.log;
  fleet.random_seed = options.random_seed;
  return fleet;
}

// Returns false if the instances callback must be called for the difference.
// `authority_expires_at` is left out: it changes with every renewal.
bool IsSameInstance(const instance_record& left, const instance_record& right) {
  return left.task_id == right.task_id && left.address == right.address &&
         left.worker == right.worker && left.epoch == right.epoch &&
         left.accepting == right.accepting &&
         left.predecessor_authority_ended == right.predecessor_authority_ended;
}

}  // namespace

struct worker_manager::state {
  explicit state(worker_manager_options initial)
      : options(std::move(initial)),
        fleet(MakeFleetOptions(options)),
        removed_vms(options.settings.task_lease +
                    worker_lease_options{}.drift_margin),
        reconcile_wake(options.clock),
        event_sender_wake(options.clock),
        workers_gauge(prometheus::BuildGauge()
                          .Name("apricotwheel_workers")
                          .Help("Owned workers by state")
                          .Register(*options.metrics)) {}

  worker_manager_options options;
  worker_fleet fleet;
  std::mutex removed_vms_mutex;
  removed_vm_tracker removed_vms;
  instances_callback on_instances;
  task_events_handler on_task_events;
  wake_signal reconcile_wake;
  wake_signal event_sender_wake;
  prometheus::Family<prometheus::Gauge>& workers_gauge;
  std::mutex sessions_mutex;
  std::map<std::string, std::shared_ptr<worker_session>> sessions;
  // No session is started any more. Guarded by `sessions_mutex`.
  bool closing_sessions = false;
  cluster_view_ptr seen_view;
  std::shared_ptr<const vm_list> seen_vms;
  std::vector<instance_record> seen_instances;
  thread_group session_threads;
  thread_group threads;

  worker_fleet::shard_epochs ViewEpochs() const;
  expected_workers ExpectedWorkers();
  void RunReconcileLoop();
  void UpdateSessions();
  void UpdateSession(const vm_record& vm, std::uint64_t epoch);
  void NotifyInstances();
  void UpdateWorkersGauge();
  void RunEventSendLoop();
};

worker_fleet::shard_epochs worker_manager::state::ViewEpochs() const {
  worker_fleet::shard_epochs epochs{};
  const auto view = options.cluster->View();
  if (!view) return epochs;
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    epochs[shard] = view->owners.shards[shard].epoch;
  }
  return epochs;
}

expected_workers worker_manager::state::ExpectedWorkers() {
  expected_workers expected;
  const auto view = options.cluster->View();
  if (!view) return expected;
  for (const auto& [name, owner] : view->owners.partitions) {
    if (owner.owner != options.member_id) continue;
    expected.partitions[name];
    expected.epochs[name] = owner.epoch;
  }
  const auto vms = options.cluster->Vms();
  if (!vms) return {};
  for (const auto& vm : vms->vms) {
    const auto partition = expected.partitions.find(PartitionOf(vm));
    if (partition == expected.partitions.end()) continue;
    partition->second.push_back(vm.id);
  }
  const auto status = options.cluster->Status();
  const auto peers = std::count_if(
      view->members.begin(), view->members.end(),
      [&](const auto& member) { return member.id != options.member_id; });
  {
    std::lock_guard guard(removed_vms_mutex);
    if (status.vm_list_age_ms >= 0)
      removed_vms.Update(*vms, options.clock->Now());
    expected.uncertain_partitions =
        removed_vms.PartitionsOfRemovedVms(options.clock->Now());
  }
  // The age is negative until the first VM list was read.
  expected.vm_list_is_current =
      status.vm_list_age_ms >= 0 &&
      IsVmListCurrent(vms->version, options.cluster->PeerSummaries(),
                      static_cast<std::size_t>(peers));
  return expected;
}

void worker_manager::state::UpdateSession(const vm_record& vm,
                                          std::uint64_t epoch) {
  auto& session = sessions[vm.id];
  if (session && session->Epoch() != epoch) {
    session->Stop(false);
    if (!session->Ended()) return;  // Its last call is still in flight.
    session.reset();
  }
  if (session) {
    if (!session->Ended()) {
      fleet.UpsertWorker(vm, PartitionOf(vm), epoch, session->Wake());
    }
    return;
  }
  auto api = Attempt([&] { return CreateWorkerApi(vm.address); });
  if (!api) return;
  worker_session_options session_options;
  session_options.worker = vm.id;
  session_options.member_id = options.member_id;
  session_options.epoch = epoch;
  session_options.renew_interval = options.settings.worker_renew_interval;
  session_options.clock = options.clock;
  session_options.log = options.log;
  session_options.api = std::move(*api);
  session_options.fleet = &fleet;
  session_options.wake = std::make_shared<wake_signal>(options.clock);
  fleet.UpsertWorker(vm, PartitionOf(vm), epoch, session_options.wake);
  session = std::make_shared<worker_session>(std::move(session_options));
  const auto spawned = Attempt([&] {
    return session_threads.Spawn("worker", [session] { session->Run(); });
  });
  if (spawned) return;
  Emit(options.log, kWorkerThreadFailed,
       {Field("worker", vm.id), Field("error", Describe(spawned.failure))});
  fleet.ForgetWorker(vm.id, epoch);
  session.reset();
}

void worker_manager::state::UpdateSessions() {
  const auto view = options.cluster->View();
  const auto vms = options.cluster->Vms();
  if (!view || !vms) return;
  std::lock_guard guard(sessions_mutex);
  if (closing_sessions) return;
  const bool has_pending_changes =
      std::any_of(sessions.begin(), sessions.end(), [](const auto& entry) {
        return !entry.second || entry.second->Ended() ||
               entry.second->Wake()->Stopped();
      });
  if (view == seen_view && vms == seen_vms && !has_pending_changes) return;
  {
    std::lock_guard removed_vms_guard(removed_vms_mutex);
    removed_vms.Update(*vms, options.clock->Now());
  }
  seen_view = view;
  seen_vms = vms;
  std::map<std::string, const vm_record*> listed;
  for (const auto& vm : vms->vms) listed[vm.id] = &vm;
  for (auto& [id, session] : sessions) {
    const auto vm = listed.find(id);
    if (vm != listed.end()) {
      const auto owner = view->owners.partitions.find(PartitionOf(*vm->second));
      if (owner != view->owners.partitions.end() &&
          owner->second.owner == options.member_id) {
        continue;
      }
      if (session) session->Stop(false);
    } else if (session && fleet.CanForgetWorker(id)) {
      // A worker that is no longer listed is kept while tasks may run there.
      session->Stop(false);
    } else {
      fleet.MarkWorkerLeaving(id);
    }
  }
  std::erase_if(sessions, [&](const auto& entry) {
    return entry.second == nullptr ||
           (entry.second->Ended() && !listed.contains(entry.first));
  });
  for (const auto& vm : vms->vms) {
    const auto owner = view->owners.partitions.find(PartitionOf(vm));
    if (owner == view->owners.partitions.end() ||
        owner->second.owner != options.member_id) {
      continue;
    }
    UpdateSession(vm, owner->second.epoch);
  }
}

void worker_manager::state::NotifyInstances() {
  if (!on_instances) return;
  auto instances = fleet.Instances();
  if (std::equal(instances.begin(), instances.end(), seen_instances.begin(),
                 seen_instances.end(), IsSameInstance)) {
    return;
  }
  seen_instances = std::move(instances);
  on_instances(seen_instances);
}

void worker_manager::state::UpdateWorkersGauge() {
  std::map<std::string, double> counts{{"claiming", 0},
                                       {"ready", 0},
                                       {"unresponsive", 0},
                                       {"leaving", 0},
                                       {"quarantined", 0}};
  for (const auto& line : fleet.Workers()) ++counts[line.state];
  for (const auto& [name, count] : counts) {
    workers_gauge.Add({{"state", name}}).Set(count);
  }
}

void worker_manager::state::RunReconcileLoop() {
  while (!reconcile_wake.Stopped()) {
    UpdateSessions();
    fleet.ProcessTimeouts();
    NotifyInstances();
    UpdateWorkersGauge();
    reconcile_wake.WaitFor(kReconcileInterval);
  }
}

void worker_manager::state::RunEventSendLoop() {
  const task_event_sender_options sender_options{
      options.member_id, options.cluster, options.peers, &fleet};
  while (!event_sender_wake.Stopped()) {
    const bool has_pending_events =
        SendPendingEvents(sender_options, on_task_events);
    if (has_pending_events) options.clock->SleepFor(kEventRetryInterval);
    if (!has_pending_events) event_sender_wake.WaitFor(kEventSendInterval);
  }
}

worker_manager::worker_manager(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

worker_manager::~worker_manager() { Stop(); }

result<std::unique_ptr<worker_manager>> worker_manager::Create(
    worker_manager_options options) {
  if (options.cluster == nullptr || options.peers == nullptr ||
      !options.clock || !options.metrics) {
    return Fail(error_kind::kInvalidArgument,
                "a required option of the worker manager is not set",
                "set cluster, peers, clock and metrics");
  }
  return std::unique_ptr<worker_manager>(
      new worker_manager(std::make_unique<state>(std::move(options))));
}

void worker_manager::SetInstancesCallback(instances_callback callback) {
  state_->on_instances = std::move(callback);
}

void worker_manager::SetTaskEventsHandler(task_events_handler handler) {
  state_->on_task_events = std::move(handler);
}

result<void> worker_manager::Start() {
  auto& peers = *state_->options.peers;
  peers.SetHandler(
      wire::body::place_request,
      [this](const std::string&, const wire_message& request) {
        return MakeMessage(PlaceTasks(*request.body.Asplace_request()));
      });
  peers.SetHandler(
      wire::body::stop_request,
      [this](const std::string&, const wire_message& request) {
        return MakeMessage(StopTasks(*request.body.Asstop_request()));
      });
  peers.SetHandler(
      wire::body::inventory_request,
      [this](const std::string&, const wire_message& request) {
        return MakeMessage(BuildInventory(*request.body.Asinventory_request()));
      });
  auto* manager_state = state_.get();
  manager_state->fleet.SetEventsCallback([manager_state] {
    manager_state->event_sender_wake.Wake();
    manager_state->reconcile_wake.Wake();
  });
  BOOST_LEAF_CHECK(manager_state->threads.Spawn(
      "workers", [manager_state] { manager_state->RunReconcileLoop(); }));
  BOOST_LEAF_CHECK(manager_state->threads.Spawn(
      "task-events", [manager_state] { manager_state->RunEventSendLoop(); }));
  return {};
}

wire::place_responseT worker_manager::PlaceTasks(
    const wire::place_requestT& request) {
  return state_->fleet.PlaceTasks(request, state_->ViewEpochs());
}

wire::stop_responseT worker_manager::StopTasks(
    const wire::stop_requestT& request) {
  return state_->fleet.StopTasks(request, state_->ViewEpochs());
}

wire::inventory_responseT worker_manager::BuildInventory(
    const wire::inventory_requestT& request) {
  return state_->fleet.BuildInventory(request, state_->ExpectedWorkers(),
                                      state_->ViewEpochs());
}

std::optional<time_point> worker_manager::DispatchAuthorityExpiry(
    std::string_view task_id) const {
  return state_->fleet.DispatchAuthorityExpiry(task_id);
}

std::vector<instance_record> worker_manager::Instances() const {
  return state_->fleet.Instances();
}

std::vector<worker_status> worker_manager::Workers() const {
  return state_->fleet.Workers();
}

std::vector<std::string> worker_manager::ExplainPlacement(
    const wire::taskT& task) const {
  return state_->fleet.ExplainPlacement(task);
}

void worker_manager::FillGossip(wire::gossipT& gossip) const {
  state_->fleet.FillGossip(gossip);
}

void worker_manager::ReleaseWorkers() {
  {
    std::lock_guard guard(state_->sessions_mutex);
    state_->closing_sessions = true;
    for (auto& [id, session] : state_->sessions) {
      if (session) session->Stop(true);
    }
  }
  state_->session_threads.JoinAll();
}

void worker_manager::Stop() {
  state_->reconcile_wake.Stop();
  state_->event_sender_wake.Stop();
  {
    std::lock_guard guard(state_->sessions_mutex);
    state_->closing_sessions = true;
    for (auto& [id, session] : state_->sessions) {
      if (session) session->Stop(false);
    }
  }
  state_->session_threads.JoinAll();
  state_->threads.JoinAll();
}

}  // namespace apricotwheel

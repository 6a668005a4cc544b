#include "workers/worker_manager.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

#include "kernel/thread_group.h"
#include "workers/event_courier.h"
#include "workers/vanished_vms.h"
#include "workers/worker_fleet.h"
#include "workers/worker_session.h"
#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

constexpr auto kFollowInterval = milliseconds(100);
constexpr auto kIdleDelivery = milliseconds(1000);
constexpr auto kRepeatedDelivery = milliseconds(200);

std::string PartitionOf(const vm_record& vm) {
  return vm.failure_domain + "/" + vm.rack;
}

worker_fleet_options FleetOptions(const worker_manager_options& options) {
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

// True if a listener needs to know of the difference.
bool SameInstance(const instance_record& left, const instance_record& right) {
  return left.task_id == right.task_id && left.address == right.address &&
         left.worker == right.worker && left.epoch == right.epoch &&
         left.accepting == right.accepting &&
         left.authority_started == right.authority_started;
}

}  // namespace

struct worker_manager::state {
  explicit state(worker_manager_options initial)
      : options(std::move(initial)),
        fleet(FleetOptions(options)),
        vanished(options.settings.task_lease +
                 worker_lease_options{}.drift_margin),
        follow_wake(options.clock),
        courier_wake(options.clock),
        workers_gauge(prometheus::BuildGauge()
                          .Name("apricotwheel_workers")
                          .Help("Owned workers by state")
                          .Register(*options.metrics)) {}

  worker_manager_options options;
  worker_fleet fleet;
  std::mutex vanished_mutex;
  vanished_vms vanished;
  instances_listener listener;
  task_event_sink sink;
  wake_signal follow_wake;
  wake_signal courier_wake;
  prometheus::Family<prometheus::Gauge>& workers_gauge;
  std::mutex sessions_mutex;
  std::map<std::string, std::shared_ptr<worker_session>> sessions;
  bool releasing = false;  // Guarded by `sessions_mutex`.
  cluster_view_ptr seen_view;
  std::shared_ptr<const vm_list> seen_vms;
  std::vector<instance_record> seen_instances;
  thread_group session_threads;
  thread_group threads;

  worker_fleet::shard_epochs ViewEpochs() const;
  expected_workers ExpectedWorkers();
  void Follow();
  void FollowWorkers();
  void FollowWorker(const vm_record& vm, std::uint64_t epoch);
  void FollowInstances();
  void CountWorkers();
  void Deliver();
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
    if (owner.owner == options.member_id) expected.partitions[name];
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
      [&](const auto& one) { return one.id != options.member_id; });
  {
    std::lock_guard guard(vanished_mutex);
    if (status.vm_list_age_ms >= 0) vanished.Update(*vms, options.clock->Now());
    expected.uncertain = vanished.Partitions(options.clock->Now());
  }
  // The age is negative before the first list.
  expected.list_is_current =
      status.vm_list_age_ms >= 0 &&
      IsListCurrent(vms->version, options.cluster->Summaries(),
                    static_cast<std::size_t>(peers));
  return expected;
}

void worker_manager::state::FollowWorker(const vm_record& vm,
                                         std::uint64_t epoch) {
  auto& session = sessions[vm.id];
  if (session && session->Epoch() != epoch) {
    session->Stop(false);
    if (!session->Ended()) return;  // Its last call is still under way.
    session.reset();
  }
  if (session) {
    if (!session->Ended()) {
      fleet.SetWorker(vm, PartitionOf(vm), epoch, session->Wake());
    }
    return;
  }
  auto calls = Attempt([&] { return ConnectWorker(vm.address); });
  if (!calls) return;
  worker_session_options made;
  made.worker = vm.id;
  made.member_id = options.member_id;
  made.epoch = epoch;
  made.renew_interval = options.settings.worker_renew_interval;
  made.clock = options.clock;
  made.log = options.log;
  made.calls = std::move(*calls);
  made.fleet = &fleet;
  made.wake = std::make_shared<wake_signal>(options.clock);
  fleet.SetWorker(vm, PartitionOf(vm), epoch, made.wake);
  session = std::make_shared<worker_session>(std::move(made));
  const auto spawned = Attempt([&] {
    return session_threads.Spawn("worker", [session] { session->Run(); });
  });
  if (spawned) return;
  Emit(options.log, kWorkerThreadFailed,
       {Field("worker", vm.id), Field("error", Describe(spawned.failure))});
  fleet.DropWorker(vm.id, epoch);
  session.reset();
}

void worker_manager::state::FollowWorkers() {
  const auto view = options.cluster->View();
  const auto vms = options.cluster->Vms();
  if (!view || !vms) return;
  std::lock_guard guard(sessions_mutex);
  if (releasing) return;
  const bool waits =
      std::any_of(sessions.begin(), sessions.end(), [](const auto& entry) {
        return !entry.second || entry.second->Ended() ||
               entry.second->Wake()->Stopped();
      });
  if (view == seen_view && vms == seen_vms && !waits) return;
  {
    std::lock_guard vanished_guard(vanished_mutex);
    vanished.Update(*vms, options.clock->Now());
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
    } else if (session && fleet.CanForget(id)) {
      // A VM that the list dropped is kept while tasks may run there.
      session->Stop(false);
    } else {
      fleet.MarkLeaving(id);
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
    FollowWorker(vm, owner->second.epoch);
  }
}

void worker_manager::state::FollowInstances() {
  if (!listener) return;
  auto instances = fleet.Instances();
  if (std::equal(instances.begin(), instances.end(), seen_instances.begin(),
                 seen_instances.end(), SameInstance)) {
    return;
  }
  seen_instances = std::move(instances);
  listener(seen_instances);
}

void worker_manager::state::CountWorkers() {
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

void worker_manager::state::Follow() {
  while (!follow_wake.Stopped()) {
    FollowWorkers();
    fleet.Sweep();
    FollowInstances();
    CountWorkers();
    follow_wake.WaitFor(kFollowInterval);
  }
}

void worker_manager::state::Deliver() {
  const event_courier_options courier{options.member_id, options.cluster,
                                      options.peers, &fleet};
  while (!courier_wake.Stopped()) {
    const bool remain = DeliverEvents(courier, sink);
    if (remain) options.clock->SleepFor(kRepeatedDelivery);
    if (!remain) courier_wake.WaitFor(kIdleDelivery);
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
                "the worker manager lacks a collaborator",
                "set cluster, peers, clock and metrics");
  }
  return std::unique_ptr<worker_manager>(
      new worker_manager(std::make_unique<state>(std::move(options))));
}

void worker_manager::OnInstances(instances_listener listener) {
  state_->listener = std::move(listener);
}

void worker_manager::SetTaskEventSink(task_event_sink sink) {
  state_->sink = std::move(sink);
}

result<void> worker_manager::Start() {
  auto& peers = *state_->options.peers;
  peers.Handle(wire::body::place_request,
               [this](const std::string&, const wire_message& request) {
                 return MakeMessage(Place(*request.body.Asplace_request()));
               });
  peers.Handle(wire::body::stop_request,
               [this](const std::string&, const wire_message& request) {
                 return MakeMessage(StopTasks(*request.body.Asstop_request()));
               });
  peers.Handle(
      wire::body::inventory_request,
      [this](const std::string&, const wire_message& request) {
        return MakeMessage(Inventory(*request.body.Asinventory_request()));
      });
  auto* shared = state_.get();
  shared->fleet.OnEvents([shared] {
    shared->courier_wake.Wake();
    shared->follow_wake.Wake();
  });
  BOOST_LEAF_CHECK(
      shared->threads.Spawn("workers", [shared] { shared->Follow(); }));
  BOOST_LEAF_CHECK(
      shared->threads.Spawn("task-events", [shared] { shared->Deliver(); }));
  return {};
}

wire::place_responseT worker_manager::Place(
    const wire::place_requestT& request) {
  return state_->fleet.Place(request, state_->ViewEpochs());
}

wire::stop_responseT worker_manager::StopTasks(
    const wire::stop_requestT& request) {
  return state_->fleet.StopTasks(request, state_->ViewEpochs());
}

wire::inventory_responseT worker_manager::Inventory(
    const wire::inventory_requestT& request) {
  return state_->fleet.Inventory(request, state_->ExpectedWorkers(),
                                 state_->ViewEpochs());
}

std::optional<time_point> worker_manager::AuthorityOf(
    std::string_view task_id) const {
  return state_->fleet.AuthorityOf(task_id);
}

std::vector<instance_record> worker_manager::Instances() const {
  return state_->fleet.Instances();
}

std::vector<worker_status_line> worker_manager::Workers() const {
  return state_->fleet.Workers();
}

std::vector<std::string> worker_manager::Explain(
    const wire::taskT& task) const {
  return state_->fleet.Explain(task);
}

void worker_manager::FillGossip(wire::gossipT& gossip) const {
  state_->fleet.FillGossip(gossip);
}

void worker_manager::ReleaseAll() {
  {
    std::lock_guard guard(state_->sessions_mutex);
    state_->releasing = true;
    for (auto& [id, session] : state_->sessions) {
      if (session) session->Stop(true);
    }
  }
  state_->session_threads.JoinAll();
}

void worker_manager::Stop() {
  state_->follow_wake.Stop();
  state_->courier_wake.Stop();
  {
    std::lock_guard guard(state_->sessions_mutex);
    state_->releasing = true;
    for (auto& [id, session] : state_->sessions) {
      if (session) session->Stop(false);
    }
  }
  state_->session_threads.JoinAll();
  state_->threads.JoinAll();
}

}  // namespace apricotwheel

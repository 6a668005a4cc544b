#include "cluster/cluster_core.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>

#include "cluster/cluster_events.h"

namespace apricotwheel {

namespace {

cluster_manager_options WithDefaults(cluster_manager_options options) {
  if (!options.clock) options.clock = runtime_clock::Running();
  if (!options.metrics) {
    options.metrics = std::make_shared<prometheus::Registry>();
  }
  return options;
}

member MakeMemberRecord(const cluster_manager_options& options) {
  const auto& settings = options.settings;
  return {options.member_id,     settings.name,         settings.failure_domain,
          settings.http_address, settings.peer_address, false};
}

}  // namespace

cluster_core::cluster_core(cluster_manager_options options)
    : options_(WithDefaults(std::move(options))),
      clock_(options_.clock),
      documents_(options_.policy_names, options_.log, *options_.metrics),
      vms_(clock_),
      gossip_cache_(clock_),
      lease_(options_.kv, clock_, options_.settings, MakeMemberRecord(options_),
             options_.log),
      assignment_writes_(
          &prometheus::BuildCounter()
               .Name("apricotwheel_cluster_assignment_writes_total")
               .Help("Assignments that this daemon has written.")
               .Register(*options_.metrics)
               .Add({})),
      member_gauge_(&prometheus::BuildGauge()
                         .Name("apricotwheel_cluster_members")
                         .Help("Daemons with a member record.")
                         .Register(*options_.metrics)
                         .Add({})),
      view_(std::make_shared<const cluster_view>()),
      lease_signal_(clock_),
      watch_signal_(clock_),
      vm_signal_(clock_),
      planner_signal_(clock_),
      gossip_signal_(clock_),
      seed_signal_(clock_) {}

result<void> cluster_core::Start() {
  documents_.SetDocumentCallback([this](const active_document_ptr& next) {
    vms_.SetDrainedVms(next->document->drain);
    gossip_signal_.Wake();  // Sends the drained VMs to the peers at once.
    if (on_document_changed) on_document_changed(next);
  });
  BOOST_LEAF_CHECK(threads_.Spawn("cluster-lease", [this] { RunLease(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("cluster-watch", [this] { RunWatch(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("cluster-vms", [this] { RunVmList(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("cluster-plan", [this] { RunPlanner(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("cluster-gossip", [this] { RunGossip(); }));
  BOOST_LEAF_CHECK(
      threads_.Spawn("cluster-seeds", [this] { RunSeedRequests(); }));
  return {};
}

void cluster_core::Stop() {
  for (auto* signal : {&lease_signal_, &watch_signal_, &vm_signal_,
                       &planner_signal_, &gossip_signal_, &seed_signal_}) {
    signal->RequestStop();
  }
  options_.kv->InterruptWatches();
  threads_.JoinAll();
  // Waits for running gossip handlers. They can call the callbacks, whose
  // targets are destroyed after `Stop`.
  std::unique_lock guard(handler_mutex_);
  handlers_closed_ = true;
}

void cluster_core::RunLease() {
  while (!lease_signal_.StopRequested()) {
    const bool was_held = lease_.IsHeld();
    const auto wait = lease_.RenewIfDue();
    if (!was_held && lease_.IsHeld()) planner_signal_.Wake();
    if (lease_signal_.WaitFor(wait)) return;
  }
}

void cluster_core::RunVmList() {
  bool has_failed = false;
  while (!vm_signal_.StopRequested()) {
    auto fetched = Attempt([&] { return options_.vm_list->Fetch(); });
    if (fetched) {
      const auto leaving_before = vms_.LocalLeavingVms();
      vms_.UpdateList(std::move(*fetched));
      planner_signal_.Wake();
      // All daemons must know a leaving VM within 5 s of its appearance in the
      // list (guarantee 6), so this does not wait for the next gossip interval.
      if (vms_.LocalLeavingVms() != leaving_before) gossip_signal_.Wake();
    } else if (!has_failed) {
      Emit(options_.log, cluster_events::kVmListFailed,
           {Field("reason", Describe(fetched.failure))});
    }
    has_failed = !fetched;
    if (vm_signal_.WaitFor(options_.settings.vm_list_interval)) return;
  }
}

void cluster_core::AnnounceLeaving() {
  lease_.MarkLeaving();
  lease_signal_.Wake();
  SendGossip();
}

cluster_view_ptr cluster_core::View() const {
  std::lock_guard guard(mutex_);
  return view_;
}

std::vector<peer_summary> cluster_core::PeerSummaries() const {
  auto all = gossip_cache_.PeerSummaries();
  const auto view = View();
  std::erase_if(all, [&](const peer_summary& summary) {
    return view->FindMember(summary.member_id) == nullptr;
  });
  return all;
}

cluster_status cluster_core::Status() const {
  cluster_status status;
  status.holds_lease = lease_.IsHeld();
  status.document_revision = documents_.Revision();
  status.document_error = documents_.LastError();
  status.document_missing_reason = DocumentMissingReason();
  status.vm_list_version = vms_.ListVersion();
  status.vm_list_age_ms = vms_.ListAgeMs();
  std::lock_guard guard(mutex_);
  status.kv_reachable = records_listed_ && kv_reachable_;
  return status;
}

}  // namespace apricotwheel

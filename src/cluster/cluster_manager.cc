#include "cluster/cluster_manager.h"

#include "cluster/cluster_core.h"

namespace apricotwheel {

struct cluster_manager::state {
  std::shared_ptr<cluster_core> core;
};

cluster_manager::cluster_manager(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

cluster_manager::~cluster_manager() { Stop(); }

result<std::unique_ptr<cluster_manager>> cluster_manager::Create(
    cluster_manager_options options) {
  if (options.kv == nullptr || options.vm_list == nullptr ||
      options.peers == nullptr || options.member_id.empty()) {
    return Fail(error_kind::kInvalidArgument,
                "the cluster manager options lack a client or the member id",
                "set all clients and the member id in cluster_manager_options");
  }
  auto initial = std::make_unique<state>();
  initial->core = std::make_shared<cluster_core>(std::move(options));
  initial->core->RegisterHandlers();
  return std::unique_ptr<cluster_manager>(
      new cluster_manager(std::move(initial)));
}

void cluster_manager::SetViewCallback(view_callback callback) {
  state_->core->on_view_changed = std::move(callback);
}

void cluster_manager::SetDocumentCallback(document_callback callback) {
  state_->core->on_document_changed = std::move(callback);
}

void cluster_manager::SetGossipSource(gossip_source source) {
  state_->core->gossip_source = std::move(source);
}

result<void> cluster_manager::Start() { return state_->core->Start(); }

cluster_view_ptr cluster_manager::View() const { return state_->core->View(); }

active_document_ptr cluster_manager::Document() const {
  return state_->core->DocumentTracker().Current();
}

std::vector<peer_summary> cluster_manager::PeerSummaries() const {
  return state_->core->PeerSummaries();
}

cluster_status cluster_manager::Status() const {
  return state_->core->Status();
}

std::shared_ptr<const vm_list> cluster_manager::Vms() const {
  return state_->core->VmTracker().MergedList();
}

bool cluster_manager::HoldsLease() const {
  return state_->core->Lease().IsHeld();
}

void cluster_manager::AnnounceLeaving() { state_->core->AnnounceLeaving(); }

result<void> cluster_manager::HandOverOwnership(
    time_point deadline,
    const assignment_planned_callback& on_assignment_planned) {
  return state_->core->HandOverOwnership(deadline, on_assignment_planned);
}

void cluster_manager::Stop() { state_->core->Stop(); }

}  // namespace apricotwheel

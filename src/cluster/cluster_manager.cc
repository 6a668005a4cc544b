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
                "the cluster manager lacks a client or the member id",
                "set all clients and the member id in the options");
  }
  auto initial = std::make_unique<state>();
  initial->core = std::make_shared<cluster_core>(std::move(options));
  initial->core->RegisterHandlers();
  return std::unique_ptr<cluster_manager>(
      new cluster_manager(std::move(initial)));
}

void cluster_manager::OnView(view_listener listener) {
  state_->core->view_listener = std::move(listener);
}

void cluster_manager::OnDocument(document_listener listener) {
  state_->core->document_listener = std::move(listener);
}

void cluster_manager::SetGossipSource(gossip_source source) {
  state_->core->gossip_source = std::move(source);
}

result<void> cluster_manager::Start() { return state_->core->Start(); }

cluster_view_ptr cluster_manager::View() const { return state_->core->View(); }

active_document_ptr cluster_manager::Document() const {
  return state_->core->Documents().Current();
}

std::vector<peer_summary> cluster_manager::Summaries() const {
  return state_->core->Summaries();
}

cluster_status cluster_manager::Status() const {
  return state_->core->Status();
}

std::shared_ptr<const vm_list> cluster_manager::Vms() const {
  return state_->core->Vms().Merged();
}

bool cluster_manager::HoldsLease() const {
  return state_->core->Lease().IsHeld();
}

void cluster_manager::AnnounceLeaving() { state_->core->AnnounceLeaving(); }

result<void> cluster_manager::HandOver(time_point deadline,
                                       const handover_step& before_commit) {
  return state_->core->HandOver(deadline, before_commit);
}

void cluster_manager::Stop() { state_->core->Stop(); }

}  // namespace apricotwheel

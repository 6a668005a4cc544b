#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"
#include "clients/vm_list_client.h"
#include "cluster/cluster_view.h"
#include "config/document.h"
#include "config/settings.h"
#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "peer/peer_node.h"

namespace apricotwheel {

// The document in force in this daemon.
struct active_document {
  document_envelope envelope;
  std::shared_ptr<const cell_document> document;
};
using active_document_ptr = std::shared_ptr<const active_document>;

// What one daemon last published about itself, with the time of receipt.
struct peer_summary {
  std::string member_id;
  wire::gossipT gossip;
  time_point received_at;
};

struct cluster_status {
  bool holds_lease = false;
  bool kv_reachable = false;
  std::uint64_t document_revision = 0;
  std::string document_error;  // Why a newer stored document is not in force.
  std::string
      document_missing_reason;  // Why no document is in force; else empty.
  std::uint64_t vm_list_version = 0;
  std::int64_t vm_list_age_ms = 0;
};

struct cluster_manager_options {
  daemon_settings settings;
  std::string member_id;
  std::vector<std::string> policy_names;  // For the document's validator.
  kv_client* kv = nullptr;                // These outlive the manager.
  vm_list_client* vm_list = nullptr;
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
};

// Owns membership, the assignment, the document in force, the merged VM list
// and the gossip between daemons. Thread-safe.
class cluster_manager {
 public:
  using view_callback = std::function<void(const cluster_view_ptr&)>;
  using document_callback = std::function<void(const active_document_ptr&)>;
  using gossip_source = std::function<void(wire::gossipT&)>;

  static result<std::unique_ptr<cluster_manager>> Create(
      cluster_manager_options options);
  ~cluster_manager();

  // Listeners and the gossip source, which fills in the capacity and service
  // fields of this daemon's own summary, are set before `Start`. They are
  // called from the manager's threads and must not block.
  void SetViewCallback(view_callback callback);
  void SetDocumentCallback(document_callback callback);
  void SetGossipSource(gossip_source source);

  // Starts the threads: lease, watch, VM list, planner, gossip, seeds.
  result<void> Start();

  cluster_view_ptr View() const;
  active_document_ptr Document() const;  // Null until one is known.
  std::vector<peer_summary> PeerSummaries()
      const;  // Of live peers, not of self.
  cluster_status Status() const;

  // The VMs of the newest list, each marked leaving if any daemon saw it so or
  // the document drains it.
  std::shared_ptr<const vm_list> Vms() const;

  // True while this daemon's own key-value lease is valid, by the monotonic
  // clock from the moment the last renewal was sent.
  bool HoldsLease() const;

  // Planned stop, step 1: marks the member record as leaving and tells peers,
  // so that no new requests are routed here.
  void AnnounceLeaving();
  // Planned stop, step 2: plans an assignment without this daemon, calls
  // `before_commit` with it, so that state can be sent to the next owners, and
  // writes it; after a conflict it plans and calls again. Then removes the
  // member record. Bounded by `deadline`.
  using assignment_planned_callback =
      std::function<void(const assignment& next)>;
  result<void> HandOverOwnership(
      time_point deadline,
      const assignment_planned_callback& on_assignment_planned);

  // Ends within the longest single call to the services. The watches of the
  // key-value client that the manager was given remain interrupted.
  void Stop();

 private:
  struct state;
  explicit cluster_manager(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

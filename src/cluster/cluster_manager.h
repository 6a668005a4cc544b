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

// The cell document that this daemon currently applies.
struct active_document {
  document_envelope envelope;
  std::shared_ptr<const cell_document> document;
};
using active_document_ptr = std::shared_ptr<const active_document>;

// The last gossip content of one daemon and the time of its last message.
struct peer_summary {
  std::string member_id;
  wire::gossipT gossip;
  time_point received_at;
};

struct cluster_status {
  bool holds_lease = false;
  bool kv_reachable = false;
  std::uint64_t document_revision = 0;
  // Why a newer stored document is not active; empty if there is none.
  std::string document_error;
  // Why there is no active document; empty if there is one.
  std::string document_missing_reason;
  std::uint64_t vm_list_version = 0;
  std::int64_t vm_list_age_ms = 0;
};

struct cluster_manager_options {
  daemon_settings settings;
  std::string member_id;
  std::vector<std::string> policy_names;  // Accepted by document validation.
  // The clients and the peer node outlive the manager.
  kv_client* kv = nullptr;
  vm_list_client* vm_list = nullptr;
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
};

// Manages the membership, the assignment, the active document, the merged VM
// list and the gossip between daemons. Thread-safe.
class cluster_manager {
 public:
  using view_callback = std::function<void(const cluster_view_ptr&)>;
  using document_callback = std::function<void(const active_document_ptr&)>;
  using gossip_source = std::function<void(wire::gossipT&)>;

  static result<std::unique_ptr<cluster_manager>> Create(
      cluster_manager_options options);
  ~cluster_manager();

  // The callbacks are set before `Start`. They are called from the manager's
  // threads and must not block. The gossip source fills in the capacity and
  // service fields of the gossip message of this daemon.
  void SetViewCallback(view_callback callback);
  void SetDocumentCallback(document_callback callback);
  void SetGossipSource(gossip_source source);

  // Starts one thread each for the member lease, the key-value watch, the VM
  // list, the planner, the gossip and the seed peers.
  result<void> Start();

  cluster_view_ptr View() const;
  active_document_ptr Document() const;  // Null until a document is active.
  // The summaries of the current members other than this daemon.
  std::vector<peer_summary> PeerSummaries() const;
  cluster_status Status() const;

  // Returns the VMs of the newest list. A VM is marked as leaving if any daemon
  // reports it as leaving or the active document drains it.
  std::shared_ptr<const vm_list> Vms() const;

  // Returns true while this daemon's key-value lease is valid. The validity is
  // measured with the monotonic clock from when the last renewal was sent.
  bool HoldsLease() const;

  // Planned stop, step 1: marks the member record as leaving and notifies the
  // peers, which then route no new requests to this daemon.
  void AnnounceLeaving();
  // Planned stop, step 2: plans an assignment without this daemon, passes it to
  // `on_assignment_planned`, which can send state to the next owners, and
  // writes it. A write conflict repeats these steps. Then removes the member
  // record. Returns by `deadline`.
  using assignment_planned_callback =
      std::function<void(const assignment& next)>;
  result<void> HandOverOwnership(
      time_point deadline,
      const assignment_planned_callback& on_assignment_planned);

  // Stops all threads. Takes at most as long as one call to the services.
  // Watches of the key-value client stay interrupted afterwards.
  void Stop();

 private:
  struct state;
  explicit cluster_manager(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

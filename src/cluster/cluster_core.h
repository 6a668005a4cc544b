#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

#include "cluster/cluster_manager.h"
#include "cluster/document_tracker.h"
#include "cluster/gossip_cache.h"
#include "cluster/member_lease.h"
#include "cluster/vm_tracker.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

// The implementation of cluster_manager. The peer node outlives it, so the
// handlers registered there hold only a weak pointer.
class cluster_core : public std::enable_shared_from_this<cluster_core> {
 public:
  explicit cluster_core(cluster_manager_options options);

  void RegisterHandlers();
  result<void> Start();
  void Stop();
  void AnnounceLeaving();
  result<void> HandOverOwnership(
      time_point deadline, const cluster_manager::assignment_planned_callback&
                               on_assignment_planned);

  cluster_view_ptr View() const;
  std::vector<peer_summary> PeerSummaries() const;
  cluster_status Status() const;

  document_tracker& DocumentTracker() { return documents_; }
  const vm_tracker& VmTracker() const { return vms_; }
  const member_lease& Lease() const { return lease_; }

  cluster_manager::view_callback on_view_changed;
  cluster_manager::document_callback on_document_changed;
  cluster_manager::gossip_source gossip_source;

 private:
  struct stored_member {
    member record;
    std::uint64_t revision = 0;
  };

  void RunLease();
  void RunWatch();
  void RunVmList();
  void RunPlanner();
  void RunGossip();
  void RunSeedRequests();

  // In cluster_watch.cc.

  // Lists all cluster records and applies them, and raises `revision` to the
  // highest one seen. Returns false if the list could not be read.
  bool ListRecords(std::uint64_t& revision);
  void ApplyEvent(const kv_event& event);
  void ApplyMember(const kv_event& event, const std::string& id);
  void ApplyAssignment(const kv_entry& entry);
  void PublishView();
  void UpdatePeerLinks(const std::vector<member>& members);
  void SetKvReachable(bool reachable);

  // In cluster_planner.cc.

  // Returns nothing before the first VM list, unless `without_self` is set.
  std::optional<assignment> PlanNextAssignment(const cluster_view& view,
                                               bool without_self);
  // Fails with a conflict if the stored assignment does not have the revision
  // `expected`.
  result<void> WriteAssignment(const assignment& next, std::uint64_t expected,
                               time_point deadline);
  result<void> RefreshAssignment(std::optional<duration> timeout = {});
  bool IsPlanningSuspended() const;
  bool HasOlderVmList() const;

  // In cluster_gossip.cc.

  void SendGossip();
  void ReceiveGossip(const std::string& sender, const wire::gossipT& message);
  void FetchDocument(const std::string& sender);
  // Removes peers that no longer send gossip, and closes the links of peers
  // whose member record has been missing for some time.
  void RemoveSilentPeers();

  // In cluster_seeds.cc.

  std::set<std::string> SeedAddresses() const;
  void FetchDocumentFromSeeds();
  std::string DocumentMissingReason() const;

  cluster_manager_options options_;
  const clock_ptr clock_;
  document_tracker documents_;
  vm_tracker vms_;
  gossip_cache gossip_cache_;
  member_lease lease_;
  prometheus::Counter* const assignment_writes_;
  prometheus::Gauge* const member_gauge_;

  mutable std::mutex mutex_;
  std::map<std::string, stored_member> members_;
  std::uint64_t members_revision_ = 0;
  assignment assignment_;
  std::uint64_t assignment_revision_ = 0;
  cluster_view_ptr view_;
  // Peers that have an address in the peer node.
  std::set<std::string> linked_peers_;
  // Linked peers without a member record, with the time when it was missing
  // first.
  std::map<std::string, time_point> removed_peers_;
  // The planner writes nothing before this time.
  time_point planning_resumes_at_{};
  bool records_listed_ = false;  // The records were listed at least once.
  bool kv_reachable_ = true;
  // Why the last requests to the seed peers returned no document.
  std::string seed_failures_;

  std::mutex publish_mutex_;         // Keeps views and callbacks in order.
  std::shared_mutex handler_mutex_;  // Held shared by the gossip handler.
  bool handlers_closed_ = false;
  std::mutex gossip_mutex_;  // Guards `composer_`.
  gossip_composer composer_;
  std::atomic<bool> document_fetch_in_flight_ = false;

  stop_signal lease_signal_;
  stop_signal watch_signal_;
  stop_signal vm_signal_;
  stop_signal planner_signal_;
  stop_signal gossip_signal_;
  stop_signal seed_signal_;
  thread_group threads_;
};

// The key of the assignment in the key-value service.
inline constexpr std::string_view kAssignmentKey =
    "apricotwheel/cluster/assignment";

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clients/vm_list_client.h"
#include "cluster/cluster_view.h"
#include "kernel/clock.h"

namespace apricotwheel {

// Returns the partition of a VM: `<failure domain>/<rack>`.
std::string PartitionOf(const vm_record& vm);

// Merges the VM list with the leaving VMs of the peers and the drained VMs of
// the document, and tracks for how long partitions have been missing from the
// list. Thread-safe.
class vm_tracker {
 public:
  explicit vm_tracker(clock_ptr clock) : clock_(std::move(clock)) {}

  // Applies a fetched list. A list with a lower version than the current one
  // changes only the age, until the version has been lower for 10 s.
  void UpdateList(vm_list fetched);
  // Sets the VMs that the document drains.
  void SetDrainedVms(const std::vector<std::string>& vms);
  // Sets the VMs that a peer reports as leaving. `list_version` is the version
  // of the VM list of that peer.
  void SetPeerLeavingVms(const std::string& member_id,
                         const std::vector<std::string>& vms,
                         std::uint64_t list_version);
  // Removes the leaving VMs of a peer that is gone, once the current list is
  // at least as new as the list of that peer.
  void RemovePeer(const std::string& member_id);

  // Returns the current list with all leaving and drained VMs marked as
  // leaving.
  std::shared_ptr<const vm_list> MergedList() const;
  // Returns the VMs that are leaving by the current list or drained by the
  // document. VMs reported by peers are not included: two daemons would repeat
  // them to each other for ever.
  std::vector<std::string> LocalLeavingVms() const;
  std::uint64_t ListVersion() const;
  std::int64_t ListAgeMs() const;  // -1 before the first list.

  // Returns the partitions in the list and the partitions with an owner that
  // have been missing from the list for less than 10 s. Returns nothing before
  // the first list.
  std::optional<std::vector<std::string>> AssignablePartitions(
      const assignment& owners);

 private:
  struct peer_leaving_vms {
    std::vector<std::string> vms;
    std::uint64_t list_version = 0;
    bool is_removed = false;  // Kept only until the current list is as new.
  };

  struct absence {
    time_point since{};
    std::uint64_t epoch = 0;  // A change of owner restarts the time.
  };

  const clock_ptr clock_;
  mutable std::mutex mutex_;
  std::optional<vm_list> list_;
  time_point fetched_at_{};
  std::optional<time_point> lower_version_since_;
  std::set<std::string, std::less<>> drained_vms_;
  std::map<std::string, peer_leaving_vms> peers_;
  std::set<std::string, std::less<>> listed_partitions_;
  std::map<std::string, absence> absent_partitions_;
  mutable std::shared_ptr<const vm_list> merged_;  // Null after a change.
};

}  // namespace apricotwheel

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

// `<failure domain>/<rack>` of a VM.
std::string PartitionOf(const vm_record& vm);

// Merges the VM list with what peers and the document say about leaving VMs,
// and remembers for how long partitions have been absent. Thread-safe.
class vm_tracker {
 public:
  explicit vm_tracker(clock_ptr clock) : clock_(std::move(clock)) {}

  // A list that was fetched. One of a lower version changes only the age.
  void UpdateList(vm_list fetched);
  void SetDrainedVms(const std::vector<std::string>& vms);
  // The leaving VMs of a peer, seen in the list `list_version`.
  void SetPeerLeavingVms(const std::string& member_id,
                         const std::vector<std::string>& vms,
                         std::uint64_t list_version);
  // Ends the marks of a peer that is gone, once the own list is as new as the
  // one that the marks came from.
  void RemovePeer(const std::string& member_id);

  std::shared_ptr<const vm_list> MergedList() const;
  // The VMs that this daemon itself knows as leaving: by its list or its
  // document. Marks of peers are left out, since they would echo for ever.
  std::vector<std::string> LocalLeavingVms() const;
  std::uint64_t ListVersion() const;
  std::int64_t ListAgeMs() const;

  // All listed partitions, and those that have an owner and have not been
  // absent for 10 s. Absent before the first list.
  std::optional<std::vector<std::string>> AssignablePartitions(
      const assignment& owners);

 private:
  struct peer_leaving_vms {
    std::vector<std::string> vms;
    std::uint64_t list_version = 0;
    bool is_removed = false;
  };

  struct absence {
    time_point since{};
    std::uint64_t epoch = 0;  // A new owner restarts the wait.
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
  mutable std::shared_ptr<const vm_list> merged_;  // Null if outdated.
};

}  // namespace apricotwheel

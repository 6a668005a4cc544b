#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "clients/vm_list_client.h"
#include "kernel/clock.h"

namespace apricotwheel {

// Remembers VMs that were removed from the VM list. Tasks that a previous owner
// of the partition started on such a VM may run until their leases expire, and
// a later owner does not know the worker. Not thread-safe.
class removed_vm_tracker {
 public:
  // `retention` is one task lease plus the clock drift over it.
  explicit removed_vm_tracker(duration retention) : retention_(retention) {}

  // Records the VMs that the previous list had and `list` has not. Forgets
  // those that are listed again and, after the retention, all others.
  void Update(const vm_list& list, time_point now);

  // Returns the partitions (`<failure domain>/<rack>`) of the VMs that were
  // removed within the retention.
  std::set<std::string> PartitionsOfRemovedVms(time_point now) const;

 private:
  duration retention_;
  std::map<std::string, std::string> listed_vms_;  // VM id to partition.
  // VM id to its partition and the time of its removal.
  std::map<std::string, std::pair<std::string, time_point>> removed_vms_;
};

}  // namespace apricotwheel

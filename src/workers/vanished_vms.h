#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "clients/vm_list_client.h"
#include "kernel/clock.h"

namespace apricotwheel {

// VMs that the VM list named and no longer names. A task of an earlier owner
// may run on one until its lease has expired, and a later owner of the
// partition never learns of that worker. Not thread-safe.
class removed_vm_tracker {
 public:
  // `lifetime` covers a task lease and the clock drift over it.
  explicit removed_vm_tracker(duration retention) : retention_(retention) {}

  void Update(const vm_list& list, time_point now);

  // Partitions (`<failure domain>/<rack>`) of the VMs that vanished less than
  // a lifetime ago.
  std::set<std::string> PartitionsOfRemovedVms(time_point now) const;

 private:
  duration retention_;
  std::map<std::string, std::string> listed_vms_;  // VM to partition.
  std::map<std::string, std::pair<std::string, time_point>> removed_vms_;
};

}  // namespace apricotwheel

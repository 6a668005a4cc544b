#include "workers/removed_vm_tracker.h"

namespace apricotwheel {

void removed_vm_tracker::Update(const vm_list& list, time_point now) {
  std::map<std::string, std::string> now_listed;
  for (const auto& vm : list.vms) {
    now_listed[vm.id] = vm.failure_domain + "/" + vm.rack;
    removed_vms_.erase(vm.id);
  }
  for (const auto& [id, partition] : listed_vms_) {
    if (!now_listed.contains(id)) removed_vms_[id] = {partition, now};
  }
  listed_vms_ = std::move(now_listed);
  std::erase_if(removed_vms_, [&](const auto& entry) {
    return now >= entry.second.second + retention_;
  });
}

std::set<std::string> removed_vm_tracker::PartitionsOfRemovedVms(
    time_point now) const {
  std::set<std::string> partitions;
  for (const auto& [id, entry] : removed_vms_) {
    if (now < entry.second + retention_) partitions.insert(entry.first);
  }
  return partitions;
}

}  // namespace apricotwheel

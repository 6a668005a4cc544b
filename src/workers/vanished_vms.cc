#include "workers/vanished_vms.h"

namespace apricotwheel {

void vanished_vms::Update(const vm_list& list, time_point now) {
  std::map<std::string, std::string> listed;
  for (const auto& vm : list.vms) {
    listed[vm.id] = vm.failure_domain + "/" + vm.rack;
    vanished_.erase(vm.id);
  }
  for (const auto& [id, partition] : listed_) {
    if (!listed.contains(id)) vanished_[id] = {partition, now};
  }
  listed_ = std::move(listed);
  std::erase_if(vanished_, [&](const auto& entry) {
    return now >= entry.second.second + lifetime_;
  });
}

std::set<std::string> vanished_vms::Partitions(time_point now) const {
  std::set<std::string> partitions;
  for (const auto& [id, entry] : vanished_) {
    if (now < entry.second + lifetime_) partitions.insert(entry.first);
  }
  return partitions;
}

}  // namespace apricotwheel

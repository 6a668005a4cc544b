#include "cluster/vm_tracker.h"

#include <algorithm>

namespace apricotwheel {

namespace {

// The VM list service lags, and one of its instances can omit a rack for some
// seconds. A partition keeps its owner for this time.
constexpr auto kPartitionGrace = milliseconds(10'000);
// A version that stays lower for this long means that the VM list service was
// restarted, and not that one of its instances lags.
constexpr auto kLowerVersionGrace = milliseconds(10'000);

}  // namespace

std::string PartitionOf(const vm_record& vm) {
  return vm.failure_domain + "/" + vm.rack;
}

void vm_tracker::UpdateList(vm_list fetched) {
  std::lock_guard guard(mutex_);
  const auto now = clock_->Now();
  fetched_at_ = now;
  if (list_ && fetched.version < list_->version) {
    if (!lower_version_since_) lower_version_since_ = now;
    if (now - *lower_version_since_ < kLowerVersionGrace) return;
  }
  lower_version_since_.reset();
  listed_partitions_.clear();
  for (const auto& vm : fetched.vms) listed_partitions_.insert(PartitionOf(vm));
  std::erase_if(absent_partitions_, [&](const auto& entry) {
    return listed_partitions_.contains(entry.first);
  });
  list_ = std::move(fetched);
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.is_removed &&
           entry.second.list_version <= list_->version;
  });
  merged_ = nullptr;
}

void vm_tracker::SetDrainedVms(const std::vector<std::string>& vms) {
  std::lock_guard guard(mutex_);
  drained_vms_ = {vms.begin(), vms.end()};
  merged_ = nullptr;
}

void vm_tracker::SetPeerLeavingVms(const std::string& member_id,
                                   const std::vector<std::string>& vms,
                                   std::uint64_t list_version) {
  std::lock_guard guard(mutex_);
  auto& reported = peers_[member_id];
  if (reported.vms != vms) merged_ = nullptr;
  reported = {vms, list_version, false};
}

void vm_tracker::RemovePeer(const std::string& member_id) {
  std::lock_guard guard(mutex_);
  const auto found = peers_.find(member_id);
  if (found == peers_.end()) return;
  found->second.is_removed = true;
  if (list_ && found->second.list_version > list_->version) return;
  peers_.erase(found);
  merged_ = nullptr;
}

std::shared_ptr<const vm_list> vm_tracker::MergedList() const {
  std::lock_guard guard(mutex_);
  if (merged_) return merged_;
  auto next = std::make_shared<vm_list>(list_ ? *list_ : vm_list{});
  std::set<std::string_view> leaving(drained_vms_.begin(), drained_vms_.end());
  for (const auto& [id, reported] : peers_) {
    leaving.insert(reported.vms.begin(), reported.vms.end());
  }
  for (auto& vm : next->vms) {
    if (leaving.contains(vm.id)) vm.state = vm_state::kLeaving;
  }
  merged_ = std::move(next);
  return merged_;
}

std::vector<std::string> vm_tracker::LocalLeavingVms() const {
  std::lock_guard guard(mutex_);
  std::set<std::string> leaving(drained_vms_.begin(), drained_vms_.end());
  if (list_) {
    for (const auto& vm : list_->vms) {
      if (vm.state == vm_state::kLeaving) leaving.insert(vm.id);
    }
  }
  return {leaving.begin(), leaving.end()};
}

std::uint64_t vm_tracker::ListVersion() const {
  std::lock_guard guard(mutex_);
  return list_ ? list_->version : 0;
}

std::int64_t vm_tracker::ListAgeMs() const {
  std::lock_guard guard(mutex_);
  if (!list_) return -1;
  return std::chrono::duration_cast<milliseconds>(clock_->Now() - fetched_at_)
      .count();
}

std::optional<std::vector<std::string>> vm_tracker::AssignablePartitions(
    const assignment& owners) {
  std::lock_guard guard(mutex_);
  if (!list_) return std::nullopt;
  const auto now = clock_->Now();
  auto partitions = listed_partitions_;
  for (const auto& [name, entry] : owners.partitions) {
    if (entry.owner.empty() || listed_partitions_.contains(name)) continue;
    auto& absent =
        absent_partitions_.try_emplace(name, absence{now, entry.epoch})
            .first->second;
    if (absent.epoch != entry.epoch) absent = {now, entry.epoch};
    // The time counts up to the last list. Without a newer list the partition
    // is not known to be missing still.
    if (fetched_at_ - absent.since < kPartitionGrace) partitions.insert(name);
  }
  return std::vector<std::string>(partitions.begin(), partitions.end());
}

}  // namespace apricotwheel

// The division of pools that have more workers than one owner carries.
#include <utility>

#include "pools/partition_table.h"
#include "pools/pool_events.h"
#include "pools/pool_host.h"

namespace apricotwheel {

namespace {

// Workers register one after the other when a platform starts. The number of
// partitions never changes, and a rack that is used stays where it is, so a
// pool must not be divided, or used, before most workers are known.
constexpr auto kSettleTime = milliseconds(1000);
constexpr auto kMaxSettleTime = milliseconds(6000);
// A pool is divided if the racks that it does not use yet have at least this
// part of the workers of a partition.
constexpr std::size_t kMinUnusedDivisor = 4;

}  // namespace

bool pool_host::IsTooLarge(std::size_t worker_count) const {
  return worker_count >
         static_cast<std::size_t>(options_.settings.partition_workers);
}

bool pool_host::HasSettled(pool_growth& growth, std::size_t worker_count) {
  if (worker_count == 0) return false;
  const auto now = options_.clock->Now();
  if (growth.worker_count == 0) growth.first_seen_at = now;
  if (worker_count > growth.worker_count) growth.grown_at = now;
  growth.worker_count = worker_count;
  if (now - growth.grown_at >= kSettleTime ||
      now - growth.first_seen_at >= kMaxSettleTime) {
    return true;
  }
  const std::lock_guard lock(mutex_);
  is_division_pending_ = true;
  return false;
}

bool pool_host::MayDivide(const std::string& pool, std::size_t worker_count) {
  if (options_.directory->PartitionSupport() != member_support::kNotAll) {
    return true;
  }
  // Members of an earlier version would use all workers in any case.
  if (IsTooLarge(worker_count) &&
      !std::exchange(growth_[pool].is_delay_logged, true)) {
    Emit(options_.log, pool_events::kDivisionDelayed,
         {Field("pool", pool), Field("workers", worker_count),
          Field("limit", options_.settings.partition_workers),
          Field("reason", "a member runs a version without partitions")});
  }
  return false;
}

void pool_host::StorePartitions(const std::string& pool, std::uint64_t epoch,
                                const partition_table& table) {
  const auto stored = Attempt(
      [&] { return options_.directory->StorePartitions(pool, epoch, table); });
  if (stored) return;
  Emit(options_.log, pool_events::kPartitionsNotStored,
       {Field("pool", pool), Field("partitions", table.count),
        Field("reason", Describe(stored.failure))});
  const std::lock_guard lock(mutex_);
  is_division_pending_ = true;
}

pool_host::workers_by_id pool_host::WorkersOfUndivided(
    const std::string& pool, pool_owner& owner, const workers_by_id& workers) {
  pool_growth& growth = growth_[pool];
  if (growth.epoch != owner.Epoch()) {
    growth = {};
    growth.epoch = owner.Epoch();
  }
  if (!MayDivide(pool, workers.size())) return workers;
  const bool has_settled = HasSettled(growth, workers.size());
  if (growth.is_in_use && !IsTooLarge(workers.size())) return workers;
  const auto known = owner.KnownWorkers();
  std::set<std::string, std::less<>> occupied;
  for (const auto& [id, worker] : workers) {
    if (known && known->contains(id)) occupied.insert(RackKey(worker));
  }
  workers_by_id used;
  for (const auto& [id, worker] : workers) {
    if (occupied.contains(RackKey(worker))) used[id] = worker;
  }
  // A few more workers, or new ones on racks in use, are no reason to divide.
  const std::size_t unused = workers.size() - used.size();
  const bool is_worthwhile =
      IsTooLarge(workers.size()) &&
      unused * kMinUnusedDivisor >=
          static_cast<std::size_t>(options_.settings.partition_workers);
  if (!is_worthwhile) {
    growth.is_in_use = growth.is_in_use || has_settled;
    return growth.is_in_use ? workers : used;
  }
  if (has_settled && known &&
      options_.directory->PartitionSupport() == member_support::kAll) {
    const auto table = DividePool(
        workers, occupied,
        static_cast<std::size_t>(options_.settings.partition_workers));
    if (table) StorePartitions(pool, owner.Epoch(), *table);
  } else {
    const std::lock_guard lock(mutex_);
    is_division_pending_ = true;
  }
  return used;
}

std::map<std::string, pool_host::workers_by_id> pool_host::AssignWorkers(
    const std::string& pool, const workers_by_id& workers) {
  std::map<std::string, workers_by_id> by_partition;
  const partition_directory& partitions = options_.directory->Partitions();
  if (partitions.IsUnreadable(pool)) return by_partition;
  const auto first_owner = OwnerOf(pool);
  if (const auto table = partitions.TableOf(pool); table && first_owner) {
    const auto extended = AddRacks(*table, workers);
    if (extended) StorePartitions(pool, first_owner->Epoch(), *extended);
  } else if (!table && first_owner) {
    by_partition[pool] = WorkersOfUndivided(pool, *first_owner, workers);
  }
  const auto table = partitions.TableOf(pool);
  if (!table) return by_partition;
  by_partition.clear();
  for (const auto& [id, worker] : workers) {
    const auto index = FindPartition(*table, worker);
    if (index) by_partition[PartitionName(pool, *index)][id] = worker;
  }
  return by_partition;
}

std::optional<job_call_response> pool_host::CheckHome(
    const std::string& partition, const std::string& job_id) const {
  const std::string home = options_.directory->Partitions().HomeOf(
      PoolOfPartition(partition), job_id);
  if (home == partition) return std::nullopt;
  job_call_response response;
  response.reason =
      "partition " + partition + " does not accept the job; " + home + " does";
  return response;
}

}  // namespace apricotwheel

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

}  // namespace

bool pool_host::IsTooLarge(std::size_t worker_count) const {
  return worker_count >
         static_cast<std::size_t>(options_.settings.partition_workers);
}

bool pool_host::HasSettled(pool_growth& growth, std::size_t worker_count) {
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

bool pool_host::MayUseAllWorkers(const std::string& pool,
                                 std::size_t worker_count) {
  pool_growth& growth = growth_[pool];
  const partition_support support = options_.directory->PartitionSupport();
  if (support == partition_support::kUnknown) {
    const std::lock_guard lock(mutex_);
    is_division_pending_ = true;
    return false;
  }
  if (support == partition_support::kNotAll) {
    // Members of an earlier version would use all workers in any case.
    if (IsTooLarge(worker_count) &&
        !std::exchange(growth.is_delay_logged, true)) {
      Emit(options_.log, pool_events::kDivisionDelayed,
           {Field("pool", pool), Field("workers", worker_count),
            Field("limit", options_.settings.partition_workers),
            Field("reason", "a member runs a version without partitions")});
    }
    return true;
  }
  if (!growth.has_settled) {
    growth.has_settled = HasSettled(growth, worker_count);
  }
  return growth.has_settled && !IsTooLarge(worker_count);
}

void pool_host::UpdatePartitions(const std::string& pool,
                                 pool_owner& first_owner,
                                 const workers_by_id& workers) {
  const auto table = options_.directory->Partitions().TableOf(pool);
  std::optional<partition_table> update;
  if (table) {
    update = AddRacks(*table, workers);
  } else if (IsTooLarge(workers.size()) &&
             HasSettled(growth_[pool], workers.size())) {
    const auto known = first_owner.KnownWorkers();
    if (!known) return;
    std::set<std::string, std::less<>> occupied;
    for (const auto& [id, worker] : workers) {
      if (known->contains(id)) occupied.insert(RackKey(worker));
    }
    update = DividePool(
        workers, occupied,
        static_cast<std::size_t>(options_.settings.partition_workers));
  }
  if (!update) return;
  const auto stored = Attempt([&] {
    return options_.directory->StorePartitions(pool, first_owner.Epoch(),
                                               *update);
  });
  if (stored) return;
  Emit(options_.log, pool_events::kPartitionsNotStored,
       {Field("pool", pool), Field("partitions", update->count),
        Field("reason", Describe(stored.failure))});
  const std::lock_guard lock(mutex_);
  is_division_pending_ = true;
}

std::map<std::string, pool_host::workers_by_id> pool_host::AssignWorkers(
    const std::string& pool, const workers_by_id& workers) {
  std::map<std::string, workers_by_id> by_partition;
  const partition_directory& partitions = options_.directory->Partitions();
  if (partitions.IsUnreadable(pool)) return by_partition;
  const auto first_owner = OwnerOf(pool);
  if (first_owner && growth_[pool].epoch != first_owner->Epoch()) {
    growth_[pool] = {};
    growth_[pool].epoch = first_owner->Epoch();
  }
  if (!partitions.TableOf(pool)) {
    if (!first_owner) return by_partition;
    if (MayUseAllWorkers(pool, workers.size())) {
      by_partition[pool] = workers;
      return by_partition;
    }
  }
  if (first_owner) UpdatePartitions(pool, *first_owner, workers);
  if (const auto table = partitions.TableOf(pool)) {
    for (const auto& [id, worker] : workers) {
      const auto index = FindPartition(*table, worker);
      if (index) by_partition[PartitionName(pool, *index)][id] = worker;
    }
    return by_partition;
  }
  // The first partition goes on with the workers that it has.
  const auto known = first_owner->KnownWorkers();
  for (const auto& [id, worker] : workers) {
    if (known && known->contains(id)) by_partition[pool][id] = worker;
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

#include "pools/partition_directory.h"

#include <utility>

#include "pools/pool_events.h"

namespace apricotwheel {

std::string partition_directory::KeyOf(std::string_view pool) {
  return std::string(kPrefix) + std::string(pool);
}

bool partition_directory::Apply(const kv_event& event) {
  const std::string pool = event.entry.key.substr(kPrefix.size());
  const std::lock_guard lock(mutex_);
  stored_table& stored = tables_[pool];
  if (event.entry.revision <= stored.revision) return false;
  stored.revision = event.entry.revision;
  stored.exists = !event.deleted;
  // Jobs are stored in the partitions, so a table without a record stays in
  // force until there is another one.
  if (event.deleted) return false;
  const auto decoded =
      Attempt([&] { return DecodePartitions(event.entry.value); });
  if (!decoded) {
    Emit(log_, pool_events::kRecordInvalid,
         {Field("key", event.entry.key),
          Field("reason", Describe(decoded.failure))});
    return false;
  }
  stored.table = std::make_shared<const partition_table>(*decoded);
  Emit(log_, pool_events::kPoolDivided,
       {Field("pool", pool), Field("partitions", stored.table->count),
        Field("racks", stored.table->racks.size()),
        Field("revision", stored.revision)});
  return true;
}

bool partition_directory::IsUnreadable(std::string_view pool) const {
  const std::lock_guard lock(mutex_);
  const auto found = tables_.find(pool);
  return found != tables_.end() && found->second.exists && !found->second.table;
}

partition_table_ptr partition_directory::TableOf(std::string_view pool) const {
  const std::lock_guard lock(mutex_);
  const auto found = tables_.find(pool);
  return found == tables_.end() ? nullptr : found->second.table;
}

std::vector<std::string> partition_directory::PartitionsOf(
    std::string_view pool) const {
  const auto table = TableOf(pool);
  return PartitionNames(pool, table ? table->count : 1);
}

std::string partition_directory::HomeOf(std::string_view pool,
                                        std::string_view job_id) const {
  const auto table = TableOf(pool);
  return PartitionName(pool, table ? HomePartition(job_id, table->count) : 0);
}

kv_transaction partition_directory::MakeUpdate(
    std::string_view pool, const partition_table& table,
    const kv_condition& owner) const {
  kv_transaction update;
  update.conditions.push_back(owner);
  const std::lock_guard lock(mutex_);
  const auto found = tables_.find(pool);
  const bool exists = found != tables_.end() && found->second.exists;
  update.conditions.push_back(
      {KeyOf(pool), exists ? found->second.revision : 0});
  update.puts.push_back({KeyOf(pool), EncodePartitions(table), {}});
  return update;
}

}  // namespace apricotwheel

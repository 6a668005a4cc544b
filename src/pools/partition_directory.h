#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"
#include "kernel/log.h"
#include "pools/partition_table.h"

namespace apricotwheel {

using partition_table_ptr = std::shared_ptr<const partition_table>;

// The stored partition tables of all pools, as watched. Thread-safe.
class partition_directory {
 public:
  static constexpr std::string_view kPrefix =
      "apricotwheel/cluster/partitions/";

  explicit partition_directory(log_sink log) : log_(std::move(log)) {}

  static std::string KeyOf(std::string_view pool);

  // Applies a change of a key with `kPrefix`. A table that cannot be decoded is
  // logged, and the last one stays in force. Returns true if the table in force
  // has changed.
  bool Apply(const kv_event& event);

  // Returns true if the pool has a record that cannot be decoded and none was
  // valid before. Its partitions are not known then, so it must not be served.
  bool IsUnreadable(std::string_view pool) const;
  // Returns null if the pool is not divided.
  partition_table_ptr TableOf(std::string_view pool) const;
  std::vector<std::string> PartitionsOf(std::string_view pool) const;
  // Returns the partition of the pool that accepts the job with this id.
  std::string HomeOf(std::string_view pool, std::string_view job_id) const;

  // Returns the write that stores the table of a pool in place of the one that
  // is known here, on condition that the first partition still has this owner.
  kv_transaction MakeUpdate(std::string_view pool, const partition_table& table,
                            const kv_condition& owner) const;

 private:
  struct stored_table {
    partition_table_ptr table;  // Null if none was valid.
    std::uint64_t revision = 0;
    bool exists = false;
  };

  const log_sink log_;
  mutable std::mutex mutex_;
  std::map<std::string, stored_table, std::less<>> tables_;
};

}  // namespace apricotwheel

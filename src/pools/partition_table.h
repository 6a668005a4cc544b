#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "graph/worker_report.h"
#include "kernel/error.h"

namespace apricotwheel {

// How a pool with more workers than one owner can carry is divided. A partition
// consists of whole racks and has an owner, a journal and a worker list of its
// own: apart from its workers and jobs, it is a pool. The first partition has
// the name of the pool, so that an undivided pool is one partition.
//
// A rack stays in its partition and a job in the partition that its id selects,
// so that neither needs an agreement between owners. A pool is divided once.
struct partition_table {
  std::uint32_t count = 1;
  std::map<std::string, std::uint32_t, std::less<>> racks;

  friend bool operator==(const partition_table&,
                         const partition_table&) = default;
};

// Limit of the partitions of a pool.
inline constexpr std::uint32_t kMaxPartitions = 1024;

std::string PartitionName(std::string_view pool, std::uint32_t index);
std::vector<std::string> PartitionNames(std::string_view pool,
                                        std::uint32_t count);
// Returns the pool of a partition. Names that end in "~" and a number are
// reserved for partitions.
std::string_view PoolOfPartition(std::string_view partition);

// Returns the partition that accepts the job with this id.
std::uint32_t HomePartition(std::string_view job_id, std::uint32_t count);

// Returns the name under which the table lists the rack of a worker. Each
// worker without a rack counts as a rack.
std::string RackKey(const pool_worker& worker);
// Returns nothing if the rack has no partition yet.
std::optional<std::uint32_t> FindPartition(const partition_table& table,
                                           const pool_worker& worker);

std::string EncodePartitions(const partition_table& table);
// Fails with `corrupt`. Fields that this version does not know are ignored.
result<partition_table> DecodePartitions(std::string_view json);

// Returns a table that divides a pool with more than `partition_workers`
// workers, or nothing if it stays undivided. The racks in `occupied_racks` have
// work and belong to the first partition.
std::optional<partition_table> DividePool(
    const std::map<std::string, pool_worker>& workers,
    const std::set<std::string, std::less<>>& occupied_racks,
    std::size_t partition_workers);
// Returns the table with the racks added that it lacks, or nothing if there are
// none.
std::optional<partition_table> AddRacks(
    const partition_table& table,
    const std::map<std::string, pool_worker>& workers);

}  // namespace apricotwheel

#include "pools/partition_table.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "graph/record_reading.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// A character that store keys and URLs carry unchanged.
constexpr char kSeparator = '~';
constexpr std::string_view kNoRackPrefix = "worker:";

// The processors of the workers of each rack, in thousandths of a core.
using rack_sizes = std::map<std::string, std::int64_t, std::less<>>;

rack_sizes MeasureRacks(const std::map<std::string, pool_worker>& workers) {
  rack_sizes sizes;
  for (const auto& [id, worker] : workers) {
    sizes[RackKey(worker)] +=
        std::max<std::int64_t>(1, worker.capacity.cpu_milli);
  }
  return sizes;
}

// Adds the racks that the table lacks to the smallest partitions, in the order
// of their names, which usually begin with the failure domain: so each
// partition gets racks of each domain.
void Distribute(const rack_sizes& sizes, partition_table& table) {
  std::vector<std::int64_t> partition_sizes(table.count, 0);
  for (const auto& [rack, partition] : table.racks) {
    const auto found = sizes.find(rack);
    if (found != sizes.end()) partition_sizes[partition] += found->second;
  }
  for (const auto& [rack, size] : sizes) {
    if (table.racks.contains(rack)) continue;
    const auto smallest =
        std::min_element(partition_sizes.begin(), partition_sizes.end());
    *smallest += size;
    table.racks[rack] =
        static_cast<std::uint32_t>(smallest - partition_sizes.begin());
  }
}

}  // namespace

std::string PartitionName(std::string_view pool, std::uint32_t index) {
  std::string name(pool);
  if (index > 0) name += kSeparator + std::to_string(index);
  return name;
}

std::vector<std::string> PartitionNames(std::string_view pool,
                                        std::uint32_t count) {
  std::vector<std::string> names;
  for (std::uint32_t i = 0; i < count; ++i) {
    names.push_back(PartitionName(pool, i));
  }
  return names;
}

std::string_view PoolOfPartition(std::string_view partition) {
  const auto separator = partition.rfind(kSeparator);
  if (separator == std::string_view::npos) return partition;
  const std::string_view suffix = partition.substr(separator + 1);
  std::uint32_t index = 0;
  const char* end = suffix.data() + suffix.size();
  const auto parsed = std::from_chars(suffix.data(), end, index);
  const bool is_index = parsed.ec == std::errc() && parsed.ptr == end &&
                        std::to_string(index) == suffix && index > 0;
  return is_index ? partition.substr(0, separator) : partition;
}

std::uint32_t HomePartition(std::string_view job_id, std::uint32_t count) {
  return static_cast<std::uint32_t>(XXH3_64bits(job_id.data(), job_id.size()) %
                                    std::max<std::uint32_t>(1, count));
}

std::string RackKey(const pool_worker& worker) {
  return worker.rack.empty() ? std::string(kNoRackPrefix) + worker.id
                             : worker.rack;
}

std::optional<std::uint32_t> FindPartition(const partition_table& table,
                                           const pool_worker& worker) {
  const auto found = table.racks.find(RackKey(worker));
  if (found == table.racks.end()) return std::nullopt;
  return found->second;
}

std::string EncodePartitions(const partition_table& table) {
  return json{{"count", table.count}, {"racks", table.racks}}.dump();
}

result<partition_table> DecodePartitions(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<partition_table> {
    const json& count = in.at("count");
    if (!count.is_number_unsigned() || count.get<std::uint64_t>() < 1 ||
        count.get<std::uint64_t>() > kMaxPartitions) {
      return CorruptRecord("the number of partitions is out of range");
    }
    partition_table table;
    count.get_to(table.count);
    for (const auto& [rack, partition] : in.at("racks").items()) {
      if (!partition.is_number_unsigned() ||
          partition.get<std::uint64_t>() >= table.count) {
        return CorruptRecord("the partition of rack " + rack + " is unknown");
      }
      table.racks[rack] = partition.get<std::uint32_t>();
    }
    return table;
  });
}

std::optional<partition_table> DividePool(
    const std::map<std::string, pool_worker>& workers,
    const std::set<std::string, std::less<>>& occupied_racks,
    std::size_t partition_workers) {
  if (workers.size() <= partition_workers) return std::nullopt;
  partition_table table;
  const std::size_t wanted =
      (workers.size() + partition_workers - 1) / partition_workers;
  table.count =
      static_cast<std::uint32_t>(std::min<std::size_t>(wanted, kMaxPartitions));
  for (const std::string& rack : occupied_racks) table.racks[rack] = 0;
  Distribute(MeasureRacks(workers), table);
  return table;
}

std::optional<partition_table> AddRacks(
    const partition_table& table,
    const std::map<std::string, pool_worker>& workers) {
  const bool is_complete =
      std::all_of(workers.begin(), workers.end(), [&](const auto& row) {
        return FindPartition(table, row.second).has_value();
      });
  if (is_complete) return std::nullopt;
  partition_table extended = table;
  Distribute(MeasureRacks(workers), extended);
  return extended;
}

}  // namespace apricotwheel

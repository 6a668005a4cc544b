// How a pool is divided: which partition racks and jobs belong to.
#include "pools/partition_table.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace apricotwheel {
namespace {

using worker_map = std::map<std::string, pool_worker>;

constexpr std::size_t kPartitionWorkers = 128;

void AddRack(worker_map& workers, const std::string& rack, int count,
             std::int64_t cpu_milli = 16'000) {
  for (int i = 0; i < count; ++i) {
    pool_worker worker;
    worker.id = rack + "-" + std::to_string(i);
    worker.rack = rack;
    worker.capacity.cpu_milli = cpu_milli;
    workers[worker.id] = worker;
  }
}

std::vector<std::int64_t> ProcessorByPartition(const partition_table& table,
                                               const worker_map& workers) {
  std::vector<std::int64_t> sums(table.count, 0);
  for (const auto& [id, worker] : workers) {
    const auto partition = FindPartition(table, worker);
    BOOST_REQUIRE(partition.has_value());
    sums[*partition] += worker.capacity.cpu_milli;
  }
  return sums;
}

// Pattern: 350 workers in racks of 8, about 930 starts a second, which is more
// than one owner carries.
BOOST_AUTO_TEST_CASE(a_large_pool_is_divided_evenly) {
  worker_map workers;
  for (int rack = 0; rack < 43; ++rack) {
    AddRack(workers, "rack-" + std::to_string(rack), 8,
            rack % 2 ? 8000 : 16000);
  }
  AddRack(workers, "rack-43", 6);
  const auto table = DividePool(workers, {}, kPartitionWorkers);
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(table->count == 3U);
  const auto sums = ProcessorByPartition(*table, workers);
  const auto [least, most] = std::minmax_element(sums.begin(), sums.end());
  BOOST_TEST(*most - *least <= 8 * 16'000);
}

// Guards against a small pool that changes its behaviour.
BOOST_AUTO_TEST_CASE(a_small_pool_stays_whole) {
  worker_map workers;
  for (int rack = 0; rack < 16; ++rack) {
    AddRack(workers, "rack-" + std::to_string(rack), 8);
  }
  BOOST_TEST(!DividePool(workers, {}, kPartitionWorkers));
  BOOST_TEST(!DividePool({}, {}, kPartitionWorkers));
}

// Guards against two owners that use one worker: a rack that has work stays
// where it is.
BOOST_AUTO_TEST_CASE(occupied_racks_stay_in_the_first_partition) {
  worker_map workers;
  for (int rack = 0; rack < 40; ++rack) {
    AddRack(workers, "rack-" + std::to_string(100 + rack), 8);
  }
  const auto table =
      DividePool(workers, {"rack-100", "rack-101", "gone"}, kPartitionWorkers);
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(table->racks.at("rack-100") == 0U);
  BOOST_TEST(table->racks.at("rack-101") == 0U);
  BOOST_TEST(table->racks.at("gone") == 0U);
  const auto sums = ProcessorByPartition(*table, workers);
  const auto [least, most] = std::minmax_element(sums.begin(), sums.end());
  BOOST_TEST(*most - *least <= 8 * 16'000);
}

// Pattern: a pool grows from 35 to 400 workers while it runs.
BOOST_AUTO_TEST_CASE(new_racks_join_the_smallest_partition) {
  worker_map workers;
  for (int rack = 0; rack < 20; ++rack) {
    AddRack(workers, "rack-" + std::to_string(100 + rack), 8);
  }
  const auto table = DividePool(workers, {}, kPartitionWorkers);
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(!AddRacks(*table, workers));
  for (int rack = 20; rack < 50; ++rack) {
    AddRack(workers, "rack-" + std::to_string(100 + rack), 8);
  }
  const auto grown = AddRacks(*table, workers);
  BOOST_REQUIRE(grown.has_value());
  BOOST_TEST(grown->count == table->count);
  for (const auto& [rack, partition] : table->racks) {
    BOOST_TEST(grown->racks.at(rack) == partition);
  }
  const auto sums = ProcessorByPartition(*grown, workers);
  const auto [least, most] = std::minmax_element(sums.begin(), sums.end());
  BOOST_TEST(*most - *least <= 8 * 16'000);
}

// Guards against workers without a rack that all end in one partition.
BOOST_AUTO_TEST_CASE(workers_without_a_rack_are_spread) {
  worker_map workers;
  for (int i = 0; i < 300; ++i) {
    AddRack(workers, "w" + std::to_string(i), 1);
    workers["w" + std::to_string(i) + "-0"].rack = "";
  }
  const auto table = DividePool(workers, {}, kPartitionWorkers);
  BOOST_REQUIRE(table.has_value());
  for (const std::int64_t sum : ProcessorByPartition(*table, workers)) {
    BOOST_TEST(sum == 100 * 16'000);
  }
}

// Guards against copies of a submission that reach different partitions, and
// against a partition that gets most jobs.
BOOST_AUTO_TEST_CASE(the_id_of_a_job_selects_its_partition) {
  std::vector<int> jobs(4, 0);
  for (int i = 0; i < 4000; ++i) {
    const std::string id = "job-" + std::to_string(i);
    ++jobs[HomePartition(id, 4)];
    BOOST_TEST(HomePartition(id, 4) == HomePartition(std::string(id), 4));
  }
  for (const int count : jobs) {
    BOOST_TEST(count > 900);
    BOOST_TEST(count < 1100);
  }
  BOOST_TEST(HomePartition("any", 1) == 0U);
  BOOST_TEST(HomePartition("any", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(names_of_partitions_lead_back_to_the_pool) {
  BOOST_TEST(PartitionName("listings", 0) == "listings");
  BOOST_TEST(PoolOfPartition("listings") == "listings");
  for (const std::string& name : PartitionNames("listings", 12)) {
    BOOST_TEST(PoolOfPartition(name) == "listings");
  }
  for (const char* other :
       {"a~b", "a~", "a~0", "a~01", "a~1x", "a~-1", "a~99999999999", "~"}) {
    BOOST_TEST(PoolOfPartition(other) == other);
  }
}

// Guards against a malformed record, or one of another version, that ends a
// process or names partitions that do not exist.
BOOST_AUTO_TEST_CASE(malformed_tables_are_corrupt) {
  const partition_table table{3, {{"r1", 0}, {"r2", 2}}};
  const auto same =
      Attempt([&] { return DecodePartitions(EncodePartitions(table)); });
  BOOST_REQUIRE(static_cast<bool>(same));
  BOOST_TEST((*same == table));
  const auto newer = Attempt([] {
    return DecodePartitions(R"({"count":2,"racks":{"r":1},"later":{}})");
  });
  BOOST_TEST(static_cast<bool>(newer));
  const std::string deep = std::string(100'000, '[');
  for (const std::string& text : std::vector<std::string>{
           "", "3", "{}", R"({"count":0,"racks":{}})",
           R"({"count":-1,"racks":{}})", R"({"count":1e400,"racks":{}})",
           R"({"count":1.5,"racks":{}})", R"({"count":99999,"racks":{}})",
           R"({"count":18446744073709551616,"racks":{}})",
           R"({"count":2,"racks":{"r":2}})", R"({"count":2,"racks":{"r":-1}})",
           R"({"count":2,"racks":{"r":"1"}})", R"({"count":2,"racks":7})",
           R"({"count":2})", R"({"count":2,"racks":)" + deep, deep,
           "{\"count\":2,\"racks\":{\"\xff\":1}}"}) {
    const auto decoded = Attempt([&] { return DecodePartitions(text); });
    BOOST_TEST(!decoded);
    BOOST_TEST((decoded.failure.kind == error_kind::kCorrupt));
    BOOST_TEST(!decoded.failure.remedy.empty());
  }
}

}  // namespace
}  // namespace apricotwheel

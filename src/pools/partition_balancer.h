#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "peer/peer_node.h"
#include "pools/balance_plan.h"
#include "pools/pool_calls.h"
#include "pools/pool_directory.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

using owner_map =
    std::map<std::string, std::shared_ptr<pool_owner>, std::less<>>;

struct partition_balancer_options {
  peer_node* peers = nullptr;  // Like the directory, outlives the balancer.
  pool_directory* directory = nullptr;
  std::function<owner_map()>
      owners;  // The owners in this daemon, by partition.
  clock_ptr clock;
  log_sink log;
};

// Keeps the waiting work of the partitions of a pool even: exchanges their load
// with the other owners, and moves jobs that have not started from an owner
// here to the partition with the least waiting work. Thread-safe.
class partition_balancer {
 public:
  explicit partition_balancer(partition_balancer_options options);
  ~partition_balancer() { Stop(); }

  result<void> Start();
  void Stop();

  // Jobs were moved, so that the owners of their targets have to be told.
  void OnJobsMoved() { signal_.Wake(); }
  // Returns false if the last report of the partition says that it has none.
  bool MayHaveWorkers(const std::string& partition);
  // Handle messages of other owners.
  void HandleReport(const partition_report& report);
  result<void> HandleAdoption(const job_list& list);

 private:
  void Run();
  // Tells the owners of the other partitions the load of one that is owned
  // here.
  void ReportLoad(const std::string& partition, const pool_load& load);
  void MoveJobs(const std::string& partition, pool_owner& owner,
                const pool_load& load);
  // Requests the owners of targets to take over what was moved there.
  void RequestAdoptions(pool_owner& owner);
  std::vector<std::string> OtherPartitions(const std::string& partition) const;

  const partition_balancer_options options_;
  std::mutex mutex_;
  std::map<std::string, reported_load> reports_;  // By partition.
  stop_signal signal_;
  thread_group threads_;
};

}  // namespace apricotwheel

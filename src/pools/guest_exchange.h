#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "clients/kv_client.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "peer/peer_node.h"
#include "pools/partition_balancer.h"
#include "pools/pool_calls.h"
#include "pools/pool_directory.h"

namespace apricotwheel {

struct guest_exchange_options {
  kv_client* kv = nullptr;  // Like the next two, outlives the exchange.
  peer_node* peers = nullptr;
  pool_directory* directory = nullptr;
  std::function<owner_map()> owners;  // In this daemon, by partition.
  // Returns false for a partition that is known to have no workers.
  std::function<bool(const std::string&)> has_workers;
  // Handles a call to an owner in this daemon.
  std::function<job_call_response(const wire::pool_callT&)> call_self;
  clock_ptr clock;
  log_sink log;
};

// Has tasks that no worker of a partition can take run by the other partitions
// of the pool, and ends them there with their jobs. Both sides repeat their
// calls, so that neither a lost call nor a change of owner needs more than the
// next one.
class guest_exchange {
 public:
  explicit guest_exchange(guest_exchange_options options);
  ~guest_exchange() { Stop(); }

  result<void> Start();
  void Stop();

 private:
  void Run();
  // Requests the other partitions to run what is lent to them.
  void RequestHosts(const std::string& partition, pool_owner& owner,
                    std::span<const std::string> others);
  std::vector<std::string> WithWorkers(
      std::span<const std::string> partitions) const;
  // Ends the tasks here whose jobs have ended.
  void EndGuests(pool_owner& owner);
  bool HasEnded(const std::string& job_id, const std::string& home);
  // Calls the owner of the partition.
  job_call_response Call(const std::string& partition, std::string_view topic,
                         std::string body);

  const guest_exchange_options options_;
  stop_signal signal_;
  thread_group threads_;
};

}  // namespace apricotwheel

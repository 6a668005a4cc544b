#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "clients/kv_client.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "peer/peer_node.h"
#include "pools/pool_calls.h"
#include "pools/pool_directory.h"
#include "pools/pool_host.h"
#include "pools/pool_metrics.h"
#include "pools/service_ports.h"

namespace apricotwheel {

using queue_table_ptr = std::shared_ptr<const queue_table>;

struct queue_match {
  queue_rules queue;
  std::string path_suffix;  // Of the path, after the route's prefix.
};

// The longest prefix of `path` among the routes of `host`.
std::optional<queue_match> FindQueue(const queue_table& table,
                                     std::string_view host,
                                     std::string_view path);

struct queue_gateway_options {
  kv_client* kv = nullptr;  // These outlive the gate.
  peer_node* peers = nullptr;
  pool_directory* directory = nullptr;
  pool_host* host = nullptr;
  pool_metrics* metrics = nullptr;
  clock_ptr clock;
  log_sink log;
};

// Where callers' job requests enter a daemon: finds the queue, passes the
// request to the pool's owner, and finds out what became of it. Each call
// blocks its caller for at most `budget`. Thread-safe.
class queue_gateway {
 public:
  // Without options it answers that nothing can be accepted yet.
  queue_gateway(clock_ptr clock, log_sink log);

  void Open(queue_gateway_options options);
  bool IsOpen() const;

  // Null before the first configuration.
  queue_table_ptr Table() const;
  // Ignores a version that is not above the one in force.
  void SetTable(queue_table table);

  job_call_response Submit(const queue_rules& queue, std::string job_id,
                           job_graph graph, duration timeout);
  job_call_response State(const queue_rules& queue, const std::string& job_id,
                          duration timeout);
  job_call_response Cancel(const queue_rules& queue, const std::string& job_id,
                           duration timeout);
  job_call_response Pending(const queue_rules& queue, duration timeout);

 private:
  using local_call =
      std::function<job_call_response(pool_owner&, time_point deadline)>;

  job_call_response CallOwner(const std::string& pool, std::string_view topic,
                              const std::string& body, time_point deadline,
                              const local_call& local);
  job_call_response TryOwner(const std::string& pool, std::string_view topic,
                             const std::string& body, time_point deadline,
                             const local_call& local);
  std::optional<job_call_response> ReadStoredState(const std::string& pool,
                                                   const std::string& job_id);
  job_call_response FindStateInOtherPools(const std::string& pool,
                                          const std::string& job_id);

  const clock_ptr clock_;
  const log_sink log_;
  mutable std::mutex mutex_;
  std::optional<queue_gateway_options> options_;
  queue_table_ptr table_;
};

}  // namespace apricotwheel

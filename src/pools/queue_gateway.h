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
#include "pools/caller_identity.h"
#include "pools/platform_services.h"
#include "pools/pool_calls.h"
#include "pools/pool_directory.h"
#include "pools/pool_host.h"
#include "pools/pool_metrics.h"

namespace apricotwheel {

using queue_table_ptr = std::shared_ptr<const queue_table>;

struct queue_match {
  queue_rules queue;
  std::string path_suffix;    // Part of the path after the prefix of the route.
  bool is_anonymous = false;  // Callers need no key.
};

// Returns the queue whose route has the host and the longest prefix of `path`.
std::optional<queue_match> FindQueue(const queue_table& table,
                                     std::string_view host,
                                     std::string_view path);

struct queue_gateway_options {
  kv_client* kv = nullptr;  // Like the next four, outlives the gateway.
  peer_node* peers = nullptr;
  pool_directory* directory = nullptr;
  pool_host* host = nullptr;
  pool_metrics* metrics = nullptr;
  clock_ptr clock;
  log_sink log;
};

// Entry point of callers' job requests in a daemon: finds the queue, forwards
// the request to the owner of the pool, and determines the outcome. Each call
// blocks for at most `timeout`. Thread-safe.
class queue_gateway {
 public:
  // Until `Open` is called, requests are rejected as unavailable.
  queue_gateway(clock_ptr clock, log_sink log);

  void Open(queue_gateway_options options);
  bool IsOpen() const;

  // Returns null before the first configuration.
  queue_table_ptr Table() const;
  // Ignores a version that is not above the current one.
  void SetTable(queue_table table);

  // Returns who calls a queue of `table`, or nothing if the caller must be
  // rejected, which is counted.
  std::optional<caller_identity> Identify(const queue_table& table,
                                          const queue_match& match,
                                          std::optional<std::string_view> key);

  // These return `kForbidden` for a job that is closed to the caller.
  job_call_response Submit(const queue_rules& queue, std::string job_id,
                           job_graph graph, duration timeout,
                           const caller_identity& caller = {});
  job_call_response State(const queue_rules& queue, const std::string& job_id,
                          duration timeout, const caller_identity& caller = {});
  job_call_response Cancel(const queue_rules& queue, const std::string& job_id,
                           duration timeout,
                           const caller_identity& caller = {});

  job_call_response Pending(const queue_rules& queue, duration timeout);

 private:
  using local_call =
      std::function<job_call_response(pool_owner&, time_point deadline)>;

  // Sends a request to the owner of a pool, local or remote, with retries until
  // `deadline`.
  job_call_response CallOwner(const std::string& pool, std::string_view topic,
                              const std::string& body, time_point deadline,
                              const local_call& local);
  // Reads the state of a job from the store. Returns null if the store does not
  // respond.
  std::optional<job_call_response> ReadStoredState(
      const std::string& pool, const std::string& job_id,
      const caller_identity& caller);
  struct stored_state {
    std::string pool;  // The partition of the job, if it is found.
    // kState, kForbidden, kAbsent, or kUnavailable if the store does not
    // respond.
    job_call_response response;
  };
  // Looks a job up in the store, in the partitions of `pool` first.
  stored_state FindStoredState(const std::string& pool,
                               const std::string& job_id,
                               const caller_identity& caller);
  // Returns the partition of the pool that accepts the job.
  std::string HomeOf(const std::string& pool, const std::string& job_id) const;
  job_call_response PendingAt(const std::string& partition,
                              const std::string& queue, time_point deadline);
  job_call_response StateAtOwner(const std::string& pool,
                                 const std::string& job_id, time_point deadline,
                                 const caller_identity& caller);
  job_call_response CancelAtOwner(const std::string& pool,
                                  const std::string& job_id,
                                  time_point deadline,
                                  const caller_identity& caller);
  void CountClosedAccess(const job_call_response& response);
  // Returns null before `Open`.
  pool_metrics* Metrics() const;

  const clock_ptr clock_;
  const log_sink log_;
  mutable std::mutex mutex_;
  std::optional<queue_gateway_options> options_;
  queue_table_ptr table_;
};

}  // namespace apricotwheel

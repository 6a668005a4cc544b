#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_manager.h"
#include "workers/worker_manager.h"

namespace apricotwheel {

// An HTTP status and a JSON body, as in docs/api.md.
struct job_api_response {
  int status = 500;
  std::string body;
};

struct job_manager_options {
  daemon_settings settings;
  std::string member_id;
  kv_client* kv = nullptr;  // These outlive the manager.
  cluster_manager* cluster = nullptr;
  worker_manager* workers = nullptr;
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
};

// Owns the job records and pending queues of the shards that this daemon owns,
// and keeps the services of their teams at the declared number of instances.
// Calls for other shards are forwarded to their owner. Thread-safe.
class job_manager {
 public:
  static result<std::unique_ptr<job_manager>> Create(
      job_manager_options options);
  ~job_manager();

  // Registers the peer handlers and follows the cluster's view and document.
  result<void> Start();

  // Submits a job: `body` is the JSON of POST /v1/jobs.
  job_api_response Submit(std::string_view body);
  // Waits up to `wait` for the job to end; 0 answers at once.
  job_api_response Get(std::string_view job_id, duration wait);
  job_api_response Cancel(std::string_view job_id);
  job_api_response ExplainJob(std::string_view job_id);
  job_api_response List();

  // Pending tasks and services of the own shards, for status and metrics.
  std::size_t PendingTaskCount() const;

  void Stop();

 private:
  struct state;
  explicit job_manager(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

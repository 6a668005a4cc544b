#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_manager.h"
#include "workers/worker_manager.h"

namespace apricotwheel {

// An HTTP status and a JSON body in the format of docs/api.md.
struct job_api_response {
  int status = 500;
  std::string body;
};

struct job_manager_options {
  daemon_settings settings;
  std::string member_id;
  // The objects behind these pointers must outlive the manager.
  kv_client* kv = nullptr;
  cluster_manager* cluster = nullptr;
  worker_manager* workers = nullptr;
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
};

// Manages the jobs and pending queues of the shards that this daemon owns, and
// keeps the services of the teams in these shards at the declared number of
// instances. The hash of a team's name determines its shard, see `ShardOf`.
// Forwards requests for other shards to their owners. Thread-safe.
class job_manager {
 public:
  static result<std::unique_ptr<job_manager>> Create(
      job_manager_options options);
  ~job_manager();

  // Registers the peer handlers and starts to follow the cluster view and the
  // cell document.
  result<void> Start();

  // Submits a job. `body` is the JSON body of POST /v1/jobs.
  job_api_response Submit(std::string_view body);
  // Long poll: waits up to `wait`, but at most 60 s, for the job to end.
  // Returns at once if `wait` is 0.
  job_api_response Get(std::string_view job_id, duration wait);
  job_api_response Cancel(std::string_view job_id);
  // Returns the reasons why tasks of the job are pending or have failed.
  job_api_response ExplainJob(std::string_view job_id);
  // Lists the jobs of all shards; names the shards that did not respond.
  job_api_response List();

  // Returns the number of pending tasks and service instances of the shards
  // that this daemon owns.
  std::size_t PendingTaskCount() const;

  void Stop();

 private:
  struct state;
  explicit job_manager(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

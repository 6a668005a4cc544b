#pragma once

#include <httplib.h>

#include <atomic>

#include "cluster/cluster_manager.h"
#include "config/settings.h"
#include "dispatch/dispatcher.h"
#include "jobs/job_manager.h"
#include "workers/worker_manager.h"

namespace apricotwheel {

// Data sources of the operators' routes. They must outlive the server.
struct status_sources {
  const daemon_settings* settings = nullptr;
  std::string member_id;
  const cluster_manager* cluster = nullptr;
  const worker_manager* workers = nullptr;
  const job_manager* jobs = nullptr;
  const dispatcher* request_dispatcher = nullptr;
  const peer_node* peers = nullptr;
  const kv_client* kv = nullptr;
  const std::atomic<bool>* stopping = nullptr;
  metrics_ptr metrics;
};

// Returns why the daemon is not ready; empty if it is ready.
std::string NotReadyReason(const status_sources& sources);

// Adds /healthz, /readyz, /metrics and /v1/status.
void AddStatusRoutes(httplib::Server& server, status_sources sources);

}  // namespace apricotwheel

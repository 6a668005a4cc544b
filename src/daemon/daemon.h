#pragma once

#include <atomic>
#include <memory>

#include "clients/http_listener.h"
#include "clients/kv_client.h"
#include "clients/vm_list_client.h"
#include "cluster/cluster_manager.h"
#include "config/settings.h"
#include "dispatch/dispatcher.h"
#include "jobs/job_manager.h"
#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "peer/peer_node.h"
#include "workers/worker_manager.h"

namespace apricotwheel {

// Owns the managers of one daemon and connects, starts and stops them. The
// members are declared in dependency order, each after those that it uses.
class daemon_process {
 public:
  // Opens the sockets and starts all threads.
  static result<std::unique_ptr<daemon_process>> Start(daemon_settings settings,
                                                       clock_ptr clock,
                                                       log_sink log);
  ~daemon_process();

  // Performs a planned stop: reports not ready, waits for the requests in
  // flight and hands ownership over. The settings `readiness_grace` and
  // `drain_timeout` bound the first two steps.
  void DrainAndStop();

  const std::string& HttpAddress() const;

 private:
  daemon_process(daemon_settings settings, clock_ptr clock, log_sink log);
  result<void> CreateComponents();
  result<void> StartComponents();
  void ConnectManagers();
  void AddRoutes();
  void WaitForInFlightRequests(time_point deadline);
  void HandOverOwnership(time_point deadline);
  void StopComponents();

  daemon_settings settings_;
  std::string member_id_;
  clock_ptr clock_;
  log_sink log_;
  metrics_ptr metrics_;
  std::atomic<bool> stopping_ = false;
  bool stopped_ = false;

  std::unique_ptr<kv_client> kv_;
  std::unique_ptr<vm_list_client> vm_list_;
  std::unique_ptr<peer_node> peers_;
  std::unique_ptr<cluster_manager> cluster_;
  std::unique_ptr<worker_manager> workers_;
  std::unique_ptr<job_manager> jobs_;
  std::unique_ptr<dispatcher> dispatcher_;
  std::unique_ptr<http_listener> http_;
};

}  // namespace apricotwheel

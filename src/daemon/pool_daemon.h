#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "clients/http_listener.h"
#include "clients/kv_client.h"
#include "config/settings.h"
#include "daemon/process_metrics.h"
#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/thread_group.h"
#include "peer/peer_node.h"
#include "pools/kv_watcher.h"
#include "pools/platform_services.h"
#include "pools/pool_directory.h"
#include "pools/pool_host.h"
#include "pools/pool_metrics.h"
#include "pools/queue_gateway.h"

namespace apricotwheel {

// Runs a daemon on a platform that a service adapter connects. It accepts the
// jobs of the platform's queues and shares the ownership of the worker pools
// with its peers.
class pool_daemon {
 public:
  // Starts the HTTP listeners. The components that need the key-value service
  // start in the background; until they run, callers are told to retry.
  static result<std::unique_ptr<pool_daemon>> Start(daemon_settings settings,
                                                    clock_ptr clock,
                                                    log_sink log);
  ~pool_daemon();

  // Performs a planned stop: reports not ready, hands the pools over and lets
  // open calls finish.
  void DrainAndStop();

 private:
  pool_daemon(daemon_settings settings, clock_ptr clock, log_sink log);
  result<void> StartListeners();
  void StartComponentsWithRetry();
  result<void> StartComponents(std::string peer_key);
  void OnConfigurationChanged(const kv_event& event);
  bool IsReady() const;
  control_cost_totals CollectTotals();
  void StopComponents();

  const daemon_settings settings_;
  const std::string member_id_;
  const clock_ptr clock_;
  const log_sink log_;
  const metrics_ptr metrics_;
  pool_metrics pool_metrics_;
  process_metrics process_metrics_;
  platform_services platform_;
  std::unique_ptr<kv_client> kv_;
  std::unique_ptr<queue_gateway> gateway_;
  std::unique_ptr<peer_node> peers_;
  std::unique_ptr<pool_directory> directory_;
  std::unique_ptr<pool_host> host_;
  std::unique_ptr<kv_watcher> configuration_watcher_;
  std::unique_ptr<http_listener> caller_listener_;
  std::unique_ptr<http_listener> readiness_listener_;
  std::unique_ptr<http_listener> operator_listener_;
  std::atomic<bool> stopping_ = false;
  bool stopped_ = false;
  std::mutex components_mutex_;  // Held while the components start.
  stop_signal startup_stop_signal_;
  thread_group threads_;
};

}  // namespace apricotwheel

#pragma once

#include <httplib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"
#include "graph/job_graph.h"
#include "graph/pool_scheduler.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/plugin_registry.h"

namespace apricotwheel {

class queue_gateway;

// What the owner of a pool tells a worker about its leases and ends.
struct poll_request {
  std::uint64_t epoch = 0;
  std::uint64_t acknowledged_end = 0;  // Ends up to here may be forgotten.
  // New end of the lease of all runs, on the worker's clock; absent to look
  // without extending it.
  std::optional<std::int64_t> lease_until_ms;
  duration wait{};  // The answer waits this long for an end.
};

struct run_lease {
  std::uint64_t epoch = 0;
  std::int64_t until_ms = 0;  // On the worker's clock.
};

struct start_response {
  start_result result = start_result::kUnknown;
  std::optional<std::int64_t> clock_ms;  // The worker's clock, if it answered.
};

// The calls to one incarnation of a worker. Each blocks its caller; `hold` and
// the other calls may run at the same time, each from one thread.
struct agent_link {
  // Fails with `stale_epoch` if the worker obeys a higher epoch, `not_found` if
  // another incarnation answered, `unavailable` if nothing was sent, `timeout`
  // if it may have taken effect.
  std::function<result<worker_report>(const poll_request& request)> poll;
  std::function<start_response(const start_order& order,
                               const run_lease& lease)>
      start;
  // True if the worker has taken the order.
  std::function<bool(const stop_order& order, std::uint64_t epoch)> stop;
  std::function<bool(const throttle_order& order, std::uint64_t epoch)>
      throttle;
  // Ends running calls; later ones fail.
  std::function<void()> interrupt;
};

// A route by which callers reach a queue.
struct queue_route {
  std::string host;
  std::string path_prefix;
  queue_rules queue;
};

struct pool_rules {
  std::string name;
  bool enforces_capacity = false;  // Its workers guard their own capacity.
  bool is_standby = false;         // Its workers are switched off.
};

// The operators' configuration of queues and pools. Versions only rise.
struct queue_table {
  std::uint64_t version = 0;
  std::vector<queue_route> routes;
  std::vector<pool_rules> pools;
  std::int64_t max_body_bytes = 1 << 20;
};

// Connects the product to the services of one kind of platform. Everything that
// depends on that platform's names, formats and calls is behind these
// functions.
struct platform_services {
  kv_protocol key_value;
  std::string workers_prefix;  // Keys that name a worker each.
  std::string configuration_key;
  // Absent if the entry names no worker that can be used.
  std::function<std::optional<pool_worker>(std::string_view key,
                                           std::string_view value)>
      decode_worker;
  std::function<result<queue_table>(std::string_view value)>
      decode_configuration;
  std::function<std::unique_ptr<agent_link>(const pool_worker& worker)>
      connect_agent;
  // Asks the policy advisor which of the workers may run the step.
  std::function<result<std::vector<approved_worker>>(
      const task_key& step, const std::vector<std::string>& workers,
      duration timeout)>
      request_approvals;
  // Adds the routes of callers and of the platform's balancer.
  std::function<void(httplib::Server& server, queue_gateway& gateway)>
      add_caller_api;
  std::function<void(httplib::Server& server,
                     const std::function<bool()>& is_ready)>
      add_readiness_api;
};

struct service_adapter_options {
  std::string kv_address;       // ip:port
  std::string advisor_address;  // ip:port; empty if no queue has an advisor.
  // A slow store takes some hundred milliseconds for an answer.
  duration call_timeout = milliseconds(900);
  log_sink log;
};

// A plug-in of the kernel's registry.
struct service_adapter {
  result<platform_services> (*open)(const service_adapter_options& options);
};

}  // namespace apricotwheel

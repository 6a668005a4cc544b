#pragma once

#include <httplib.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"
#include "graph/job_graph.h"
#include "graph/organisation.h"
#include "graph/pool_scheduler.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/plugin_registry.h"

namespace apricotwheel {

class queue_gateway;

// A worker responds to a call within milliseconds, or 200 ms later if TCP had
// to retransmit a segment.
inline constexpr auto kMinResponseTimeout = milliseconds(300);

// What the owner of a pool sends to a worker to read its report, and to renew
// the leases and acknowledge ends.
struct poll_request {
  std::uint64_t epoch = 0;
  // The worker may forget ends up to this one.
  std::uint64_t acknowledged_end = 0;
  // New end of the lease of all runs, on the worker's clock. If absent, the
  // leases are not renewed.
  std::optional<std::int64_t> lease_until_ms;
  duration wait{};  // Long-poll timeout: the worker responds at the next end.
  // Time that the response may take beyond that.
  duration response_timeout = kMinResponseTimeout;
  // Send it only on the connection on which the last report came, so that the
  // agent of that report receives it.
  bool needs_same_agent = false;
};

struct run_lease {
  std::uint64_t epoch = 0;
  std::int64_t until_ms = 0;  // On the worker's clock.
};

struct start_response {
  start_result result = start_result::kUnknown;
  std::optional<std::int64_t> clock_ms;  // Present if the worker responded.
};

// The calls to a worker, whichever incarnation receives them. Each blocks.
// `poll` may run at the same time as one of the other calls; each is used by
// one thread at a time.
struct agent_link {
  // Returns the report of the worker. Fails with `stale_epoch` if the worker
  // obeys a higher epoch, `not_found` if a worker with another id responded,
  // `conflict` if it needs the same agent and the connection has closed,
  // `unavailable` if nothing was sent, `timeout` if it may have taken effect.
  std::function<result<worker_report>(const poll_request& request)> poll;
  std::function<start_response(const start_order& order,
                               const run_lease& lease)>
      start;
  // `stop` and `throttle` return true if the worker has accepted the order.
  std::function<bool(const stop_order& order, std::uint64_t epoch)> stop;
  std::function<bool(const throttle_order& order, std::uint64_t epoch)>
      throttle;
  // Interrupts calls in flight; later ones fail.
  std::function<void()> interrupt;
};

// The host and path prefix under which callers reach a queue.
struct queue_route {
  std::string host;
  std::string path_prefix;
  queue_rules queue;
  bool is_anonymous = false;  // Callers need no key.
};

struct pool_rules {
  std::string name;
  // The workers enforce their capacity themselves.
  bool enforces_capacity = false;
  bool is_standby = false;  // The workers are switched off.
};

// The configuration of queues and pools that operators write. Versions only
// rise.
struct queue_table {
  std::uint64_t version = 0;
  std::vector<queue_route> routes;
  std::vector<pool_rules> pools;
  // Callers of routes that are not anonymous need a key of an organisation.
  bool checks_keys = false;
  organisation_table organisations;
  std::map<std::string, std::string, std::less<>> organisations_by_key;
  std::int64_t max_body_bytes = 1 << 20;
};

// The functions that connect the daemon to the services of one kind of
// platform. All names, formats and calls of that platform are implemented
// behind them.
struct platform_services {
  kv_protocol key_value;
  // Prefix of the discovery keys, one for each worker.
  std::string workers_prefix;
  std::string configuration_key;
  // Returns nothing if the entry describes no usable worker.
  std::function<std::optional<pool_worker>(std::string_view key,
                                           std::string_view value)>
      decode_worker;
  std::function<result<queue_table>(std::string_view value)>
      decode_configuration;
  std::function<std::unique_ptr<agent_link>(const pool_worker& worker)>
      connect_agent;
  // Requests from the policy advisor which of the workers may run the step.
  std::function<result<std::vector<approved_worker>>(
      const task_key& step, const std::vector<std::string>& workers,
      duration timeout)>
      request_approvals;
  // Add the HTTP routes for callers and for the health checks of the platform's
  // load balancer.
  std::function<void(httplib::Server& server, queue_gateway& gateway)>
      add_caller_api;
  std::function<void(httplib::Server& server,
                     const std::function<bool()>& is_ready)>
      add_readiness_api;
};

struct service_adapter_options {
  std::string kv_address;       // ip:port
  std::string advisor_address;  // ip:port; empty if no queue has an advisor.
  // A slow store takes a few hundred milliseconds to respond.
  duration call_timeout = milliseconds(900);
  log_sink log;
};

// An adapter for one platform, registered in `plugin_registry`.
struct service_adapter {
  result<platform_services> (*open)(const service_adapter_options& options);
};

}  // namespace apricotwheel

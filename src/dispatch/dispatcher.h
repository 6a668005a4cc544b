#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "clients/instance_client.h"
#include "cluster/cluster_manager.h"
#include "workers/worker_manager.h"

namespace apricotwheel {

enum class request_outcome : std::uint8_t { kCompleted, kNotRun, kUnknown };

std::string_view ToString(request_outcome outcome);

// A caller's request for a service.
struct service_request {
  std::string service;
  std::string method;
  std::string path;  // Below the service, with the query, starting with '/'.
  header_list headers;
  std::string body;
  std::optional<priority_class> priority;
  std::optional<bool> repeatable;  // Absent: by method.
  std::string idempotency_key;
  std::string ticket;
  std::optional<duration> deadline;  // Absent: the workload's default.
};

struct service_response {
  request_outcome outcome = request_outcome::kNotRun;
  int status = 503;
  header_list headers;
  std::string body;
  std::string reason;  // For `not_run` and `unknown`.
  std::optional<duration> retry_after;
  std::string worker;  // Where it ran, if known.
};

struct dispatcher_options {
  daemon_settings settings;
  std::string member_id;
  cluster_manager* cluster = nullptr;  // These outlive the dispatcher.
  worker_manager* workers = nullptr;
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
  std::uint64_t random_seed = 1;
};

// Admits requests, routes them to the owner of an instance, keeps the slots and
// connections of own instances within their limits, and decides every outcome.
// Thread-safe; each call blocks its own thread.
class dispatcher {
 public:
  static result<std::unique_ptr<dispatcher>> Create(dispatcher_options options);
  ~dispatcher();

  // Registers the peer handlers. The caller passes instance changes to
  // `SetInstances` (worker_manager::OnInstances).
  result<void> Start();
  void SetInstances(std::span<const instance_record> instances);

  service_response HandleRequest(const service_request& request);

  // A ticket for one non-repeatable request, or an error if no shard has an
  // owner that can be reached.
  result<std::string> IssueTicket();

  void FillGossip(wire::gossipT& gossip) const;

  // Planned stop. `RefuseNew` answers new requests with `not_run`, `InFlight`
  // counts those still running, `HandOverKeys` sends the key records of all own
  // shards to their next owners under `next`.
  void StartDraining();
  std::size_t InFlightRequests() const;
  void HandOverKeyRecords(const assignment& next, time_point deadline);
  void Stop();

 private:
  struct state;
  explicit dispatcher(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

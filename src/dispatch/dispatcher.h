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
  std::string path;  // Relative to the service; starts with '/', with query.
  header_list headers;
  std::string body;
  std::optional<priority_class> priority;
  std::optional<bool> repeatable;  // Absent: depends on the method.
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
  std::string worker;  // The worker of the instance, if known.
};

struct dispatcher_options {
  daemon_settings settings;
  std::string member_id;
  // The managers and the peer node outlive the dispatcher.
  cluster_manager* cluster = nullptr;
  worker_manager* workers = nullptr;
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
  std::uint64_t random_seed = 1;
};

// Admits requests, routes them to the owner of an instance, enforces the slot
// and connection limits of the instances of this daemon, and determines the
// outcome of each request. Thread-safe. Calls block until the outcome is known.
class dispatcher {
 public:
  static result<std::unique_ptr<dispatcher>> Create(dispatcher_options options);
  ~dispatcher();

  // Registers the peer handlers and starts the threads.
  result<void> Start();
  // Replaces the list of instances that this daemon owns. Called with each
  // change that the worker manager reports.
  void SetInstances(std::span<const instance_record> instances);

  service_response HandleRequest(const service_request& request);

  // Returns a ticket for one non-repeatable request. Fails if no owner of a
  // shard is reachable.
  result<std::string> IssueTicket();

  void FillGossip(wire::gossipT& gossip) const;

  // Planned stop: responds to new requests with `not_run`. Repeats of requests
  // with a key or a ticket still get the recorded response.
  void StartDraining();
  // Returns the number of requests in flight.
  std::size_t InFlightRequests() const;
  // Planned stop: sends the records of all shards of this daemon to their
  // owners under `next`.
  void HandOverKeyRecords(const assignment& next, time_point deadline);
  void Stop();

 private:
  struct state;
  explicit dispatcher(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

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

enum class request_outcome : std::uint8_t {
  kCompleted,  // An instance returned a whole response, of any HTTP status.
  kNotRun,     // The request certainly did not run.
  kUnknown     // The request may have run.
};

std::string_view ToString(request_outcome outcome);

// A caller's request for a service.
struct service_request {
  std::string service;
  std::string method;
  std::string path;  // Relative to the service; starts with '/', with query.
  header_list headers;
  std::string body;
  std::optional<priority_class> priority;
  // Whether the dispatcher may send the request again after an attempt with an
  // unknown outcome. Absent: true for GET, HEAD, OPTIONS, PUT and DELETE.
  // Ignored for a request with a key or a ticket, which is never repeatable.
  std::optional<bool> repeatable;
  // Repeats with the same key run once within the key retention. Empty: none.
  std::string idempotency_key;
  // A ticket from `IssueTicket`. The request runs at most once without a time
  // limit, because a ticket expires before its record is removed. Decides if
  // there is a key too. Empty: none.
  std::string ticket;
  // Time allowed from the admission of the request. Absent: the workload's
  // default.
  std::optional<duration> deadline;
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
  // Seeds the choice of the shard of a ticket and the circuit breakers.
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

  // Returns a ticket for one non-repeatable request, from this daemon or
  // another owner of shards. One owner suffices. Fails with `unavailable` if
  // none of the owners that it tries issues a ticket.
  result<std::string> IssueTicket();

  // Adds a summary of the capacity of each service to `gossip.services`. Sets
  // `gossip.draining` during a planned stop.
  void FillGossip(wire::gossipT& gossip) const;

  // Planned stop: responds to new requests with `not_run`. Repeats of requests
  // with a key or a ticket still get the recorded response.
  void StartDraining();
  // Returns the number of requests in flight.
  std::size_t InFlightRequests() const;
  // Planned stop: sends the records of keys and tickets of each shard that this
  // daemon owns to the owner of the shard in `next`. This daemon admits no new
  // key or ticket of a shard whose hand-over has started. Shards that are not
  // reached by `deadline` are omitted.
  void HandOverKeyRecords(const assignment& next, time_point deadline);
  void Stop();

 private:
  struct state;
  explicit dispatcher(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_wire.h"
#include "dispatch/key_registry.h"
#include "dispatch/retry_budget.h"
#include "dispatch/router.h"
#include "kernel/random.h"

namespace apricotwheel {

// The settings of the request flow and its calls to the rest of the daemon.
struct request_flow_options {
  std::string member_id;
  daemon_settings settings;
  clock_ptr clock;
  log_sink log;
  std::shared_ptr<dispatch_metrics> metrics;
  // Seeds the choice of the shard of a local ticket.
  std::uint64_t random_seed = 1;

  // Returns the active document, or null.
  std::function<std::shared_ptr<const cell_document>()> document;
  std::function<ownership(std::uint32_t shard)> shard_owner;
  std::function<std::vector<peer_summary>()> peer_summaries;
  std::function<bool()> holds_lease;
  std::function<service_capacity(const std::string& service)> local_capacity;
  // Runs a request on an instance that this daemon owns.
  std::function<service_response(const admitted_request&)> run_locally;
  // Calls a peer.
  std::function<outcome<wire_message>(const std::string& member_id,
                                      const wire_message&, duration timeout)>
      call_peer;
};

// Carries a request to the daemon that owns an instance of its service. A
// request with a key or a ticket first goes to the owner of its shard, which
// keeps the record of its run. Failed attempts are repeated, where the outcome
// allows it. Thread-safe.
class request_flow {
 public:
  explicit request_flow(request_flow_options options);

  // Handles a request of a caller.
  service_response HandleRequest(const service_request& request);
  // Handles a request that another daemon sent.
  service_response HandlePeerRequest(const wire::dispatch_requestT& message);
  // Returns a ticket of a shard that this daemon owns, else of a shard of
  // another daemon. Fails with `unavailable` if neither this daemon nor one of
  // the few others that it calls issues one.
  result<std::string> IssueTicket();
  // Returns a ticket of a random shard that this daemon owns, or an empty one
  // if it owns none.
  std::string IssueLocalTicket();

  void StartDraining() { draining_ = true; }
  bool IsDraining() const { return draining_; }
  std::size_t InFlightRequests() const { return in_flight_; }
  key_registry& KeyRegistry() { return key_registry_; }
  router& Router() { return router_; }

 private:
  // Validates a request, resolves its defaults and sends it: to the owner of
  // its shard if it has a key or a ticket, else to instance owners.
  service_response AdmitAndSend(const service_request& request);
  service_response SendToKeyOwner(const admitted_request& admitted);
  // Runs a request with a key or a ticket as the owner of its shard.
  service_response RunKeyedRequest(const admitted_request& admitted);
  // Sends a request to instance owners until one returns a final response.
  service_response SendWithRetries(admitted_request admitted);
  service_response SendToInstanceOwner(const std::string& owner,
                                       const admitted_request& admitted);
  service_response CallPeer(const std::string& owner,
                            const admitted_request& admitted,
                            wire::dispatch_stage stage);
  // Requests a ticket from `owner`. Returns an empty one if the call fails or
  // the owner issues none.
  std::string RequestTicket(const std::string& owner);

  const request_flow_options options_;
  key_registry key_registry_;
  router router_;
  retry_budget retry_budget_;
  std::mutex random_mutex_;
  random_source random_;
  std::atomic<bool> draining_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
};

}  // namespace apricotwheel

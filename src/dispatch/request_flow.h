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

// What the flow needs from the rest of the daemon.
struct request_flow_options {
  std::string member_id;
  daemon_settings settings;
  clock_ptr clock;
  log_sink log;
  std::shared_ptr<dispatch_metrics> metrics;
  std::uint64_t random_seed = 1;

  std::function<std::shared_ptr<const cell_document>()> document;  // Or null.
  std::function<ownership(std::uint32_t shard)> shard_owner;
  std::function<std::vector<peer_summary>()> peer_summaries;
  std::function<bool()> holds_lease;
  std::function<service_capacity(const std::string& service)> local_capacity;
  // The instance owner's stage of this daemon.
  std::function<service_response(const admitted_request&)> run_locally;
  std::function<outcome<wire_message>(const std::string& member_id,
                                      const wire_message&, duration timeout)>
      call_peer;
};

// The stages of a request before the instance owner's: entry, key owner,
// choice of an instance owner, retries. Thread-safe.
class request_flow {
 public:
  explicit request_flow(request_flow_options options);

  service_response HandleRequest(const service_request& request);
  // Serves a request that another daemon sent.
  service_response HandlePeerRequest(const wire::dispatch_requestT& message);
  result<std::string> IssueTicket();
  // A ticket of a random own shard; empty if this daemon owns none.
  std::string IssueLocalTicket();

  void StartDraining() { draining_ = true; }
  bool IsDraining() const { return draining_; }
  std::size_t InFlightRequests() const { return in_flight_; }
  key_registry& KeyRegistry() { return key_registry_; }
  router& Router() { return router_; }

 private:
  service_response AdmitRequest(const service_request& request);
  service_response SendToKeyOwner(const admitted_request& admitted);
  service_response RunKeyedRequest(const admitted_request& admitted);
  service_response SendWithRetries(admitted_request admitted);
  service_response SendToInstanceOwner(const std::string& owner,
                                       const admitted_request& admitted);
  service_response CallPeer(const std::string& owner,
                            const admitted_request& admitted,
                            wire::dispatch_stage stage);
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

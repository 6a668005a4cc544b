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
  std::function<std::vector<peer_summary>()> summaries;
  std::function<bool()> holds_lease;
  std::function<own_capacity(const std::string& service)> own_capacity_of;
  // The instance owner's stage of this daemon.
  std::function<service_response(const staged_request&)> run_here;
  std::function<outcome<wire_message>(const std::string& member_id,
                                      const wire_message&, duration timeout)>
      call;
};

// The stages of a request before the instance owner's: entry, key owner,
// choice of an instance owner, retries. Thread-safe.
class request_flow {
 public:
  explicit request_flow(request_flow_options options);

  service_response Handle(const service_request& request);
  // Serves a request that another daemon sent.
  service_response HandlePeer(const wire::dispatch_requestT& message);
  result<std::string> MintTicket();
  // A ticket of a random own shard; empty if this daemon owns none.
  std::string MintOwnTicket();

  void RefuseNew() { refusing_ = true; }
  bool Refusing() const { return refusing_; }
  std::size_t InFlight() const { return in_flight_; }
  key_registry& Keys() { return keys_; }
  router& Routes() { return router_; }

 private:
  service_response Enter(const service_request& request);
  service_response ToKeyOwner(const staged_request& staged);
  service_response RunKeyed(const staged_request& staged);
  service_response Forward(staged_request staged);
  service_response Attempt(const std::string& owner,
                           const staged_request& staged);
  service_response CallPeer(const std::string& owner,
                            const staged_request& staged,
                            wire::dispatch_stage stage);
  std::string MintAt(const std::string& owner);

  const request_flow_options options_;
  key_registry keys_;
  router router_;
  retry_budget budget_;
  std::mutex random_mutex_;
  random_source random_;
  std::atomic<bool> refusing_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
};

}  // namespace apricotwheel

#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_wire.h"
#include "dispatch/instance_pool.h"
#include "dispatch/request_queue.h"
#include "dispatch/router.h"

namespace apricotwheel {

struct service_executor_options {
  std::string service;
  std::size_t queue_limit = 512;
  instance_pool_options pool;
  connection_opener open_connection;
  clock_ptr clock;
  log_sink log;
  std::shared_ptr<dispatch_metrics> metrics;
  // Called when `TakeChange` has something; must not block or call the lane.
  std::function<void()> on_capacity_changed = [] {};
};

// The instance owner's stage of one service: queues requests, takes a slot for
// each, sends it and decides its outcome. Thread-safe.
class service_executor {
 public:
  explicit service_executor(service_executor_options options);

  void SetInstances(std::span<const instance_record> records);
  void SetQueueLimit(std::size_t limit);

  // Runs one request at one of the own instances; blocks until its outcome is
  // known. Sends it a second time only if the first attempt provably did not
  // run.
  service_response Run(const admitted_request& admitted);

  // Regular work: closes idle connections and gives out slots that became free
  // with time.
  void RunPeriodicWork();
  void UpdateGauges();
  // The next usage report that is due to be read, and the read itself, which
  // blocks. Each started read must be run.
  std::optional<usage_read> StartUsageRead();
  void RunUsageRead(usage_read read);

  service_capacity Capacity() const;

  // The state to publish between two gossip messages: present if free slots
  // less queued requests changed since the last call and are at most
  // kPublishBelow.
  std::optional<service_capacity> TakeCapacityChange();
  // Ends the wait of queued requests with `no_slot`, the newest first, while
  // `better(score)` is true for free slots less queued requests.
  void MoveQueuedRequests(
      const std::function<bool(std::int64_t score)>& has_better);

 private:
  struct waiter {
    std::condition_variable ready;
    std::optional<slot_lease> lease;
    bool no_instance = false;
    bool movable = false;
    bool moved = false;
    time_point enqueued_at;
  };

  // These need the lock.
  void AssignSlotsAndNotify();
  void AssignSlots();
  service_capacity CapacityNow() const;
  std::optional<slot_lease> WaitForSlot(std::unique_lock<std::mutex>& lock,
                                        const queue_entry& entry,
                                        waiter& waiting);

  struct attempt_result {
    lease_end_reason end_reason = lease_end_reason::kNotSent;
    service_response response;
  };
  attempt_result Send(const admitted_request& admitted, slot_lease& lease,
                      time_point enqueued_at);
  void Release(slot_lease lease, lease_end_reason end_reason);

  const service_executor_options options_;
  mutable std::mutex mutex_;
  request_queue queue_;
  instance_pool pool_;
  std::unordered_map<std::uint64_t, waiter*> waiters_;
  std::uint64_t next_id_ = 1;
  std::int64_t last_score_ = 0;
  bool capacity_changed_ = false;
};

}  // namespace apricotwheel

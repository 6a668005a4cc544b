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
  // Called when `TakeCapacityChange` returns a new value. Must not block or
  // call the executor.
  std::function<void()> on_capacity_changed = [] {};
};

// Runs the requests of one service on the instances that this daemon owns:
// queues each request, leases a slot for it, sends it and determines its
// outcome. Thread-safe.
class service_executor {
 public:
  explicit service_executor(service_executor_options options);

  void SetInstances(std::span<const instance_record> records);
  void SetQueueLimit(std::size_t limit);

  // Runs one request and blocks until its outcome is known. Sends it again only
  // if the previous attempt certainly did not run.
  service_response Run(const admitted_request& admitted);

  // Closes idle connections and assigns slots that became free with time.
  void RunPeriodicWork();
  void UpdateGauges();
  // Starts the next usage read that is due, if any. `RunUsageRead` must follow.
  std::optional<usage_read> StartUsageRead();
  // Reads the usage report of the instance. Blocks.
  void RunUsageRead(usage_read read);

  service_capacity Capacity() const;

  // Returns the capacity to publish between two gossip messages. Absent unless
  // the score (free slots minus queued requests) has changed to a value of at
  // most kMaxPublishedScore since the last call.
  std::optional<service_capacity> TakeCapacityChange();
  // Returns queued requests with `no_slot`, the newest first, while
  // `has_better` returns true for the score of this daemon.
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

  // The functions up to `WaitForSlot` need the lock.

  // Assigns slots and calls `on_capacity_changed` if the score has changed.
  void AssignSlotsAndNotify();
  // Assigns free slots to queued requests, or ends all waits if there is no
  // instance.
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

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dispatch/circuit_breaker.h"
#include "dispatch/instance_connection.h"
#include "workers/worker_manager.h"

namespace apricotwheel {

// Hard limits of an instance over all daemons (docs/design.md, 1.1).
inline constexpr std::uint32_t kMaxInstanceSlots = 8;
inline constexpr std::uint32_t kMaxInstanceConnections = 64;

// What is known and taken of one instance.
struct pooled_instance {
  pooled_instance(instance_record initial, circuit_breaker closed)
      : record(std::move(initial)), breaker(closed) {}

  instance_record record;
  bool listed = true;  // In the last list of own instances.
  time_point unlisted_at;
  std::uint32_t leased_slots = 0;       // Leases of this daemon.
  std::uint32_t local_connections = 0;  // Idle, leased and reading.
  // Slots and connections that the instance may still have in use, but no
  // lease stands for: those of a predecessor and of requests that ended
  // `unknown`. Lowered only by the instance's usage report.
  std::uint32_t unleased_slots = 0;
  std::uint32_t unleased_connections = 0;
  time_point unleased_since;  // When they last became more than zero.
  // Nothing is sent until a report was read while no own request was in
  // flight; only such a report tells own from other use exactly.
  bool needs_exact_read = false;
  bool usage_read_in_flight = false;
  // Raised when other use may have appeared; a report whose read began before
  // that is void.
  std::uint64_t read_generation = 0;
  time_point next_read_at;
  bool is_stale = false;  // It refused this epoch.
  // The authority deadline as last read, to choose an instance without asking
  // for each. The holder of a lease reads it again before the send.
  time_point authority_expires_at;
  circuit_breaker breaker;

  struct idle_connection {
    connection_ptr connection;
    time_point since;
  };
  std::vector<idle_connection> idle_connections;
};
using pooled_instance_ptr = std::shared_ptr<pooled_instance>;

// A slot and a connection of one instance.
struct slot_lease {
  pooled_instance_ptr instance;
  instance_record record;     // As of the acquisition.
  connection_ptr connection;  // Null: to be opened, already counted.
};

// What the holder of a lease learnt about the instance.
enum class lease_end_reason {
  kCompleted,    // A whole response arrived.
  kNotSent,      // Nothing was sent, for a reason that is not the instance's.
  kUnreachable,  // Nothing was sent, the instance could not be reached.
  kStaleEpoch,   // Refused: it has seen a higher epoch.
  kNoSlot,       // Refused: others use more than is known here.
  kUnknown,      // It may run, and may still hold its slot and connection.
};

struct usage_read {
  pooled_instance_ptr instance;
  connection_ptr connection;  // Null: to be opened, already counted.
  bool exact = false;         // No own request is in flight during the read.
  std::uint64_t generation = 0;
};

struct instance_pool_options {
  std::int64_t breaker_failures = 5;
  std::uint64_t random_seed = 1;
  // The authority deadline of an instance, or absent.
  std::function<std::optional<time_point>(std::string_view task_id)>
      authority_expiry;
};

// The instances of one service that this daemon owns. Keeps own and other use
// within the limits of each instance. Not thread-safe: guarded by its owner.
// Makes no calls but `authority`.
class instance_pool {
 public:
  explicit instance_pool(instance_pool_options options)
      : options_(std::move(options)) {}

  void SetInstances(std::span<const instance_record> records, time_point now);

  // Takes a slot and a connection of the usable instance with the most free
  // slots.
  std::optional<slot_lease> Acquire(time_point now);
  void Release(slot_lease lease, lease_end_reason end_reason, time_point now);

  // The next instance whose usage is due to be read, if any.
  std::optional<usage_read> StartUsageRead(time_point now);
  void FinishUsageRead(usage_read read, const outcome<instance_usage>& usage,
                       time_point now);

  // Returns connections that were idle for too long, for the caller to close
  // outside of its lock.
  std::vector<connection_ptr> TakeExpiredConnections(time_point now);

  std::uint32_t CountFreeSlots(time_point now) const;
  std::uint32_t CountSlots() const;
  std::uint32_t CountAccepting()
      const;  // Number of instances that take requests.
  std::size_t CountListed() const;
  std::vector<pooled_instance_ptr> Instances() const;

 private:
  std::uint32_t FreeSlotsOf(pooled_instance& instance, time_point now) const;
  bool HasAuthority(pooled_instance& instance, time_point now) const;
  void RemoveUnusedInstances(time_point now);

  const instance_pool_options options_;
  std::map<std::string, pooled_instance_ptr> instances_;  // By task id.
};

}  // namespace apricotwheel

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

// Limits of an instance for the requests of all daemons (docs/design.md, 1.1).
inline constexpr std::uint32_t kMaxInstanceSlots = 8;
inline constexpr std::uint32_t kMaxInstanceConnections = 64;

// The state and the use of one instance.
struct pooled_instance {
  pooled_instance(instance_record initial, circuit_breaker closed)
      : record(std::move(initial)), breaker(closed) {}

  instance_record record;
  bool listed = true;  // In the last list of instances of this daemon.
  time_point unlisted_at;
  std::uint32_t leased_slots = 0;  // Leased by requests of this daemon.
  // Connections of this daemon: idle, leased or used for a usage read.
  std::uint32_t local_connections = 0;
  // Slots and connections without a lease that may be in use at the instance:
  // by requests of a predecessor and by requests that ended `unknown`. Only a
  // usage report of the instance lowers them.
  std::uint32_t unleased_slots = 0;
  std::uint32_t unleased_connections = 0;
  // When they became non-zero or were last read exactly.
  time_point unleased_since;
  // No request is sent until a usage report was read while no request of this
  // daemon was in flight. Only such a report gives the unleased use exactly.
  bool needs_exact_read = false;
  bool usage_read_in_flight = false;
  // Raised when unleased use may have appeared. A report whose read started
  // before that is discarded.
  std::uint64_t read_generation = 0;
  time_point next_read_at;
  bool is_stale = false;  // The instance refused the epoch of the record.
  // The last read expiry of the authority, used to choose an instance without
  // a call for each. The holder of a lease reads it again before it sends.
  time_point authority_expires_at;
  circuit_breaker breaker;

  struct idle_connection {
    connection_ptr connection;
    time_point since;
  };
  std::vector<idle_connection> idle_connections;
};
using pooled_instance_ptr = std::shared_ptr<pooled_instance>;

// A leased slot and connection of one instance.
struct slot_lease {
  pooled_instance_ptr instance;
  instance_record record;     // Copied when the lease was acquired.
  connection_ptr connection;  // Null: counted, but still to be opened.
};

// How the request that held a lease ended at the instance.
enum class lease_end_reason {
  kCompleted,    // The whole response arrived.
  kNotSent,      // Nothing was sent; the instance is not the reason.
  kUnreachable,  // Nothing was sent; the instance was unreachable.
  kStaleEpoch,   // Refused: the instance has seen a higher epoch.
  kNoSlot,       // Refused: more unleased slots are in use than counted.
  kUnknown,      // Possibly still running with its slot and connection.
};

// A read of the usage report of one instance.
struct usage_read {
  pooled_instance_ptr instance;
  connection_ptr connection;  // Null: counted, but still to be opened.
  bool exact = false;  // No request of this daemon is in flight meanwhile.
  std::uint64_t generation = 0;
};

struct instance_pool_options {
  std::int64_t breaker_failures = 5;
  std::uint64_t random_seed = 1;
  // Returns until when requests may be sent to an instance; absent if no
  // request may be sent.
  std::function<std::optional<time_point>(std::string_view task_id)>
      authority_expiry;
};

// The instances of one service that this daemon owns. Keeps the leased and
// unleased use within the limits of each instance. Not thread-safe. Makes no
// calls except `authority_expiry`.
class instance_pool {
 public:
  explicit instance_pool(instance_pool_options options)
      : options_(std::move(options)) {}

  void SetInstances(std::span<const instance_record> records, time_point now);

  // Leases a slot and a connection of the usable instance with the most free
  // slots.
  std::optional<slot_lease> Acquire(time_point now);
  void Release(slot_lease lease, lease_end_reason end_reason, time_point now);

  // Starts the next usage read that is due, if any. `FinishUsageRead` must
  // follow.
  std::optional<usage_read> StartUsageRead(time_point now);
  void FinishUsageRead(usage_read read, const outcome<instance_usage>& usage,
                       time_point now);

  // Removes and returns the connections that were idle for too long. The caller
  // closes them without holding its lock.
  std::vector<connection_ptr> TakeExpiredConnections(time_point now);

  std::uint32_t CountFreeSlots(time_point now) const;
  std::uint32_t CountSlots() const;
  std::uint32_t CountAccepting() const;  // Number of instances.
  std::size_t CountListed() const;       // Number of instances.
  std::vector<pooled_instance_ptr> Instances() const;

 private:
  std::uint32_t FreeSlotsOf(pooled_instance& instance, time_point now) const;
  bool HasAuthority(pooled_instance& instance, time_point now) const;
  void RemoveUnusedInstances(time_point now);

  const instance_pool_options options_;
  std::map<std::string, pooled_instance_ptr> instances_;  // By task id.
};

}  // namespace apricotwheel

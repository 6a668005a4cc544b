#include "dispatch/instance_pool.h"

#include <xxhash.h>

#include <algorithm>

namespace apricotwheel {

namespace {

// Below the idle timeout of the instances (60 s). An instance then rarely
// closes an idle connection while a request is being sent on it.
constexpr duration kIdleTimeout = std::chrono::seconds(10);
constexpr duration kUsageReadInterval = milliseconds(50);
constexpr duration kFailedUsageReadInterval = milliseconds(200);
// While requests of this daemon are in flight, a usage report gives only an
// upper bound of the unleased use. After this time the instance gets no new
// requests until an exact report was read. Otherwise unleased use that has
// ended could stay counted for ever.
constexpr duration kQuiesceAfter = std::chrono::seconds(1);

// How long an instance with unleased use is kept after it left the list.
constexpr duration kUnlistedUseRetention = std::chrono::seconds(60);

std::uint32_t SlotLimit(const instance_record& record) {
  return std::min(record.slots, kMaxInstanceSlots);
}

// Reserves one connection of each instance for the first usage read of a
// successor, which does not know yet how many connections are in use.
std::uint32_t ConnectionLimit(const instance_record& record) {
  const auto limit = std::min(record.connections, kMaxInstanceConnections);
  return limit > 1 ? limit - 1 : limit;
}

bool HasFreeConnection(const pooled_instance& instance) {
  return !instance.idle_connections.empty() ||
         instance.local_connections + instance.unleased_connections <
             ConnectionLimit(instance.record);
}

connection_ptr TakeConnection(pooled_instance& instance) {
  while (!instance.idle_connections.empty()) {
    connection_ptr connection =
        std::move(instance.idle_connections.back().connection);
    instance.idle_connections.pop_back();
    if (connection->is_open()) return connection;
    --instance.local_connections;
  }
  ++instance.local_connections;
  return nullptr;
}

void ReturnConnection(pooled_instance& instance, connection_ptr connection,
                      time_point now) {
  if (connection && connection->is_open() && instance.listed) {
    instance.idle_connections.push_back({std::move(connection), now});
  } else {
    --instance.local_connections;
  }
}

void RequireExactRead(pooled_instance& instance, time_point now) {
  instance.needs_exact_read = true;
  ++instance.read_generation;
  instance.next_read_at = now;
}

// Returns true if slots or connections without a lease may be in use.
bool HasUnleased(const pooled_instance& instance) {
  return instance.unleased_slots > 0 || instance.unleased_connections > 0;
}

}  // namespace

void instance_pool::SetInstances(std::span<const instance_record> records,
                                 time_point now) {
  for (auto& [task_id, instance] : instances_) {
    if (instance->listed) instance->unlisted_at = now;
    instance->listed = false;
  }
  for (const instance_record& record : records) {
    auto& instance = instances_[record.task_id];
    if (!instance || instance->record.address != record.address) {
      const auto seed = XXH64(record.task_id.data(), record.task_id.size(),
                              options_.random_seed);
      instance = std::make_shared<pooled_instance>(
          record, circuit_breaker(options_.breaker_failures, seed));
      if (record.may_have_predecessor_requests)
        RequireExactRead(*instance, now);
      continue;
    }
    const bool other_epoch = instance->record.epoch != record.epoch;
    const bool foreign_use_appeared =
        record.may_have_predecessor_requests &&
        (other_epoch || !instance->record.may_have_predecessor_requests);
    if (foreign_use_appeared) RequireExactRead(*instance, now);
    if (other_epoch) instance->is_stale = false;
    instance->record = record;
    instance->listed = true;
  }
  RemoveUnusedInstances(now);
}

// Removes the instances that left the list and are not in use. An instance that
// may be in use is kept: its use still counts if it returns to the list.
void instance_pool::RemoveUnusedInstances(time_point now) {
  std::erase_if(instances_, [now](const auto& entry) {
    const pooled_instance& instance = *entry.second;
    if (instance.listed || instance.leased_slots > 0 ||
        instance.usage_read_in_flight) {
      return false;
    }
    return !HasUnleased(instance) ||
           now - instance.unlisted_at > kUnlistedUseRetention;
  });
}

bool instance_pool::HasAuthority(pooled_instance& instance,
                                 time_point now) const {
  if (now < instance.authority_expires_at) return true;
  const auto authority = options_.authority_expiry(instance.record.task_id);
  if (!authority) return false;
  instance.authority_expires_at = *authority;
  return now < *authority;
}

std::uint32_t instance_pool::FreeSlotsOf(pooled_instance& instance,
                                         time_point now) const {
  if (!instance.listed || !instance.record.accepting || instance.is_stale ||
      !instance.record.predecessor_authority_ended ||
      instance.needs_exact_read || !instance.breaker.AllowsRequest(now)) {
    return 0;
  }
  if (!HasAuthority(instance, now)) return 0;
  const auto taken = instance.leased_slots + instance.unleased_slots;
  const auto limit = SlotLimit(instance.record);
  if (taken >= limit || !HasFreeConnection(instance)) return 0;
  // A half-open breaker allows one probe request.
  if (instance.breaker.State(now) == breaker_state::kHalfOpen) return 1;
  return limit - taken;
}

std::optional<slot_lease> instance_pool::Acquire(time_point now) {
  pooled_instance_ptr best;
  std::uint32_t best_free = 0;
  for (const auto& [task_id, instance] : instances_) {
    const auto free = FreeSlotsOf(*instance, now);
    if (free <= best_free) continue;
    best = instance;
    best_free = free;
  }
  if (!best) return std::nullopt;
  ++best->leased_slots;
  best->breaker.OnRequestStart(now);
  connection_ptr connection = TakeConnection(*best);
  return slot_lease{best, best->record, std::move(connection)};
}

void instance_pool::Release(slot_lease lease, lease_end_reason end_reason,
                            time_point now) {
  pooled_instance& instance = *lease.instance;
  --instance.leased_slots;
  switch (end_reason) {
    case lease_end_reason::kCompleted:
      instance.breaker.OnSuccess();
      break;
    case lease_end_reason::kNotSent:
      instance.breaker.OnInconclusive();
      instance.authority_expires_at = {};  // The authority may have expired.
      break;
    case lease_end_reason::kUnreachable:
      instance.breaker.OnFailure(now);
      break;
    case lease_end_reason::kStaleEpoch:
      instance.breaker.OnInconclusive();
      if (instance.record.epoch == lease.record.epoch) instance.is_stale = true;
      break;
    case lease_end_reason::kNoSlot:
      instance.breaker.OnInconclusive();
      RequireExactRead(instance, now);
      break;
    case lease_end_reason::kUnknown:
      instance.breaker.OnFailure(now);
      if (!HasUnleased(instance)) instance.unleased_since = now;
      ++instance.unleased_slots;
      ++instance.unleased_connections;
      ++instance.read_generation;
      instance.next_read_at = now;
      lease.connection = nullptr;
      break;
  }
  ReturnConnection(instance, std::move(lease.connection), now);
  if (!instance.listed) RemoveUnusedInstances(now);
}

std::optional<usage_read> instance_pool::StartUsageRead(time_point now) {
  for (const auto& [task_id, instance] : instances_) {
    if (!instance->listed || instance->usage_read_in_flight ||
        now < instance->next_read_at) {
      continue;
    }
    if (!instance->needs_exact_read && HasUnleased(*instance) &&
        now - instance->unleased_since >= kQuiesceAfter) {
      instance->needs_exact_read = true;
    }
    const bool exact =
        instance->leased_slots == 0 && instance->needs_exact_read;
    if (instance->needs_exact_read ? !exact : !HasUnleased(*instance)) continue;
    instance->usage_read_in_flight = true;
    return usage_read{instance, TakeConnection(*instance), exact,
                      instance->read_generation};
  }
  return std::nullopt;
}

void instance_pool::FinishUsageRead(usage_read read,
                                    const outcome<instance_usage>& usage,
                                    time_point now) {
  pooled_instance& instance = *read.instance;
  instance.usage_read_in_flight = false;
  instance.next_read_at =
      now + (usage ? kUsageReadInterval : kFailedUsageReadInterval);
  if (usage && read.generation == instance.read_generation) {
    if (read.exact) {
      // The report does not count connections that the instance has closed.
      const auto own = static_cast<std::uint32_t>(std::count_if(
          instance.idle_connections.begin(), instance.idle_connections.end(),
          [](const auto& idle) { return idle.connection->is_open(); }));
      instance.unleased_slots = usage->slots_in_use;
      instance.unleased_connections =
          usage->connections > own ? usage->connections - own : 0;
      instance.needs_exact_read = false;
      instance.unleased_since = now;
    } else {
      instance.unleased_slots =
          std::min(instance.unleased_slots, usage->slots_in_use);
      instance.unleased_connections =
          std::min(instance.unleased_connections, usage->connections);
    }
  }
  if (!usage) read.connection = nullptr;
  ReturnConnection(instance, std::move(read.connection), now);
  if (!instance.listed) RemoveUnusedInstances(now);
}

std::vector<connection_ptr> instance_pool::TakeExpiredConnections(
    time_point now) {
  std::vector<connection_ptr> expired;
  for (auto& entry : instances_) {
    pooled_instance& instance = *entry.second;
    std::erase_if(instance.idle_connections, [&](const auto& idle) {
      if (instance.listed && now - idle.since < kIdleTimeout) return false;
      expired.push_back(idle.connection);
      --instance.local_connections;
      return true;
    });
  }
  RemoveUnusedInstances(now);
  return expired;
}

std::uint32_t instance_pool::CountFreeSlots(time_point now) const {
  std::uint32_t total = 0;
  for (const auto& [task_id, instance] : instances_) {
    total += FreeSlotsOf(*instance, now);
  }
  return total;
}

std::uint32_t instance_pool::CountSlots() const {
  std::uint32_t total = 0;
  for (const auto& [task_id, instance] : instances_) {
    if (instance->listed) total += SlotLimit(instance->record);
  }
  return total;
}

std::uint32_t instance_pool::CountAccepting() const {
  std::uint32_t total = 0;
  for (const auto& [task_id, instance] : instances_) {
    if (instance->listed && instance->record.accepting && !instance->is_stale) {
      ++total;
    }
  }
  return total;
}

std::size_t instance_pool::CountListed() const {
  return static_cast<std::size_t>(
      std::count_if(instances_.begin(), instances_.end(),
                    [](const auto& entry) { return entry.second->listed; }));
}

std::vector<pooled_instance_ptr> instance_pool::Instances() const {
  std::vector<pooled_instance_ptr> all;
  for (const auto& [task_id, instance] : instances_) all.push_back(instance);
  return all;
}

}  // namespace apricotwheel

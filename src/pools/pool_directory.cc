#include "pools/pool_directory.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "pools/job_memory.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

constexpr std::string_view kWatchedPrefix = "apricotwheel/cluster/";
constexpr std::string_view kOwnersPrefix = "apricotwheel/cluster/pools/";
// Versions without capacities ignore these keys. Members without such a key
// rank last.
constexpr std::string_view kCapacitiesPrefix =
    "apricotwheel/cluster/capacities/";
constexpr auto kAcquireRetryInterval = milliseconds(50);
// A pool that no member has owned stays vacant until no member has joined for
// this long: when all VMs start together, the first daemon to be ready may be
// the weakest.
constexpr auto kSettleTime = milliseconds(500);
constexpr auto kMaxSettleTime = milliseconds(2000);
// Then much weaker members wait this long for the strong ones, which may get
// their configuration later.
constexpr auto kWeakMemberDelay = milliseconds(500);
// How long a member counts as overloaded after it gave a pool up. The time
// doubles with each overload, for VMs that stay slow.
constexpr auto kOverloadMark = milliseconds(60'000);
constexpr int kMaxOverloadDoublings = 4;
// Interval of checks for vacant pools when nothing wakes the election thread.
constexpr auto kElectionInterval = milliseconds(1000);
// A member publishes its capacity within this time after it has joined.
constexpr auto kCapacityDelay = milliseconds(2000);
// A machine that is up rejects a connection within milliseconds.
constexpr auto kProbeTimeout = milliseconds(300);
// Interval of probes of members that count as exited because they refused
// connections.
constexpr auto kRefusingProbeInterval = milliseconds(500);
// Read timeout before a conditional takeover. A healthy store responds in a few
// milliseconds; if it is slow for this daemon as well, a new owner gains
// nothing.
constexpr auto kResponsiveStoreTimeout = milliseconds(150);

member_capacity ConfiguredCapacity(const daemon_settings& settings) {
  return {
      std::llround(settings.processor_share * settings.processor_cores * 1000),
      false,
      std::llround(settings.link_mbps * 1000),
      true,
      true,
      true,
      static_cast<std::int64_t>(JobMemoryBytes(settings))};
}

}  // namespace

std::string pool_directory::OwnerKey(std::string_view pool) {
  return std::string(kOwnersPrefix) + std::string(pool);
}

pool_directory::pool_directory(pool_directory_options options)
    : options_(std::move(options)),
      lease_(options_.kv, options_.clock, options_.settings, options_.self,
             options_.log),
      partitions_(options_.log),
      lease_signal_(options_.clock),
      election_signal_(options_.clock),
      watcher_({std::string(kWatchedPrefix), options_.kv, options_.clock,
                options_.log},
               {[this](const kv_event& event) { ApplyWatchedEvent(event); },
                [this](bool is_listing) { HandleBatch(is_listing); }}) {
  PublishCapacity();
}

result<void> pool_directory::Start() {
  BOOST_LEAF_CHECK(threads_.Spawn("pool-lease", [this] { RunLease(); }));
  BOOST_LEAF_CHECK(threads_.Spawn("pool-elect", [this] { RunElection(); }));
  return watcher_.Start();
}

void pool_directory::Stop() {
  lease_signal_.RequestStop();
  election_signal_.RequestStop();
  options_.kv->InterruptWatches();
  watcher_.Stop();
  threads_.JoinAll();
}

void pool_directory::SetPools(std::vector<std::string> pools) {
  {
    const std::lock_guard lock(mutex_);
    pools_ = std::move(pools);
  }
  election_signal_.Wake();
}

std::optional<pool_ownership> pool_directory::OwnerOf(
    std::string_view pool) const {
  const std::lock_guard lock(mutex_);
  const auto found = owners_.find(pool);
  if (found == owners_.end() || found->second.ownership.member_id.empty()) {
    return std::nullopt;
  }
  return found->second.ownership;
}

std::vector<member> pool_directory::Members() const {
  const std::lock_guard lock(mutex_);
  std::vector<member> all;
  for (const auto& [id, stored] : members_) {
    if (stored.record && !exits_.HasExited(id)) all.push_back(*stored.record);
  }
  return all;
}

std::vector<recent_member> pool_directory::RecentMembers(
    duration window) const {
  const std::lock_guard lock(mutex_);
  const auto now = options_.clock->Now();
  std::vector<recent_member> recent;
  for (const auto& [id, stored] : members_) {
    if (id == options_.self.id || exits_.IsReplaced(id)) continue;
    if (!stored.record && now - stored.deleted_at > window) continue;
    const auto capacity = capacities_.find(id);
    const bool is_supported = capacity == capacities_.end() ||
                              !capacity->second.record ||
                              capacity->second.record->knows_confirmations;
    const bool may_confirm = is_supported && !stored.last_record.leaving;
    recent.push_back({id, stored.first_seen_at, may_confirm});
  }
  return recent;
}

bool pool_directory::IsCurrentOwner(std::string_view pool,
                                    const pool_ownership& owner) const {
  const std::lock_guard lock(mutex_);
  const auto found = owners_.find(pool);
  return is_synced_ && !is_leaving_ && found != owners_.end() &&
         found->second.ownership == owner;
}

std::string pool_directory::AddressOf(std::string_view member_id) const {
  const std::lock_guard lock(mutex_);
  const auto found = members_.find(member_id);
  if (found == members_.end() || !found->second.record) return {};
  return found->second.record->peer_address;
}

std::vector<std::string> pool_directory::Pools() const {
  std::vector<std::string> configured;
  {
    const std::lock_guard lock(mutex_);
    configured = pools_;
  }
  std::vector<std::string> pools;
  for (const std::string& pool : configured) {
    const auto partitions = partitions_.PartitionsOf(pool);
    pools.insert(pools.end(), partitions.begin(), partitions.end());
  }
  return pools;
}

member_support pool_directory::SupportOf(bool member_capacity::*feature) const {
  const std::lock_guard lock(mutex_);
  const auto now = options_.clock->Now();
  auto support = member_support::kAll;
  for (const auto& [id, stored] : members_) {
    if (!stored.record || exits_.HasExited(id)) continue;
    const auto found = capacities_.find(id);
    if (found != capacities_.end() && found->second.record) {
      if ((*found->second.record).*feature) continue;
      return member_support::kNotAll;
    }
    // The first versions publish no capacity.
    if (now - stored.joined_at >= kCapacityDelay) {
      return member_support::kNotAll;
    }
    support = member_support::kUnknown;
  }
  return support;
}

std::size_t pool_directory::LeastJobMemory() const {
  const std::lock_guard lock(mutex_);
  std::size_t least = std::numeric_limits<std::size_t>::max();
  for (const auto& [id, stored] : members_) {
    if (!stored.record || exits_.HasExited(id)) continue;
    const auto found = capacities_.find(id);
    if (found == capacities_.end() || !found->second.record) continue;
    const std::int64_t bytes = found->second.record->job_memory_bytes;
    if (bytes > 0) least = std::min(least, static_cast<std::size_t>(bytes));
  }
  return least;
}

result<void> pool_directory::StorePartitions(const std::string& pool,
                                             std::uint64_t epoch,
                                             const partition_table& table) {
  const kv_transaction update =
      partitions_.MakeUpdate(pool, table, {OwnerKey(pool), epoch});
  BOOST_LEAF_AUTO(revision, options_.kv->Commit(update));
  ApplyPartitions(
      {{update.puts.front().key, update.puts.front().value, revision}, false});
  return {};
}

void pool_directory::ApplyPartitions(const kv_event& event) {
  if (!partitions_.Apply(event)) return;
  election_signal_.Wake();
  if (on_partitions_changed_) on_partitions_changed_();
}

bool pool_directory::IsSynced() const {
  const std::lock_guard lock(mutex_);
  return is_synced_;
}

void pool_directory::RunLease() {
  while (!lease_signal_.StopRequested()) {
    PublishCapacity();
    const duration wait = lease_.RenewIfDue();
    election_signal_.Wake();
    if (lease_signal_.WaitFor(wait)) return;
  }
}

void pool_directory::HandleBatch(bool is_listing) {
  if (is_listing) {
    const std::lock_guard lock(mutex_);
    is_synced_ = true;
  }
  UpdatePeers();
  NotifyOwnership();
  election_signal_.Wake();
}

void pool_directory::ApplyWatchedEvent(const kv_event& event) {
  ApplyEvent(event);
  if (!event.entry.key.starts_with(kOwnersPrefix)) return;
  const std::lock_guard lock(mutex_);
  watched_epochs_[event.entry.key.substr(kOwnersPrefix.size())] =
      event.entry.revision;
}

bool pool_directory::HasWatched(std::string_view pool,
                                std::uint64_t epoch) const {
  const std::lock_guard lock(mutex_);
  const auto found = watched_epochs_.find(pool);
  return found != watched_epochs_.end() && found->second >= epoch;
}

void pool_directory::ApplyEvent(const kv_event& event) {
  const std::string& key = event.entry.key;
  if (key.starts_with(kOwnersPrefix)) {
    ApplyOwner(key.substr(kOwnersPrefix.size()), event);
  } else if (key.starts_with(kMembersPrefix)) {
    ApplyMember(key.substr(kMembersPrefix.size()), event);
  } else if (key.starts_with(kCapacitiesPrefix)) {
    ApplyCapacity(key.substr(kCapacitiesPrefix.size()), event);
  } else if (key.starts_with(partition_directory::kPrefix)) {
    ApplyPartitions(event);
  }
}

void pool_directory::ApplyCapacity(const std::string& id,
                                   const kv_event& event) {
  std::optional<member_capacity> record;
  if (!event.deleted) {
    const auto decoded =
        Attempt([&] { return DecodeCapacity(event.entry.value); });
    if (!decoded) {
      Emit(options_.log, pool_events::kRecordInvalid,
           {Field("key", event.entry.key),
            Field("reason", Describe(decoded.failure))});
      return;
    }
    record = *decoded;
  }
  const std::lock_guard lock(mutex_);
  stored_capacity& stored = capacities_[id];
  if (event.entry.revision <= stored.revision) return;
  stored = {record, event.entry.revision};
}

void pool_directory::PublishCapacity() {
  member_capacity own = ConfiguredCapacity(options_.settings);
  {
    const std::lock_guard lock(mutex_);
    own.is_overloaded = options_.clock->Now() < overloaded_until_;
  }
  lease_.SetAttribute(std::string(kCapacitiesPrefix) + options_.self.id,
                      EncodeCapacity(own));
}

void pool_directory::MarkOverloaded() {
  {
    const std::lock_guard lock(mutex_);
    const int doublings = std::min(overload_count_++, kMaxOverloadDoublings);
    overloaded_until_ =
        options_.clock->Now() + duration(kOverloadMark) * (1 << doublings);
  }
  lease_signal_.Wake();
}

void pool_directory::ApplyOwner(const std::string& pool,
                                const kv_event& event) {
  const std::lock_guard lock(mutex_);
  stored_owner& stored = owners_[pool];
  if (event.entry.revision <= stored.revision) return;
  stored.revision = event.entry.revision;
  if (!stored.ownership.member_id.empty() &&
      stored.ownership.member_id != event.entry.value) {
    stored.previous_member = stored.ownership.member_id;
  }
  stored.ownership = {};
  if (!event.deleted) {
    stored.ownership = {event.entry.value, event.entry.revision};
    // A member that has taken a pool is alive.
    OnMemberAlive(event.entry.value);
  }
}

void pool_directory::ApplyMember(const std::string& id, const kv_event& event) {
  std::optional<member> record;
  if (event.deleted) {
    if (id == options_.self.id) {
      lease_.OnRecordDeleted(event.entry.revision);
      lease_signal_.Wake();
    }
  } else {
    const auto decoded =
        Attempt([&] { return DecodeMember(event.entry.value); });
    if (!decoded || decoded->id != id) {
      Emit(options_.log, pool_events::kRecordInvalid,
           {Field("key", event.entry.key),
            Field("reason", decoded ? "the id differs from the id in the key"
                                    : Describe(decoded.failure))});
      return;
    }
    record = *decoded;
  }
  const std::lock_guard lock(mutex_);
  stored_member& stored = members_[id];
  if (event.entry.revision <= stored.revision) return;
  const std::uint64_t joined_revision =
      stored.record ? stored.joined_revision : event.entry.revision;
  const auto now = options_.clock->Now();
  const bool has_joined = record && !stored.record;
  const time_point joined_at = has_joined ? now : stored.joined_at;
  if (record) last_joined_at_ = std::max(last_joined_at_, joined_at);
  if (record) {
    stored.last_record = *record;
    if (stored.first_seen_at == time_point{}) stored.first_seen_at = now;
  } else {
    stored.deleted_at = now;
  }
  stored.record = std::move(record);
  stored.revision = event.entry.revision;
  stored.joined_revision = joined_revision;
  stored.joined_at = joined_at;
  if (stored.record) FindReplaced(id, stored);
}

void pool_directory::FindReplaced(const std::string& id,
                                  const stored_member& joined) {
  // Two processes cannot listen at one address, so the process of the older
  // record has exited.
  for (const auto& [other, earlier] : members_) {
    if (other == id ||
        earlier.last_record.peer_address != joined.record->peer_address) {
      continue;
    }
    if (earlier.record) {
      exits_.OnReplaced(earlier.revision < joined.revision ? other : id);
    } else if (earlier.joined_revision < joined.joined_revision) {
      exits_.OnReplaced(other);
    }
  }
}

void pool_directory::UpdatePeers() {
  std::map<std::string, std::string> addresses;
  std::set<std::string> removed;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, stored] : members_) {
      if (id == options_.self.id) continue;
      if (stored.record) {
        addresses[id] = stored.record->peer_address;
        linked_peers_.insert(id);
      } else if (linked_peers_.erase(id) > 0) {
        removed.insert(id);
      }
    }
  }
  for (const auto& [id, address] : addresses) {
    options_.peers->SetAddress(id, address);
  }
  for (const auto& id : removed) options_.peers->SetAddress(id, "");
}

void pool_directory::NotifyOwnership() {
  const std::lock_guard notify_lock(notify_mutex_);
  std::map<std::string, std::uint64_t> owned;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [pool, stored] : owners_) {
      if (stored.ownership.member_id == options_.self.id) {
        owned[pool] = stored.ownership.epoch;
      }
    }
  }
  const auto before = std::exchange(notified_epochs_, owned);
  for (const auto& [pool, epoch] : before) {
    const auto found = owned.find(pool);
    if (found != owned.end() && found->second == epoch) continue;
    Emit(options_.log, pool_events::kPoolLost,
         {Field("pool", pool), Field("epoch", epoch)});
    if (on_lost_) on_lost_(pool, epoch);
  }
  for (const auto& [pool, epoch] : owned) {
    const auto found = before.find(pool);
    if (found != before.end() && found->second == epoch) continue;
    Emit(options_.log, pool_events::kPoolAcquired,
         {Field("pool", pool), Field("epoch", epoch),
          Field("processor_milli",
                ConfiguredCapacity(options_.settings).processor_milli)});
    if (on_acquired_) on_acquired_(pool, epoch);
  }
}

bool pool_directory::IsVacant(std::string_view pool) const {
  const auto found = owners_.find(pool);
  return found == owners_.end() || found->second.ownership.member_id.empty() ||
         exits_.HasExited(found->second.ownership.member_id);
}

owner_candidate pool_directory::MakeCandidate(const std::string& id,
                                              std::string_view pool) const {
  owner_candidate candidate;
  candidate.id = id;
  if (id == options_.self.id) {
    candidate.capacity = ConfiguredCapacity(options_.settings);
    candidate.capacity.is_overloaded =
        options_.clock->Now() < overloaded_until_;
  } else if (const auto found = capacities_.find(id);
             found != capacities_.end() && found->second.record) {
    candidate.capacity = *found->second.record;
  }
  if (const auto found = members_.find(id); found != members_.end()) {
    candidate.joined_revision = found->second.joined_revision;
  }
  candidate.other_pools = static_cast<std::size_t>(
      std::count_if(owners_.begin(), owners_.end(), [&](const auto& row) {
        return row.first != pool && row.second.ownership.member_id == id;
      }));
  return candidate;
}

std::vector<owner_candidate> pool_directory::Candidates(
    std::string_view pool) const {
  std::vector<owner_candidate> candidates;
  for (const auto& [id, stored] : members_) {
    if (!stored.record || stored.record->leaving || exits_.HasExited(id)) {
      continue;
    }
    candidates.push_back(MakeCandidate(id, pool));
  }
  return candidates;
}

time_point pool_directory::AcquireAt(const std::string& pool,
                                     time_point since) const {
  const auto ranked = RankForElection(pool, Candidates(pool));
  const auto own = std::find_if(
      ranked.begin(), ranked.end(),
      [&](const auto& candidate) { return candidate.id == options_.self.id; });
  if (!owners_.contains(pool)) {
    // The limit counts from when the best member joined, as it does there.
    time_point limit = since;
    if (!ranked.empty()) {
      limit =
          std::max(since, members_.find(ranked.front().id)->second.joined_at);
    }
    limit = std::min(limit, since + duration(kMaxSettleTime)) +
            duration(kMaxSettleTime);
    const auto settled_at =
        std::max(since, last_joined_at_) + duration(kSettleTime);
    since = std::min(settled_at, limit);
    const auto comparable =
        static_cast<std::ptrdiff_t>(CountComparable(ranked));
    if (own - ranked.begin() >= comparable) since += duration(kWeakMemberDelay);
  }
  return since + ElectionDelay(static_cast<std::size_t>(own - ranked.begin()));
}

std::vector<owner_candidate> pool_directory::Successors(
    std::string_view pool) const {
  std::vector<owner_candidate> candidates;
  {
    const std::lock_guard lock(mutex_);
    candidates = Candidates(pool);
  }
  std::erase_if(candidates, [&](const owner_candidate& candidate) {
    return candidate.id == options_.self.id;
  });
  return RankSuccessors(pool, std::move(candidates));
}

move_inputs pool_directory::PrepareMove(std::string_view pool) const {
  move_inputs inputs;
  const auto successors = Successors(pool);
  if (!successors.empty()) inputs.best = successors.front();
  const std::lock_guard lock(mutex_);
  inputs.owner = MakeCandidate(options_.self.id, pool);
  inputs.overloaded_members = static_cast<std::size_t>(std::count_if(
      capacities_.begin(), capacities_.end(), [](const auto& row) {
        return row.second.record && row.second.record->is_overloaded;
      }));
  if (const auto owner = owners_.find(pool); owner != owners_.end()) {
    const auto previous = capacities_.find(owner->second.previous_member);
    inputs.is_previous_owner_overloaded =
        previous != capacities_.end() && previous->second.record &&
        previous->second.record->is_overloaded;
  }
  return inputs;
}

void pool_directory::ReportUnreachable(const std::string& member_id) {
  {
    const std::lock_guard lock(mutex_);
    if (!exits_.ReportUnreachable(member_id)) return;
  }
  election_signal_.Wake();
}

std::map<std::string, std::string> pool_directory::MembersToProbe() {
  const std::lock_guard lock(mutex_);
  std::set<std::string> ids = exits_.TakeUnreachable();
  const auto now = options_.clock->Now();
  if (now - refusing_probed_at_ >= kRefusingProbeInterval) {
    refusing_probed_at_ = now;
    ids.insert(exits_.Refusing().begin(), exits_.Refusing().end());
  }
  std::map<std::string, std::string> addresses;
  for (const std::string& id : ids) {
    const auto found = members_.find(id);
    if (found == members_.end() || !found->second.record) continue;
    addresses[id] = found->second.record->peer_address;
  }
  return addresses;
}

listener_state pool_directory::ProbeMember(const std::string& id,
                                           const std::string& address) {
  const auto state =
      ProbeListener(address, *options_.clock,
                    options_.clock->Now() + duration(kProbeTimeout));
  if (state == listener_state::kListening) {
    const std::lock_guard lock(mutex_);
    OnMemberAlive(id);
  }
  return state;
}

void pool_directory::ProbeMembers() {
  for (const auto& [id, address] : MembersToProbe()) {
    const auto state = ProbeMember(id, address);
    const std::lock_guard lock(mutex_);
    if (state != listener_state::kNotListening || exits_.HasExited(id)) {
      continue;
    }
    Emit(options_.log, pool_events::kMemberDead,
         {Field("member", id), Field("address", address)});
    exits_.OnRefused(id);
  }
}

void pool_directory::OnMemberAlive(const std::string& id) {
  if (!exits_.OnAlive(id)) return;
  Emit(options_.log, pool_events::kMemberAlive, {Field("member", id)});
}

void pool_directory::RunElection() {
  while (!election_signal_.StopRequested()) {
    ProbeMembers();
    std::optional<std::string> due;
    duration wait = kElectionInterval;
    const auto pools = Pools();
    {
      const std::lock_guard lock(mutex_);
      const auto now = options_.clock->Now();
      for (const std::string& pool : pools) {
        if (!IsVacant(pool) || !is_synced_ || is_leaving_ || !lease_.IsHeld()) {
          vacant_since_.erase(pool);
          continue;
        }
        const auto since = vacant_since_.try_emplace(pool, now).first->second;
        const auto try_at = AcquireAt(pool, since);
        if (try_at <= now) {
          // One at a time: a pool that is acquired here lowers the rank for
          // the others.
          if (!due) due = pool;
        } else {
          wait = std::min<duration>(wait, try_at - now);
        }
      }
    }
    if (due) {
      TryAcquire(*due);
    } else if (election_signal_.WaitFor(wait)) {
      return;
    }
  }
}

void pool_directory::TryAcquire(const std::string& pool) {
  kv_transaction claim;
  const std::string key = OwnerKey(pool);
  std::uint64_t expected = 0;  // Requires that the key does not exist.
  std::string refusing_owner;
  {
    const std::lock_guard lock(mutex_);
    const auto found = owners_.find(pool);
    if (found != owners_.end() && !found->second.ownership.member_id.empty()) {
      expected = found->second.revision;
      const std::string& owner = found->second.ownership.member_id;
      if (exits_.Refusing().contains(owner)) refusing_owner = owner;
    }
  }
  // It refused connections a while ago, perhaps because this member was cut
  // off.
  if (!refusing_owner.empty() &&
      ProbeMember(refusing_owner, AddressOf(refusing_owner)) ==
          listener_state::kListening) {
    return;
  }
  claim.conditions.push_back({key, expected});
  claim.puts.push_back({key, options_.self.id, lease_.LeaseId()});
  const auto written = Attempt([&] { return options_.kv->Commit(claim); });
  if (written) {
    RecordOwner(pool, {options_.self.id, *written});
    return;
  }
  {
    // The next attempt waits for the delay of its rank again.
    const std::lock_guard lock(mutex_);
    vacant_since_.erase(pool);
  }
  RefreshOwner(pool);
  election_signal_.WaitFor(kAcquireRetryInterval);
}

void pool_directory::RefreshOwner(const std::string& pool) {
  const std::string key = OwnerKey(pool);
  const auto read = Attempt([&] { return options_.kv->Get(key); });
  // If the read fails, the watch reports the change.
  if (!read || !*read.value) return;
  ApplyEvent({**read.value, false});
  NotifyOwnership();
}

void pool_directory::RecordOwner(const std::string& pool,
                                 const pool_ownership& owner,
                                 const std::string& peer_address) {
  if (!peer_address.empty() && AddressOf(owner.member_id).empty()) {
    options_.peers->SetAddress(owner.member_id, peer_address);
  }
  ApplyEvent({{OwnerKey(pool), owner.member_id, owner.epoch}, false});
  NotifyOwnership();
}

result<std::uint64_t> pool_directory::TakeOver(const std::string& pool,
                                               std::uint64_t epoch,
                                               bool only_if_quick) {
  const auto pools = Pools();
  {
    const std::lock_guard lock(mutex_);
    const bool is_pool =
        std::find(pools.begin(), pools.end(), pool) != pools.end();
    if (!is_pool || is_leaving_ || !is_synced_ || !lease_.IsHeld()) {
      return Fail(error_kind::kUnavailable,
                  "this daemon takes over no pools now",
                  "send the request to another daemon");
    }
  }
  const std::string key = OwnerKey(pool);
  if (only_if_quick) {
    BOOST_LEAF_AUTO(stored,
                    options_.kv->Get(key, duration(kResponsiveStoreTimeout)));
    if (!stored || stored->revision != epoch) {
      if (stored) RecordOwner(pool, {stored->value, stored->revision});
      return Fail(error_kind::kConflict, "the pool has another owner",
                  "query the owner of the pool");
    }
  }
  kv_transaction claim;
  claim.conditions.push_back({key, epoch});
  claim.puts.push_back({key, options_.self.id, lease_.LeaseId()});
  BOOST_LEAF_AUTO(written, options_.kv->Commit(claim));
  RecordOwner(pool, {options_.self.id, written});
  return written;
}

void pool_directory::MarkLeaving() {
  {
    const std::lock_guard lock(mutex_);
    is_leaving_ = true;
  }
  lease_.MarkLeaving();
  lease_signal_.Wake();
}

void pool_directory::ReleasePools(time_point deadline) {
  std::map<std::string, std::uint64_t> owned;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [pool, stored] : owners_) {
      if (stored.ownership.member_id == options_.self.id) {
        owned[pool] = stored.revision;
      }
    }
  }
  for (const auto& owned_pool : owned) {
    const auto removed = Attempt([&] {
      return options_.kv->Remove(OwnerKey(owned_pool.first), owned_pool.second,
                                 deadline - options_.clock->Now());
    });
    if (removed) continue;
    // The pool becomes vacant when the lease expires.
    Emit(options_.log, pool_events::kHandOverFailed,
         {Field("pool", owned_pool.first), Field("member", ""),
          Field("reason", Describe(removed.failure))});
  }
}

}  // namespace apricotwheel

// Changes of ownership that daemons negotiate with each other: planned stops,
// owners that the store does not respond to while it responds to others, and
// owners that lack processor time.
#include <algorithm>
#include <utility>

#include "pools/pool_events.h"
#include "pools/pool_host.h"

namespace apricotwheel {

namespace {

// A takeover makes one write to the store, which times out after less than a
// second.
constexpr auto kTakeoverTimeout = milliseconds(1100);
// Part of `kReleaseTimeout` that the last commit may use.
constexpr auto kQuiesceTimeout = milliseconds(600);
// The journal reports an unreachable store after 0.4 s. A store that is only
// slow responds within this additional time.
constexpr auto kFailoverDelay = milliseconds(200);
// While the store is unreachable for all daemons, each owner sends this many
// requests to others in one interval, and each request causes one read.
constexpr auto kFailoverInterval = milliseconds(500);
constexpr std::size_t kFailoverCandidates = 2;
// An owner that has stopped is checked again at this interval until the store
// has told who owns the pool.
constexpr auto kOwnershipCheckInterval = milliseconds(250);
// Two daemons are queried for the owner of a pool, because one of them may be
// cut off from the store as well.
constexpr std::size_t kOwnerQueryPeers = 2;
constexpr auto kOwnerQueryTimeout = milliseconds(200);

// Returns the owner in the response of another daemon.
outcome<known_owner> DecodeOwnerResponse(
    const outcome<wire_message>& response) {
  if (!response) return {std::nullopt, response.failure};
  const wire::pool_replyT* body = response->body.Aspool_reply();
  return Attempt([&] { return DecodeOwner(body ? body->body : ""); });
}

}  // namespace

void pool_host::HandOverPools(time_point deadline) {
  options_.directory->MarkLeaving();
  std::map<std::string, std::uint64_t> owned;
  {
    const std::lock_guard lock(mutex_);
    owned = owned_epochs_;
  }
  thread_group threads;
  for (const auto& [pool, epoch] : owned) {
    const auto hand_over = [this, &pool = pool, epoch = epoch, deadline] {
      HandOverPool(pool, epoch, hand_over_cause::kPlannedStop, deadline);
    };
    // If no thread can be started, the pools are handed over one after the
    // other.
    if (!Attempt([&] { return threads.Spawn("hand-over", hand_over); })) {
      hand_over();
    }
  }
  threads.JoinAll();
  std::map<std::string, std::shared_ptr<pool_owner>, std::less<>> remaining;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [pool, owner] : owners_) {
      if (owned_epochs_.contains(pool)) remaining[pool] = owner;
    }
  }
  const auto now = options_.clock->Now();
  for (const auto& [pool, owner] : remaining) {
    owner->Quiesce(now + duration(kQuiesceTimeout));
  }
  {
    const std::lock_guard lock(mutex_);
    owned_epochs_.clear();
    needs_reconcile_ = true;
  }
  changed_.notify_all();
  for (const auto& [pool, owner] : remaining) owner->Stop();
  options_.directory->ReleasePools(now + duration(kReleaseTimeout));
}

std::string_view pool_host::ToString(hand_over_cause cause) {
  switch (cause) {
    case hand_over_cause::kPlannedStop:
      return "stop";
    case hand_over_cause::kStoreUnreachable:
      return "the store does not respond";
    case hand_over_cause::kOverload:
      return "overload";
    case hand_over_cause::kStrongerMember:
      break;
  }
  return "a stronger member";
}

std::vector<std::string> pool_host::ChooseSuccessors(const std::string& pool,
                                                     std::uint64_t epoch,
                                                     hand_over_cause cause) {
  auto ranked = options_.directory->Successors(pool);
  std::size_t limit = ranked.size();
  if (cause == hand_over_cause::kStoreUnreachable && !ranked.empty()) {
    // The best members may be cut off as well, so later attempts go on to the
    // next ones. The first one starts at a different member of equal size for
    // each epoch, so that the owners of several pools do not all ask the same.
    const std::lock_guard lock(mutex_);
    const auto first = ranked.begin();
    const std::size_t comparable = CountComparable(ranked);
    std::rotate(first, first + static_cast<std::ptrdiff_t>(epoch % comparable),
                first + static_cast<std::ptrdiff_t>(comparable));
    const auto skipped = failover_attempts_[pool]++ * kFailoverCandidates;
    std::rotate(first,
                first + static_cast<std::ptrdiff_t>(skipped % ranked.size()),
                ranked.end());
    limit = kFailoverCandidates;
  } else if (cause != hand_over_cause::kPlannedStop) {
    limit = 1;  // The move is worth its interruption for the best member only.
  }
  std::vector<std::string> ids;
  for (auto& candidate : ranked) {
    if (ids.size() < limit) ids.push_back(std::move(candidate.id));
  }
  return ids;
}

bool pool_host::HandOverPool(const std::string& pool, std::uint64_t epoch,
                             hand_over_cause cause, time_point deadline) {
  const bool is_failover = cause == hand_over_cause::kStoreUnreachable;
  const wire_message request =
      MakePoolCall(kTakeoverTopic, EncodeTakeover({pool, epoch, is_failover}));
  for (const auto& successor : ChooseSuccessors(pool, epoch, cause)) {
    const auto remaining = deadline - options_.clock->Now();
    if (remaining <= duration::zero()) return false;
    const auto response = Attempt([&] {
      return options_.peers->Call(
          successor, request, std::min<duration>(remaining, kTakeoverTimeout));
    });
    const auto new_owner = DecodeOwnerResponse(response);
    if (new_owner) {
      Emit(options_.log, pool_events::kPoolHandedOver,
           {Field("pool", pool), Field("epoch", epoch),
            Field("member", successor), Field("next", new_owner->epoch),
            Field("cause", ToString(cause))});
      options_.directory->RecordOwner(pool,
                                      {new_owner->member_id, new_owner->epoch});
      return true;
    }
    Emit(options_.log, pool_events::kHandOverFailed,
         {Field("pool", pool), Field("member", successor),
          Field("reason", Describe(new_owner.failure))});
    // The successor may have taken the pool over although the request failed.
    if (is_failover) {
      QueryOwner(pool);
    } else {
      options_.directory->RefreshOwner(pool);
    }
    const auto owner = options_.directory->OwnerOf(pool);
    if (owner && owner->epoch != epoch) return true;
  }
  return false;
}

std::map<std::string, std::uint64_t> pool_host::PoolsWithUnreachableStore()
    const {
  // Called with mutex_ held.
  std::map<std::string, std::uint64_t> affected;
  for (const auto& [pool, owner] : owners_) {
    if (owned_epochs_.contains(pool) && owner->IsStoreUnreachable()) {
      affected[pool] = owner->Epoch();
    }
  }
  return affected;
}

void pool_host::RunStoreFailover() {
  const auto is_stopped = [this] { return is_stopped_; };
  while (true) {
    std::map<std::string, std::uint64_t> affected;
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, changed_, time_point::max(), [&] {
        return is_stopped_ || is_store_unreachable_;
      });
      if (is_stopped_) return;
      options_.clock->WaitFor(lock, changed_, kFailoverDelay, is_stopped);
      if (is_stopped_) return;
      affected = PoolsWithUnreachableStore();
      std::erase_if(failover_attempts_, [&](const auto& row) {
        return !affected.contains(row.first);
      });
      is_store_unreachable_ = false;
    }
    for (const auto& [pool, epoch] : affected) {
      HandOverPool(pool, epoch, hand_over_cause::kStoreUnreachable,
                   options_.clock->Now() + duration(kTakeoverTimeout));
    }
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, changed_, kFailoverInterval, is_stopped);
    is_store_unreachable_ =
        is_store_unreachable_ || !PoolsWithUnreachableStore().empty();
  }
}

void pool_host::RunOwnershipChecks() {
  const auto is_stopped = [this] { return is_stopped_; };
  while (true) {
    epochs_by_pool unsettled;
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, changed_, time_point::max(), [&] {
        return is_stopped_ || !unsettled_epochs_.empty();
      });
      if (is_stopped_) return;
      unsettled = unsettled_epochs_;
    }
    for (const auto& [pool, epoch] : unsettled) {
      if (!SettleOwnership(pool, epoch)) continue;
      const std::lock_guard lock(mutex_);
      EraseEpoch(unsettled_epochs_, pool, epoch);
    }
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, changed_, kOwnershipCheckInterval,
                            is_stopped);
  }
}

bool pool_host::SettleOwnership(const std::string& pool, std::uint64_t epoch) {
  options_.directory->RefreshOwner(pool);
  const pool_ownership own{options_.directory->SelfId(), epoch};
  if (options_.directory->OwnerOf(pool) != own) return true;
  // With a new epoch, the workers refuse late orders of the former owner.
  const auto renewed =
      Attempt([&] { return options_.directory->TakeOver(pool, epoch, false); });
  if (!renewed) return false;
  Emit(options_.log, pool_events::kOwnershipRenewed,
       {Field("pool", pool), Field("epoch", epoch), Field("next", *renewed)});
  return true;
}

void pool_host::RunMoves() {
  std::map<std::string, owner_watch> watches;
  while (true) {
    std::map<std::string, std::shared_ptr<pool_owner>, std::less<>> owners;
    bool needs_distribution = false;
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitFor(lock, changed_, overload_detector::kPeriod,
                              [this] { return is_stopped_; });
      if (is_stopped_) return;
      for (const auto& [pool, owner] : owners_) {
        if (owned_epochs_.contains(pool)) owners[pool] = owner;
      }
      needs_distribution = std::exchange(is_division_pending_, false);
    }
    if (needs_distribution) DistributeWorkers();
    std::erase_if(watches,
                  [&](const auto& row) { return !owners.contains(row.first); });
    for (const auto& [pool, owner] : owners) {
      owner_watch& watch = watches[pool];
      if (watch.epoch != owner->Epoch()) {
        const auto now = options_.clock->Now();
        watch = {owner->Epoch(), now, now, {}, {}, false};
      }
      MoveIfNeeded(pool, *owner, watch);
    }
  }
}

void pool_host::MoveIfNeeded(const std::string& pool, pool_owner& owner,
                             owner_watch& watch) {
  const duration measured = owner.TakeMeanDecisionDelay();
  const duration delay =
      options_.decision_delay ? options_.decision_delay() : measured;
  const auto now = options_.clock->Now();
  const bool is_takeover_complete = owner.IsTakeoverComplete();
  if (!is_takeover_complete) watch = {watch.epoch, now, now, {}, {}, false};
  move_inputs inputs = options_.directory->PrepareMove(pool);
  inputs.is_takeover_complete = is_takeover_complete;
  inputs.is_overloaded = watch.detector.AddPeriod(delay);
  if (inputs.is_overloaded && !watch.first_overload_after) {
    watch.first_overload_after = now - watch.taken_over_at;
  }
  inputs.first_overload_after = watch.first_overload_after;
  inputs.tenure = now - watch.since;
  const move_cause move = DecideMove(inputs);
  if (move == move_cause::kNone && inputs.is_overloaded &&
      IsOverloadedByLoad(inputs) &&
      !std::exchange(watch.is_kept_logged, true)) {
    Emit(options_.log, pool_events::kOverloadKept,
         {Field("pool", pool), Field("epoch", watch.epoch),
          Field("decision_delay_ms", ToMs(delay)),
          Field("overloaded_after_ms", ToMs(*watch.first_overload_after)),
          Field("processor_milli", ExpectedProcessorMilli(inputs.owner)),
          Field("overloaded_members", inputs.overloaded_members)});
  }
  // A write to an unreachable store would fail at the successor as well.
  if (move == move_cause::kNone || owner.IsStoreUnreachable()) return;
  const auto cause = move == move_cause::kOverload
                         ? hand_over_cause::kOverload
                         : hand_over_cause::kStrongerMember;
  Emit(options_.log, pool_events::kPoolMove,
       {Field("pool", pool), Field("epoch", watch.epoch),
        Field("cause", ToString(cause)), Field("member", inputs.best->id),
        Field("decision_delay_ms", ToMs(delay)),
        Field("tenure_ms", ToMs(inputs.tenure)),
        Field("processor_milli", ExpectedProcessorMilli(inputs.owner)),
        Field("member_processor_milli", ExpectedProcessorMilli(*inputs.best)),
        Field("overloaded_members", inputs.overloaded_members)});
  // A failed attempt is repeated after the minimum tenure.
  watch.since = now;
  watch.detector = {};
  const bool has_moved =
      HandOverPool(pool, watch.epoch, cause, now + duration(kTakeoverTimeout));
  if (has_moved && move == move_cause::kOverload) {
    options_.directory->MarkOverloaded();
  }
}

void pool_host::SendRelease(const pool_owner& owner) {
  const auto successor = options_.directory->OwnerOf(owner.Pool());
  if (!successor || successor->epoch <= owner.Epoch() ||
      successor->member_id == options_.directory->SelfId()) {
    return;
  }
  options_.peers->Post(
      successor->member_id,
      MakePoolCall(kReleaseTopic, EncodeRelease(owner.ReleasedLeases())));
}

wire_message pool_host::HandleRelease(const wire::pool_callT& call,
                                      time_point received_at) {
  auto release = Attempt([&] { return DecodeRelease(call.body); });
  if (!release) return MakeFailure(release.failure);
  const std::string pool = release->pool;
  {
    const std::lock_guard lock(mutex_);
    // That of an owner before the last one may arrive late.
    if (owned_epochs_.contains(pool) &&
        release->epoch >= releases_[pool].release.epoch) {
      releases_[pool] = {std::move(*release), received_at};
    }
  }
  ApplyRelease(pool);
  return MakePoolReply("");
}

void pool_host::ApplyRelease(const std::string& pool) {
  std::shared_ptr<pool_owner> owner;
  received_release received;
  {
    const std::lock_guard lock(mutex_);
    const auto found = releases_.find(pool);
    const auto taken = successions_.find(pool);
    const auto current = owners_.find(pool);
    if (found == releases_.end() || taken == successions_.end() ||
        current == owners_.end() ||
        found->second.release.epoch != taken->second.earlier_epoch ||
        current->second->Epoch() != taken->second.epoch) {
      return;
    }
    owner = current->second;
    received = std::move(found->second);
    releases_.erase(found);
  }
  owner->OnLeasesReleased(received.release, received.received_at);
}

wire_message pool_host::HandleTakeoverCall(const wire::pool_callT& call) {
  const auto request = Attempt([&] { return DecodeTakeover(call.body); });
  if (!request) return MakeFailure(request.failure);
  const auto epoch = Attempt([&] {
    return options_.directory->TakeOver(request->pool, request->epoch,
                                        request->only_if_quick);
  });
  if (!epoch) return MakeFailure(epoch.failure);
  {
    const std::lock_guard lock(mutex_);
    successions_[request->pool] = {*epoch, request->epoch};
  }
  ApplyRelease(request->pool);
  return MakePoolReply(EncodeOwner({options_.directory->SelfId(), *epoch, ""}));
}

void pool_host::QueryOwner(const std::string& pool) {
  auto members = options_.directory->Members();
  std::erase_if(members, [&](const member& candidate) {
    return candidate.id == options_.directory->SelfId();
  });
  if (members.empty()) return;
  std::size_t first = 0;
  {
    const std::lock_guard lock(mutex_);
    first = next_peer_;
    next_peer_ += kOwnerQueryPeers;
  }
  const wire_message request =
      MakePoolCall(kOwnerTopic, EncodeReference({pool, ""}));
  for (std::size_t i = 0; i < std::min(kOwnerQueryPeers, members.size()); ++i) {
    const std::string& id = members[(first + i) % members.size()].id;
    const auto response = Attempt([&] {
      return options_.peers->Call(id, request, duration(kOwnerQueryTimeout));
    });
    const auto owner = DecodeOwnerResponse(response);
    if (!owner) {
      Emit(options_.log, pool_events::kOwnerQueryFailed,
           {Field("pool", pool), Field("member", id),
            Field("reason", Describe(owner.failure))});
    }
    if (!owner || owner->member_id.empty()) continue;
    options_.directory->RecordOwner(pool, {owner->member_id, owner->epoch},
                                    owner->peer_address);
  }
}

wire_message pool_host::HandleOwnerCall(const wire::pool_callT& call) {
  const auto request = Attempt([&] { return DecodeReference(call.body); });
  if (!request) return MakeFailure(request.failure);
  known_owner known;
  if (const auto owner = options_.directory->OwnerOf(request->pool)) {
    known = {owner->member_id, owner->epoch,
             options_.directory->AddressOf(owner->member_id)};
  }
  return MakePoolReply(EncodeOwner(known));
}

}  // namespace apricotwheel

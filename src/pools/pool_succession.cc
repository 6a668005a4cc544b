// Changes of owners that the daemons agree on among themselves: planned stops,
// and owners that the store does not answer while it answers others.
#include <algorithm>
#include <utility>

#include "pools/pool_events.h"
#include "pools/pool_host.h"

namespace apricotwheel {

namespace {

// A call to take a pool holds one write to the store, which is given up after
// less than a second.
constexpr auto kTakeTimeout = milliseconds(1100);
// Of the time for giving a pool up, what its last commit may use.
constexpr auto kQuiesceTime = milliseconds(600);
// The journal doubts the store after 0.4 s; a store that is only late answers
// within this time more.
constexpr auto kRescueDelay = milliseconds(200);
// While the store is lost for all daemons, each owner makes this many asks of
// others in this time, and each of them one read.
constexpr auto kRescueInterval = milliseconds(500);
constexpr std::size_t kRescueAsks = 2;
// Two daemons are asked who owns a pool, since one may be cut off as well.
constexpr std::size_t kOwnerAsks = 2;
constexpr auto kOwnerTimeout = milliseconds(200);

wire_message MakePoolCall(std::string_view topic, std::string body) {
  wire::pool_callT call;
  call.topic = topic;
  call.body = std::move(body);
  return MakeMessage(std::move(call));
}

// The owner that another daemon's answer names.
outcome<known_owner> OwnerIn(const outcome<wire_message>& answer) {
  if (!answer) return {std::nullopt, answer.failure};
  const wire::pool_replyT* body = answer->body.Aspool_reply();
  return Attempt([&] { return DecodeOwner(body ? body->body : ""); });
}

}  // namespace

void pool_host::Leave(time_point deadline) {
  options_.directory->MarkLeaving();
  std::map<std::string, std::uint64_t> owned;
  {
    const std::lock_guard lock(mutex_);
    owned = wanted_;
  }
  thread_group calls;
  for (const auto& [pool, epoch] : owned) {
    const auto hand_over = [this, &pool = pool, epoch = epoch, deadline] {
      HandOver(pool, epoch, take_mode::kLeaving, deadline);
    };
    // Without a thread, the pools are handed over one after the other.
    if (!Attempt([&] { return calls.Spawn("hand-over", hand_over); })) {
      hand_over();
    }
  }
  calls.JoinAll();
  std::map<std::string, std::shared_ptr<pool_owner>, std::less<>> left;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [pool, owner] : owners_) {
      if (wanted_.contains(pool)) left[pool] = owner;
    }
  }
  const auto now = options_.clock->Now();
  for (const auto& [pool, owner] : left) {
    owner->Quiesce(now + duration(kQuiesceTime));
  }
  {
    const std::lock_guard lock(mutex_);
    wanted_.clear();
    needs_work_ = true;
  }
  changed_.notify_all();
  for (const auto& [pool, owner] : left) owner->Stop();
  options_.directory->GiveUpPools(now + duration(kGiveUpTime));
}

bool pool_host::HandOver(const std::string& pool, std::uint64_t epoch,
                         take_mode mode, time_point deadline) {
  const bool is_rescue = mode == take_mode::kStoreLost;
  const wire_message request =
      MakePoolCall(kTakeTopic, EncodeTake({pool, epoch, is_rescue}));
  auto successors = options_.directory->Successors(pool);
  if (is_rescue && !successors.empty()) {
    const std::lock_guard lock(mutex_);
    const auto first = next_asked_ % successors.size();
    next_asked_ += kRescueAsks;
    std::rotate(successors.begin(),
                successors.begin() + static_cast<std::ptrdiff_t>(first),
                successors.end());
    successors.resize(std::min(successors.size(), kRescueAsks));
  }
  for (const auto& successor : successors) {
    const auto left = deadline - options_.clock->Now();
    if (left <= duration::zero()) return false;
    const auto answer = Attempt([&] {
      return options_.peers->Call(successor, request,
                                  std::min<duration>(left, kTakeTimeout));
    });
    const auto taken = OwnerIn(answer);
    if (taken) {
      Emit(options_.log, pool_events::kHandedOver,
           {Field("pool", pool), Field("epoch", epoch),
            Field("member", successor), Field("next", taken->epoch),
            Field("cause", is_rescue ? "the store does not answer" : "stop")});
      options_.directory->Learn(pool, {taken->member_id, taken->epoch});
      return true;
    }
    Emit(options_.log, pool_events::kHandOverFailed,
         {Field("pool", pool), Field("member", successor),
          Field("reason", Describe(taken.failure))});
    // The successor may have taken it all the same.
    if (is_rescue) {
      AskForOwner(pool);
    } else {
      options_.directory->Refresh(pool);
    }
    const auto owner = options_.directory->OwnerOf(pool);
    if (owner && owner->epoch != epoch) return true;
  }
  return false;
}

std::map<std::string, std::uint64_t> pool_host::PoolsWithoutStore() const {
  // Called with mutex_ held.
  std::map<std::string, std::uint64_t> lost;
  for (const auto& [pool, owner] : owners_) {
    if (wanted_.contains(pool) && owner->IsStoreLost()) {
      lost[pool] = owner->Epoch();
    }
  }
  return lost;
}

void pool_host::RunRescue() {
  const auto is_stopped = [this] { return is_stopped_; };
  while (true) {
    std::map<std::string, std::uint64_t> lost;
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, changed_, time_point::max(),
                                [&] { return is_stopped_ || is_store_lost_; });
      if (is_stopped_) return;
      options_.clock->WaitFor(lock, changed_, kRescueDelay, is_stopped);
      if (is_stopped_) return;
      lost = PoolsWithoutStore();
      is_store_lost_ = false;
    }
    for (const auto& [pool, epoch] : lost) {
      HandOver(pool, epoch, take_mode::kStoreLost,
               options_.clock->Now() + duration(kTakeTimeout));
    }
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, changed_, kRescueInterval, is_stopped);
    is_store_lost_ = is_store_lost_ || !PoolsWithoutStore().empty();
  }
}

wire_message pool_host::AnswerTake(const wire::pool_callT& call) {
  const auto asked = Attempt([&] { return DecodeTake(call.body); });
  if (!asked) return MakeFailure(asked.failure);
  const auto epoch = Attempt([&] {
    return options_.directory->Take(asked->pool, asked->epoch,
                                    asked->only_if_quick);
  });
  if (!epoch) return MakeFailure(epoch.failure);
  return MakePoolReply(EncodeOwner({options_.directory->SelfId(), *epoch, ""}));
}

void pool_host::AskForOwner(const std::string& pool) {
  auto members = options_.directory->Members();
  std::erase_if(members, [&](const member& one) {
    return one.id == options_.directory->SelfId();
  });
  if (members.empty()) return;
  std::size_t first = 0;
  {
    const std::lock_guard lock(mutex_);
    first = next_asked_;
    next_asked_ += kOwnerAsks;
  }
  const wire_message request =
      MakePoolCall(kOwnerTopic, EncodeReference({pool, ""}));
  for (std::size_t at = 0; at < std::min(kOwnerAsks, members.size()); ++at) {
    const std::string& id = members[(first + at) % members.size()].id;
    const auto answer = Attempt([&] {
      return options_.peers->Call(id, request, duration(kOwnerTimeout));
    });
    const auto owner = OwnerIn(answer);
    if (!owner) {
      Emit(options_.log, pool_events::kOwnerUnanswered,
           {Field("pool", pool), Field("member", id),
            Field("reason", Describe(owner.failure))});
    }
    if (!owner || owner->member_id.empty()) continue;
    options_.directory->Learn(pool, {owner->member_id, owner->epoch},
                              owner->peer_address);
  }
}

wire_message pool_host::AnswerOwner(const wire::pool_callT& call) {
  const auto asked = Attempt([&] { return DecodeReference(call.body); });
  if (!asked) return MakeFailure(asked.failure);
  known_owner known;
  if (const auto owner = options_.directory->OwnerOf(asked->pool)) {
    known = {owner->member_id, owner->epoch,
             options_.directory->AddressOf(owner->member_id)};
  }
  return MakePoolReply(EncodeOwner(known));
}

}  // namespace apricotwheel

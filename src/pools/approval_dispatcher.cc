#include "pools/approval_dispatcher.h"

#include <algorithm>
#include <utility>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Limit of threads, and so of concurrent calls, in a very large cell.
constexpr std::size_t kMaxConcurrentCalls = 48;
constexpr int kMaxAttempts = 3;
// The machine of a member may serve a call of another owner first, of the same
// length as a rule.
constexpr int kCallsPerTimeout = 2;
// That call may also be a long one: it takes more than half a second. The rest
// is for the way through the member.
constexpr auto kCallMargin = milliseconds(1000);
// Calls that were late are followed by later ones while load rises.
constexpr int kLatenessFactor = 2;
// A member whose call failed gets no other one for this time.
constexpr auto kFailedMemberBackoff = milliseconds(1500);
// The member list does not notify the dispatcher of new members, so it is read
// again at this interval while all known members are busy.
constexpr auto kMemberListInterval = milliseconds(200);
// Calls that take the advisor at most this long are short.
constexpr auto kMaxShortCall = milliseconds(100);
// One in this many members is reserved for short calls.
constexpr std::size_t kMembersPerReserved = 4;

}  // namespace

std::size_t MembersForShortCalls(std::size_t members) {
  return members / kMembersPerReserved;
}

duration ApprovalTimeout(duration expected, duration lateness, int timeouts) {
  duration timeout =
      kCallsPerTimeout * expected +
      std::max<duration>(kCallMargin, kLatenessFactor * lateness);
  for (int i = 0; i < timeouts && timeout < kMaxApprovalTimeout; ++i) {
    timeout *= 2;
  }
  return std::min<duration>(timeout, kMaxApprovalTimeout);
}

std::vector<std::string> OrderMembers(std::vector<std::string> members,
                                      std::size_t pool_index,
                                      std::size_t pools) {
  const std::size_t reserved = MembersForShortCalls(members.size());
  const std::size_t unreserved = members.size() - reserved;
  if (unreserved == 0 || pools == 0) return members;
  const auto begin = members.begin() + static_cast<std::ptrdiff_t>(reserved);
  const std::size_t offset = pool_index * unreserved / pools % unreserved;
  std::rotate(begin, begin + static_cast<std::ptrdiff_t>(offset),
              members.end());
  return members;
}

approval_dispatcher::approval_dispatcher(clock_ptr clock, log_sink log,
                                         member_source members,
                                         approval_call send,
                                         approval_callback on_result)
    : clock_(std::move(clock)),
      log_(std::move(log)),
      members_(std::move(members)),
      send_(std::move(send)),
      on_result_(std::move(on_result)) {}

result<void> approval_dispatcher::Start() {
  const std::lock_guard lock(mutex_);
  return SpawnThread();
}

result<void> approval_dispatcher::SpawnThread() {
  BOOST_LEAF_CHECK(threads_.Spawn("approvals", [this] { Run(); }));
  ++thread_count_;
  return {};
}

void approval_dispatcher::SpawnThreadIfNeeded() {
  if (is_stopped_ || thread_count_ == 0) return;
  if (thread_count_ - running_calls_ >= pending_.size()) return;
  if (thread_count_ >= std::min(kMaxConcurrentCalls, members_().size())) return;
  // The threads that exist go on if the system cannot start another one.
  static_cast<void>(Attempt([&] { return SpawnThread(); }));
}

void approval_dispatcher::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  threads_.JoinAll();
}

void approval_dispatcher::Enqueue(approval_request request) {
  {
    const std::lock_guard lock(mutex_);
    const auto now = clock_->Now();
    const time_point waits_since =
        request.wanted_since == time_point{} ? now : request.wanted_since;
    const std::uint64_t sequence = ++last_sequence_;
    pending_[sequence] = {std::move(request), sequence, 0, {}, 0, waits_since};
    SpawnThreadIfNeeded();
  }
  changed_.notify_one();
}

approval_dispatcher::wait_statistics approval_dispatcher::TakeWaitStatistics() {
  const std::lock_guard lock(mutex_);
  return {pending_.size(), std::exchange(longest_wait_, {})};
}

bool approval_dispatcher::IsFree(const std::string& member,
                                 time_point now) const {
  const auto backoff = backoff_until_.find(member);
  if (backoff != backoff_until_.end() && backoff->second > now) return false;
  return !busy_members_.contains(member);
}

approval_capacity approval_dispatcher::Capacity() {
  const std::lock_guard lock(mutex_);
  const auto now = clock_->Now();
  const auto members = members_();
  const std::size_t reserved = MembersForShortCalls(members.size());
  // One more call than there are free members lets the next one start without a
  // pass of the scheduler in between; of short calls, one for each reserved
  // member.
  approval_capacity capacity;
  capacity.calls = reserved + 1;
  capacity.long_calls = 1;
  capacity.max_short_call = kMaxShortCall;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (!IsFree(members[i], now)) continue;
    ++capacity.calls;
    if (i >= reserved) ++capacity.long_calls;
  }
  std::size_t long_pending = 0;
  for (const auto& [sequence, pending] : pending_) {
    if (pending.request.expected_duration > kMaxShortCall) ++long_pending;
  }
  capacity.calls -= std::min(capacity.calls, pending_.size());
  capacity.long_calls -= std::min(capacity.long_calls, long_pending);
  return capacity;
}

approval_dispatcher::free_members approval_dispatcher::FindFreeMembers(
    const std::set<std::string>& tried) {
  const auto now = clock_->Now();
  const auto members = members_();
  const std::size_t reserved = MembersForShortCalls(members.size());
  free_members untried;
  free_members any;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::string& id = members[i];
    if (!IsFree(id, now)) continue;
    const bool is_for_long = i >= reserved;
    if (any.for_short.empty()) any.for_short = id;
    if (is_for_long && any.for_long.empty()) any.for_long = id;
    if (tried.contains(id)) continue;
    if (untried.for_short.empty()) untried.for_short = id;
    if (!is_for_long) continue;
    untried.for_long = id;
    break;
  }
  return {untried.for_short.empty() ? any.for_short : untried.for_short,
          untried.for_long.empty() ? any.for_long : untried.for_long};
}

void approval_dispatcher::RecordLateness(duration expected, duration took) {
  lateness_ = std::max(took - expected, lateness_ / 2);
}

void approval_dispatcher::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopped_) {
    if (pending_.empty()) {
      clock_->WaitUntil(lock, changed_, time_point::max(),
                        [&] { return is_stopped_ || !pending_.empty(); });
      continue;
    }
    const free_members free = FindFreeMembers({});
    auto it = pending_.begin();
    std::string member;
    for (; it != pending_.end(); ++it) {
      const bool is_short =
          it->second.request.expected_duration <= kMaxShortCall;
      const std::set<std::string>& tried = it->second.tried;
      const free_members choice = tried.empty() ? free : FindFreeMembers(tried);
      member = is_short ? choice.for_short : choice.for_long;
      if (!member.empty()) break;
    }
    if (member.empty()) {
      // A member that becomes free notifies; a new member does not.
      const std::size_t busy_before = busy_members_.size();
      const std::uint64_t last_sequence = last_sequence_;
      clock_->WaitFor(lock, changed_, kMemberListInterval, [&] {
        return is_stopped_ || busy_members_.size() != busy_before ||
               last_sequence_ != last_sequence;
      });
      continue;
    }
    pending_request next = std::move(it->second);
    pending_.erase(it);
    busy_members_.insert(member);
    ++running_calls_;
    const duration waited = clock_->Now() - next.waits_since;
    longest_wait_ = std::max(longest_wait_, waited);
    const duration expected = next.request.expected_duration;
    const duration timeout =
        ApprovalTimeout(expected, lateness_, next.timeouts);
    lock.unlock();
    if (on_wait_ && next.attempts == 0) on_wait_(waited);
    const auto sent_at = clock_->Now();
    const auto response =
        Attempt([&] { return send_(member, next.request, timeout); });
    const duration took = clock_->Now() - sent_at;
    lock.lock();
    busy_members_.erase(member);
    changed_.notify_one();
    if (response) {
      RecordLateness(expected, took);
    } else {
      Emit(log_, pool_events::kApprovalFailed,
           {Field("job", next.request.job_id), Field("member", member),
            Field("reason", Describe(response.failure))});
      // A refusal comes at once and says nothing about how long a call takes;
      // a member that has waited for the advisor answers before its time ends.
      if (took >= timeout / 2) ++next.timeouts;
      next.tried.insert(member);
      backoff_until_[member] = clock_->Now() + kFailedMemberBackoff;
      if (++next.attempts < kMaxAttempts && !is_stopped_) {
        const std::uint64_t sequence = next.sequence;
        pending_[sequence] = std::move(next);
        --running_calls_;
        continue;
      }
    }
    lock.unlock();
    on_result_(next.request, response);
    lock.lock();
    --running_calls_;
  }
}

}  // namespace apricotwheel

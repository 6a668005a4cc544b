#include "pools/approval_desk.h"

#include <algorithm>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Calls under way at once; more members than this are used in turn.
constexpr int kThreads = 10;
constexpr int kMaxTries = 3;
// A member whose call failed carries none for this time.
constexpr auto kAvoidMember = milliseconds(1500);
constexpr auto kMemberCheck = milliseconds(200);
// Calls up to this cost are short.
constexpr auto kShortCall = milliseconds(100);
// One member in so many carries short calls only.
constexpr std::size_t kMembersPerShort = 4;

}  // namespace

std::size_t MembersForShortCalls(std::size_t members) {
  return members / kMembersPerShort;
}

std::vector<std::string> OrderMembers(std::vector<std::string> members,
                                      std::size_t pool_index,
                                      std::size_t pools) {
  const std::size_t kept = MembersForShortCalls(members.size());
  const std::size_t others = members.size() - kept;
  if (others == 0 || pools == 0) return members;
  const auto begin = members.begin() + static_cast<std::ptrdiff_t>(kept);
  const std::size_t offset = pool_index * others / pools % others;
  std::rotate(begin, begin + static_cast<std::ptrdiff_t>(offset),
              members.end());
  return members;
}

approval_desk::approval_desk(clock_ptr clock, log_sink log,
                             member_source members, asker ask,
                             answer_listener answered)
    : clock_(std::move(clock)),
      log_(std::move(log)),
      members_(std::move(members)),
      ask_(std::move(ask)),
      answered_(std::move(answered)) {}

result<void> approval_desk::Start() {
  for (int at = 0; at < kThreads; ++at) {
    BOOST_LEAF_CHECK(threads_.Spawn("approvals", [this] { Run(); }));
  }
  return {};
}

void approval_desk::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  threads_.JoinAll();
}

void approval_desk::Ask(approval_request request) {
  {
    const std::lock_guard lock(mutex_);
    const std::pair place(request.priority, ++last_number_);
    waiting_[place] = {std::move(request), place.second, 0};
  }
  changed_.notify_one();
}

approval_desk::free_members approval_desk::FreeMembers() {
  const auto now = clock_->Now();
  const auto members = members_();
  const std::size_t kept = MembersForShortCalls(members.size());
  free_members free;
  for (std::size_t at = 0; at < members.size(); ++at) {
    const std::string& id = members[at];
    const auto avoided = avoid_until_.find(id);
    if (avoided != avoid_until_.end() && avoided->second > now) continue;
    if (busy_.contains(id)) continue;
    if (free.for_short.empty()) free.for_short = id;
    if (at < kept) continue;
    free.for_long = id;
    break;
  }
  return free;
}

void approval_desk::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopped_) {
    if (waiting_.empty()) {
      clock_->WaitUntil(lock, changed_, time_point::max(),
                        [&] { return is_stopped_ || !waiting_.empty(); });
      continue;
    }
    const free_members free = FreeMembers();
    auto first = waiting_.begin();
    std::string member;
    for (; first != waiting_.end(); ++first) {
      const bool is_short =
          first->second.request.expected_duration <= kShortCall;
      member = is_short ? free.for_short : free.for_long;
      if (!member.empty()) break;
    }
    if (member.empty()) {
      // A member that becomes free notifies; one that joins does not.
      const std::size_t busy_before = busy_.size();
      const std::uint64_t last_number = last_number_;
      clock_->WaitFor(lock, changed_, kMemberCheck, [&] {
        return is_stopped_ || busy_.size() != busy_before ||
               last_number_ != last_number;
      });
      continue;
    }
    waiting_request next = std::move(first->second);
    waiting_.erase(first);
    busy_.insert(member);
    lock.unlock();
    const auto answer = Attempt([&] { return ask_(member, next.request); });
    lock.lock();
    busy_.erase(member);
    changed_.notify_one();
    if (!answer) {
      Emit(log_, pool_events::kApprovalFailed,
           {Field("job", next.request.job_id), Field("member", member),
            Field("reason", Describe(answer.failure))});
      avoid_until_[member] = clock_->Now() + kAvoidMember;
      if (++next.tries < kMaxTries && !is_stopped_) {
        const std::pair place(next.request.priority, next.number);
        waiting_[place] = std::move(next);
        continue;
      }
    }
    lock.unlock();
    answered_(next.request, answer);
    lock.lock();
  }
}

}  // namespace apricotwheel

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

}  // namespace

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

std::string approval_desk::FreeMember() {
  const auto now = clock_->Now();
  for (const std::string& id : members_()) {
    const auto avoided = avoid_until_.find(id);
    if (avoided != avoid_until_.end() && avoided->second > now) continue;
    if (!busy_.contains(id)) return id;
  }
  return {};
}

void approval_desk::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopped_) {
    if (waiting_.empty()) {
      clock_->WaitUntil(lock, changed_, time_point::max(),
                        [&] { return is_stopped_ || !waiting_.empty(); });
      continue;
    }
    const std::string member = FreeMember();
    if (member.empty()) {
      // A member that becomes free notifies; one that joins does not.
      const std::size_t busy_before = busy_.size();
      clock_->WaitFor(lock, changed_, kMemberCheck, [&] {
        return is_stopped_ || busy_.size() != busy_before;
      });
      continue;
    }
    waiting_request next = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
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

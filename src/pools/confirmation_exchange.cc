#include "pools/confirmation_exchange.h"

#include <algorithm>

namespace apricotwheel {

namespace {

constexpr auto kAnswerTimeout = milliseconds(300);
constexpr auto kRepeatInterval = milliseconds(200);
// A member that joined this long before is known to all owners that had the
// store until then.
constexpr auto kMemberKnownAfter = milliseconds(5000);
// One member alone cannot tell an outage of the store from its own cut.
constexpr std::size_t kMinMajority = 2;

std::size_t MajorityOf(std::size_t members) {
  return std::max(members / 2 + 1, kMinMajority);
}

}  // namespace

confirmation_exchange::confirmation_exchange(
    confirmation_exchange_options options)
    : options_(std::move(options)) {}

result<void> confirmation_exchange::Start() {
  return threads_.Spawn("pool-announce", [this] { Run(); });
}

void confirmation_exchange::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  confirmed_.notify_all();
  changed_.notify_all();
  threads_.JoinAll();
}

void confirmation_exchange::Post(const std::string& member,
                                 std::string_view topic,
                                 const ownership_notice& notice) {
  options_.peers->Post(member, MakePoolCall(topic, EncodeNotice(notice)));
}

std::size_t confirmation_exchange::CountMembers() const {
  return options_.directory->RecentMembers(options_.member_window).size() + 1;
}

bool confirmation_exchange::AskMembers(const std::string& pool,
                                       std::uint64_t epoch) {
  // This member counts for itself, so it answers its own question like the
  // others: a new owner no longer counts it once it has acknowledged that one
  // or is leaving.
  const pool_directory& directory = *options_.directory;
  if (!directory.IsCurrentOwner(pool, {directory.SelfId(), epoch})) {
    return false;
  }
  const auto members =
      options_.directory->RecentMembers(options_.member_window);
  const pool_epoch key{pool, epoch};
  ownership_notice notice{pool, epoch, 0, 0};
  {
    const std::lock_guard lock(mutex_);
    notice.question = ++last_question_;
    questions_[key] = {notice.question, {}, members.size() + 1};
  }
  for (const recent_member& member : members) {
    Post(member.id, kConfirmTopic, notice);
  }
  std::unique_lock lock(mutex_);
  const auto is_confirmed = [&] {
    const auto found = questions_.find(key);
    return found != questions_.end() &&
           found->second.confirmed_by.size() + 1 >=
               MajorityOf(found->second.member_count);
  };
  options_.clock->WaitFor(lock, confirmed_, kAnswerTimeout,
                          [&] { return is_stopped_ || is_confirmed(); });
  return is_confirmed();
}

void confirmation_exchange::HandleQuestion(const std::string& sender,
                                           const ownership_notice& notice) {
  if (!options_.directory->IsCurrentOwner(notice.pool,
                                          {sender, notice.epoch})) {
    return;
  }
  ownership_notice answer = notice;
  answer.members = CountMembers();
  Post(sender, kConfirmedTopic, answer);
}

void confirmation_exchange::HandleConfirmation(const std::string& sender,
                                               const ownership_notice& notice) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = questions_.find({notice.pool, notice.epoch});
    if (found == questions_.end() || found->second.number != notice.question) {
      return;
    }
    question& asked = found->second;
    asked.confirmed_by.insert(sender);
    // The list of this member may be out of date.
    asked.member_count =
        std::max<std::size_t>(asked.member_count, notice.members);
  }
  confirmed_.notify_all();
}

void confirmation_exchange::Announce(const std::string& pool,
                                     std::uint64_t epoch,
                                     std::function<void()> on_known) {
  {
    const std::lock_guard lock(mutex_);
    const auto now = options_.clock->Now();
    announcements_[{pool, epoch}] = {now, now, {}, std::move(on_known)};
    ++changes_;
  }
  changed_.notify_one();
}

void confirmation_exchange::Withdraw(const std::string& pool,
                                     std::uint64_t epoch) {
  const std::lock_guard callback_lock(callback_mutex_);
  const std::lock_guard lock(mutex_);
  announcements_.erase({pool, epoch});
  questions_.erase({pool, epoch});
}

void confirmation_exchange::HandleAnnouncement(const std::string& sender,
                                               const ownership_notice& notice) {
  // Also ends an earlier ownership of this member.
  options_.directory->RecordOwner(notice.pool, {sender, notice.epoch});
  const auto owner = options_.directory->OwnerOf(notice.pool);
  if (!owner || owner->epoch < notice.epoch) return;
  Post(sender, kClaimKnownTopic, notice);
}

void confirmation_exchange::HandleAcknowledgement(
    const std::string& sender, const ownership_notice& notice) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = announcements_.find({notice.pool, notice.epoch});
    if (found == announcements_.end()) return;
    found->second.known_by.insert(sender);
    ++changes_;
  }
  changed_.notify_one();
}

std::vector<std::string> confirmation_exchange::FindUnaware(
    const announcement& pending) const {
  std::vector<std::string> unaware;
  std::size_t known_to_earlier_owners = 0;
  for (const recent_member& member :
       options_.directory->RecentMembers(options_.member_window)) {
    if (!member.may_confirm) continue;
    if (member.first_seen_at + duration(kMemberKnownAfter) <=
        pending.announced_at) {
      ++known_to_earlier_owners;
    }
    if (!pending.known_by.contains(member.id)) unaware.push_back(member.id);
  }
  // An earlier owner gets at most their confirmations.
  if (unaware.size() < MajorityOf(known_to_earlier_owners)) return {};
  return unaware;
}

void confirmation_exchange::Advance(const pool_epoch& key,
                                    std::unique_lock<std::mutex>& lock) {
  const auto found = announcements_.find(key);
  if (found == announcements_.end()) return;
  const auto now = options_.clock->Now();
  const bool is_due = found->second.repeat_at <= now;
  if (is_due) found->second.repeat_at = now + duration(kRepeatInterval);
  const announcement pending = found->second;
  lock.unlock();
  const auto unaware = FindUnaware(pending);
  if (unaware.empty() &&
      options_.directory->HasWatched(key.first, key.second)) {
    const std::lock_guard callback_lock(callback_mutex_);
    lock.lock();
    const bool is_withdrawn = announcements_.erase(key) == 0;
    lock.unlock();
    if (!is_withdrawn) pending.on_known();
  } else if (is_due) {
    for (const std::string& member : unaware) {
      Post(member, kClaimTopic, {key.first, key.second, 0, 0});
    }
  }
  lock.lock();
}

void confirmation_exchange::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopped_) {
    const auto seen = changes_;
    std::vector<pool_epoch> keys;
    for (const auto& [key, pending] : announcements_) keys.push_back(key);
    for (const pool_epoch& key : keys) Advance(key, lock);
    time_point due = time_point::max();
    for (const auto& [key, pending] : announcements_) {
      due = std::min(due, pending.repeat_at);
    }
    options_.clock->WaitUntil(lock, changed_, due,
                              [&] { return is_stopped_ || changes_ != seen; });
  }
}

}  // namespace apricotwheel

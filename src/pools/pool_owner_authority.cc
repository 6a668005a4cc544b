// Keeps the authority of the owner of a pool, and ends that of earlier owners.
#include <algorithm>

#include "pools/pool_events.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

namespace {

constexpr auto kConfirmationTimeout = milliseconds(1000);
constexpr auto kConfirmationRetryInterval = milliseconds(200);

}  // namespace

bool pool_owner::ConfirmOwnership() {
  const auto owner = Attempt([&] {
    return options_.kv->Get(options_.owner_key, duration(kConfirmationTimeout));
  });
  if (!owner) return false;
  if (*owner.value && (*owner.value)->revision == options_.epoch) return true;
  options_.on_superseded();
  return false;
}

void pool_owner::OnOwnershipConfirmed(time_point sent_at) {
  authority_.Confirm(sent_at);
  const std::lock_guard lock(mutex_);
  if (is_waiting_for_authority_) owner_changed_.notify_one();
}

bool pool_owner::WaitForAuthority(std::unique_lock<std::mutex>& lock) {
  if (is_stopped_ || authority_.AllowsOrders()) return !is_stopped_;
  Emit(options_.log, pool_events::kAuthorityEnded,
       {Field("pool", options_.pool), Field("epoch", options_.epoch),
        Field("confirmed_ms",
              ToMs(options_.clock->Now() - authority_.ConfirmedAt()))});
  is_waiting_for_authority_ = true;
  options_.clock->WaitUntil(lock, owner_changed_, time_point::max(), [&] {
    return is_stopped_ || authority_.AllowsOrders();
  });
  is_waiting_for_authority_ = false;
  if (is_stopped_) return false;
  Emit(options_.log, pool_events::kAuthorityRegained,
       {Field("pool", options_.pool), Field("epoch", options_.epoch)});
  return true;
}

void pool_owner::EndEarlierLeases() {
  const std::lock_guard lock(mutex_);
  scheduler_->SetEarlierLeasesExpiry(options_.clock->Now());
  workers_changed_ = true;
  RequestDecision();
}

void pool_owner::OnMembersInformed() {
  const std::lock_guard lock(mutex_);
  authority_.EndEarlierExtensions();
  authority_changed_.notify_one();
}

void pool_owner::KeepLeasesOf(const std::string& worker,
                              agent_session& session) {
  const time_point expired_by =
      std::max(session.LeasesExpireBy(), session.LateStartsExpireBy());
  const late_calls late = session.LateCalls();
  const std::lock_guard lock(mutex_);
  const auto now = options_.clock->Now();
  std::erase_if(late_calls_, [&](const auto& row) {
    return std::max(row.second.starts, row.second.renewals) <= now;
  });
  late_calls_[worker] = late;
  std::erase_if(leases_of_stopped_sessions_,
                [&](const auto& row) { return row.second <= now; });
  time_point& kept = leases_of_stopped_sessions_[worker];
  kept = std::max(kept, expired_by);
}

late_calls pool_owner::LateCallsOfStoppedSessions(
    const std::string& worker) const {
  const std::lock_guard lock(mutex_);
  const auto found = late_calls_.find(worker);
  return found == late_calls_.end() ? late_calls{} : found->second;
}

lease_release pool_owner::ReleasedLeases() const {
  const std::lock_guard lock(mutex_);
  const auto now = options_.clock->Now();
  const auto remaining_ms = [&](time_point end) {
    return ToMs(std::max<duration>(end - now + milliseconds(1), {}));
  };
  lease_release release{options_.pool, options_.epoch, {}, 0};
  const auto name = [&](const std::string& worker, time_point end) {
    std::int64_t& named = release.remaining_ms[worker];
    named = std::max(named, remaining_ms(end));
  };
  for (const auto& [worker, end] : leases_of_stopped_sessions_) {
    name(worker, end);
  }
  if (released_leases_) {
    for (const auto& [worker, end] : released_leases_->ends) {
      if (end > now) name(worker, end);
    }
  }
  if (!is_loaded_ || !scheduler_->IsTakeoverComplete(now)) {
    release.others_remaining_ms =
        remaining_ms(released_leases_ ? released_leases_->others_end
                                      : authority_.EarlierLeasesEnd());
  }
  return release;
}

void pool_owner::OnLeasesReleased(const lease_release& release,
                                  time_point received_at) {
  const auto end = [&](std::int64_t remaining_ms) {
    return received_at + WithDrift(milliseconds(remaining_ms));
  };
  released_leases released;
  released.others_end = end(release.others_remaining_ms);
  std::int64_t longest_ms = 0;
  for (const auto& [worker, remaining_ms] : release.remaining_ms) {
    released.ends[worker] = end(remaining_ms);
    longest_ms = std::max(longest_ms, remaining_ms);
  }
  Emit(options_.log, pool_events::kLeasesReleased,
       {Field("pool", options_.pool), Field("epoch", options_.epoch),
        Field("earlier", release.epoch),
        Field("workers", release.remaining_ms.size()),
        Field("longest_ms", longest_ms),
        Field("others_ms", release.others_remaining_ms)});
  const std::lock_guard lock(mutex_);
  released_leases_ = std::move(released);
}

std::optional<time_point> pool_owner::ReleasedLeasesEnd(
    const std::string& worker) const {
  const std::lock_guard lock(mutex_);
  if (!released_leases_) return std::nullopt;
  const auto named = released_leases_->ends.find(worker);
  const time_point earlier = std::min(authority_.EarlierLeasesEnd(),
                                      named == released_leases_->ends.end()
                                          ? released_leases_->others_end
                                          : named->second);
  const auto own = leases_of_stopped_sessions_.find(worker);
  return own == leases_of_stopped_sessions_.end()
             ? earlier
             : std::max(earlier, own->second);
}

void pool_owner::ExtendAuthority() {
  const auto asked_at = options_.clock->Now();
  if (!options_.ask_members()) return;
  authority_.Extend(asked_at);
  const std::lock_guard lock(mutex_);
  if (is_waiting_for_authority_) owner_changed_.notify_one();
}

void pool_owner::RunAuthority() {
  const auto is_stopped = [this] { return is_stopped_; };
  {
    std::unique_lock lock(mutex_);
    options_.clock->WaitUntil(lock, authority_changed_, time_point::max(),
                              [&] { return is_stopped_ || is_loaded_; });
  }
  bool has_earlier_leases = true;
  time_point next_question_at{};
  const auto earlier_leases_end = [&] {
    return has_earlier_leases ? authority_.EarlierLeasesEnd()
                              : time_point::max();
  };
  while (true) {
    const time_point earlier_end = earlier_leases_end();
    const time_point due = std::min<time_point>(
        authority_.ConfirmedAt() + options_.confirmation_interval, earlier_end);
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, authority_changed_, due, [&] {
        return is_stopped_ || earlier_leases_end() != earlier_end;
      });
      if (is_stopped_) return;
    }
    const auto now = options_.clock->Now();
    if (now < due) continue;
    const bool ends_earlier = now >= earlier_end;
    // Commits confirm the ownership as well.
    const time_point since =
        ends_earlier ? earlier_end : now - options_.confirmation_interval / 2;
    if (authority_.ConfirmSince(since)) {
      OnOwnershipConfirmed(authority_.ConfirmedAt());
      if (ends_earlier) {
        has_earlier_leases = false;
        EndEarlierLeases();
      }
      continue;
    }
    if (now >= next_question_at) {
      next_question_at = now + options_.confirmation_interval;
      ExtendAuthority();
    }
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, authority_changed_,
                            kConfirmationRetryInterval, is_stopped);
  }
}

}  // namespace apricotwheel

#include "pools/owner_authority.h"

#include <algorithm>

namespace apricotwheel {

namespace {

// For rounding to the worker's milliseconds.
constexpr auto kExpiryMargin = milliseconds(200);
// For the drift of the clocks of two daemons: 1% of the time waited.
constexpr int kDriftDivisor = 100;
// Orders are given while this much authority is left, or a quarter of a shorter
// span. A run that starts later would lapse unless the store responds again.
constexpr auto kMinAuthority = milliseconds(1000);
constexpr int kMinAuthorityDivisor = 4;

duration WithMargin(duration wait) {
  return WithDrift(wait) + duration(kExpiryMargin);
}

}  // namespace

duration WithDrift(duration wait) { return wait + wait / kDriftDivisor; }

duration AuthoritySpan(duration task_lease, duration confirmation_interval) {
  return task_lease + confirmation_interval;
}

void owner_authority::Confirm(time_point sent_at) {
  const std::lock_guard lock(mutex_);
  confirmed_at_ = std::max(confirmed_at_, sent_at);
}

time_point owner_authority::ConfirmedAt() const {
  const std::lock_guard lock(mutex_);
  return confirmed_at_;
}

void owner_authority::Extend(time_point asked_at) {
  const std::lock_guard lock(mutex_);
  extended_at_ = std::max(extended_at_, asked_at);
}

time_point owner_authority::EndsAt() const {
  const std::lock_guard lock(mutex_);
  if (confirmed_at_ == time_point{}) return {};
  const time_point extended_at =
      std::min(extended_at_, confirmed_at_ + options_.max_extension);
  return std::max(confirmed_at_, extended_at) + options_.span;
}

bool owner_authority::AllowsOrders() const {
  const duration least =
      std::min<duration>(kMinAuthority, options_.span / kMinAuthorityDivisor);
  return options_.clock->Now() + least < EndsAt();
}

void owner_authority::EndEarlierExtensions() {
  const std::lock_guard lock(mutex_);
  earlier_extensions_ended_at_ = options_.clock->Now();
}

time_point owner_authority::EarlierLeasesEnd() const {
  const std::lock_guard lock(mutex_);
  if (earlier_extensions_ended_at_) {
    return *earlier_extensions_ended_at_ + WithMargin(options_.span);
  }
  return options_.acquired_at +
         WithMargin(options_.max_extension + options_.span);
}

bool owner_authority::ConfirmSince(time_point since) {
  time_point sent_at;
  {
    const std::lock_guard lock(mutex_);
    if (confirmed_at_ >= since) return true;
    sent_at = options_.clock->Now();
    if (is_asking_ || sent_at < since) return false;
    is_asking_ = true;
  }
  const bool is_confirmed = options_.confirm();
  const std::lock_guard lock(mutex_);
  is_asking_ = false;
  if (is_confirmed) confirmed_at_ = std::max(confirmed_at_, sent_at);
  return confirmed_at_ >= since;
}

}  // namespace apricotwheel

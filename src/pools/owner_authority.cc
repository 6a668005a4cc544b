#include "pools/owner_authority.h"

#include <algorithm>

namespace apricotwheel {

void owner_authority::Confirm(time_point sent_at) {
  const std::lock_guard lock(mutex_);
  confirmed_at_ = std::max(confirmed_at_, sent_at);
}

time_point owner_authority::ConfirmedAt() const {
  const std::lock_guard lock(mutex_);
  return confirmed_at_;
}

}  // namespace apricotwheel

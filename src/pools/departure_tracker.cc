#include "pools/departure_tracker.h"

#include <algorithm>
#include <chrono>

namespace apricotwheel {

namespace {

// The platform removes an entry after three intervals without a heartbeat. A
// tenth less allows for clocks that run at different speeds.
constexpr int kSilentIntervals = 3;
constexpr int kMarginPercent = 90;
// Owners keep workers that are not listed for the longest lease and authority.
constexpr auto kRetention = std::chrono::minutes(10);

}  // namespace

void departure_tracker::OnEntry(const pool_worker& worker,
                                time_point written_after) {
  entry& last = entries_[worker.id];
  // A later write is newer than the earlier one in any case.
  last = {worker.address, worker.incarnation, worker.is_draining,
          std::max(last.written_after, written_after)};
  departures_.erase(worker.id);
}

bool departure_tracker::OnRemoved(const std::string& id, time_point now) {
  ForgetOld(now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  const entry last = found->second;
  entries_.erase(found);
  // Without an announcement the entry may have been removed by mistake.
  if (!last.is_draining || last.written_after == time_point{}) return false;
  const duration least_silence =
      heartbeat_interval_ * kSilentIntervals * kMarginPercent / 100;
  if (now - last.written_after >= least_silence) return false;
  departures_[id] = {last.address, last.incarnation, now};
  return true;
}

bool departure_tracker::HasLeft(const std::string& id,
                                const std::string& address,
                                std::int64_t incarnation) const {
  const auto found = departures_.find(id);
  if (found == departures_.end()) return false;
  const departure& left = found->second;
  return left.address == address &&
         (incarnation == 0 || left.incarnation == incarnation);
}

void departure_tracker::ForgetOld(time_point now) {
  std::erase_if(departures_, [now](const auto& row) {
    return now - row.second.at > kRetention;
  });
}

}  // namespace apricotwheel

#include "dispatch/router.h"

#include <iterator>

namespace apricotwheel {

namespace {

// A daemon that has not published for this long is likely cut off or gone;
// eight times the default gossip interval.
constexpr duration kSummaryLifetime = std::chrono::seconds(2);

}  // namespace

std::optional<std::string> router::Pick(
    std::string_view service, const own_capacity& own,
    std::span<const peer_summary> summaries,
    const std::set<std::string, std::less<>>& excluded) const {
  std::optional<std::string> best;
  std::int64_t best_score = 0;
  if (own.instances > 0 && !excluded.contains(member_id_)) {
    best = member_id_;
    best_score = own.free_slots - own.queued;
  }
  const time_point now = clock_->Now();
  for (const peer_summary& summary : summaries) {
    if (summary.gossip.draining || excluded.contains(summary.member_id) ||
        now - summary.received_at > kSummaryLifetime) {
      continue;
    }
    for (const auto& offer : summary.gossip.services) {
      if (offer->service != service || offer->instances == 0) continue;
      const std::int64_t score =
          static_cast<std::int64_t>(offer->free_slots) -
          static_cast<std::int64_t>(offer->queued) -
          InFlightSince(summary.member_id, service, summary.received_at);
      if (best && score <= best_score) continue;
      best = summary.member_id;
      best_score = score;
    }
  }
  return best;
}

std::int64_t router::InFlightSince(const std::string& owner,
                                   std::string_view service,
                                   time_point since) const {
  const std::lock_guard lock(mutex_);
  const auto found = in_flight_.find({owner, std::string(service)});
  if (found == in_flight_.end()) return 0;
  return std::distance(found->second.lower_bound(since), found->second.end());
}

router::flight::flight(router& parent, std::string owner, std::string service)
    : parent_(parent),
      key_(std::move(owner), std::move(service)),
      since_(parent.clock_->Now()) {
  const std::lock_guard lock(parent_.mutex_);
  parent_.in_flight_[key_].insert(since_);
}

router::flight::~flight() {
  const std::lock_guard lock(parent_.mutex_);
  const auto found = parent_.in_flight_.find(key_);
  found->second.erase(found->second.find(since_));
  if (found->second.empty()) parent_.in_flight_.erase(found);
}

}  // namespace apricotwheel

#include "dispatch/router.h"

#include <functional>
#include <iterator>

namespace apricotwheel {

namespace {

// A daemon that has not published for this long is probably unreachable. This
// is eight times the default gossip interval.
constexpr duration kSummaryTimeout = std::chrono::seconds(2);

}  // namespace

void router::SetPeerLoad(const std::string& member_id,
                         const wire::service_summaryT& load) {
  const std::lock_guard lock(mutex_);
  const time_point now = clock_->Now();
  std::erase_if(peer_loads_, [now](const auto& entry) {
    return now - entry.second.received_at > kSummaryTimeout;
  });
  peer_load& known = peer_loads_[{member_id, load.service}];
  if (load.sequence <= known.sequence) return;  // A later load is known.
  known = {load.sequence, now, load.instances,
           static_cast<std::int64_t>(load.free_slots) -
               static_cast<std::int64_t>(load.queued)};
}

std::optional<router::peer_load> router::FindPeerLoad(
    const peer_summary& summary, std::string_view service,
    time_point now) const {
  if (summary.gossip.draining || now - summary.received_at > kSummaryTimeout) {
    return std::nullopt;
  }
  std::optional<peer_load> load;
  for (const auto& published : summary.gossip.services) {
    if (published->service != service) continue;
    load = {0, summary.received_at, published->instances,
            static_cast<std::int64_t>(published->free_slots) -
                static_cast<std::int64_t>(published->queued)};
  }
  const auto known =
      peer_loads_.find({summary.member_id, std::string(service)});
  if (known != peer_loads_.end() &&
      known->second.received_at >= summary.received_at) {
    load = known->second;
  }
  if (!load || load->instances == 0) return std::nullopt;
  return load;
}

std::optional<std::string> router::PickOwner(
    std::string_view service, const service_capacity& own,
    std::span<const peer_summary> summaries,
    const std::set<std::string, std::less<>>& excluded) const {
  std::optional<std::string> best;
  std::int64_t best_score = 0;
  if (own.instances > 0 && !excluded.contains(member_id_)) {
    best = member_id_;
    best_score = own.free_slots - own.queued;
  }
  const time_point now = clock_->Now();
  const std::lock_guard lock(mutex_);
  // The first peer depends on the member id of this daemon. Otherwise all
  // daemons would choose the same owner among equal scores.
  const std::size_t first = std::hash<std::string>()(member_id_);
  for (std::size_t step = 0; step < summaries.size(); ++step) {
    const peer_summary& summary =
        summaries[(first % summaries.size() + step) % summaries.size()];
    if (excluded.contains(summary.member_id)) continue;
    const auto load = FindPeerLoad(summary, service, now);
    if (!load) continue;
    const std::int64_t score =
        load->score -
        InFlightSince(summary.member_id, service, load->received_at);
    if (best && score <= best_score) continue;
    best = summary.member_id;
    best_score = score;
  }
  return best;
}

bool router::ReserveBetterPeer(std::string_view service, std::int64_t own_score,
                               std::span<const peer_summary> summaries) {
  const time_point now = clock_->Now();
  const std::lock_guard lock(mutex_);
  const peer_summary* best = nullptr;
  std::optional<peer_load> best_load;
  for (const peer_summary& summary : summaries) {
    const auto load = FindPeerLoad(summary, service, now);
    if (!load || (best_load && load->score <= best_load->score)) continue;
    best = &summary;
    best_load = load;
  }
  if (best == nullptr || best_load->score - own_score < kMinMoveGain) {
    return false;
  }
  --best_load->score;
  auto& known = peer_loads_[{best->member_id, std::string(service)}];
  best_load->sequence = known.sequence;
  known = *best_load;
  return true;
}

std::int64_t router::InFlightSince(const std::string& owner,
                                   std::string_view service,
                                   time_point since) const {
  const auto found = in_flight_.find({owner, std::string(service)});
  if (found == in_flight_.end()) return 0;
  return std::distance(found->second.lower_bound(since), found->second.end());
}

router::in_flight_request::in_flight_request(router& counting_router,
                                             std::string owner,
                                             std::string service)
    : router_(counting_router),
      key_(std::move(owner), std::move(service)),
      since_(counting_router.clock_->Now()) {
  const std::lock_guard lock(router_.mutex_);
  router_.in_flight_[key_].insert(since_);
}

router::in_flight_request::~in_flight_request() {
  const std::lock_guard lock(router_.mutex_);
  const auto found = router_.in_flight_.find(key_);
  found->second.erase(found->second.find(since_));
  if (found->second.empty()) router_.in_flight_.erase(found);
}

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "cluster/cluster_manager.h"
#include "kernel/clock.h"

namespace apricotwheel {

// What this daemon itself offers for a service.
struct service_capacity {
  std::uint32_t instances = 0;
  std::int64_t free_slots = 0;
  std::int64_t queued = 0;
};

// Chooses the owner daemon for a request. Thread-safe.
class router {
 public:
  // A move costs two hops, so a smaller gain is not worth it: 2 and 1 gave a
  // longer waiting p99 in bench/balance_model.cc.
  static constexpr std::int64_t kMinMoveGain = 3;

  router(std::string member_id, clock_ptr clock)
      : member_id_(std::move(member_id)), clock_(std::move(clock)) {}

  // The member with the most free slots less queued requests, this daemon on a
  // tie; absent if no daemon that is not in `excluded` has an instance.
  std::optional<std::string> PickOwner(
      std::string_view service, const service_capacity& own,
      std::span<const peer_summary> summaries,
      const std::set<std::string, std::less<>>& excluded) const;

  // Keeps a peer's state of a service that came between two gossip messages,
  // unless a later one was kept.
  void SetPeerLoad(const std::string& member_id,
                   const wire::service_summaryT& load);
  // True if a queued request should leave an owner with `own_score`, because
  // the best peer is better by kMoveDifference or more. Lowers the known score
  // of that peer by the request, until its next state arrives.
  bool ReserveBetterPeer(std::string_view service, std::int64_t own_score,
                         std::span<const peer_summary> summaries);

  // Counts a request in flight to an owner for the lifetime of the object.
  class in_flight_request {
   public:
    in_flight_request(router& counting_router, std::string owner,
                      std::string service);
    ~in_flight_request();
    in_flight_request(const in_flight_request&) = delete;
    in_flight_request& operator=(const in_flight_request&) = delete;

   private:
    router& router_;
    std::pair<std::string, std::string> key_;
    time_point since_;
  };

 private:
  struct peer_load {
    std::uint64_t sequence = 0;
    time_point received_at;
    std::uint32_t instances = 0;
    std::int64_t score = 0;  // Free slots less queued requests.
  };
  // The later of the gossiped and the kept state; absent if the peer takes no
  // requests of the service. Needs the lock.
  std::optional<peer_load> FindPeerLoad(const peer_summary& summary,
                                        std::string_view service,
                                        time_point now) const;
  // Needs the lock.
  std::int64_t InFlightSince(const std::string& owner, std::string_view service,
                             time_point since) const;

  const std::string member_id_;
  const clock_ptr clock_;
  mutable std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, std::multiset<time_point>>
      in_flight_;
  std::map<std::pair<std::string, std::string>, peer_load> peer_loads_;
};

}  // namespace apricotwheel

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

// The capacity of the instances of one service that this daemon owns.
struct service_capacity {
  std::uint32_t instances = 0;
  std::int64_t free_slots = 0;
  std::int64_t queued = 0;
};

// Chooses the instance owner for a request. Thread-safe.
class router {
 public:
  // The smallest difference of scores for which a queued request moves to
  // another owner. A move costs two hops: differences of 2 and 1 gave a longer
  // p99 of the waiting time in bench/balance_model.cc.
  static constexpr std::int64_t kMinMoveGain = 3;

  router(std::string member_id, clock_ptr clock)
      : member_id_(std::move(member_id)), clock_(std::move(clock)) {}

  // Returns the member with the highest score (free slots minus queued
  // requests), and this daemon on a tie. Absent if no member outside of
  // `excluded` has an instance.
  std::optional<std::string> PickOwner(
      std::string_view service, const service_capacity& own,
      std::span<const peer_summary> summaries,
      const std::set<std::string, std::less<>>& excluded) const;

  // Applies the load of a service that a peer sent between two gossip messages,
  // unless a later one is known.
  void SetPeerLoad(const std::string& member_id,
                   const wire::service_summaryT& load);
  // Returns true if a queued request should move to the best peer, whose score
  // is higher than `own_score` by kMinMoveGain or more. Then lowers the known
  // score of that peer by one until its next load arrives.
  bool ReserveBetterPeer(std::string_view service, std::int64_t own_score,
                         std::span<const peer_summary> summaries);

  // Counts a request as in flight to an owner during its lifetime.
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
    std::int64_t score = 0;  // Free slots minus queued requests.
  };
  // Returns the later of the gossiped and the separately sent load. Absent if
  // the peer accepts no requests of the service. Needs the lock.
  std::optional<peer_load> FindPeerLoad(const peer_summary& summary,
                                        std::string_view service,
                                        time_point now) const;
  // Returns the number of requests in flight that were sent at or after
  // `since`. Needs the lock.
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

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
struct own_capacity {
  std::uint32_t instances = 0;
  std::int64_t free_slots = 0;
  std::int64_t queued = 0;
};

// Chooses the owner daemon for a request. Thread-safe.
class router {
 public:
  router(std::string member_id, clock_ptr clock)
      : member_id_(std::move(member_id)), clock_(std::move(clock)) {}

  // The member with the most free slots less queued requests, this daemon on a
  // tie; absent if no daemon that is not in `excluded` has an instance.
  std::optional<std::string> Pick(
      std::string_view service, const own_capacity& own,
      std::span<const peer_summary> summaries,
      const std::set<std::string, std::less<>>& excluded) const;

  // Counts a request in flight to an owner for the lifetime of the object.
  class flight {
   public:
    flight(router& parent, std::string owner, std::string service);
    ~flight();
    flight(const flight&) = delete;
    flight& operator=(const flight&) = delete;

   private:
    router& parent_;
    std::pair<std::string, std::string> key_;
    time_point since_;
  };

 private:
  std::int64_t InFlightSince(const std::string& owner, std::string_view service,
                             time_point since) const;

  const std::string member_id_;
  const clock_ptr clock_;
  mutable std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, std::multiset<time_point>>
      in_flight_;
};

}  // namespace apricotwheel

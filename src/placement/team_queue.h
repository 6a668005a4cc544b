#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "kernel/clock.h"
#include "kernel/random.h"
#include "kernel/resources.h"

namespace apricotwheel {

struct queue_settings {
  // An entry gains one class for each step that it waits, without a limit, so
  // that no stream of younger entries passes it for ever.
  duration ageing_step = std::chrono::minutes(10);
  duration backoff_base = milliseconds(100);
  duration backoff_limit = std::chrono::seconds(5);
  // An entry that did not fit for this long may get the reservation.
  duration reserve_after = std::chrono::seconds(30);
  // Declared run times are not trusted, so nothing says when the reserved
  // workers become free. After this time another entry gets its turn.
  duration reservation_duration = std::chrono::minutes(2);
};

// One task, or one gang whose parts start together.
struct queue_entry {
  std::string id;
  std::string team;
  priority_class priority = priority_class::kBatch;
  resource_vector need;     // Of one part.
  std::uint32_t parts = 1;  // Above 1 for a gang.
  // Entries that differ only in id share their back-off. A tag keeps an entry
  // with constraints of its own (excluded workers) apart.
  std::string constraint_tag;
  time_point enqueued;
};

struct team_account {
  resource_vector quota;  // Exact upper bound of `used`.
  std::int64_t weight = 1;
  resource_vector used;  // Running, and taken from the queue.
};

// Workers that are kept free for one entry. Others may run anywhere else
// (backfill); nothing is started on the promise that it ends soon.
struct queue_reservation {
  std::string entry_id;
  std::vector<std::string> workers;
  time_point expires;
};

// Entries of one team that have the same class, need and constraints, oldest
// first. If the first does not fit, neither do the others.
struct queue_lane {
  std::map<std::pair<time_point, std::string>, queue_entry> entries;
  int failed_attempts = 0;
  time_point not_before;
  std::optional<time_point> blocked_since;
};

using lane_key =
    std::tuple<std::string, priority_class, std::int64_t, std::int64_t,
               std::int64_t, std::uint32_t, std::string>;

struct entry_position {
  lane_key lane;
  time_point enqueued;
};

// The pending entries of the teams of one shard. Plain data, to be changed only
// by the functions below; not thread-safe.
struct team_queue {
  queue_settings settings;
  resource_vector cell_capacity;  // What shares are measured against.
  std::map<std::string, team_account, std::less<>> teams;
  std::map<lane_key, queue_lane> lanes;
  std::map<std::string, entry_position, std::less<>> positions;
  std::map<std::string, queue_entry, std::less<>> taken;
  std::optional<queue_reservation> reservation;
  // How often an entry had the reservation, so that turns are fair.
  std::map<std::string, std::uint32_t, std::less<>> reservation_turns;
};

// Sets quota and weight; what the team uses stays. A weight below 1 counts as
// 1.
void SetTeam(team_queue& queue, std::string_view team,
             const resource_vector& quota, std::int64_t weight);

// The need of all parts together.
resource_vector TotalNeed(const queue_entry& entry);

// True if the team's quota can never hold the entry, even if nothing runs.
bool ExceedsQuota(const team_queue& queue, const queue_entry& entry);

// Returns false, and changes nothing, if the id is already queued or taken.
bool Enqueue(team_queue& queue, queue_entry entry);

// Removes a queued or taken entry (cancellation). Returns false if unknown.
bool RemoveEntry(team_queue& queue, std::string_view id);

// Takes the entry to place next and counts it against its team's quota, or
// returns nothing. The order is by class less the steps waited, then by the
// team's dominant share over its weight, then by age. Entries over quota and
// entries in back-off are passed over.
std::optional<queue_entry> TakeNext(team_queue& queue, time_point now);

// The taken entry was started. Its team keeps the charge until `Refund`.
void ConfirmStarted(team_queue& queue, std::string_view id);

// The taken entry did not fit: it returns to its place in the queue, and
// entries like it wait for a back-off.
void ReturnUnplaced(team_queue& queue, std::string_view id, time_point now,
                    random_source& random);

// Room was made on a worker, of which `free` is free now: ends the back-off of
// the entries of which a part fits there, instead of leaving them to wait for
// it. Call it when tasks end.
void EndBackoff(team_queue& queue, const resource_vector& free, time_point now);

// Counts what already runs (after a take-over), and what ended.
void Charge(team_queue& queue, std::string_view team,
            const resource_vector& amount);
void Refund(team_queue& queue, std::string_view team,
            const resource_vector& amount);

// The entry that should get the reservation now: the oldest that has not fitted
// for `reserve_after`, those with fewer turns first. Nothing while a
// reservation is in force. An expired reservation is dropped.
std::optional<queue_entry> ReservationCandidate(team_queue& queue,
                                                time_point now);

// Keeps `workers` free for a queued entry and ends its back-off.
void Reserve(team_queue& queue, std::string_view id,
             std::vector<std::string> workers, time_point now);

// The workers that an entry must not use because they are kept free for
// another. Empty for urgent entries: they do not wait behind a reservation.
std::span<const std::string> ReservedForOthers(const team_queue& queue,
                                               const queue_entry& entry,
                                               time_point now);

// The team's largest share of a resource of the cell, over its weight.
double WeightedDominantShare(const team_queue& queue, const team_account& team);

std::size_t QueuedEntries(const team_queue& queue);

// Why a queued entry waits, for people: quota, back-off, or its place.
std::vector<std::string> ExplainWait(const team_queue& queue,
                                     std::string_view id, time_point now);

}  // namespace apricotwheel

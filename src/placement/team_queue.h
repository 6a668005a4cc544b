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
  // An entry rises by one class after each time of this length that it waits,
  // without a limit, so that a stream of younger entries cannot starve it.
  duration ageing_step = std::chrono::minutes(10);
  duration backoff_base = milliseconds(100);
  duration backoff_limit = std::chrono::seconds(5);
  // An entry that has not fitted for this time may get the reservation.
  duration reserve_after = std::chrono::seconds(30);
  // Duration of a reservation. Declared run times are not trusted, so the time
  // at which reserved workers become free is unknown; another entry gets its
  // turn after this time.
  duration reservation_duration = std::chrono::minutes(2);
};

// A task, or a gang whose parts start together.
struct queue_entry {
  std::string id;
  std::string team;
  priority_class priority = priority_class::kBatch;
  resource_vector need;     // Resources of one part.
  std::uint32_t parts = 1;  // More than 1 for a gang.
  // Entries that differ only in id share a back-off. An entry with other
  // constraints (excluded workers) has a tag, so that it does not.
  std::string constraint_tag;
  time_point enqueued;
};

struct team_account {
  resource_vector quota;  // Limit of `used`, enforced exactly.
  std::int64_t weight = 1;
  resource_vector used;  // By running and taken entries.
};

// Workers that are kept free for one entry. Other entries may run anywhere else
// (backfill), but not on these workers, however short they are declared to be.
struct queue_reservation {
  std::string entry_id;
  std::vector<std::string> workers;
  time_point expires;
};

// Entries of one team with the same class, need and constraints, oldest first.
// If the first does not fit, the others do not fit either.
struct queue_lane {
  std::map<std::pair<time_point, std::string>, queue_entry> entries;
  int failed_attempts = 0;
  time_point not_before;                    // End of the back-off.
  std::optional<time_point> blocked_since;  // First attempt that failed.
};

using lane_key =
    std::tuple<std::string, priority_class, std::int64_t, std::int64_t,
               std::int64_t, std::uint32_t, std::string>;

// Where an entry is queued.
struct entry_position {
  lane_key lane;
  time_point enqueued;
};

// The pending entries of the teams of one shard. Only the functions below may
// change it. Not thread-safe.
struct team_queue {
  queue_settings settings;
  resource_vector cell_capacity;  // Shares are relative to it.
  std::map<std::string, team_account, std::less<>> teams;
  std::map<lane_key, queue_lane> lanes;
  std::map<std::string, entry_position, std::less<>> positions;
  // Entries from `TakeNext` that are neither confirmed nor returned yet.
  std::map<std::string, queue_entry, std::less<>> taken;
  std::optional<queue_reservation> reservation;
  // How often each entry had the reservation; fewer turns take precedence.
  std::map<std::string, std::uint32_t, std::less<>> reservation_turns;
};

// Sets the quota and weight of a team and keeps its use. A weight below 1
// counts as 1.
void SetTeam(team_queue& queue, std::string_view team,
             const resource_vector& quota, std::int64_t weight);

// Returns the need of all parts together.
resource_vector TotalNeed(const queue_entry& entry);

// Returns true if the team's quota is too small for the entry even if no other
// entry runs.
bool ExceedsQuota(const team_queue& queue, const queue_entry& entry);

// Returns false and changes nothing if the id is already queued or taken.
bool Enqueue(team_queue& queue, queue_entry entry);

// Removes a queued or taken entry (cancellation). Returns false if unknown.
bool RemoveEntry(team_queue& queue, std::string_view id);

// Takes the entry to place next and charges its team's quota, or returns
// nothing. The order is by class, raised by the waiting time, then by the
// team's weighted dominant share, then by age. Skips entries over quota or in
// back-off.
std::optional<queue_entry> TakeNext(team_queue& queue, time_point now);

// The taken entry was started. Its team stays charged until `Refund`.
void ConfirmStarted(team_queue& queue, std::string_view id);

// The taken entry did not fit. It returns to its place in the queue, and its
// lane is in back-off.
void ReturnUnplaced(team_queue& queue, std::string_view id, time_point now,
                    random_source& random);

// Must be called when tasks on a worker end, of which `free` is free now. Ends
// the back-off of the entries of which a part fits there.
void EndBackoff(team_queue& queue, const resource_vector& free, time_point now);

// `Charge` adds resources that already run after a takeover to the use of a
// team; `Refund` subtracts the resources of an ended task.
void Charge(team_queue& queue, std::string_view team,
            const resource_vector& amount);
void Refund(team_queue& queue, std::string_view team,
            const resource_vector& amount);

// Returns the entry that should get the reservation: of those that have not
// fitted for `reserve_after`, the oldest of those with the fewest turns.
// Returns nothing while a reservation is in force, and drops an expired one.
std::optional<queue_entry> ReservationCandidate(team_queue& queue,
                                                time_point now);

// Reserves `workers` for a queued entry and ends its back-off.
void Reserve(team_queue& queue, std::string_view id,
             std::vector<std::string> workers, time_point now);

// Returns the workers that an entry must not use because they are reserved for
// another. Empty for urgent entries, which do not wait for a reservation.
std::span<const std::string> ReservedForOthers(const team_queue& queue,
                                               const queue_entry& entry,
                                               time_point now);

// Returns the team's largest share of a resource of the cell, divided by its
// weight.
double WeightedDominantShare(const team_queue& queue, const team_account& team);

std::size_t QueuedEntries(const team_queue& queue);

// Explains to an operator why a queued entry waits: quota, back-off or order.
std::vector<std::string> ExplainWait(const team_queue& queue,
                                     std::string_view id, time_point now);

}  // namespace apricotwheel

#include "placement/team_queue.h"

#include <algorithm>

namespace apricotwheel {
namespace {

lane_key LaneKeyOf(const queue_entry& entry) {
  return {entry.team,
          entry.priority,
          entry.need.cpu_milli,
          entry.need.memory_mib,
          entry.need.accelerators,
          entry.parts,
          entry.constraint_tag};
}

bool FitsQuota(const team_account& team, const queue_entry& entry) {
  return Fits(TotalNeed(entry), team.quota - team.used);
}

// Returns the class minus the ageing steps waited; smaller ranks come first.
std::int64_t Rank(const queue_settings& settings, const queue_entry& entry,
                  time_point now) {
  const duration waited = std::max(now - entry.enqueued, duration::zero());
  return static_cast<std::int64_t>(entry.priority) -
         waited / std::max(settings.ageing_step, duration(1));
}

void AddToLane(team_queue& queue, queue_entry entry) {
  const lane_key key = LaneKeyOf(entry);
  queue.positions[entry.id] = {key, entry.enqueued};
  std::pair<time_point, std::string> place{entry.enqueued, entry.id};
  queue.lanes[key].entries.emplace(std::move(place), std::move(entry));
}

// Removes an entry from its lane. The lane stays, even if it is empty, so that
// its back-off is kept while the entry is taken.
queue_entry TakeFromLane(team_queue& queue, std::string_view id) {
  const auto place = queue.positions.find(id);
  queue_lane& lane = queue.lanes.at(place->second.lane);
  const auto found =
      lane.entries.find({place->second.enqueued, std::string(id)});
  queue_entry entry = std::move(found->second);
  lane.entries.erase(found);
  queue.positions.erase(place);
  return entry;
}

// Removes a lane without queued or taken entries.
void DropLaneIfUnused(team_queue& queue, const lane_key& key) {
  const auto lane = queue.lanes.find(key);
  if (lane == queue.lanes.end() || !lane->second.entries.empty()) return;
  for (const auto& [id, entry] : queue.taken) {
    if (LaneKeyOf(entry) == key) return;
  }
  queue.lanes.erase(lane);
}

// Removes the entry's reservation and its turns.
void ForgetReservation(team_queue& queue, const std::string& id) {
  queue.reservation_turns.erase(id);
  if (queue.reservation && queue.reservation->entry_id == id) {
    queue.reservation.reset();
  }
}

bool HasReservation(const team_queue& queue, std::string_view id) {
  return queue.reservation && queue.reservation->entry_id == id;
}

}  // namespace

resource_vector TotalNeed(const queue_entry& entry) {
  const auto parts = static_cast<std::int64_t>(entry.parts);
  return {entry.need.cpu_milli * parts, entry.need.memory_mib * parts,
          entry.need.accelerators * parts};
}

void SetTeam(team_queue& queue, std::string_view team,
             const resource_vector& quota, std::int64_t weight) {
  team_account& account = queue.teams[std::string(team)];
  account.quota = quota;
  account.weight = std::max<std::int64_t>(weight, 1);
}

bool ExceedsQuota(const team_queue& queue, const queue_entry& entry) {
  const auto team = queue.teams.find(entry.team);
  return team == queue.teams.end() ||
         !Fits(TotalNeed(entry), team->second.quota);
}

bool Enqueue(team_queue& queue, queue_entry entry) {
  if (queue.positions.count(entry.id) > 0 || queue.taken.count(entry.id) > 0) {
    return false;
  }
  entry.parts = std::max<std::uint32_t>(entry.parts, 1);
  AddToLane(queue, std::move(entry));
  return true;
}

bool RemoveEntry(team_queue& queue, std::string_view id) {
  if (const auto taken = queue.taken.find(id); taken != queue.taken.end()) {
    const queue_entry entry = std::move(taken->second);
    queue.taken.erase(taken);
    Refund(queue, entry.team, TotalNeed(entry));
    ForgetReservation(queue, entry.id);
    DropLaneIfUnused(queue, LaneKeyOf(entry));
    return true;
  }
  if (queue.positions.find(id) == queue.positions.end()) return false;
  const queue_entry entry = TakeFromLane(queue, id);
  const lane_key key = LaneKeyOf(entry);
  ForgetReservation(queue, entry.id);
  DropLaneIfUnused(queue, key);
  return true;
}

std::optional<queue_entry> TakeNext(team_queue& queue, time_point now) {
  const queue_entry* best = nullptr;
  std::tuple<std::int64_t, double, time_point> best_order;
  for (const auto& [key, lane] : queue.lanes) {
    if (lane.entries.empty() || lane.not_before > now) continue;
    const queue_entry& first = lane.entries.begin()->second;
    const auto team = queue.teams.find(first.team);
    if (team == queue.teams.end() || !FitsQuota(team->second, first)) continue;
    const std::tuple<std::int64_t, double, time_point> order{
        Rank(queue.settings, first, now),
        WeightedDominantShare(queue, team->second), first.enqueued};
    if (best == nullptr || order < best_order) {
      best = &first;
      best_order = order;
    }
  }
  if (best == nullptr) return std::nullopt;
  const std::string id = best->id;
  queue_entry entry = TakeFromLane(queue, id);
  Charge(queue, entry.team, TotalNeed(entry));
  queue.taken[id] = entry;
  return entry;
}

void ConfirmStarted(team_queue& queue, std::string_view id) {
  const auto taken = queue.taken.find(id);
  if (taken == queue.taken.end()) return;
  const queue_entry entry = std::move(taken->second);
  queue.taken.erase(taken);
  ForgetReservation(queue, entry.id);
  const auto lane = queue.lanes.find(LaneKeyOf(entry));
  if (lane != queue.lanes.end()) {
    lane->second.failed_attempts = 0;
    lane->second.blocked_since.reset();
    lane->second.not_before = {};
  }
  DropLaneIfUnused(queue, LaneKeyOf(entry));
}

void ReturnUnplaced(team_queue& queue, std::string_view id, time_point now,
                    random_source& random) {
  const auto taken = queue.taken.find(id);
  if (taken == queue.taken.end()) return;
  queue_entry entry = std::move(taken->second);
  queue.taken.erase(taken);
  Refund(queue, entry.team, TotalNeed(entry));
  const lane_key key = LaneKeyOf(entry);
  AddToLane(queue, std::move(entry));
  queue_lane& lane = queue.lanes[key];
  lane.not_before = now + BackoffWithJitter(random, lane.failed_attempts++,
                                            queue.settings.backoff_base,
                                            queue.settings.backoff_limit);
  if (!lane.blocked_since) lane.blocked_since = now;
}

void EndBackoff(team_queue& queue, const resource_vector& free,
                time_point now) {
  for (auto& [key, lane] : queue.lanes) {
    if (lane.not_before <= now || lane.entries.empty()) continue;
    if (Fits(lane.entries.begin()->second.need, free)) lane.not_before = now;
  }
}

void Charge(team_queue& queue, std::string_view team,
            const resource_vector& amount) {
  team_account& account = queue.teams[std::string(team)];
  account.used = account.used + amount;
}

void Refund(team_queue& queue, std::string_view team,
            const resource_vector& amount) {
  const auto found = queue.teams.find(team);
  if (found == queue.teams.end()) return;
  found->second.used = ElementwiseMax(found->second.used - amount, {});
}

std::optional<queue_entry> ReservationCandidate(team_queue& queue,
                                                time_point now) {
  if (queue.reservation && queue.reservation->expires <= now) {
    queue.reservation.reset();
  }
  if (queue.reservation) return std::nullopt;
  const queue_entry* best = nullptr;
  std::pair<std::uint32_t, time_point> best_order;
  for (const auto& [key, lane] : queue.lanes) {
    if (lane.entries.empty() || !lane.blocked_since ||
        now - *lane.blocked_since < queue.settings.reserve_after) {
      continue;
    }
    const queue_entry& first = lane.entries.begin()->second;
    const auto team = queue.teams.find(first.team);
    if (team == queue.teams.end() || !FitsQuota(team->second, first)) continue;
    const auto turns = queue.reservation_turns.find(first.id);
    const std::pair<std::uint32_t, time_point> order{
        turns == queue.reservation_turns.end() ? 0 : turns->second,
        first.enqueued};
    if (best == nullptr || order < best_order) {
      best = &first;
      best_order = order;
    }
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

void Reserve(team_queue& queue, std::string_view id,
             std::vector<std::string> workers, time_point now) {
  const auto found = queue.positions.find(id);
  if (found == queue.positions.end()) return;
  queue.reservation =
      queue_reservation{std::string(id), std::move(workers),
                        now + queue.settings.reservation_duration};
  ++queue.reservation_turns[std::string(id)];
  queue_lane& lane = queue.lanes.at(found->second.lane);
  lane.not_before = now;
  lane.failed_attempts = 0;
}

std::span<const std::string> ReservedForOthers(const team_queue& queue,
                                               const queue_entry& entry,
                                               time_point now) {
  if (!queue.reservation || queue.reservation->expires <= now ||
      entry.priority == priority_class::kUrgent ||
      HasReservation(queue, entry.id)) {
    return {};
  }
  return queue.reservation->workers;
}

double WeightedDominantShare(const team_queue& queue,
                             const team_account& team) {
  const auto share = [](std::int64_t used, std::int64_t all) {
    return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0.0;
  };
  return std::max({share(team.used.cpu_milli, queue.cell_capacity.cpu_milli),
                   share(team.used.memory_mib, queue.cell_capacity.memory_mib),
                   share(team.used.accelerators,
                         queue.cell_capacity.accelerators)}) /
         static_cast<double>(std::max<std::int64_t>(team.weight, 1));
}

std::size_t QueuedEntries(const team_queue& queue) {
  return queue.positions.size();
}

std::vector<std::string> ExplainWait(const team_queue& queue,
                                     std::string_view id, time_point now) {
  std::vector<std::string> lines;
  const auto found = queue.positions.find(id);
  if (found == queue.positions.end()) return lines;
  const queue_lane& lane = queue.lanes.at(found->second.lane);
  const auto place =
      lane.entries.find({found->second.enqueued, std::string(id)});
  const queue_entry* entry = &place->second;
  const auto before = std::distance(lane.entries.begin(), place);
  const auto team = queue.teams.find(entry->team);
  if (team == queue.teams.end()) {
    lines.push_back("quota: team " + entry->team + " is not in the document");
    return lines;
  }
  const auto check = [&](const char* name,
                         std::int64_t resource_vector::*amount) {
    const std::int64_t need = TotalNeed(*entry).*amount;
    const team_account& account = team->second;
    if (need <= account.quota.*amount - account.used.*amount) return;
    lines.push_back(std::string("quota: ") + name + ": need " +
                    std::to_string(need) + ", team " + entry->team + " uses " +
                    std::to_string(account.used.*amount) + " of " +
                    std::to_string(account.quota.*amount));
  };
  check("cpu_milli", &resource_vector::cpu_milli);
  check("memory_mib", &resource_vector::memory_mib);
  check("accelerators", &resource_vector::accelerators);
  if (lane.not_before > now) {
    lines.push_back("back-off: did not fit " +
                    std::to_string(lane.failed_attempts) +
                    " times, tried again in " +
                    std::to_string(std::chrono::duration_cast<milliseconds>(
                                       lane.not_before - now)
                                       .count()) +
                    " ms");
  }
  if (before > 0) {
    lines.push_back("order: " + std::to_string(before) +
                    " older entries of the same team and size come first");
  }
  return lines;
}

}  // namespace apricotwheel

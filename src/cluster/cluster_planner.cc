#include <prometheus/counter.h>

#include <algorithm>

#include "cluster/cluster_core.h"
#include "cluster/cluster_events.h"

namespace apricotwheel {

namespace {

// A member of rank n waits n times this long before it writes, so usually only
// one member writes a change.
constexpr auto kRankDelay = milliseconds(200);
// Limits each daemon to five writes of the assignment per second.
constexpr auto kMinWriteInterval = milliseconds(200);
// A member whose VM list is older than a peer's waits two list intervals
// longer. Otherwise members with lists of different versions would undo each
// other's assignments.
constexpr auto kOlderListDelay = milliseconds(2000);
constexpr auto kIdleInterval = milliseconds(500);
constexpr auto kHandOverRetryInterval = milliseconds(100);

bool OwnsAny(const assignment& owners, std::string_view id) {
  const auto is_own = [&](const ownership& entry) { return entry.owner == id; };
  return std::any_of(owners.shards.begin(), owners.shards.end(), is_own) ||
         std::any_of(owners.partitions.begin(), owners.partitions.end(),
                     [&](const auto& entry) { return is_own(entry.second); });
}

// Returns the number of members without `leaving` that precede `id` in the
// view. A member waits longer to write the higher its rank.
int RankOf(const cluster_view& view, std::string_view id) {
  int rank = 0;
  for (const auto& candidate : view.members) {
    if (candidate.id == id) return rank;
    if (!candidate.leaving) ++rank;
  }
  return rank;
}

}  // namespace

std::optional<assignment> cluster_core::PlanNextAssignment(
    const cluster_view& view, bool without_self) {
  auto partitions = vms_.AssignablePartitions(view.owners);
  if (!partitions) {
    if (!without_self) return std::nullopt;
    // A hand-over needs no VM list, it moves only partitions with an owner.
    partitions.emplace();
    for (const auto& [name, entry] : view.owners.partitions) {
      if (!entry.owner.empty()) partitions->push_back(name);
    }
  }
  auto members = view.members;
  if (without_self) {
    std::erase_if(members, [&](const member& candidate) {
      return candidate.id == options_.member_id;
    });
  }
  return PlanAssignment(view.owners, members, *partitions);
}

bool cluster_core::HasOlderVmList() const {
  const auto summaries = PeerSummaries();
  return std::any_of(
      summaries.begin(), summaries.end(), [&](const peer_summary& summary) {
        return summary.gossip.vm_list_version > vms_.ListVersion();
      });
}

bool cluster_core::IsPlanningSuspended() const {
  std::lock_guard guard(mutex_);
  return !records_listed_ || clock_->Now() < planning_resumes_at_;
}

void cluster_core::RunPlanner() {
  time_point differs_since = time_point::max();
  time_point next_write{};
  while (!planner_signal_.StopRequested()) {
    const auto view = View();
    std::optional<assignment> plan;
    if (lease_.IsHeld() && !lease_.IsLeaving() && !IsPlanningSuspended() &&
        view->FindMember(options_.member_id) != nullptr) {
      plan = PlanNextAssignment(*view, false);
    }
    if (!plan || *plan == view->owners) {
      differs_since = time_point::max();
      if (planner_signal_.WaitFor(kIdleInterval)) return;
      continue;
    }
    const auto now = clock_->Now();
    differs_since = std::min(differs_since, now);
    auto delay = RankOf(*view, options_.member_id) * duration(kRankDelay);
    if (HasOlderVmList()) delay += kOlderListDelay;
    const auto due = std::max(differs_since + delay, next_write);
    if (now < due) {
      if (planner_signal_.WaitFor(due - now)) return;
      continue;  // Plans again, because the view or the VM list may be newer.
    }
    next_write = now + kMinWriteInterval;
    const auto written = Attempt([&] {
      return WriteAssignment(*plan, view->assignment_revision,
                             now + options_.settings.lease_renew_interval);
    });
    const bool is_conflict =
        !written && written.failure.kind == error_kind::kConflict;
    if (is_conflict) Attempt([&] { return RefreshAssignment(); });
    if (written || is_conflict) differs_since = time_point::max();
  }
}

result<void> cluster_core::WriteAssignment(const assignment& next,
                                           std::uint64_t expected,
                                           time_point deadline) {
  kv_entry entry;
  entry.key = kAssignmentKey;
  entry.value = EncodeAssignment(next);
  BOOST_LEAF_ASSIGN(entry.revision,
                    options_.kv->PutConfirmed(entry.key, entry.value, expected,
                                              *clock_, deadline));
  assignment_writes_->Increment();
  Emit(options_.log, cluster_events::kAssignmentWritten,
       {Field("revision", entry.revision)});
  ApplyAssignment(entry);
  PublishView();
  return {};
}

result<void> cluster_core::RefreshAssignment(std::optional<duration> timeout) {
  BOOST_LEAF_AUTO(entry, options_.kv->Get(kAssignmentKey, timeout));
  if (entry) {
    ApplyAssignment(*entry);
    PublishView();
  }
  return {};
}

result<void> cluster_core::HandOverOwnership(
    time_point deadline,
    const cluster_manager::assignment_planned_callback& on_assignment_planned) {
  lease_.MarkLeaving();
  lease_signal_.Wake();
  outcome<void> handed_over;
  handed_over.failure = {error_kind::kTimeout,
                         "ownership was not handed over by the deadline",
                         "other members take it over when the lease expires"};
  while (clock_->Now() < deadline) {
    const auto view = View();
    const auto plan = PlanNextAssignment(*view, true);
    if (!OwnsAny(view->owners, options_.member_id)) {
      handed_over.succeeded = true;
      break;
    }
    if (plan && lease_.IsHeld()) {
      if (on_assignment_planned) on_assignment_planned(*plan);
      const auto written = Attempt([&] {
        return WriteAssignment(*plan, view->assignment_revision, deadline);
      });
      if (written) continue;
      if (written.failure.kind == error_kind::kConflict) {
        const auto read = Attempt(
            [&] { return RefreshAssignment(deadline - clock_->Now()); });
        if (read) continue;
      }
    }
    clock_->SleepUntil(
        std::min<time_point>(deadline, clock_->Now() + kHandOverRetryInterval));
  }
  lease_.Resign(deadline);
  if (!handed_over) return Fail(handed_over.failure);
  return {};
}

}  // namespace apricotwheel

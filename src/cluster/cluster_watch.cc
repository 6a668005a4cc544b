#include <prometheus/gauge.h>

#include <algorithm>

#include "cluster/cluster_core.h"
#include "cluster/cluster_events.h"
#include "kernel/random.h"

namespace apricotwheel {

namespace {

// The time of one long poll. A longer one saves calls, but a dead connection is
// detected only after this time plus the client's timeout margin.
constexpr auto kLongPollTimeout = milliseconds(2000);
constexpr auto kRetryBase = milliseconds(100);
constexpr auto kRetryLimit = milliseconds(1000);

}  // namespace

void cluster_core::RunWatch() {
  auto random = SystemRandom();
  std::uint64_t revision = 0;
  bool needs_list = true;
  int failures = 0;
  while (!watch_signal_.StopRequested()) {
    if (needs_list) needs_list = !ListRecords(revision);
    outcome<kv_watch_result> watched;  // A failure until the watch succeeds.
    if (!needs_list) {
      watched = Attempt([&] {
        return options_.kv->Watch(kClusterPrefix, revision, kLongPollTimeout);
      });
    }
    SetKvReachable(static_cast<bool>(watched));
    if (!watched) {
      const auto wait =
          BackoffWithJitter(random, failures++, kRetryBase, kRetryLimit);
      if (watch_signal_.WaitFor(wait)) return;
      continue;
    }
    failures = 0;
    needs_list = watched->history_lost;
    // If the history was lost, the list is read after this revision. The list
    // and the events from this revision on then cover every change.
    revision = std::max(revision, watched->revision);
    if (watched->events.empty()) continue;
    for (const auto& event : watched->events) ApplyEvent(event);
    PublishView();
  }
}

bool cluster_core::ListRecords(std::uint64_t& revision) {
  const auto listed =
      Attempt([&] { return options_.kv->List(kClusterPrefix); });
  if (!listed) return false;
  std::map<std::string, std::uint64_t> gone;
  {
    std::lock_guard guard(mutex_);
    for (const auto& [id, stored] : members_) gone[id] = stored.revision;
  }
  for (const auto& entry : *listed) {
    revision = std::max(revision, entry.revision);
    if (entry.key.starts_with(kMembersPrefix)) {
      gone.erase(entry.key.substr(kMembersPrefix.size()));
    }
    ApplyEvent({entry, false});
  }
  for (const auto& [id, known_revision] : gone) {
    kv_event deletion;
    deletion.entry.key = std::string(kMembersPrefix) + id;
    deletion.entry.revision = known_revision + 1;
    deletion.deleted = true;
    ApplyEvent(deletion);
  }
  {
    std::lock_guard guard(mutex_);
    records_listed_ = true;
  }
  PublishView();
  return true;
}

void cluster_core::ApplyEvent(const kv_event& event) {
  const auto& key = event.entry.key;
  if (key.starts_with(kMembersPrefix)) {
    ApplyMember(event, key.substr(kMembersPrefix.size()));
  } else if (key == kAssignmentKey && !event.deleted) {
    ApplyAssignment(event.entry);
  } else if (key == kDocumentKey && !event.deleted) {
    documents_.TryActivate(event.entry.value);
  }
}

void cluster_core::ApplyMember(const kv_event& event, const std::string& id) {
  const auto revision = event.entry.revision;
  if (event.deleted && id == options_.member_id) {
    lease_.OnRecordDeleted(revision);
    lease_signal_.Wake();
  }
  std::optional<member> record;
  if (!event.deleted) {
    auto decoded = Attempt([&] { return DecodeMember(event.entry.value); });
    if (!decoded || decoded->id != id) {
      Emit(options_.log, cluster_events::kRecordInvalid,
           {Field("key", event.entry.key)});
      return;
    }
    record = std::move(*decoded);
  }
  std::lock_guard guard(mutex_);
  const auto found = members_.find(id);
  if (found != members_.end() && found->second.revision >= revision) return;
  if (record) {
    members_[id] = {std::move(*record), revision};
  } else if (found != members_.end()) {
    members_.erase(found);
  }
  members_revision_ = std::max(members_revision_, revision);
}

void cluster_core::ApplyAssignment(const kv_entry& entry) {
  auto decoded = Attempt([&] { return DecodeAssignment(entry.value); });
  if (!decoded) {
    Emit(options_.log, cluster_events::kRecordInvalid,
         {Field("key", entry.key), Field("reason", Describe(decoded.failure))});
    return;
  }
  std::lock_guard guard(mutex_);
  if (entry.revision <= assignment_revision_) return;
  assignment_ = std::move(*decoded);
  assignment_revision_ = entry.revision;
}

void cluster_core::PublishView() {
  std::lock_guard order(publish_mutex_);
  auto next = std::make_shared<cluster_view>();
  {
    std::lock_guard guard(mutex_);
    next->members_revision = members_revision_;
    next->assignment_revision = assignment_revision_;
    next->owners = assignment_;
    for (const auto& [id, stored] : members_) {
      next->members.push_back(stored.record);
      // A peer can announce its planned stop by gossip while the key-value
      // service does not accept its record.
      if (gossip_cache_.IsDraining(id)) next->members.back().leaving = true;
    }
    if (next->members == view_->members && next->owners == view_->owners &&
        next->assignment_revision == view_->assignment_revision) {
      return;
    }
    view_ = next;
  }
  member_gauge_->Set(static_cast<double>(next->members.size()));
  UpdatePeerLinks(next->members);
  planner_signal_.Wake();
  if (on_view_changed) on_view_changed(next);
}

void cluster_core::UpdatePeerLinks(const std::vector<member>& members) {
  for (const auto& peer : members) {
    if (peer.id == options_.member_id) continue;
    options_.peers->SetAddress(peer.id, peer.peer_address);
  }
  std::lock_guard guard(mutex_);
  const auto now = clock_->Now();
  for (const auto& id : linked_peers_) removed_peers_.try_emplace(id, now);
  for (const auto& peer : members) {
    if (peer.id != options_.member_id) linked_peers_.insert(peer.id);
    removed_peers_.erase(peer.id);
  }
}

void cluster_core::SetKvReachable(bool reachable) {
  {
    std::lock_guard guard(mutex_);
    if (reachable == kv_reachable_) return;
    kv_reachable_ = reachable;
    // Members whose leases expired in the outage need time to write their
    // records again. Planning before that would move all ownership twice.
    if (reachable && records_listed_) {
      planning_resumes_at_ = clock_->Now() + options_.settings.lease_ttl;
    }
  }
  if (!reachable) seed_signal_.Wake();
  Emit(options_.log, reachable ? cluster_events::kKvReachable
                               : cluster_events::kKvUnreachable);
}

}  // namespace apricotwheel

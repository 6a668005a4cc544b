// The records of job ids: whether a job is accepted, and where, and whether its
// id was cancelled. They decide between all pools and partitions.
#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "pools/job_journal.h"
#include "pools/partition_table.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// Entries of one commit of `RestoreIdRecords`, besides its conditions, the
// journal key and the marker.
constexpr std::size_t kRestoredEntries = 28;
// For records of jobs that had finished when they were restored. Longer than
// the retention of finished jobs, after which their ids are forgotten.
constexpr auto kRestoredRecordLifetime = std::chrono::minutes(10);

}  // namespace

std::string job_journal::IdMarkerKey() const {
  return "apricotwheel/job-id-markers/" + options_.pool;
}

id_cancellation job_journal::CancelId(const std::string& job_id,
                                      const caller_identity& caller,
                                      const std::string& lease_id,
                                      time_point deadline) {
  if (IsStoreUnreachable()) return {id_cancellation_outcome::kNotStored, {}};
  const auto read = Attempt([&] { return ReadJobId(*options_.kv, job_id); });
  if (!read) return {id_cancellation_outcome::kNotStored, {}};
  const auto pending = std::make_shared<pending_request>();
  pending->job_id = job_id;
  pending->lease_id = lease_id;
  if (const std::optional<stored_job_id>& stored = *read) {
    if (stored->record.IsAccepted()) {
      return {id_cancellation_outcome::kAccepted, stored->record.partition};
    }
    pending->id_record = stored->record;
    pending->id_revision = stored->revision;
  }
  // A known caller is stored again, with the new lease.
  if (!AddCanceller(pending->id_record, caller)) {
    return {id_cancellation_outcome::kNotStored, {}};
  }
  switch (AwaitRequest(pending, deadline)) {
    case request_outcome::kStored:
      return {id_cancellation_outcome::kStored, {}};
    case request_outcome::kAccepted:
      return {id_cancellation_outcome::kAccepted, pending->accepted_by};
    case request_outcome::kPending:
      return {id_cancellation_outcome::kUnknown, {}};
    case request_outcome::kNotStored:
    case request_outcome::kCancelled:
    case request_outcome::kForbidden:
      break;
  }
  return {id_cancellation_outcome::kNotStored, {}};
}

job_journal::commit_state job_journal::HandleConflict(commit_group& group,
                                                      bool may_be_applied,
                                                      duration timeout) {
  request_conflicts conflicts;
  if (!group.requests.empty()) {
    auto found = Attempt([&] { return FindConflicts(group); });
    if (!found) {
      Emit(options_.log, pool_events::kCommitFailed,
           {Field("pool", options_.pool), Field("number", group.number),
            Field("reason", Describe(found.failure))});
      return commit_state::kUnknown;
    }
    conflicts = std::move(*found);
  }
  // The records that were read may come from an earlier attempt of this group,
  // so the journal key is read after them.
  commit_state state = commit_state::kNotCommitted;
  if (may_be_applied || !group.requests.empty()) {
    state = ReadBackCommit(group, timeout);
  }
  if (state == commit_state::kUnknown) return state;
  if (may_be_applied && state != commit_state::kNotCommitted) return state;
  if (state == commit_state::kNotCommitted && !group.requests.empty()) {
    if (conflicts.is_divided || !conflicts.requests.empty()) {
      ApplyConflicts(group, conflicts);
      return commit_state::kNotCommitted;
    }
    // A record that was in the way may have ended since.
    const auto owner =
        Attempt([&] { return options_.kv->Get(options_.owner_key); });
    if (!owner) return commit_state::kUnknown;
    if (*owner.value && (*owner.value)->revision == options_.epoch) {
      return commit_state::kUnknown;
    }
    // No attempt takes effect after the owner key has changed.
    if (may_be_applied) {
      state = ReadBackCommit(group, timeout);
      if (state != commit_state::kNotCommitted) return state;
    }
  }
  RejectRequests(group);
  return commit_state::kSuperseded;
}

result<job_journal::request_conflicts> job_journal::FindConflicts(
    const commit_group& group) {
  request_conflicts conflicts;
  if (ChecksTable()) {
    BOOST_LEAF_AUTO(record, options_.kv->Get(options_.partitions_key));
    if (record) {
      BOOST_LEAF_AUTO(table, DecodePartitions(record->value));
      partition_count_ = table.count;
      conflicts.is_divided = true;
    }
  }
  for (const request_ptr& request : group.requests) {
    if (request->job && request->job->guest) continue;
    if (request->job && !IsHome(*request->job)) {
      conflicts.requests.push_back(
          {request, request_outcome::kNotStored, {}, 0, {}});
      continue;
    }
    if (request->job && !options_.first_partition.empty()) {
      BOOST_LEAF_AUTO(state,
                      ReadStoredJobState(*options_.kv, options_.first_partition,
                                         request->job_id));
      if (state) {
        conflicts.requests.push_back({request,
                                      request_outcome::kAccepted,
                                      {},
                                      0,
                                      options_.first_partition});
        continue;
      }
    }
    BOOST_LEAF_AUTO(conflict, FindIdConflict(request));
    if (conflict) conflicts.requests.push_back(std::move(*conflict));
  }
  return conflicts;
}

result<std::optional<job_journal::request_conflict>>
job_journal::FindIdConflict(const request_ptr& request) {
  const auto complete = [&](request_outcome outcome,
                            std::string accepted_by = {}) {
    return std::optional<request_conflict>(
        {request, outcome, {}, 0, std::move(accepted_by)});
  };
  BOOST_LEAF_AUTO(entry, options_.kv->Get(JobIdKey(request->job_id)));
  const std::uint64_t revision = entry ? entry->revision : 0;
  if (revision == request->id_revision) {
    return std::optional<request_conflict>();
  }
  job_id_record stored;
  if (entry) {
    auto decoded = Attempt([&] { return DecodeJobId(entry->value); });
    if (!decoded) {
      Emit(options_.log, pool_events::kRecordInvalid,
           {Field("key", entry->key),
            Field("reason", Describe(decoded.failure))});
      return complete(request_outcome::kNotStored);
    }
    stored = std::move(*decoded);
  }
  if (!request->job) {
    if (stored.IsAccepted()) {
      return complete(request_outcome::kAccepted, stored.partition);
    }
    request_conflict retry{
        request, request_outcome::kPending, std::move(stored), revision, {}};
    for (const caller_identity& caller : request->id_record.cancelled_by) {
      if (!AddCanceller(retry.id_record, caller)) {
        return complete(request_outcome::kNotStored);
      }
    }
    return std::optional(std::move(retry));
  }
  const job_origin origin{request->job->organisation, request->job->queue.name};
  if (stored.IsAccepted()) {
    const bool is_open =
        MayAccess({origin.organisation, {}}, {stored.organisation, {}});
    return complete(
        is_open ? request_outcome::kAccepted : request_outcome::kForbidden,
        stored.partition);
  }
  if (IsCancelledFor(stored, origin)) {
    return complete(request_outcome::kCancelled);
  }
  return std::optional<request_conflict>(
      {request, request_outcome::kPending, request->id_record, revision, {}});
}

void job_journal::ApplyConflicts(commit_group& group,
                                 const request_conflicts& conflicts) {
  for (const request_conflict& conflict : conflicts.requests) {
    const request_ptr& request = conflict.request;
    if (conflict.outcome == request_outcome::kPending) {
      request->id_record = conflict.id_record;
      request->id_revision = conflict.id_revision;
      continue;
    }
    if (conflict.outcome == request_outcome::kCancelled) {
      Emit(options_.log, pool_events::kCancelledBefore,
           {Field("pool", options_.pool), Field("job", request->job_id)});
    } else if (conflict.outcome != request_outcome::kNotStored) {
      Emit(options_.log, pool_events::kAcceptedBefore,
           {Field("pool", options_.pool), Field("job", request->job_id),
            Field("partition", conflict.accepted_by)});
    }
    request->accepted_by = conflict.accepted_by;
    CompleteRequest(request, conflict.outcome);
    std::erase(group.requests, request);
  }
  // An earlier attempt that is applied late is not this group.
  group.number = ++last_number_;
}

void job_journal::CompleteRequest(const request_ptr& request,
                                  request_outcome outcome) {
  const std::lock_guard lock(mutex_);
  request->outcome = outcome;
  request->changed.notify_all();
}

void job_journal::RejectRequests(commit_group& group) {
  for (const request_ptr& request : std::exchange(group.requests, {})) {
    CompleteRequest(request, request_outcome::kNotStored);
  }
}

bool job_journal::RejectCancellations(commit_group& group) {
  const auto rejected = std::stable_partition(
      group.requests.begin(), group.requests.end(),
      [](const request_ptr& request) { return request->job.has_value(); });
  if (rejected == group.requests.end()) return false;
  for (auto each = rejected; each != group.requests.end(); ++each) {
    CompleteRequest(*each, request_outcome::kNotStored);
  }
  group.requests.erase(rejected, group.requests.end());
  return true;
}

result<void> job_journal::ReadIdMarker(std::uint64_t last_tenure) {
  BOOST_LEAF_AUTO(marker, options_.kv->Get(IdMarkerKey()));
  has_id_records_ = marker && marker->value == std::to_string(last_tenure);
  return {};
}

result<void> job_journal::RestoreIdRecords(const journal_contents& contents) {
  struct restored_id {
    std::string organisation;
    bool is_open = false;
    bool is_stored = false;
  };
  std::map<std::string, restored_id> ids;
  for (const stored_job& job : contents.jobs) {
    if (job.submission.guest) continue;
    ids[job.submission.id] = {job.submission.organisation, true, false};
  }
  for (const auto& [id, job] : contents.deferred) {
    ids[id] = {job.organisation, true, false};
  }
  for (const auto& [id, state] : contents.finished) {
    if (contents.finished_guests.contains(id)) continue;
    const auto organisation = contents.finished_organisations.find(id);
    ids[id] = {organisation == contents.finished_organisations.end()
                   ? std::string()
                   : organisation->second,
               false, false};
  }
  std::vector<std::string> stale;
  BOOST_LEAF_CHECK(options_.kv->ForEach(
      std::string(kJobIdPrefix), [&](const kv_entry& entry) {
        const auto record = Attempt([&] { return DecodeJobId(entry.value); });
        if (!record || !record.value->IsAccepted()) return;
        const bool is_here = record.value->partition == options_.pool;
        const auto found = ids.find(entry.key.substr(kJobIdPrefix.size()));
        if (found == ids.end()) {
          if (is_here) stale.push_back(entry.key);
        } else if (is_here || !found->second.is_open) {
          // A finished job whose record names another partition ran tasks for
          // that one.
          found->second.is_stored = true;
        }
      }));
  BOOST_LEAF_AUTO(lease, options_.kv->GrantLease(kRestoredRecordLifetime));
  std::vector<kv_write> puts;
  for (const auto& [id, restored] : ids) {
    if (restored.is_stored) continue;
    if (!restored.is_open) leased_ids_.insert(id);
    puts.push_back({JobIdKey(id),
                    EncodeJobId({options_.pool, restored.organisation, {}}),
                    restored.is_open ? std::string() : lease});
  }
  const std::size_t restored_count = puts.size();
  const std::size_t stale_count = stale.size();
  bool is_last = false;
  while (!is_last) {
    kv_transaction writes;
    writes.conditions = {{options_.owner_key, options_.epoch},
                         {JournalKey(), journal_revision_}};
    writes.puts = {{JournalKey(), JournalValue(0), {}}};
    std::size_t entries = 0;
    for (; entries < kRestoredEntries && !puts.empty(); ++entries) {
      writes.puts.push_back(std::move(puts.back()));
      puts.pop_back();
    }
    for (; entries < kRestoredEntries && !stale.empty(); ++entries) {
      writes.removals.push_back(std::move(stale.back()));
      stale.pop_back();
    }
    is_last = puts.empty() && stale.empty();
    if (is_last) {
      writes.puts.push_back({IdMarkerKey(), std::to_string(tenure_), {}});
    }
    BOOST_LEAF_AUTO(revision, options_.kv->Commit(writes));
    journal_revision_ = revision;
  }
  has_id_records_ = true;
  Emit(options_.log, pool_events::kIdRecordsRestored,
       {Field("pool", options_.pool), Field("restored", restored_count),
        Field("deleted", stale_count)});
  return {};
}

}  // namespace apricotwheel

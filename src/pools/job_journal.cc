#include "pools/job_journal.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

#include "graph/job_footprint.h"
#include "pools/partition_table.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Key-value services limit the entries of a transaction. Two conditions, the
// journal key and the worker list are part of each.
constexpr std::size_t kMaxTransactionEntries = 32;
constexpr std::size_t kFixedEntries = 4;
// The records of a moved job in two partitions, and the record of its id.
constexpr std::size_t kMoveEntries = 5;
// The progress of a deleted job and the record of its id.
constexpr std::size_t kDeletionEntries = 2;
// Entries that are kept for requests while some wait, so that neither they nor
// the progress of running jobs can hold the other up.
constexpr std::size_t kRequestEntries = 15;
// Entries of a commit that the oldest progress gets before results. Ends are
// acknowledged only after all progress of their time is stored.
constexpr std::size_t kOldestProgressEntries = 6;
// Limit of the bytes of values in a transaction. A value that exceeds it is the
// last of its transaction.
constexpr std::size_t kMaxTransactionBytes = 256 << 10;
// Lower limit of the timeout of a commit. The store responds in milliseconds, a
// slow one in a few hundred.
constexpr auto kMinCommitTimeout = milliseconds(400);
// While the store is slow, the timeout is this multiple of the duration of the
// last commit.
constexpr int kSlowStoreFactor = 3;
constexpr auto kMaxCommitTimeout = milliseconds(2400);
// After this many attempts without a response the timeout is doubled, because
// the store may have become slower still.
constexpr int kUnansweredBeforeLongerTimeout = 8;
// A single rejection may come from a short overload of the store; after this
// many the store counts as unreachable.
constexpr int kRejectionsToUnreachable = 2;
constexpr auto kRetryInterval = milliseconds(60);
constexpr auto kLoadReportInterval = milliseconds(2000);

std::string Prefix(std::string_view kind, std::string_view pool) {
  return "apricotwheel/" + std::string(kind) + "/" + std::string(pool) + "/";
}

// Order in which jobs are loaded: has not started, priority, time of
// acceptance, id.
using load_rank = std::tuple<bool, int, std::int64_t, std::string>;

load_rank RankOf(const stored_job& job) {
  const job_submission& submission = job.submission;
  return {!job.progress.has_started, submission.queue.priority,
          submission.accepted_at_ms, submission.id};
}

// Tasks that one partition runs for another are reported by the other one, not
// by the workers here.
bool MayBeDeferred(const stored_job& job) {
  if (job.submission.guest) return false;
  return std::none_of(
      job.progress.occurrences.begin(), job.progress.occurrences.end(),
      [](const std::vector<step_progress>& steps) {
        return std::any_of(
            steps.begin(), steps.end(),
            [](const step_progress& step) { return !step.lent.empty(); });
      });
}

}  // namespace

std::string JobKey(std::string_view pool, std::string_view job_id) {
  return Prefix("jobs", pool) + std::string(job_id);
}

std::string ProgressKey(std::string_view pool, std::string_view job_id) {
  return Prefix("progress", pool) + std::string(job_id);
}

std::string MovedKey(std::string_view partition, std::string_view job_id) {
  return Prefix("moved", partition) + std::string(job_id);
}

deferred_job Defer(const stored_job& job) {
  deferred_job deferred;
  deferred.queue = job.submission.queue.name;
  deferred.organisation = job.submission.organisation;
  deferred.state = job.progress.state;
  deferred.priority = job.submission.queue.priority;
  deferred.accepted_at_ms = job.submission.accepted_at_ms;
  deferred.memory_bytes = EstimateJobMemory(job.submission);
  return deferred;
}

result<std::optional<job_state>> ReadStoredJobState(kv_client& kv,
                                                    std::string_view pool,
                                                    std::string_view job_id) {
  BOOST_LEAF_AUTO(summary, ReadStoredJob(kv, pool, job_id));
  if (!summary) return std::optional<job_state>();
  return std::optional<job_state>(summary->state);
}

result<std::optional<stored_job_summary>> ReadStoredJob(
    kv_client& kv, std::string_view pool, std::string_view job_id) {
  // The commit that stores the result of a job removes its job record. In this
  // order a missing job record proves that the result is already stored; in the
  // other order, a commit between the two reads makes the job look absent.
  BOOST_LEAF_AUTO(job, kv.Get(JobKey(pool, job_id)));
  BOOST_LEAF_AUTO(progress, kv.Get(ProgressKey(pool, job_id)));
  if (!job && !progress) return std::optional<stored_job_summary>();
  stored_job_summary summary;
  if (job) {
    // An unreadable record hides only the owner of the job, not the job.
    if (const auto stored =
            Attempt([&] { return DecodeSubmission(job->value); })) {
      summary.organisation = stored->organisation;
      summary.queue = stored->queue.name;
    }
  }
  if (progress) {
    auto decoded = DecodeProgressSummary(progress->value);
    if (!decoded) return decoded.error();
    summary.state = decoded->state;
    if (summary.organisation.empty()) {
      summary.organisation = decoded->organisation;
    }
  }
  return std::optional<stored_job_summary>(std::move(summary));
}

std::string job_journal::JournalKey() const {
  return "apricotwheel/journals/" + options_.pool;
}

std::string job_journal::WorkerListKey() const {
  return "apricotwheel/rosters/" + options_.pool;
}

job_journal::job_journal(job_journal_options options, callbacks handlers)
    : options_(std::move(options)), callbacks_(std::move(handlers)) {}

std::string job_journal::JournalValue(std::uint64_t number) const {
  return json{
      {"tenure", tenure_}, {"writer", options_.writer}, {"number", number}}
      .dump();
}

result<void> job_journal::TakeOverJournal(std::uint64_t read_revision) {
  // Writing the journal key stops delayed commits of the previous owner before
  // its records are read. The owner key already rejects those of another
  // member; the journal key also rejects those of an earlier run of this
  // process.
  kv_transaction takeover;
  takeover.conditions.push_back({options_.owner_key, options_.epoch});
  takeover.conditions.push_back({JournalKey(), read_revision});
  takeover.puts.push_back({JournalKey(), JournalValue(0), {}});
  if (has_id_records_) {
    takeover.puts.push_back({IdMarkerKey(), std::to_string(tenure_), {}});
  }
  const auto sent_at = options_.clock->Now();
  const auto written = Attempt([&] { return options_.kv->Commit(takeover); });
  if (written) {
    journal_revision_ = *written;
    callbacks_.on_ownership_confirmed(sent_at);
    return {};
  }
  if (written.failure.kind != error_kind::kConflict) {
    return Fail(written.failure);
  }
  // Either condition may have failed; only the owner key tells of a successor.
  BOOST_LEAF_AUTO(owner, options_.kv->Get(options_.owner_key));
  if (!owner || owner->revision != options_.epoch) return Fail(written.failure);
  return Fail(error_kind::kUnavailable,
              "the journal has changed since it was read",
              "load again; an earlier write may have been applied late");
}

result<journal_contents> job_journal::Load() {
  journal_contents contents;
  has_id_records_ = true;
  BOOST_LEAF_AUTO(journal, options_.kv->Get(JournalKey()));
  if (journal) {
    const json last = json::parse(journal->value, nullptr, false);
    if (!last.is_object() || !last.contains("tenure")) {
      return Fail(error_kind::kCorrupt, "the journal of the pool is malformed",
                  "restore or delete the key " + JournalKey());
    }
    const auto last_tenure = last.value("tenure", std::uint64_t{0});
    BOOST_LEAF_CHECK(ReadIdMarker(last_tenure));
    contents.tenure = last_tenure + 1;
  }
  tenure_ = contents.tenure;
  BOOST_LEAF_CHECK(TakeOverJournal(journal ? journal->revision : 0));

  BOOST_LEAF_AUTO(worker_list, options_.kv->Get(WorkerListKey()));
  if (worker_list) {
    json rows = json::parse(worker_list->value, nullptr, false);
    if (!rows.is_structured()) {
      return Fail(error_kind::kCorrupt,
                  "the worker list of the pool is malformed",
                  "restore or delete the key " + WorkerListKey());
    }
    // Earlier versions stored an array of ids, without addresses.
    if (rows.is_array()) {
      for (const json& id : rows) {
        if (id.is_string()) contents.workers[id.get<std::string>()] = "";
      }
      rows = json::object();
    }
    for (const auto& [id, address] : rows.items()) {
      contents.workers[id] =
          address.is_string() ? address.get<std::string>() : std::string();
    }
  }
  const std::string moved_prefix = Prefix("moved", options_.pool);
  BOOST_LEAF_AUTO(moved, options_.kv->List(moved_prefix));
  for (auto& entry : moved) {
    contents.moved_jobs[entry.key.substr(moved_prefix.size())] =
        std::move(entry.value);
  }
  BOOST_LEAF_CHECK(LoadJobs(contents));
  if (!has_id_records_) BOOST_LEAF_CHECK(RestoreIdRecords(contents));
  return contents;
}

std::optional<stored_job> job_journal::DecodeJob(
    const kv_entry& record, const std::string* progress) const {
  auto job = Attempt([&] { return DecodeSubmission(record.value); });
  if (!job) {
    Emit(options_.log, pool_events::kRecordInvalid,
         {Field("key", record.key), Field("reason", Describe(job.failure))});
    return std::nullopt;
  }
  stored_job stored{std::move(*job), {}};
  if (progress != nullptr) {
    auto decoded = Attempt(
        [&] { return DecodeProgress(*progress, stored.submission.graph); });
    if (decoded) {
      stored.progress = std::move(*decoded);
      return stored;
    }
    Emit(options_.log, pool_events::kRecordInvalid,
         {Field("key", ProgressKey(options_.pool, stored.submission.id)),
          Field("reason", Describe(decoded.failure))});
  }
  stored.progress = InitialProgress(stored.submission);
  return stored;
}

result<std::optional<stored_job>> job_journal::ReadJob(
    std::string_view job_id) {
  BOOST_LEAF_AUTO(record, options_.kv->Get(JobKey(options_.pool, job_id)));
  if (!record) return std::optional<stored_job>();
  BOOST_LEAF_AUTO(progress,
                  options_.kv->Get(ProgressKey(options_.pool, job_id)));
  return DecodeJob(*record, progress ? &progress->value : nullptr);
}

result<void> job_journal::LoadJobs(journal_contents& contents) {
  // By id. No other process writes the progress of this pool any more.
  std::map<std::string, std::string> progress;
  const std::string progress_prefix = Prefix("progress", options_.pool);
  BOOST_LEAF_CHECK(options_.kv->ForEach(progress_prefix, [&](kv_entry entry) {
    progress[entry.key.substr(progress_prefix.size())] = std::move(entry.value);
  }));
  // Jobs that may be deferred; those that are needed least come last.
  std::map<load_rank, stored_job> waiting;
  std::size_t waiting_bytes = 0;
  std::size_t loaded_bytes = 0;
  const std::size_t max_bytes = options_.free_job_memory();
  BOOST_LEAF_CHECK(options_.kv->ForEach(
      Prefix("jobs", options_.pool), [&](const kv_entry& entry) {
        const std::string id =
            entry.key.substr(Prefix("jobs", options_.pool).size());
        const auto found = progress.find(id);
        auto job = DecodeJob(
            entry, found == progress.end() ? nullptr : &found->second);
        if (!job) return;
        if (found != progress.end()) progress.erase(found);
        const std::size_t bytes = EstimateJobMemory(job->submission);
        if (MayBeDeferred(*job)) {
          waiting_bytes += bytes;
          waiting.emplace(RankOf(*job), std::move(*job));
        } else {
          loaded_bytes += bytes;
          contents.jobs.push_back(std::move(*job));
        }
        while (!waiting.empty() && loaded_bytes + waiting_bytes > max_bytes) {
          const auto last = std::prev(waiting.end());
          const deferred_job deferred = Defer(last->second);
          waiting_bytes -= deferred.memory_bytes;
          contents.deferred[last->second.submission.id] = deferred;
          waiting.erase(last);
        }
      }));
  for (auto& [rank, job] : waiting) contents.jobs.push_back(std::move(job));
  for (const auto& row : progress) {
    const auto state =
        Attempt([&] { return DecodeProgressSummary(row.second); });
    if (state) {
      contents.finished.emplace_back(row.first, state->state);
      if (!state->organisation.empty()) {
        contents.finished_organisations[row.first] = state->organisation;
      }
      if (state->is_guest) contents.finished_guests.insert(row.first);
    } else {
      Emit(options_.log, pool_events::kRecordInvalid,
           {Field("key", ProgressKey(options_.pool, row.first)),
            Field("reason", Describe(state.failure))});
    }
  }
  return {};
}

result<void> job_journal::Start() {
  return threads_.Spawn("pool-journal", [this] { Run(); });
}

void job_journal::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
    WakeRequests();
  }
  work_changed_.notify_one();
  result_changed_.notify_all();
  threads_.JoinAll();
}

submit_outcome job_journal::Submit(const job_submission& job,
                                   time_point deadline) {
  if (IsStoreUnreachable()) return submit_outcome::kNotStored;
  const auto pending = std::make_shared<pending_request>();
  pending->job_id = job.id;
  pending->job = job;
  pending->job_record = EncodeSubmission(job);
  pending->id_record.partition = options_.pool;
  pending->id_record.organisation = job.organisation;
  switch (AwaitRequest(pending, deadline)) {
    case request_outcome::kStored:
    case request_outcome::kAccepted:
      return submit_outcome::kStored;
    case request_outcome::kNotStored:
      return submit_outcome::kNotStored;
    case request_outcome::kCancelled:
      return submit_outcome::kCancelled;
    case request_outcome::kForbidden:
      return submit_outcome::kForbidden;
    case request_outcome::kPending:
      break;
  }
  return submit_outcome::kUnknown;
}

job_journal::request_outcome job_journal::AwaitRequest(
    const request_ptr& request, time_point deadline) {
  std::unique_lock lock(mutex_);
  if (is_stopped_ || is_store_unreachable_) return request_outcome::kNotStored;
  pending_requests_.push_back(request);
  waiting_requests_.insert(request);
  work_changed_.notify_one();
  // After a stop, a request that was sent still waits for the result of its
  // commit.
  options_.clock->WaitUntil(lock, request->changed, deadline, [&] {
    return request->outcome != request_outcome::kPending || has_ended_ ||
           (is_stopped_ && !request->is_sent);
  });
  waiting_requests_.erase(request);
  if (request->outcome == request_outcome::kPending && !request->is_sent) {
    std::erase(pending_requests_, request);
    return request_outcome::kNotStored;
  }
  return request->outcome;
}

void job_journal::WakeRequests() {
  for (const request_ptr& request : waiting_requests_) {
    request->changed.notify_all();
  }
}

bool job_journal::IsStoreUnreachable() const {
  const std::lock_guard lock(mutex_);
  return is_store_unreachable_;
}

bool job_journal::Flush(time_point deadline) {
  std::unique_lock lock(mutex_);
  const std::uint64_t target = ++requested_flushes_;
  commit_due_at_ = {};
  work_changed_.notify_one();
  options_.clock->WaitUntil(lock, result_changed_, deadline, [&] {
    return completed_flushes_ >= target || is_stopped_;
  });
  return completed_flushes_ >= target;
}

void job_journal::ScheduleMoves(std::vector<job_move> moves) {
  const std::lock_guard lock(mutex_);
  std::move(moves.begin(), moves.end(), std::back_inserter(pending_moves_));
  commit_due_at_ = {};
  work_changed_.notify_one();
}

void job_journal::DeleteMoveRecords(std::vector<std::string> job_ids) {
  const std::lock_guard lock(mutex_);
  std::move(job_ids.begin(), job_ids.end(),
            std::back_inserter(move_records_to_delete_));
}

void job_journal::ScheduleCommit(duration delay) {
  const std::lock_guard lock(mutex_);
  const auto due = options_.clock->Now() + delay;
  if (due >= commit_due_at_) return;
  commit_due_at_ = due;
  work_changed_.notify_one();
}

bool job_journal::StoreWorkerList(
    const std::map<std::string, std::string>& workers, time_point deadline) {
  std::unique_lock lock(mutex_);
  worker_list_ = workers;
  const std::uint64_t target = ++worker_list_version_;
  commit_due_at_ = {};
  work_changed_.notify_one();
  options_.clock->WaitUntil(lock, result_changed_, deadline, [&] {
    return stored_worker_list_version_ >= target || is_stopped_;
  });
  return stored_worker_list_version_ >= target;
}

void job_journal::TakeSnapshot(std::uint64_t flush) {
  progress_batch batch = callbacks_.take_progress();
  progress_snapshot snapshot;
  snapshot.number = ++last_snapshot_;
  snapshot.ends_by_worker = std::move(batch.ends_by_worker);
  snapshot.flush = flush;
  snapshot.taken_at = options_.clock->Now();
  std::map<std::string_view, waiting_progress*> waiting;
  for (waiting_progress& entry : waiting_progress_) {
    waiting[entry.job.job_id] = &entry;
  }
  std::vector<waiting_progress> added;
  for (progress_batch::entry& job : batch.jobs) {
    const auto found = waiting.find(job.job_id);
    if (found != waiting.end()) {
      // Keeps its place, so that a job that changes often is stored too.
      found->second->job.progress = std::move(job.progress);
    } else {
      added.push_back({std::move(job), snapshot.number});
    }
  }
  std::move(added.begin(), added.end(), std::back_inserter(waiting_progress_));
  std::move(batch.jobs_to_delete.begin(), batch.jobs_to_delete.end(),
            std::back_inserter(waiting_deletions_));
  snapshots_.push_back(std::move(snapshot));
}

std::size_t job_journal::AddProgress(commit_group& group, std::size_t entries,
                                     std::size_t max_entries) {
  std::vector<bool> is_added(waiting_progress_.size(), false);
  const auto add = [&](std::size_t index, std::size_t limit) {
    waiting_progress& entry = waiting_progress_[index];
    const bool is_final = IsFinal(entry.job.progress.state);
    const std::size_t needed = is_final ? 2 : 1;
    if (is_added[index] || entries + needed > limit) return;
    group.writes.puts.push_back({ProgressKey(options_.pool, entry.job.job_id),
                                 EncodeProgress(entry.job.progress),
                                 {}});
    if (is_final) {
      group.writes.removals.push_back(JobKey(options_.pool, entry.job.job_id));
    }
    entries += needed;
    is_added[index] = true;
    group.progress.jobs.push_back(std::move(entry.job));
  };
  const std::size_t oldest_limit =
      std::min(entries + kOldestProgressEntries, max_entries);
  for (std::size_t i = 0; i < is_added.size(); ++i) add(i, oldest_limit);
  // Callers wait for results and cancellations, so these come next.
  for (std::size_t i = 0; i < is_added.size(); ++i) {
    if (!is_added[i] && IsFinal(waiting_progress_[i].job.progress.state)) {
      add(i, max_entries);
    }
  }
  for (std::size_t i = 0; i < is_added.size(); ++i) add(i, max_entries);
  std::vector<waiting_progress> left;
  for (std::size_t i = 0; i < is_added.size(); ++i) {
    if (!is_added[i]) left.push_back(std::move(waiting_progress_[i]));
  }
  waiting_progress_ = std::move(left);
  return entries;
}

std::size_t job_journal::AddMoves(commit_group& group, std::size_t entries) {
  while (!pending_moves_.empty() &&
         entries + kMoveEntries <= kMaxTransactionEntries) {
    entries += kMoveEntries;
    group.moves.push_back(std::move(pending_moves_.front()));
    pending_moves_.pop_front();
  }
  return entries;
}

void job_journal::RejectMoves(commit_group& group) {
  if (group.moves.empty()) return;
  callbacks_.on_moves_rejected(std::exchange(group.moves, {}));
}

void job_journal::AddCompletedSnapshots(commit_group& group) {
  std::uint64_t first_incomplete = last_snapshot_ + 1;
  for (const waiting_progress& entry : waiting_progress_) {
    first_incomplete = std::min(first_incomplete, entry.snapshot);
  }
  while (!snapshots_.empty() && snapshots_.front().number < first_incomplete) {
    progress_snapshot& snapshot = snapshots_.front();
    for (const auto& [worker, position] : snapshot.ends_by_worker) {
      group.progress.ends_by_worker[worker] = position;
    }
    group.flush = snapshot.flush;
    load_.ends_waited = std::max<duration>(
        load_.ends_waited, options_.clock->Now() - snapshot.taken_at);
    snapshots_.pop_front();
  }
}

job_journal::commit_group job_journal::CollectGroup(std::uint64_t flush) {
  commit_group group;
  group.number = ++last_number_;
  TakeSnapshot(flush);
  std::size_t reserved = 0;
  {
    const std::lock_guard lock(mutex_);
    group.worker_list_version = worker_list_version_;
    if (worker_list_version_ > stored_worker_list_version_) {
      group.writes.puts.push_back(
          {WorkerListKey(), json(worker_list_).dump(), {}});
    }
    for (const request_ptr& request : pending_requests_) {
      if (reserved >= kRequestEntries) break;
      reserved += EntriesOf(*request);
    }
    reserved = std::min(reserved, kRequestEntries);
  }
  std::size_t entries =
      AddProgress(group, kFixedEntries + (ChecksTable() ? 1 : 0),
                  kMaxTransactionEntries - reserved);
  {
    const std::lock_guard lock(mutex_);
    entries = AddRequests(group, entries);
  }
  {
    const std::lock_guard lock(mutex_);
    entries = AddMoves(group, entries);
    if (!pending_moves_.empty()) commit_due_at_ = {};
    // They go with other writes. What a failed commit leaves is deleted by the
    // next owner.
    while (!move_records_to_delete_.empty() &&
           entries < kMaxTransactionEntries) {
      group.writes.removals.push_back(
          MovedKey(options_.pool, move_records_to_delete_.back()));
      move_records_to_delete_.pop_back();
      ++entries;
    }
  }
  // A job whose progress still waits is deleted after that is stored.
  while (!waiting_deletions_.empty() && waiting_progress_.empty() &&
         entries + kDeletionEntries <= kMaxTransactionEntries) {
    progress_batch::deletion& job = waiting_deletions_.back();
    group.writes.removals.push_back(ProgressKey(options_.pool, job.job_id));
    if (!job.is_guest && leased_ids_.erase(job.job_id) == 0) {
      group.writes.removals.push_back(JobIdKey(job.job_id));
    }
    group.progress.jobs_to_delete.push_back(std::move(job));
    waiting_deletions_.pop_back();
    entries += kDeletionEntries;
  }
  AddCompletedSnapshots(group);
  if (!snapshots_.empty()) {
    load_.ends_waited = std::max<duration>(
        load_.ends_waited, options_.clock->Now() - snapshots_.front().taken_at);
  }
  if (!waiting_progress_.empty() || !waiting_deletions_.empty()) {
    ++load_.partial;
    load_.most_deferred =
        std::max(load_.most_deferred, waiting_progress_.size());
    ScheduleCommit({});
  }
  return group;
}

std::size_t job_journal::EntriesOf(const pending_request& request) const {
  if (!request.job) return 2;        // The record of the id, with a condition.
  if (request.job->guest) return 1;  // The record of the job.
  return options_.first_partition.empty() ? 3 : 5;
}

std::size_t job_journal::AddRequests(commit_group& group, std::size_t entries) {
  std::size_t bytes = 0;
  while (!pending_requests_.empty() && bytes < kMaxTransactionBytes) {
    const request_ptr next = pending_requests_.front();
    if (next->job && !IsHome(*next->job)) {
      pending_requests_.pop_front();
      next->outcome = request_outcome::kNotStored;
      next->changed.notify_all();
      continue;
    }
    if (entries + EntriesOf(*next) > kMaxTransactionEntries) break;
    // A transaction can decide about an id only once.
    if (std::any_of(group.requests.begin(), group.requests.end(),
                    [&](const request_ptr& each) {
                      return each->job_id == next->job_id;
                    })) {
      break;
    }
    pending_requests_.pop_front();
    next->is_sent = true;
    entries += EntriesOf(*next);
    bytes += next->job_record.size();
    group.requests.push_back(next);
  }
  return entries;
}

bool job_journal::ChecksTable() const {
  return !options_.partitions_key.empty() && partition_count_ == 1;
}

void job_journal::AddRequest(kv_transaction& writes,
                             const pending_request& request) const {
  if (request.job) {
    writes.puts.push_back(
        {JobKey(options_.pool, request.job_id), request.job_record, {}});
    if (request.job->guest) return;
    if (!options_.first_partition.empty()) {
      writes.conditions.push_back(
          {JobKey(options_.first_partition, request.job_id), 0});
      writes.conditions.push_back(
          {ProgressKey(options_.first_partition, request.job_id), 0});
    }
  }
  writes.conditions.push_back({JobIdKey(request.job_id), request.id_revision});
  writes.puts.push_back({JobIdKey(request.job_id),
                         EncodeJobId(request.id_record), request.lease_id});
}

kv_transaction job_journal::MakeTransaction(const commit_group& group) const {
  kv_transaction writes = group.writes;
  writes.conditions = {{options_.owner_key, options_.epoch},
                       {JournalKey(), journal_revision_}};
  writes.puts.push_back({JournalKey(), JournalValue(group.number), {}});
  bool has_submission = false;
  for (const request_ptr& request : group.requests) {
    AddRequest(writes, *request);
    has_submission = has_submission || request->job.has_value();
  }
  if (has_submission && ChecksTable()) {
    writes.conditions.push_back({options_.partitions_key, 0});
  }
  for (const job_move& move : group.moves) {
    const std::string& id = move.job.id;
    job_submission moved = move.job;
    moved.queue.pool = move.target;
    writes.puts.push_back(
        {JobKey(move.target, id), EncodeSubmission(moved), {}});
    writes.puts.push_back({MovedKey(options_.pool, id), move.target, {}});
    writes.puts.push_back(
        {JobIdKey(id), EncodeJobId({move.target, moved.organisation, {}}), {}});
    writes.removals.push_back(JobKey(options_.pool, id));
    writes.removals.push_back(ProgressKey(options_.pool, id));
  }
  return writes;
}

job_journal::commit_state job_journal::ReadBackCommit(const commit_group& group,
                                                      duration timeout) {
  const auto read =
      Attempt([&] { return options_.kv->Get(JournalKey(), timeout); });
  if (!read) return commit_state::kUnknown;
  const std::uint64_t revision =
      *read.value ? (*read.value)->revision : std::uint64_t{0};
  if (revision == journal_revision_) return commit_state::kNotCommitted;
  if (!*read.value || (*read.value)->value != JournalValue(group.number)) {
    return commit_state::kSuperseded;
  }
  journal_revision_ = revision;
  return commit_state::kCommitted;
}

bool job_journal::WaitForRetry() {
  std::unique_lock lock(mutex_);
  options_.clock->WaitFor(lock, work_changed_, kRetryInterval,
                          [&] { return is_stopped_; });
  return !is_stopped_;
}

bool job_journal::CommitGroup(commit_group& group) {
  bool may_be_applied = false;
  int rejected_attempts = 0;
  int unanswered_attempts = 0;
  duration timeout =
      std::clamp<duration>(last_commit_duration_ * kSlowStoreFactor,
                           kMinCommitTimeout, kMaxCommitTimeout);
  const auto started_at = options_.clock->Now();
  const auto report_success = [&] {
    const std::chrono::duration<double> took =
        options_.clock->Now() - started_at;
    options_.metrics->commit_seconds.Observe(took.count());
    SetStoreUnreachable(false);
    return true;
  };
  while (true) {
    const kv_transaction writes = MakeTransaction(group);
    const auto sent_at = options_.clock->Now();
    const auto written =
        Attempt([&] { return options_.kv->Commit(writes, timeout); });
    if (written) {
      journal_revision_ = *written;
      last_commit_duration_ = options_.clock->Now() - sent_at;
      callbacks_.on_ownership_confirmed(sent_at);
      return report_success();
    }
    const error_kind kind = written.failure.kind;
    if (kind == error_kind::kConflict) {
      const commit_state state = HandleConflict(group, may_be_applied, timeout);
      if (state == commit_state::kCommitted) return report_success();
      if (state == commit_state::kSuperseded) return false;
      if (state == commit_state::kUnknown && !WaitForRetry()) return false;
      continue;
    }
    if (kind == error_kind::kNotFound && RejectCancellations(group)) continue;
    options_.metrics->commit_failures.Increment();
    Emit(options_.log, pool_events::kCommitFailed,
         {Field("pool", options_.pool), Field("number", group.number),
          Field("reason", Describe(written.failure))});
    if (kind == error_kind::kUnavailable) {
      if (++rejected_attempts >= kRejectionsToUnreachable)
        SetStoreUnreachable(true);
      if (!may_be_applied) {
        RejectRequests(group);
        RejectMoves(group);
      }
    } else {
      // This attempt, or an earlier one, may have taken effect.
      may_be_applied = true;
      const commit_state state = ReadBackCommit(group, timeout);
      if (state == commit_state::kCommitted) return report_success();
      if (state == commit_state::kSuperseded) return false;
      if (state == commit_state::kNotCommitted) {
        // The store serves reads but not this write; the write may need a
        // longer timeout.
        timeout = std::min<duration>(timeout * 2, kMaxCommitTimeout);
        const std::lock_guard lock(mutex_);
        if (is_stopped_) return false;
        continue;
      }
      SetStoreUnreachable(true);
      if (++unanswered_attempts >= kUnansweredBeforeLongerTimeout) {
        timeout = std::min<duration>(timeout * 2, kMaxCommitTimeout);
      }
    }
    if (!WaitForRetry()) return false;
  }
}

bool job_journal::IsHome(const job_submission& job) const {
  return job.guest || HomePartition(job.id, partition_count_) == 0;
}

void job_journal::SetStoreUnreachable(bool is_unreachable) {
  {
    const std::lock_guard lock(mutex_);
    is_store_unreachable_ = is_unreachable;
    if (!is_unreachable) return;
    // Requests that were not sent do not wait for the store.
    for (const request_ptr& request : std::exchange(pending_requests_, {})) {
      request->outcome = request_outcome::kNotStored;
      request->changed.notify_all();
    }
  }
  result_changed_.notify_all();
  if (callbacks_.on_store_unreachable) callbacks_.on_store_unreachable();
}

void job_journal::ReportLoadIfDue() {
  const auto now = options_.clock->Now();
  if (now - load_reported_at_ < kLoadReportInterval) return;
  load_reported_at_ = now;
  Emit(options_.log, pool_events::kJournalLoad,
       {Field("pool", options_.pool), Field("commits", load_.commits),
        Field("partial", load_.partial),
        Field("most_deferred", load_.most_deferred),
        Field("commit_ms", ToMs(load_.longest_commit)),
        Field("ends_waited_ms", ToMs(load_.ends_waited))});
  load_ = {};
}

void job_journal::CompleteRequests(commit_group& group) {
  for (const request_ptr& request : group.requests) {
    if (request->job) callbacks_.on_job_accepted(*request->job);
  }
  {
    const std::lock_guard lock(mutex_);
    for (const request_ptr& request : group.requests) {
      request->outcome = request_outcome::kStored;
      request->changed.notify_all();
      if (!request->job) continue;
      // Copies and cancellations that arrived while the result was unknown.
      std::erase_if(pending_requests_, [&](const request_ptr& later) {
        if (later->job_id != request->job_id) return false;
        later->accepted_by = options_.pool;
        later->outcome = request_outcome::kAccepted;
        later->changed.notify_all();
        return true;
      });
    }
  }
  result_changed_.notify_all();
}

void job_journal::Run() {
  RunCommits();
  {
    const std::lock_guard lock(mutex_);
    has_ended_ = true;
    WakeRequests();
  }
  result_changed_.notify_all();
}

void job_journal::RunCommits() {
  while (true) {
    std::uint64_t flush = 0;
    {
      std::unique_lock lock(mutex_);
      const auto due = [&] {
        return is_stopped_ || !pending_requests_.empty() ||
               options_.clock->Now() >= commit_due_at_;
      };
      while (!due()) {
        const auto until = commit_due_at_;
        options_.clock->WaitUntil(lock, work_changed_, until, [&] {
          return due() || commit_due_at_ != until;
        });
      }
      if (is_stopped_) return;
      commit_due_at_ = time_point::max();
      flush = requested_flushes_;  // A later flush needs another group.
    }
    commit_group group = CollectGroup(flush);
    const bool is_empty = group.requests.empty() && group.moves.empty() &&
                          group.writes.puts.empty() &&
                          group.writes.removals.empty();
    // A group with ends only, of jobs whose progress did not change, needs no
    // write.
    const auto sent_at = options_.clock->Now();
    const bool is_stored = is_empty || CommitGroup(group);
    if (!is_empty) {
      ++load_.commits;
      load_.longest_commit = std::max<duration>(
          load_.longest_commit, options_.clock->Now() - sent_at);
    }
    ReportLoadIfDue();
    if (is_stored) {
      callbacks_.on_progress_stored(group.progress);
      if (!group.moves.empty()) callbacks_.on_jobs_moved(group.moves);
    } else {
      callbacks_.on_progress_failed(group.progress);
    }
    {
      const std::lock_guard lock(mutex_);
      if (is_stored) {
        completed_flushes_ = std::max(completed_flushes_, group.flush);
        stored_worker_list_version_ =
            std::max(stored_worker_list_version_, group.worker_list_version);
      }
      // If the journal stops, the results of requests in flight are unknown.
      if (!is_stored) {
        is_stopped_ = true;
        WakeRequests();
      }
    }
    if (is_stored) {
      CompleteRequests(group);
      continue;
    }
    result_changed_.notify_all();
    callbacks_.on_superseded();
    return;
  }
}

}  // namespace apricotwheel

#include "pools/job_journal.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Key-value services bound the entries of a transaction; two conditions, the
// journal key and the list of workers are in each.
constexpr std::size_t kMaxEntries = 32;
constexpr std::size_t kFixedEntries = 4;
// Bytes of values in a transaction.
constexpr std::size_t kMaxGroupBytes = 256 << 10;
// The store answers in milliseconds, a slow one in some hundred. After a while
// without any answer it may be slower still.
constexpr auto kCallTimeout = milliseconds(400);
// While the store is slow, a call is given this many times as long as the last
// one took.
constexpr int kSlowStoreFactor = 3;
constexpr auto kLongestCallTimeout = milliseconds(2400);
constexpr int kSilentTriesBeforeLonger = 8;
// A single refusal may be a full moment; after more the store is taken as lost.
constexpr int kRefusedTriesToDoubt = 2;
constexpr auto kRetryPause = milliseconds(60);

std::string Prefix(std::string_view kind, std::string_view pool) {
  return "apricotwheel/" + std::string(kind) + "/" + std::string(pool) + "/";
}

}  // namespace

std::string JobKey(std::string_view pool, std::string_view job_id) {
  return Prefix("jobs", pool) + std::string(job_id);
}

std::string ProgressKey(std::string_view pool, std::string_view job_id) {
  return Prefix("progress", pool) + std::string(job_id);
}

std::string job_journal::JournalKey() const {
  return "apricotwheel/journals/" + options_.pool;
}

std::string job_journal::RosterKey() const {
  return "apricotwheel/rosters/" + options_.pool;
}

job_journal::job_journal(job_journal_options options, callbacks calls)
    : options_(std::move(options)), calls_(std::move(calls)) {}

std::string job_journal::JournalValue(std::uint64_t number) const {
  return json{
      {"tenure", tenure_}, {"writer", options_.writer}, {"number", number}}
      .dump();
}

result<journal_contents> job_journal::Load() {
  journal_contents contents;
  BOOST_LEAF_AUTO(journal, options_.kv->Get(JournalKey()));
  if (journal) {
    const json last = json::parse(journal->value, nullptr, false);
    if (!last.is_object() || !last.contains("tenure")) {
      return Fail(error_kind::kCorrupt, "the journal of the pool is malformed",
                  "restore or delete the key " + JournalKey());
    }
    contents.tenure = last.value("tenure", std::uint64_t{0}) + 1;
  }
  tenure_ = contents.tenure;
  // Ends the predecessor's commits before its records are read. Its own
  // condition on the owner key has failed already; this fences what an earlier
  // life of this process may have sent.
  kv_transaction take;
  take.conditions.push_back({options_.owner_key, options_.epoch});
  take.conditions.push_back({JournalKey(), journal ? journal->revision : 0});
  take.puts.push_back({JournalKey(), JournalValue(0), {}});
  BOOST_LEAF_ASSIGN(journal_revision_, options_.kv->Commit(take));

  BOOST_LEAF_AUTO(roster, options_.kv->Get(RosterKey()));
  if (roster) {
    json rows = json::parse(roster->value, nullptr, false);
    if (!rows.is_structured()) {
      return Fail(error_kind::kCorrupt, "the roster of the pool is malformed",
                  "restore or delete the key " + RosterKey());
    }
    // Earlier versions stored the ids alone.
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
  BOOST_LEAF_AUTO(jobs, options_.kv->List(Prefix("jobs", options_.pool)));
  BOOST_LEAF_AUTO(rows, options_.kv->List(Prefix("progress", options_.pool)));
  std::map<std::string, std::string> progress;
  const std::size_t skip = Prefix("progress", options_.pool).size();
  for (auto& row : rows) {
    progress[row.key.substr(skip)] = std::move(row.value);
  }
  for (const auto& entry : jobs) {
    auto job = Attempt([&] { return DecodeSubmission(entry.value); });
    if (!job) {
      Emit(options_.log, pool_events::kRecordInvalid,
           {Field("key", entry.key), Field("reason", Describe(job.failure))});
      continue;
    }
    stored_job stored{std::move(*job), {}};
    stored.progress = InitialProgress(stored.submission.graph);
    const auto found = progress.find(stored.submission.id);
    if (found != progress.end()) {
      auto decoded = Attempt([&] {
        return DecodeProgress(found->second, stored.submission.graph);
      });
      if (decoded) {
        stored.progress = std::move(*decoded);
      } else {
        Emit(options_.log, pool_events::kRecordInvalid,
             {Field("key", ProgressKey(options_.pool, stored.submission.id)),
              Field("reason", Describe(decoded.failure))});
      }
      progress.erase(found);
    }
    contents.jobs.push_back(std::move(stored));
  }
  for (const auto& row : progress) {
    const auto state = Attempt([&] { return DecodeProgressState(row.second); });
    if (state) {
      contents.finished.emplace_back(row.first, *state);
    } else {
      Emit(options_.log, pool_events::kRecordInvalid,
           {Field("key", ProgressKey(options_.pool, row.first)),
            Field("reason", Describe(state.failure))});
    }
  }
  return contents;
}

result<void> job_journal::Start() {
  return threads_.Spawn("pool-journal", [this] { Run(); });
}

void job_journal::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  threads_.JoinAll();
}

submit_outcome job_journal::Submit(const job_submission& job,
                                   time_point deadline) {
  const auto pending = std::make_shared<pending_submission>();
  pending->job = job;
  std::unique_lock lock(mutex_);
  if (is_stopped_ || is_store_lost_) return submit_outcome::kNotStored;
  waiting_.push_back(pending);
  changed_.notify_all();
  // What is sent is soon known, also after a stop.
  options_.clock->WaitUntil(lock, changed_, deadline, [&] {
    return pending->is_done || has_ended_ || (is_stopped_ && !pending->is_sent);
  });
  if (pending->is_stored) return submit_outcome::kStored;
  if (pending->is_done) return submit_outcome::kNotStored;
  if (pending->is_sent) return submit_outcome::kUnknown;
  std::erase(waiting_, pending);
  return submit_outcome::kNotStored;
}

bool job_journal::IsStoreLost() const {
  const std::lock_guard lock(mutex_);
  return is_store_lost_;
}

bool job_journal::Flush(time_point deadline) {
  std::unique_lock lock(mutex_);
  const std::uint64_t wanted = ++flush_wanted_;
  due_at_ = {};
  changed_.notify_all();
  options_.clock->WaitUntil(lock, changed_, deadline, [&] {
    return flush_done_ >= wanted || is_stopped_;
  });
  return flush_done_ >= wanted;
}

void job_journal::Wake(duration delay) {
  const std::lock_guard lock(mutex_);
  const auto due = options_.clock->Now() + delay;
  if (due >= due_at_) return;
  due_at_ = due;
  changed_.notify_all();
}

bool job_journal::StoreWorkers(
    const std::map<std::string, std::string>& workers, time_point deadline) {
  std::unique_lock lock(mutex_);
  roster_ = workers;
  const std::uint64_t wanted = ++roster_version_;
  due_at_ = {};
  changed_.notify_all();
  options_.clock->WaitUntil(lock, changed_, deadline, [&] {
    return roster_stored_ >= wanted || is_stopped_;
  });
  return roster_stored_ >= wanted;
}

job_journal::group job_journal::Collect() {
  group work;
  work.number = ++number_;
  work.writes.conditions = {{options_.owner_key, options_.epoch},
                            {JournalKey(), journal_revision_}};
  work.writes.puts.push_back({JournalKey(), JournalValue(work.number), {}});
  std::size_t entries = kFixedEntries;
  std::size_t bytes = 0;
  {
    const std::lock_guard lock(mutex_);
    work.roster_version = roster_version_;
    if (roster_version_ > roster_stored_) {
      work.writes.puts.push_back({RosterKey(), json(roster_).dump(), {}});
    }
    while (!waiting_.empty() && entries < kMaxEntries &&
           bytes < kMaxGroupBytes) {
      submission_ptr next = waiting_.front();
      waiting_.pop_front();
      next->is_sent = true;
      work.writes.puts.push_back({JobKey(options_.pool, next->job.id),
                                  EncodeSubmission(next->job),
                                  {}});
      bytes += work.writes.puts.back().value.size();
      ++entries;
      work.submissions.push_back(std::move(next));
    }
  }
  progress_batch all = calls_.take_progress();
  progress_batch later;
  for (auto& entry : all.jobs) {
    const bool is_final = IsFinal(entry.progress.state);
    const std::size_t needed = is_final ? 2 : 1;
    if (entries + needed > kMaxEntries) {
      later.jobs.push_back(std::move(entry));
      continue;
    }
    work.writes.puts.push_back({ProgressKey(options_.pool, entry.job_id),
                                EncodeProgress(entry.progress),
                                {}});
    if (is_final) {
      work.writes.removals.push_back(JobKey(options_.pool, entry.job_id));
    }
    entries += needed;
    work.progress.jobs.push_back(std::move(entry));
  }
  for (std::string& id : all.jobs_to_delete) {
    if (entries >= kMaxEntries) {
      later.jobs_to_delete.push_back(std::move(id));
      continue;
    }
    work.writes.removals.push_back(ProgressKey(options_.pool, id));
    work.progress.jobs_to_delete.push_back(std::move(id));
    ++entries;
  }
  // Ends may be acknowledged only once the progress of all jobs is stored.
  work.is_partial = !later.jobs.empty() || !later.jobs_to_delete.empty();
  (work.is_partial ? later : work.progress).ends_by_worker =
      std::move(all.ends_by_worker);
  if (work.is_partial) {
    calls_.failed(later);
    Wake({});
  }
  return work;
}

job_journal::commit_state job_journal::ReadBack(const group& work,
                                                duration timeout) {
  const auto read =
      Attempt([&] { return options_.kv->Get(JournalKey(), timeout); });
  if (!read) return commit_state::kUnknown;
  const std::uint64_t revision =
      *read.value ? (*read.value)->revision : std::uint64_t{0};
  if (revision == journal_revision_) return commit_state::kOpen;
  if (!*read.value || (*read.value)->value != work.writes.puts.front().value) {
    return commit_state::kOvertaken;
  }
  journal_revision_ = revision;
  return commit_state::kDone;
}

bool job_journal::CommitGroup(group& work) {
  bool may_have_run = false;
  int refused_tries = 0;
  int silent_tries = 0;
  duration timeout = std::clamp<duration>(last_commit_ * kSlowStoreFactor,
                                          kCallTimeout, kLongestCallTimeout);
  const auto started_at = options_.clock->Now();
  const auto succeed = [&] {
    const std::chrono::duration<double> took =
        options_.clock->Now() - started_at;
    options_.metrics->commit_seconds.Observe(took.count());
    SetStoreLost(false);
    return true;
  };
  while (true) {
    const auto sent_at = options_.clock->Now();
    const auto written =
        Attempt([&] { return options_.kv->Commit(work.writes, timeout); });
    if (written) {
      journal_revision_ = *written;
      last_commit_ = options_.clock->Now() - sent_at;
      return succeed();
    }
    const error_kind kind = written.failure.kind;
    if (kind == error_kind::kConflict && !may_have_run) {
      RefuseSubmissions(work);
      return false;
    }
    options_.metrics->commit_failures.Increment();
    Emit(options_.log, pool_events::kCommitFailed,
         {Field("pool", options_.pool), Field("number", work.number),
          Field("reason", Describe(written.failure))});
    if (kind == error_kind::kUnavailable) {
      if (++refused_tries >= kRefusedTriesToDoubt) SetStoreLost(true);
      if (!may_have_run) RefuseSubmissions(work);
    } else {
      // This try, or an earlier one, may have taken effect.
      may_have_run = true;
      const commit_state state = ReadBack(work, timeout);
      if (state == commit_state::kDone) return succeed();
      if (state == commit_state::kOvertaken) return false;
      if (state == commit_state::kOpen) {
        // The journal is unchanged, so it was the owner key that has changed.
        if (kind == error_kind::kConflict) {
          RefuseSubmissions(work);
          return false;
        }
        // It reads but does not write: it may need longer for that.
        timeout = std::min<duration>(timeout * 2, kLongestCallTimeout);
        const std::lock_guard lock(mutex_);
        if (is_stopped_) return false;
        continue;
      }
      SetStoreLost(true);
      if (++silent_tries >= kSilentTriesBeforeLonger) {
        timeout = std::min<duration>(timeout * 2, kLongestCallTimeout);
      }
    }
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, changed_, kRetryPause,
                            [&] { return is_stopped_; });
    if (is_stopped_) return false;
  }
}

// Nothing of the group has reached the store, so its submitters may be told so.
void job_journal::RefuseSubmissions(group& work) {
  Finish(work, false);
  work.submissions.clear();
  const std::string prefix = Prefix("jobs", options_.pool);
  std::erase_if(work.writes.puts, [&](const kv_write& put) {
    return put.key.starts_with(prefix);
  });
}

void job_journal::SetStoreLost(bool is_lost) {
  {
    const std::lock_guard lock(mutex_);
    is_store_lost_ = is_lost;
    if (!is_lost) return;
    // Those that were not sent need not wait for the store.
    for (const submission_ptr& one : std::exchange(waiting_, {})) {
      one->is_done = true;
    }
  }
  changed_.notify_all();
  if (calls_.store_lost) calls_.store_lost();
}

void job_journal::Finish(group& work, bool is_stored) {
  if (is_stored) {
    for (const auto& one : work.submissions) calls_.accepted(one->job);
  }
  {
    const std::lock_guard lock(mutex_);
    for (const auto& one : work.submissions) {
      one->is_stored = is_stored;
      one->is_done = true;
    }
  }
  changed_.notify_all();
}

void job_journal::Run() {
  CommitGroups();
  {
    const std::lock_guard lock(mutex_);
    has_ended_ = true;
  }
  changed_.notify_all();
}

void job_journal::CommitGroups() {
  while (true) {
    std::uint64_t flush = 0;
    {
      std::unique_lock lock(mutex_);
      const auto due = [&] {
        return is_stopped_ || !waiting_.empty() ||
               options_.clock->Now() >= due_at_;
      };
      while (!due()) {
        const auto until = due_at_;
        options_.clock->WaitUntil(lock, changed_, until,
                                  [&] { return due() || due_at_ != until; });
      }
      if (is_stopped_) return;
      due_at_ = time_point::max();
      flush = flush_wanted_;  // What is wanted later needs another group.
    }
    group work = Collect();
    const bool is_empty =
        work.submissions.empty() && work.progress.jobs.empty() &&
        work.writes.puts.size() == 1 && work.writes.removals.empty();
    // Ends of tasks whose jobs did not change need no write.
    const bool is_stored = is_empty || CommitGroup(work);
    if (is_stored) {
      calls_.stored(work.progress);
    } else {
      calls_.failed(work.progress);
    }
    {
      const std::lock_guard lock(mutex_);
      if (is_stored) {
        if (!work.is_partial) flush_done_ = std::max(flush_done_, flush);
        roster_stored_ = std::max(roster_stored_, work.roster_version);
      }
      // What is left of a group of a stopped journal is unknown, not refused.
      if (!is_stored) is_stopped_ = true;
    }
    if (is_stored) {
      Finish(work, true);
      continue;
    }
    changed_.notify_all();
    calls_.succeeded();
    return;
  }
}

}  // namespace apricotwheel

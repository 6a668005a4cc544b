#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clients/kv_client.h"
#include "graph/graph_codec.h"
#include "graph/pool_scheduler.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "pools/caller_identity.h"
#include "pools/job_id_record.h"
#include "pools/pool_metrics.h"

namespace apricotwheel {

// Keys of the records of a job in the key-value service.
std::string JobKey(std::string_view pool, std::string_view job_id);
std::string ProgressKey(std::string_view pool, std::string_view job_id);

// Key of the record that says which partition a job was moved to.
std::string MovedKey(std::string_view partition, std::string_view job_id);

struct stored_job_summary {
  job_state state = job_state::kQueued;
  std::string organisation;  // Empty if it names none.
  std::string queue;         // Empty if the job is finished.
};

// Reads a stored job without its owner. Returns null for a job that is not
// stored.
result<std::optional<stored_job_summary>> ReadStoredJob(
    kv_client& kv, std::string_view pool, std::string_view job_id);
// The same for readers that need only the state.
result<std::optional<job_state>> ReadStoredJobState(kv_client& kv,
                                                    std::string_view pool,
                                                    std::string_view job_id);

struct stored_job {
  job_submission submission;
  job_progress progress;
};

// A stored job that is not loaded, for want of memory.
struct deferred_job {
  std::string queue;
  std::string organisation;
  job_state state = job_state::kQueued;
  int priority = 0;
  std::int64_t accepted_at_ms = 0;  // Unix time.
  std::size_t memory_bytes = 0;     // See `EstimateJobMemory`.
};
deferred_job Defer(const stored_job& job);

// The stored state of a pool, as a new owner loads it.
struct journal_contents {
  // Number of earlier takeovers of the journal, including those of failed calls
  // of `Load`. Determines the range of run numbers of this owner. The epoch, in
  // contrast, is the store's revision of the owner key.
  std::uint64_t tenure = 0;
  std::vector<stored_job> jobs;
  std::map<std::string, deferred_job, std::less<>> deferred;  // By id.
  // Final states of finished jobs by id; their graphs are not kept.
  std::vector<std::pair<std::string, job_state>> finished;
  // By id, of the finished jobs that name one.
  std::map<std::string, std::string> finished_organisations;
  std::set<std::string> finished_guests;  // See `job_progress`.
  // Addresses, by id, of the workers that earlier owners may have used.
  std::map<std::string, std::string> workers;
  // Partitions, by id, of the jobs that were accepted here and moved there.
  std::map<std::string, std::string> moved_jobs;
};

// A job that has not started, and the partition to which it moves.
struct job_move {
  job_submission job;
  std::string target;
};

enum class submit_outcome {
  kStored,     // Now, or accepted before by any pool.
  kNotStored,  // Certainly not stored, now or later.
  kUnknown,    // The commit got no response in time.
  kCancelled,  // Not stored: the id was cancelled before.
  kForbidden,  // Not stored: a job of another organisation has the id.
};

enum class id_cancellation_outcome {
  kStored,     // No job with the id was accepted, and none will be.
  kAccepted,   // A job with the id was accepted before.
  kNotStored,  // A retry may succeed.
  kUnknown,    // The commit got no response in time.
  kRefused,    // The owner stores no more of them now.
};
struct id_cancellation {
  id_cancellation_outcome outcome = id_cancellation_outcome::kUnknown;
  std::string partition;  // Of the accepted job.
};

struct job_journal_options {
  std::string pool;  // Or a partition of one.
  // Set if the pool is divided and this is not its first partition. That one
  // may have accepted any job before the division, so a job is stored only if
  // it has no record there.
  std::string first_partition;
  // Set for a first partition that may be divided: the key of the partition
  // table. Until the table is stored, the partition accepts all jobs.
  std::string partitions_key;
  std::string owner_key;
  std::uint64_t epoch = 0;  // Revision of the owner key.
  std::string writer;       // Member id.
  // Memory that loaded jobs may take. Beyond it, those that have not started
  // are deferred first, and of these the least urgent.
  std::function<std::size_t()> free_job_memory = [] {
    return std::numeric_limits<std::size_t>::max();
  };
  kv_client* kv = nullptr;  // Like metrics, outlives the journal.
  pool_metrics* metrics = nullptr;
  clock_ptr clock;
  log_sink log;
};

// The stored state of one pool, written only by the pool's owner. Writes are
// committed in groups, one after the other. Each commit requires the owner key
// at this epoch and the journal key at the revision of the previous commit, so
// neither a write of an earlier owner nor a delayed write of this one can take
// effect. Thread-safe.
class job_journal {
 public:
  struct callbacks {
    // Returns the progress to store. Called before each commit.
    std::function<progress_batch()> take_progress;
    std::function<void(const progress_batch&)> on_progress_stored;
    std::function<void(const progress_batch&)> on_progress_failed;
    // The submission is stored. Called before `Submit` returns `kStored`, and
    // possibly after `Submit` returned `kUnknown`.
    std::function<void(const job_submission&)> on_job_accepted;
    // The jobs belong to their targets now.
    std::function<void(const std::vector<job_move>&)> on_jobs_moved;
    // The jobs were certainly not moved, now or later.
    std::function<void(const std::vector<job_move>&)> on_moves_rejected;
    // The journal commits nothing more: another owner has taken the pool over,
    // or `Stop` ended the retries of a commit.
    std::function<void()> on_superseded;
    // The store stopped responding, see `IsStoreUnreachable`.
    std::function<void()> on_store_unreachable;
    // A request that was sent at `sent_at` has shown that this owner has the
    // pool.
    std::function<void(time_point sent_at)> on_ownership_confirmed =
        [](time_point) {};
  };

  job_journal(job_journal_options options, callbacks handlers);
  ~job_journal() { Stop(); }

  // Takes the journal over from the previous owner and reads it. Fails with
  // `conflict` if this owner has been superseded.
  result<journal_contents> Load();
  // Reads one job that is not finished. Returns null if there is no record.
  result<std::optional<stored_job>> ReadJob(std::string_view job_id);
  result<void> Start();
  void Stop();

  // Stores a job and waits at most until `deadline`. After `kUnknown` the
  // journal keeps trying and may call `on_job_accepted` later. While the store
  // is unreachable, returns `kNotStored` at once.
  submit_outcome Submit(const job_submission& job, time_point deadline);
  // Stores that `caller` has cancelled the id of a job that this owner does not
  // know, so that no pool accepts the job later. The record ends with the
  // lease.
  id_cancellation CancelId(const std::string& job_id,
                           const caller_identity& caller,
                           const std::string& lease_id, time_point deadline);
  // Returns true if the store rejected two attempts to commit one group, or if
  // the unknown result of an attempt could not be read back, and no commit has
  // succeeded since.
  bool IsStoreUnreachable() const;
  // Waits until all progress made before the call is stored. Returns false if
  // `deadline` passes or the journal stops before that.
  bool Flush(time_point deadline);
  // Moves jobs to other partitions with the next commits. A move that gets no
  // result before the journal stops may have taken effect.
  void ScheduleMoves(std::vector<job_move> moves);
  // Deletes the records of jobs that were moved from here long ago.
  void DeleteMoveRecords(std::vector<std::string> job_ids);
  // Schedules a commit of the pending progress within `delay`.
  void ScheduleCommit(duration delay);
  // Stores the worker list, addresses by id, and waits until that is done. A
  // worker must be on the stored list before it gets work, so that the next
  // owner knows where tasks may run. Returns true once this list or a later
  // one is stored, or false if `deadline` passes or the journal stops before.
  bool StoreWorkerList(const std::map<std::string, std::string>& workers,
                       time_point deadline);

 private:
  enum class request_outcome {
    kPending,
    kStored,
    kNotStored,
    kAccepted,   // A job with the id was accepted before.
    kCancelled,  // The id was cancelled before.
    kForbidden,
  };
  // A submission, or the cancellation of an id.
  struct pending_request {
    std::string job_id;
    std::optional<job_submission> job;  // Only of a submission.
    std::string job_record;             // The same, encoded.
    // The record of the id to store, and the revision that it replaces; 0 if
    // there is none. Jobs of other partitions have no such record here.
    job_id_record id_record;
    std::uint64_t id_revision = 0;
    std::string lease_id;  // Of the record of a cancelled id.
    // Of its own, so that a commit wakes only the callers that it concerns.
    std::condition_variable changed;
    // It was put into a group and may be stored. Stays true during retries.
    bool is_sent = false;
    request_outcome outcome = request_outcome::kPending;
    std::string accepted_by;  // The partition, with `kAccepted`.
  };
  using request_ptr = std::shared_ptr<pending_request>;
  // Why a request cannot be stored as it is.
  struct request_conflict {
    request_ptr request;
    // `kPending` if it can be stored with these:
    request_outcome outcome = request_outcome::kPending;
    job_id_record id_record;
    std::uint64_t id_revision = 0;
    std::string accepted_by;
  };
  struct request_conflicts {
    // The pool was divided, so its first partition does not accept all jobs.
    bool is_divided = false;
    std::vector<request_conflict> requests;
  };
  struct commit_group {
    // Without those of the requests and moves below.
    kv_transaction writes;
    std::vector<request_ptr> requests;
    std::vector<job_move> moves;
    progress_batch progress;
    std::uint64_t number = 0;  // Counts the groups of this owner from 1.
    std::uint64_t worker_list_version = 0;
    std::uint64_t flush = 0;  // Last call of `Flush` that the group completes.
  };
  // Progress that was taken and is not in a group yet.
  struct waiting_progress {
    progress_batch::entry job;
    std::uint64_t snapshot = 0;  // Number of the first one that contains it.
  };
  // One result of `take_progress`. Its ends may be acknowledged, and its flush
  // is complete, only after the progress of all its jobs is stored.
  struct progress_snapshot {
    std::uint64_t number = 0;
    time_point taken_at{};
    std::map<std::string, end_position> ends_by_worker;
    std::uint64_t flush = 0;
  };

  // Decodes the records of a job. `progress` is null if none is stored. Returns
  // null, and logs it, if the record is invalid.
  std::optional<stored_job> DecodeJob(const kv_entry& record,
                                      const std::string* progress) const;
  // Reads the records of all jobs, finished ones included.
  result<void> LoadJobs(journal_contents& contents);
  // The commit thread: calls `RunCommits` and then wakes the waiting callers.
  void Run();
  // Commits groups until the journal stops or a group cannot be committed.
  void RunCommits();
  // Takes the current progress, as the snapshot that completes `flush`.
  void TakeSnapshot(std::uint64_t flush);
  // Builds a group from the pending requests, the moves and the progress.
  commit_group CollectGroup(std::uint64_t flush);
  // Moves pending requests into the group and returns the new number of
  // entries. Called with mutex_ held.
  std::size_t AddRequests(commit_group& group, std::size_t entries);
  kv_transaction MakeTransaction(const commit_group& group) const;
  std::size_t EntriesOf(const pending_request& request) const;
  // Moves waiting progress into the group, up to `max_entries` entries, and
  // returns the new number of entries.
  std::size_t AddProgress(commit_group& group, std::size_t entries,
                          std::size_t max_entries);
  // Moves pending moves of jobs into the group and returns the new number of
  // entries. Called with mutex_ held.
  std::size_t AddMoves(commit_group& group, std::size_t entries);
  // Moves the ends and flushes that the group completes into it.
  void AddCompletedSnapshots(commit_group& group);
  enum class commit_state {
    kCommitted,
    kNotCommitted,  // The journal key is unchanged; no effect so far.
    kSuperseded,    // Another owner has written the journal key.
    kUnknown,
  };
  // Reads the journal key to find out whether a commit without a response took
  // effect.
  commit_state ReadBackCommit(const commit_group& group, duration timeout);
  // Waits until the next attempt to commit is due. Returns false if the journal
  // was stopped.
  bool WaitForRetry();
  // Commits the group, with retries. Returns false if the owner key or the
  // journal key has changed, so that this owner can never commit it. Also
  // returns false if the journal stops before a retry; the group may then be
  // stored.
  bool CommitGroup(commit_group& group);
  // Adds the conditions and writes of a request. The conditions make sure that
  // no other partition or pool stores the job, too.
  void AddRequest(kv_transaction& writes, const pending_request& request) const;
  // Returns true while the partition table does not exist, so that each
  // submission has to make sure of that.
  bool ChecksTable() const;
  // Returns false if another partition accepts the job.
  bool IsHome(const job_submission& job) const;
  // Defined in job_journal_ids.cc, like the next five.
  // Determines what a failed condition means for the group, and changes or
  // completes the requests that it concerns. Returns `kNotCommitted` if the
  // group must be sent again.
  commit_state HandleConflict(commit_group& group, bool may_be_applied,
                              duration timeout);
  result<request_conflicts> FindConflicts(const commit_group& group);
  // Returns nothing if the record of the id allows the request.
  result<std::optional<request_conflict>> FindIdConflict(
      const request_ptr& request);
  void ApplyConflicts(commit_group& group, const request_conflicts& conflicts);
  // Reads whether all jobs here have records of their ids. Earlier versions
  // stored none.
  result<void> ReadIdMarker(std::uint64_t last_tenure);
  // Stores the records of ids that the jobs here lack, and deletes those of
  // jobs that are not here any more.
  result<void> RestoreIdRecords(const journal_contents& contents);
  std::string IdMarkerKey() const;
  // Reports the result of a request to its caller.
  void CompleteRequest(const request_ptr& request, request_outcome outcome);
  // Waits until the request has a result or `deadline` passes.
  request_outcome AwaitRequest(const request_ptr& request, time_point deadline);
  // Reports the requests of the group as not stored and removes them from it.
  // Called only if they are certainly not stored, now or later.
  void RejectRequests(commit_group& group);
  // The same for cancellations of ids, whose lease has ended. Returns false if
  // there are none.
  bool RejectCancellations(commit_group& group);
  // The same for the moves of jobs.
  void RejectMoves(commit_group& group);
  void SetStoreUnreachable(bool is_unreachable);
  // Wakes all callers of `Submit` and `CancelId`. Called with mutex_ held.
  void WakeRequests();
  // Logs what the journal has committed since the last line.
  void ReportLoadIfDue();
  // Admits the stored jobs of the group and reports the results to callers.
  void CompleteRequests(commit_group& group);
  // Returns the value of the journal key for the group with this number; 0 is
  // the takeover. It tells a group's commit from that of another owner.
  std::string JournalValue(std::uint64_t number) const;
  std::string JournalKey() const;
  std::string WorkerListKey() const;
  // Writes the journal key if it still has the revision that was read. Fails
  // with `conflict` only if another owner has the pool.
  result<void> TakeOverJournal(std::uint64_t read_revision);

  const job_journal_options options_;
  const callbacks callbacks_;
  // The next eleven are used by `Load` and then by the commit thread only.
  std::uint64_t journal_revision_ = 0;
  // Of the pool, if this is its first one; 1 until a table was found.
  std::uint32_t partition_count_ = 1;
  std::uint64_t last_number_ = 0;  // Number of the last group.
  std::uint64_t tenure_ = 0;
  // Duration of the last commit that the store confirmed. Determines the
  // timeout of the next one.
  duration last_commit_duration_{};
  std::vector<waiting_progress> waiting_progress_;  // Oldest first.
  std::vector<progress_batch::deletion> waiting_deletions_;
  bool has_id_records_ = false;  // See `ReadIdMarker`.
  // Finished jobs of earlier versions. The records of their ids have a lease.
  std::set<std::string> leased_ids_;
  std::deque<progress_snapshot> snapshots_;  // Not complete, oldest first.
  std::uint64_t last_snapshot_ = 0;
  // Since the last log line; used by the commit thread only.
  struct journal_load {
    std::uint64_t commits = 0;
    std::uint64_t partial = 0;  // Commits that left progress for the next one.
    std::size_t most_deferred = 0;  // Most jobs that one commit left.
    duration longest_commit{};
    duration ends_waited{};  // Longest wait of ends for their commit.
  };
  journal_load load_;
  time_point load_reported_at_{};

  mutable std::mutex mutex_;
  std::condition_variable work_changed_;    // The commit thread waits on it.
  std::condition_variable result_changed_;  // Waiting callers wait on it.
  std::deque<request_ptr> pending_requests_;
  std::set<request_ptr> waiting_requests_;  // Those that a caller waits for.
  std::deque<job_move> pending_moves_;
  std::vector<std::string> move_records_to_delete_;  // Ids of their jobs.
  // Counts the calls of `Flush`. A call waits until `completed_flushes_`
  // reaches its number.
  std::uint64_t requested_flushes_ = 0;
  std::uint64_t completed_flushes_ = 0;
  time_point commit_due_at_ = time_point::max();
  std::map<std::string, std::string> worker_list_;
  std::uint64_t worker_list_version_ = 0;
  std::uint64_t stored_worker_list_version_ = 0;
  bool is_store_unreachable_ = false;  // See `IsStoreUnreachable`.
  // `Stop` was called or a group could not be committed. The commit thread may
  // still be waiting for a response.
  bool is_stopped_ = false;
  bool has_ended_ = false;  // The commit thread has ended.
  thread_group threads_;
};

}  // namespace apricotwheel

#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "clients/kv_client.h"
#include "graph/graph_codec.h"
#include "graph/pool_scheduler.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "pools/pool_metrics.h"

namespace apricotwheel {

// Keys of a pool's records.
std::string JobKey(std::string_view pool, std::string_view job_id);
std::string ProgressKey(std::string_view pool, std::string_view job_id);

struct stored_job {
  job_submission submission;
  job_progress progress;
};

// What a new owner reads.
struct journal_contents {
  std::uint64_t tenure = 0;  // Owners of this pool so far, without this one.
  std::vector<stored_job> jobs;
  std::vector<std::pair<std::string, job_state>> finished;  // Without graph.
  // Addresses of the workers that earlier owners may have used, by id.
  std::map<std::string, std::string> workers;
};

enum class submit_outcome {
  kStored,
  kNotStored,  // Provably not, and never will be.
  kUnknown,
};

struct job_journal_options {
  std::string pool;
  std::string owner_key;
  std::uint64_t epoch = 0;  // Revision of the owner key.
  std::string writer;       // Member id.
  kv_client* kv = nullptr;  // These outlive the journal.
  pool_metrics* metrics = nullptr;
  clock_ptr clock;
  log_sink log;
};

// The stored part of one pool, written by its owner alone. Writes are committed
// in groups, one after the other: each requires the owner key of this epoch and
// the journal key of the previous commit, so that neither a predecessor's write
// nor an own one that arrives late can take effect. Thread-safe.
class job_journal {
 public:
  struct callbacks {
    // Progress to store; called before each commit.
    std::function<progress_batch()> take_progress;
    std::function<void(const progress_batch&)> on_progress_stored;
    std::function<void(const progress_batch&)> on_progress_failed;
    // An accepted submission is in the store. Called before its submitter
    // learns of it.
    std::function<void(const job_submission&)> on_job_accepted;
    // Another owner has the pool; nothing is committed any more.
    std::function<void()> on_superseded;
    // The store stopped answering, see `IsStoreLost`.
    std::function<void()> on_store_unreachable;
  };

  job_journal(job_journal_options options, callbacks handlers);
  ~job_journal() { Stop(); }

  // Takes the journal over and reads it. Fails with `conflict` if this owner
  // has been succeeded.
  result<journal_contents> Load();
  result<void> Start();
  void Stop();

  // Stores a job; waits at most until `deadline`. After `kUnknown` the journal
  // goes on trying, and `accepted` may be called later. While the store does
  // not answer, jobs are refused at once.
  submit_outcome Submit(const job_submission& job, time_point deadline);
  // True if the last tries to commit were refused or not answered.
  bool IsStoreUnreachable() const;
  // Waits until all progress of this moment is stored.
  bool Flush(time_point deadline);
  // Progress exists; it is stored within `delay`.
  void ScheduleCommit(duration delay);
  // Workers are named, with their addresses, before they get work. Waits until
  // the list is stored.
  bool StoreWorkerList(const std::map<std::string, std::string>& workers,
                       time_point deadline);

 private:
  struct pending_submission {
    job_submission job;
    bool is_sent = false;  // It was part of a commit.
    bool is_done = false;
    bool is_stored = false;
  };
  using submission_ptr = std::shared_ptr<pending_submission>;
  struct commit_group {
    kv_transaction writes;
    std::vector<submission_ptr> submissions;
    progress_batch progress;
    std::uint64_t number = 0;
    std::uint64_t worker_list_version = 0;
    bool is_partial = false;  // Some progress is left for the next group.
  };

  void Run();
  void RunCommits();
  commit_group CollectGroup();
  enum class commit_state {
    kCommitted,
    kNotCommitted,  // The journal is as it was before the group.
    kSuperseded,    // Another owner has written to it.
    kUnknown,
  };
  // What became of a group whose commit was not answered.
  commit_state ReadBackCommit(const commit_group& group, duration timeout);
  // False if the group can never be committed by this owner.
  bool CommitGroup(commit_group& group);
  void RejectSubmissions(commit_group& group);
  void SetStoreUnreachable(bool is_unreachable);
  void CompleteSubmissions(commit_group& group, bool is_stored);
  std::string JournalValue(std::uint64_t number) const;
  std::string JournalKey() const;
  std::string WorkerListKey() const;

  const job_journal_options options_;
  const callbacks callbacks_;
  std::uint64_t journal_revision_ = 0;  // Used by the committing thread only.
  std::uint64_t last_number_ = 0;
  std::uint64_t tenure_ = 0;
  duration last_commit_duration_{};  // Time that the last answered commit took.

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<submission_ptr> pending_submissions_;
  std::uint64_t requested_flushes_ = 0;
  std::uint64_t completed_flushes_ = 0;
  time_point commit_due_at_ = time_point::max();
  std::map<std::string, std::string> worker_list_;
  std::uint64_t worker_list_version_ = 0;
  std::uint64_t stored_worker_list_version_ = 0;
  bool is_store_unreachable_ =
      false;  // Its last commit got no answer or a refusal.
  bool is_stopped_ = false;
  bool has_ended_ = false;  // Nothing more is sent.
  thread_group threads_;
};

}  // namespace apricotwheel

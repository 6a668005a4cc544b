#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "graph/admission.h"
#include "graph/pool_scheduler.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "pools/agent_session.h"
#include "pools/approval_dispatcher.h"
#include "pools/job_journal.h"
#include "pools/job_memory.h"
#include "pools/owner_authority.h"
#include "pools/platform_services.h"
#include "pools/pool_calls.h"
#include "pools/pool_metrics.h"

namespace apricotwheel {

struct pool_owner_options {
  std::string pool;  // Or a partition of one.
  // See `job_journal_options`.
  std::string first_partition;
  std::string partitions_key;
  std::uint64_t epoch = 0;
  std::string owner_key;
  std::string member_id;
  // The ownership is confirmed at least at this interval.
  duration confirmation_interval = milliseconds(1000);
  duration task_lease{};
  double remote_slowdown = 1;  // See `pool_scheduler_options`.
  // How long the members may extend the authority of an owner of the pool.
  duration max_extension{};
  // Returns true if the members know of no later owner. Called if the store
  // does not respond.
  std::function<bool()> ask_members = [] { return false; };
  // Returns true if the platform has shown that the worker has left.
  std::function<bool(const pool_worker& worker)> has_left =
      [](const pool_worker&) { return false; };
  // Bounds the memory of jobs, if set. Outlives the owner.
  job_memory* jobs_memory = nullptr;
  // The least that the jobs of all pools may take at any member, so that each
  // can take the pool over.
  std::function<std::size_t()> least_job_memory = [] {
    return std::numeric_limits<std::size_t>::max();
  };
  kv_client* kv = nullptr;  // Like platform, outlives the owner.
  const platform_services* platform = nullptr;
  approval_dispatcher::member_source members;
  approval_dispatcher::approval_call request_approvals;
  std::function<void()> on_superseded;         // Another owner has the pool.
  std::function<void()> on_store_unreachable;  // May be called repeatedly.
  std::function<void()> on_jobs_moved;         // To another partition.
  pool_metrics* metrics = nullptr;             // Outlives the owner.
  clock_ptr clock;
  log_sink log;
};

// Owns one pool for one epoch: loads the stored state, claims the workers,
// schedules through a `pool_scheduler` and executes its decisions. Thread-safe.
class pool_owner {
 public:
  explicit pool_owner(pool_owner_options options);
  ~pool_owner() { Stop(); }

  result<void> Start();
  // Accepts no more requests and stores all progress.
  void Quiesce(time_point deadline);
  // Stops the owner. Runs continue under their leases; the next owner adopts
  // them.
  void Stop();

  job_call_response Submit(const job_submission& job, time_point deadline);
  // `caller` gets `kForbidden` for a job of another organisation.
  job_call_response Cancel(std::string_view job_id, time_point deadline,
                           const caller_identity& caller = {});
  job_call_response State(std::string_view job_id,
                          const caller_identity& caller = {}) const;
  job_call_response Pending(std::string_view queue) const;

  // Defined in pool_owner_moves.cc.
  pool_load Load() const;
  // Moves jobs that have not started to another partition: work of about
  // `pool_seconds`, and only jobs whose ids `may_move` accepts.
  void MoveJobs(const std::string& target, double pool_seconds,
                const std::function<bool(std::string_view)>& may_move);
  // Returns the jobs that were moved, by target, and that the owner of the
  // target may not know yet.
  std::map<std::string, std::vector<std::string>> UnadoptedJobs() const;
  void OnAdopted(const std::string& target, std::span<const std::string> jobs);
  // Takes over jobs that were moved here. Fails with `unavailable` if this
  // owner cannot; the next one finds them in the store.
  result<void> Adopt(std::span<const std::string> jobs);

  // Defined in pool_owner_guests.cc.
  // Lends lasting tasks that no worker of this partition can take.
  void LendTasks(std::span<const std::string> partitions);
  // See `pool_scheduler`.
  std::vector<task_loan> Loans() const;
  std::vector<guest_job> GuestJobs() const;
  void OnLoanStarted(std::string_view job_id);
  void OnLoanFailed(std::string_view job_id);
  // Runs tasks for another partition, and returns the state of the job here.
  // May be called again with more of them.
  job_call_response Host(const job_submission& job, time_point deadline);
  // The job has ended in its own partition.
  void EndGuest(std::string_view job_id);

  // The members extend the authority of earlier owners no more.
  void OnMembersInformed();
  // The owner that this one has followed directly has stopped.
  void OnLeasesReleased(const lease_release& release, time_point received_at);
  // Returns when the leases of this owner and of those before it end. To be
  // called after `Stop`.
  lease_release ReleasedLeases() const;
  // Returns true once every run of an earlier owner is known or has expired.
  bool IsTakeoverComplete() const;
  // Returns the mean time that an event waited for the scheduling pass since
  // the last call. Times in which the owner waited for the store do not count.
  duration TakeMeanDecisionDelay();

  // Sets the organisations of the newest configuration.
  void SetOrganisations(organisation_table organisations);
  // Returns the states of the limited organisations, and the resources of all
  // workers; nothing while the stored state is being loaded.
  struct limit_states {
    std::map<std::string, organisation_state> by_organisation;
    resource_amounts capacity{};
  };
  std::optional<limit_states> LimitStates() const;
  // Sets the portion that this partition has of an organisation's limit.
  void SetPortion(const std::string& organisation,
                  const limit_portion& portion);
  // Sets the workers that discovery lists for the pool.
  void SetWorkers(std::map<std::string, pool_worker> workers);
  // Returns the ids of the workers that may have tasks of the pool, or nothing
  // while the stored state is being loaded.
  std::optional<std::set<std::string>> KnownWorkers() const;
  const std::string& Pool() const { return options_.pool; }
  std::uint64_t Epoch() const { return options_.epoch; }
  // Returns true if the store does not respond to this daemon, so that it
  // cannot accept jobs.
  bool IsStoreUnreachable() const {
    return journal_ && journal_->IsStoreUnreachable();
  }

 private:
  void Run();
  // Loads the stored state, with retries. Returns false if the owner was
  // stopped.
  bool LoadWithRetries();
  // Executes one scheduling pass. Called with mutex_ held.
  pool_decisions DecideNow();
  // Adds what the scheduler has counted since the last call to the metrics.
  void UpdateCounters();
  // Logs the activity of the owner if it is due. Called with mutex_ held.
  void ReportActivityIfDue(time_point now);
  // Creates the scheduler from the stored state.
  void Restore(journal_contents contents);
  // Queues the decisions of the scheduler. Called with mutex_ held.
  void SendDecisions(pool_decisions decisions);
  // Makes the owner thread decide again. Called with mutex_ held.
  void RequestDecision();
  // Waits until a scheduling pass is due and returns false if the owner was
  // stopped. `lock` holds mutex_.
  bool WaitForPass(std::unique_lock<std::mutex>& lock);
  // Returns true if the job is known here and closed to the caller. Called with
  // mutex_ held.
  bool IsClosedTo(std::string_view job_id, const caller_identity& caller) const;
  static job_call_response Unavailable(std::string reason);
  // Returns the response to a request that the journal did not store.
  job_call_response NotStored(std::string reason) const;
  // Refuses a job that the pool cannot serve, and logs it if that is due.
  // Called with mutex_ held.
  job_call_response Refuse(const job_submission& job,
                           const admission_estimate& estimate);
  job_journal::callbacks JournalCallbacks();
  // Defined in pool_owner_cancellations.cc.
  // Returns nothing for a job that this owner does not know.
  std::optional<job_call_response> CancelKnown(std::string_view job_id,
                                               time_point deadline,
                                               const caller_identity& caller);
  // Cancels the id of a job that this owner does not know: the job may be
  // another pool's, or its submission may be on the way.
  id_cancellation CancelUnknown(const std::string& job_id, time_point deadline,
                                const caller_identity& caller);
  // Returns the lease of the records of cancelled ids, or nothing if the store
  // grants none.
  std::optional<std::string> CancellationLease();
  job_call_response RefuseCancellation();
  // In pool_owner_moves.cc.
  void AddMoveCallbacks(job_journal::callbacks& callbacks);
  // Called with mutex_ held, like the next two.
  void RecordMove(const std::string& job_id, const std::string& target,
                  time_point now);
  void ForgetOldMoves(time_point now);
  // Returns the response for a job that was moved, or that runs tasks here for
  // another partition.
  std::optional<job_call_response> FindMoved(std::string_view job_id) const;
  void OnApprovalResult(
      const approval_request& request,
      const outcome<approval_dispatcher::approvals>& approved);

  // Defined in pool_owner_memory.cc.
  std::string MemoryKey() const;
  // Returns how much of the free memory a takeover may use.
  std::size_t MemoryToLoad() const;
  // Called with mutex_ held, like the next four.
  void UpdateJobMemory();
  // Reserves memory for a new job, or returns the refusal.
  std::optional<job_call_response> ReserveMemory(const job_submission& job);
  const deferred_job* FindDeferred(std::string_view job_id) const;
  std::size_t CountDeferred(std::string_view queue) const;
  // Returns the deferred job to load now, or an empty text.
  std::string NextDeferred() const;
  // Loads a deferred job, whether there is memory for it or not. Returns false
  // if the store does not respond or the owner was stopped.
  bool LoadDeferred(const std::string& job_id);
  // Loads the deferred jobs that a worker reports. Without them, their runs
  // would count as unknown and their ends would be lost. Returns false if that
  // failed and the report must not be applied.
  bool LoadReported(const worker_report& report);
  // Loads deferred jobs as memory becomes free.
  void RunDeferredLoads();

  // Defined in pool_owner_workers.cc.
  // Applies a change of the listed workers: stores the worker list, updates the
  // scheduler, and opens and closes sessions.
  void UpdateWorkers();
  // Applies changes of known agents, such as a smaller capacity, which need not
  // wait until the worker list is stored. Called with mutex_ held.
  void ApplyListedChanges(time_point now);
  // Passes the scheduler the workers of earlier owners that discovery does not
  // list and that may still run tasks, and returns them. Called with mutex_
  // held.
  std::vector<pool_worker> AddUnlistedWorkers(time_point now);
  void AddSession(const pool_worker& worker);
  bool IsListed(const std::string& id) const;
  // Returns true if the address refuses connections. That is no proof of an
  // exit: a network that cuts the worker off may refuse them too.
  bool IsRefused(const std::string& address) const;
  // Returns true if discovery lists a later agent at the address of the worker.
  // Two processes cannot listen there, so the worker's has exited.
  bool IsAddressReused(const pool_worker& worker) const;
  agent_session::callbacks CallbacksFor(const pool_worker& worker);

  // Logs that the leases of a worker have ended for this owner. Called with
  // mutex_ held.
  void ReportLeasesEnded(const std::string& worker, const lease_expiry& expiry);

  // Defined in pool_owner_authority.cc.
  // Keeps the ownership confirmed.
  void RunAuthority();
  // Asks the store whether the pool is still this owner's.
  bool ConfirmOwnership();
  void OnOwnershipConfirmed(time_point sent_at);
  void ExtendAuthority();
  // Earlier owners have no authority any more. Called on the thread of
  // `RunAuthority`.
  void EndEarlierLeases();
  // Notes when the leases end that a stopped session has granted.
  late_calls LateCallsOfStoppedSessions(const std::string& worker) const;
  void KeepLeasesOf(const std::string& worker, agent_session& session);
  // See `agent_session_options::released_leases_end`.
  std::optional<time_point> ReleasedLeasesEnd(const std::string& worker) const;
  // Waits until orders may be given. Returns false if the owner was stopped.
  // `lock` holds mutex_.
  bool WaitForAuthority(std::unique_lock<std::mutex>& lock);

  const pool_owner_options options_;
  owner_authority authority_;
  std::unique_ptr<job_journal> journal_;
  std::unique_ptr<approval_dispatcher> approval_dispatcher_;

  mutable std::mutex mutex_;               // Guards all below.
  std::condition_variable owner_changed_;  // The owner thread waits on it.
  // The thread of `RunAuthority` waits on it.
  std::condition_variable authority_changed_;
  // Callers of `Submit`, `Cancel` and `Quiesce` wait on it.
  std::condition_variable requests_changed_;
  std::unique_ptr<pool_scheduler> scheduler_;
  std::map<std::string, std::shared_ptr<agent_session>> sessions_;
  std::map<std::string, pool_worker> listed_workers_;  // From discovery.
  // As passed to the scheduler.
  std::map<std::string, pool_worker> scheduled_workers_;
  std::optional<organisation_table> organisations_;  // Not known at first.
  std::map<std::string, limit_portion> portions_;    // By organisation.
  // When the leases end that stopped sessions have granted, by worker.
  std::map<std::string, time_point, std::less<>> leases_of_stopped_sessions_;
  std::map<std::string, late_calls, std::less<>> late_calls_;  // Of these.
  // By the word of the owner that this one has followed.
  struct released_leases {
    std::map<std::string, time_point, std::less<>> ends;  // By worker.
    time_point others_end{};
  };
  std::optional<released_leases> released_leases_;
  // The stored worker list, addresses by id.
  std::map<std::string, std::string> worker_list_;
  // Targets, by id, of jobs that were accepted here and moved there.
  std::map<std::string, std::string, std::less<>> moved_jobs_;
  // Times and ids of the same jobs, oldest first.
  std::deque<std::pair<time_point, std::string>> move_times_;
  // Those of them, by target, that the owner of the target may not know yet.
  std::map<std::string, std::set<std::string>> unadopted_jobs_;
  std::set<std::string, std::less<>> moving_jobs_;  // Their commit is pending.
  // Of which a submission or cancellation waits for its commit.
  std::set<std::string, std::less<>> busy_ids_;
  std::size_t waiting_ids_ = 0;  // Cancellations of them.
  std::string cancellation_lease_;
  time_point cancellation_lease_granted_at_{};
  // Ids that were cancelled with this lease, by organisation of the callers.
  std::map<std::string, std::size_t> cancelled_ids_;
  std::uint64_t cancellation_refusals_ = 0;
  time_point cancellation_refusals_reported_at_{};
  std::map<std::string, deferred_job, std::less<>> deferred_jobs_;  // By id.
  std::condition_variable deferred_changed_;
  std::uint64_t memory_refusals_ = 0;
  time_point memory_reported_at_{};
  // Submissions whose commit got no response.
  std::set<std::string, std::less<>> unresolved_submissions_;
  struct queue_refusals {
    std::uint64_t total = 0;
    std::uint64_t unreported = 0;  // Since the last line in the log.
    time_point reported_at{};
  };
  std::map<std::string, queue_refusals, std::less<>> refusals_;  // By queue.
  std::size_t waiting_cancellations_ = 0;  // For their result to be stored.
  bool workers_changed_ = false;
  bool is_loaded_ = false;
  bool needs_decision_ = false;
  bool is_waiting_for_authority_ = false;  // The owner thread does.
  // The owner thread waits for the end of the interval after the last pass and
  // needs no notification of events.
  bool is_collecting_events_ = false;
  time_point last_pass_at_{};
  time_point decision_requested_at_{};  // Valid if `needs_decision_` is set.
  // Since the last report of the activity.
  struct activity {
    std::uint64_t passes = 0;
    std::uint64_t workers_examined = 0;
    std::uint64_t reports = 0;
    std::uint64_t starts = 0;
    std::uint64_t requests = 0;  // Of callers, through any daemon.
    duration pass_time{};
    duration longest_decision_delay{};
  };
  mutable activity activity_;
  // The owner thread stores the worker list, so it takes no decisions.
  bool is_storing_workers_ = false;
  time_point decisions_resumed_at_{};  // After the list was stored.
  // Since the last call of TakeMeanDecisionDelay.
  duration decision_delay_sum_{};
  int decision_delay_count_ = 0;
  time_point activity_reported_at_{};
  // Added to the metrics so far.
  std::uint64_t counted_crashes_ = 0;
  std::uint64_t counted_given_up_ = 0;
  run_counts counted_runs_;
  place_wait_counts counted_waits_;
  bool is_quiesced_ = false;
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

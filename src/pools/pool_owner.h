#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "graph/pool_scheduler.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "pools/agent_session.h"
#include "pools/approval_desk.h"
#include "pools/job_journal.h"
#include "pools/pool_calls.h"
#include "pools/pool_metrics.h"
#include "pools/service_ports.h"

namespace apricotwheel {

struct pool_owner_options {
  std::string pool;
  std::uint64_t epoch = 0;
  std::string owner_key;
  std::string member_id;
  duration member_lease{};  // After it a predecessor has surely noticed.
  duration task_lease{};
  kv_client* kv = nullptr;  // These outlive the owner.
  const platform_services* platform = nullptr;
  approval_dispatcher::member_source members;
  approval_dispatcher::approval_call request_approvals;
  std::function<void()> on_superseded;         // Another owner has been seen.
  std::function<void()> on_store_unreachable;  // See `IsStoreLost`; may repeat.
  pool_metrics* metrics = nullptr;             // Outlives the owner.
  clock_ptr clock;
  log_sink log;
};

// Owns one pool while its epoch lasts: loads what is stored, claims the
// workers, decides through a `pool_scheduler`, and carries its decisions out.
// Thread-safe.
class pool_owner {
 public:
  explicit pool_owner(pool_owner_options options);
  ~pool_owner() { Stop(); }

  result<void> Start();
  // Takes no more calls and stores what is open.
  void Quiesce(time_point deadline);
  // Runs go on under their leases; the next owner adopts them.
  void Stop();

  job_call_response Submit(const job_submission& job, time_point deadline);
  job_call_response Cancel(std::string_view job_id, time_point deadline);
  job_call_response State(std::string_view job_id) const;
  job_call_response Pending(std::string_view queue) const;

  void SetWorkers(std::map<std::string, pool_worker> workers);
  std::uint64_t Epoch() const { return options_.epoch; }
  // The store does not answer this daemon, so no jobs can be accepted here.
  bool IsStoreUnreachable() const {
    return journal_ && journal_->IsStoreUnreachable();
  }

 private:
  void Run();
  bool LoadWithRetries();
  void Restore(const journal_contents& contents);
  void SendDecisions(pool_decisions decisions);
  void RequestDecision();
  job_journal::callbacks JournalCallbacks();
  void OnApprovalResult(
      const approval_request& request,
      const outcome<approval_dispatcher::approvals>& approved);

  // pool_owner_workers.cc
  void UpdateWorkers();
  // Workers of earlier owners that discovery does not name and that may still
  // run tasks. Called with mutex_ held.
  std::vector<pool_worker> AddUnlistedWorkers(time_point now);
  void AddSession(const pool_worker& worker);
  agent_session::callbacks CallbacksFor(const std::string& id);

  const pool_owner_options options_;
  std::unique_ptr<job_journal> journal_;
  std::unique_ptr<approval_dispatcher> approval_dispatcher_;

  mutable std::mutex mutex_;  // Guards all below.
  std::condition_variable changed_;
  std::unique_ptr<pool_scheduler> scheduler_;
  std::map<std::string, std::shared_ptr<agent_session>> sessions_;
  std::map<std::string, pool_worker> listed_workers_;  // As discovery says.
  std::map<std::string, pool_worker>
      scheduled_workers_;                           // As the scheduler knows.
  std::map<std::string, std::string> worker_list_;  // Addresses by id.
  std::set<std::string, std::less<>> submitting_jobs_;
  bool workers_changed_ = false;
  bool is_loaded_ = false;
  bool needs_decision_ = true;
  bool is_quiesced_ = false;
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

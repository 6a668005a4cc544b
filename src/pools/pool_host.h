#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "config/settings.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "peer/peer_node.h"
#include "pools/kv_follower.h"
#include "pools/pool_directory.h"
#include "pools/pool_metrics.h"
#include "pools/pool_owner.h"
#include "pools/service_ports.h"

namespace apricotwheel {

struct pool_host_options {
  daemon_settings settings;
  kv_client* kv = nullptr;  // These outlive the host.
  peer_node* peers = nullptr;
  pool_directory* directory = nullptr;
  const platform_services* platform = nullptr;
  pool_metrics* metrics = nullptr;
  clock_ptr clock;
  log_sink log;
};

// Runs the owners of the pools that this daemon owns, follows the workers for
// them, and answers the calls of other daemons. Thread-safe.
class pool_host {
 public:
  explicit pool_host(pool_host_options options);
  ~pool_host() { Stop(); }

  // Registers with the directory and the peers; before the directory starts.
  result<void> Start();
  void Stop();
  // Planned stop: other daemons are asked to take the pools, whose owners here
  // go on until that is done. What nobody takes by `deadline` is stored, ended
  // and given up, which takes up to `kGiveUpTime` more.
  void HandOverPools(time_point deadline);
  static constexpr auto kReleaseTimeout = milliseconds(1500);

  // Asks other daemons who owns the pool, for one that the store does not
  // answer and that missed a change.
  void QueryOwner(const std::string& pool);

  // Null if this daemon does not own the pool now.
  std::shared_ptr<pool_owner> OwnerOf(std::string_view pool) const;

 private:
  void Run();
  // The pool is another daemon's; its owner here, of this epoch, is ended.
  void DropOwner(const std::string& pool, std::uint64_t epoch);
  void Reconcile();
  std::shared_ptr<pool_owner> MakeOwner(const std::string& pool,
                                        std::uint64_t epoch);
  void ApplyWorkerEvent(const kv_event& event);
  void DistributeWorkers();
  wire_message HandleRequest(const wire_message& request);
  job_call_response HandleJobCall(const wire::pool_callT& call);
  wire_message HandleApprovalCall(const wire::pool_callT& call);
  result<approval_dispatcher::approvals> RequestApprovals(
      const std::string& member_id, const approval_request& request);

  // pool_succession.cc
  enum class hand_over_cause { kPlannedStop, kStoreUnreachable };
  // True if the pool has another owner now.
  bool HandOverPool(const std::string& pool, std::uint64_t epoch,
                    hand_over_cause cause, time_point deadline);
  void RunStoreFailover();
  std::map<std::string, std::uint64_t> PoolsWithUnreachableStore() const;
  wire_message HandleTakeoverCall(const wire::pool_callT& call);
  wire_message HandleOwnerCall(const wire::pool_callT& call);

  const pool_host_options options_;
  std::unique_ptr<kv_watcher> worker_watcher_;  // Used by Run only.

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::uint64_t> owned_epochs_;  // Epochs by pool.
  std::map<std::string, std::shared_ptr<pool_owner>, std::less<>> owners_;
  std::map<std::string, pool_worker> workers_;  // By key.
  bool are_workers_listed_ = false;
  bool needs_reconcile_ = false;
  bool is_store_unreachable_ =
      false;                   // Some owner's; looked into by RunRescue.
  std::size_t next_peer_ = 0;  // Rotates among the other daemons.
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

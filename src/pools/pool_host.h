#pragma once

#include <atomic>
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
#include "pools/confirmation_exchange.h"
#include "pools/departure_tracker.h"
#include "pools/guest_exchange.h"
#include "pools/kv_watcher.h"
#include "pools/limit_exchange.h"
#include "pools/partition_balancer.h"
#include "pools/platform_services.h"
#include "pools/pool_directory.h"
#include "pools/pool_metrics.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

struct pool_host_options {
  daemon_settings settings;
  kv_client* kv = nullptr;  // Like the next four, outlives the host.
  peer_node* peers = nullptr;
  pool_directory* directory = nullptr;
  const platform_services* platform = nullptr;
  pool_metrics* metrics = nullptr;
  clock_ptr clock;
  log_sink log;
  // Replaces the measured mean decision delay of the owners here, for tests.
  std::function<duration()> decision_delay;
};

// Runs a `pool_owner` for each pool that this daemon owns, watches the workers
// for them, and handles the requests of other daemons. Thread-safe.
class pool_host {
 public:
  explicit pool_host(pool_host_options options);
  ~pool_host() { Stop(); }

  // Registers with the directory and the peers. Call it before the directory
  // starts.
  result<void> Start();
  void Stop();
  // Planned stop: requests other daemons to take the pools over; the owners
  // here keep working until that is done. A pool that no daemon takes by
  // `deadline` is stored, stopped and released, which takes up to
  // `kReleaseTimeout` more.
  void HandOverPools(time_point deadline);
  static constexpr auto kReleaseTimeout = milliseconds(1500);

  // Queries other daemons for the owner of the pool, because a daemon that the
  // store does not respond to misses changes.
  void QueryOwner(const std::string& pool);

  // Sets the organisations of the newest configuration for all owners.
  void SetOrganisations(organisation_table organisations);

  // Returns null if this daemon does not own the pool now.
  std::shared_ptr<pool_owner> OwnerOf(std::string_view pool) const;

  // Executes a job request that another daemon forwarded and that was received
  // at `received_at`. A request that has expired since is not executed.
  job_call_response HandleJobCall(const wire::pool_callT& call,
                                  time_point received_at);

 private:
  void Run();
  using epochs_by_pool = std::map<std::string, std::uint64_t>;
  // Returns true if the pool had this epoch.
  static bool EraseEpoch(epochs_by_pool& epochs, const std::string& pool,
                         std::uint64_t epoch);
  // Another daemon owns the pool: drops the local owner of this epoch.
  void DropOwner(const std::string& pool, std::uint64_t epoch);
  // The owner of this epoch has stopped because it seems to be succeeded. Drops
  // it, and has the owner key checked.
  void OnOwnerSuperseded(const std::string& pool, std::uint64_t epoch);
  // Stops owners of pools that are lost and starts owners of new ones.
  void Reconcile();
  std::shared_ptr<pool_owner> MakeOwner(const std::string& pool,
                                        std::uint64_t epoch);
  void ApplyWorkerEvent(const kv_event& event);
  // Passes each owner the workers of its pool.
  void DistributeWorkers();

  // Defined in pool_partitioning.cc.
  // How the number of workers of a pool develops.
  struct pool_growth {
    std::uint64_t epoch = 0;
    std::size_t worker_count = 0;
    time_point first_seen_at{};
    time_point grown_at{};
    bool is_in_use = false;  // It has settled since this owner took it over.
    bool is_delay_logged = false;
  };
  using workers_by_id = std::map<std::string, pool_worker>;
  // Returns the workers of each partition of a pool.
  std::map<std::string, workers_by_id> AssignWorkers(
      const std::string& pool, const workers_by_id& workers);
  // Returns the workers that an undivided pool uses now, and divides it if it
  // has too many.
  workers_by_id WorkersOfUndivided(const std::string& pool, pool_owner& owner,
                                   const workers_by_id& workers);
  // Returns false while a member runs a version that would use all workers.
  bool MayDivide(const std::string& pool, std::size_t worker_count);
  void StorePartitions(const std::string& pool, std::uint64_t epoch,
                       const partition_table& table);
  // Returns true if the number of workers has not grown for a while. Otherwise
  // the workers are distributed again later.
  bool HasSettled(pool_growth& growth, std::size_t worker_count);
  bool IsTooLarge(std::size_t worker_count) const;
  // Returns a failure if the partition does not accept this job.
  std::optional<job_call_response> CheckHome(const std::string& partition,
                                             const std::string& job_id) const;

  wire_message HandleRequest(const std::string& sender,
                             const wire_message& request,
                             time_point received_at);
  wire_message HandleApprovalCall(const wire::pool_callT& call,
                                  time_point received_at);
  wire_message HandleLoadReport(const wire::pool_callT& call);
  wire_message HandleAdoptionCall(const wire::pool_callT& call);
  wire_message HandleLimitRequest(const wire::pool_callT& call);
  // Handles a one-way message about the owner of a pool.
  wire_message HandleOwnershipNotice(const std::string& sender,
                                     const wire::pool_callT& call);
  // Sends an approval request to the advisor, directly or through a member.
  result<approval_dispatcher::approvals> RequestApprovals(
      const std::string& member_id, const approval_request& request,
      duration timeout);

  // Defined in pool_succession.cc.
  enum class hand_over_cause {
    kPlannedStop,
    kStoreUnreachable,
    kOverload,
    kStrongerMember
  };
  static std::string_view ToString(hand_over_cause cause);
  // Returns true if the pool has another owner now.
  bool HandOverPool(const std::string& pool, std::uint64_t epoch,
                    hand_over_cause cause, time_point deadline);
  // Returns the members that are requested to take the pool over, in order.
  std::vector<std::string> ChooseSuccessors(const std::string& pool,
                                            std::uint64_t epoch,
                                            hand_over_cause cause);
  // Hands over pools whose owner here gets no response from the store.
  void RunStoreFailover();
  std::map<std::string, std::uint64_t> PoolsWithUnreachableStore() const;
  // Takes pools again whose owner has stopped although the owner key still
  // names this daemon.
  void RunOwnershipChecks();
  // Returns true if the pool has another owner than that of this epoch, or has
  // been taken again under a new epoch.
  bool SettleOwnership(const std::string& pool, std::uint64_t epoch);
  // Moves pools from an owner that lacks processor time, or to a member that
  // has much more of it.
  void RunMoves();
  // The state of RunMoves for one pool.
  struct owner_watch {
    std::uint64_t epoch = 0;
    time_point taken_over_at{};
    time_point since{};  // The takeover, or the last attempt to move the pool.
    overload_detector detector;
    std::optional<duration> first_overload_after;  // After the takeover.
    bool is_kept_logged = false;
  };
  void MoveIfNeeded(const std::string& pool, pool_owner& owner,
                    owner_watch& watch);
  // Tells the successor of a stopped owner, if it is known, when the leases
  // end.
  void SendRelease(const pool_owner& owner);
  wire_message HandleRelease(const wire::pool_callT& call,
                             time_point received_at);
  // Passes the release of the earlier owner to the own one, once both are
  // there.
  void ApplyRelease(const std::string& pool);
  wire_message HandleTakeoverCall(const wire::pool_callT& call);
  wire_message HandleOwnerCall(const wire::pool_callT& call);

  owner_map CurrentOwners() const;

  const pool_host_options options_;
  job_memory job_memory_;
  partition_balancer balancer_;
  guest_exchange guests_;
  limit_exchange limits_;
  confirmation_exchange confirmations_;
  std::atomic<int> executing_submissions_ = 0;  // Forwarded by other daemons.
  // Used by the host thread only.
  std::unique_ptr<kv_watcher> worker_watcher_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  epochs_by_pool owned_epochs_;  // Of own pools.
  owner_map owners_;
  // Epochs of own pools whose owner seems to be succeeded; handled by
  // RunOwnershipChecks.
  epochs_by_pool unsettled_epochs_;
  // Of pools that this daemon has taken over from a known owner. The store
  // shows that there was no other owner between the two.
  struct succession {
    std::uint64_t epoch = 0;
    std::uint64_t earlier_epoch = 0;
  };
  std::map<std::string, succession> successions_;
  struct received_release {
    lease_release release;
    time_point received_at{};
  };
  std::map<std::string, received_release> releases_;  // Not passed on yet.
  std::map<std::string, pool_worker> workers_;        // By key.
  departure_tracker departures_;                      // Of the same workers.
  std::optional<organisation_table> organisations_;   // Not known at first.
  bool are_workers_listed_ = false;
  std::mutex distribution_mutex_;  // Held while workers are distributed.
  // Of pools that may have to be divided; guarded by distribution_mutex_.
  std::map<std::string, pool_growth> growth_;
  bool needs_reconcile_ = false;
  bool needs_distribution_ = false;   // Of the workers; by the host thread.
  bool is_division_pending_ = false;  // A pool waits until it has settled.
  // Set if the store is unreachable for some owner; handled by
  // RunStoreFailover.
  bool is_store_unreachable_ = false;
  std::size_t next_peer_ = 0;  // Index of the next peer to query; rotates.
  // Requests for failover made in one outage of the store, by pool.
  std::map<std::string, std::size_t> failover_attempts_;
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel

#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"
#include "cluster/member_lease.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "peer/peer_connection.h"
#include "peer/peer_node.h"
#include "pools/exit_tracker.h"
#include "pools/kv_watcher.h"
#include "pools/owner_ranking.h"
#include "pools/partition_directory.h"

namespace apricotwheel {

// The owner of a pool. The epoch is the revision of the write that made it the
// owner, so epochs of a pool only rise.
struct pool_ownership {
  std::string member_id;
  std::uint64_t epoch = 0;

  friend bool operator==(const pool_ownership&,
                         const pool_ownership&) = default;
};

struct pool_directory_options {
  daemon_settings settings;
  member self;
  kv_client* kv = nullptr;  // Like peers, outlives the directory.
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
};

// Whether the versions of all members know a feature.
enum class member_support {
  kAll,
  kNotAll,
  kUnknown,  // A member that has just joined has not published it yet.
};

struct recent_member {
  std::string id;
  time_point first_seen_at{};
  // It may confirm owners in an outage of the store: its version does, and it
  // is not leaving.
  bool may_confirm = true;
};

// Membership of daemons and ownership of pools, stored as keys under the lease
// of a member. A pool without an owner goes to the first member that creates
// its key; members with more processor try earlier. The owner keeps it until
// its lease expires, it releases the pool, its process has exited or another
// member takes it over at the owner's request.
// Taking a pool over is safe at any time, because the epoch rises. Each
// partition of a divided pool is owned like a pool of its own. Thread-safe.
class pool_directory {
 public:
  // Called on the directory's threads, in the order of a pool's epochs.
  using ownership_callback =
      std::function<void(const std::string& pool, std::uint64_t epoch)>;

  explicit pool_directory(pool_directory_options options);
  ~pool_directory() { Stop(); }

  // The callbacks must be set before `Start`.
  void SetAcquiredCallback(ownership_callback callback) {
    on_acquired_ = std::move(callback);
  }
  void SetLostCallback(ownership_callback callback) {
    on_lost_ = std::move(callback);
  }
  // Called when the partitions of a pool have changed.
  void SetPartitionsCallback(std::function<void()> callback) {
    on_partitions_changed_ = std::move(callback);
  }

  result<void> Start();
  void Stop();

  // Sets the pools that must have an owner.
  void SetPools(std::vector<std::string> pools);
  const partition_directory& Partitions() const { return partitions_; }
  // Whether all members know partitions.
  member_support PartitionSupport() const {
    return SupportOf(&member_capacity::knows_partitions);
  }
  // The same for tasks that another partition runs.
  member_support LoanSupport() const {
    return SupportOf(&member_capacity::knows_loans);
  }
  // Returns the least memory that the jobs of all pools may take at a member
  // that has published it.
  std::size_t LeastJobMemory() const;
  // Stores the partitions of a pool whose first partition this member owns with
  // `epoch`.
  result<void> StorePartitions(const std::string& pool, std::uint64_t epoch,
                               const partition_table& table);

  std::optional<pool_ownership> OwnerOf(std::string_view pool) const;
  // Returns the members whose process has not exited.
  std::vector<member> Members() const;
  // Returns the other members that may be alive and have been members within
  // `window`, also those whose lease has expired since.
  std::vector<recent_member> RecentMembers(duration window) const;
  // Returns true if this daemon knows of no other owner of the pool and would
  // have seen one that was announced to it.
  bool IsCurrentOwner(std::string_view pool, const pool_ownership& owner) const;
  // Returns true if the watch has delivered the ownership, so that all members
  // of before are known.
  bool HasWatched(std::string_view pool, std::uint64_t epoch) const;
  // Returns the pools that must have an owner; of a divided pool, its
  // partitions.
  std::vector<std::string> Pools() const;
  const std::string& SelfId() const { return options_.self.id; }
  // Returns true once the keys have been listed.
  bool IsSynced() const;
  static std::string OwnerKey(std::string_view pool);

  // Reports that a request to the member could not be sent. If its address
  // refuses connections, its pools are taken over without waiting for its lease
  // to expire, unless it has shown before that it is alive nevertheless.
  void ReportUnreachable(const std::string& member_id);
  // Reads the owner key of a pool again. Used when another source reports that
  // the owner is superseded.
  void RefreshOwner(const std::string& pool);

  // A planned stop uses the next functions in this order. `MarkLeaving` makes
  // other members send no new work here and this one take no more pools.
  void MarkLeaving();
  // Returns the members that the owner of a pool requests to take it over, best
  // first.
  std::vector<owner_candidate> Successors(std::string_view pool) const;
  // Deletes the owner keys of the remaining pools, so that they are vacant.
  void ReleasePools(time_point deadline);
  // Ends the membership.
  void Resign(time_point deadline) { lease_.Resign(deadline); }

  // Takes the pool over from its owner of `epoch`, at the request of that
  // owner. Returns the new epoch. Fails with `conflict` if the owner has
  // changed since, with `timeout` if that is unknown. With `only_if_quick`, it
  // fails without a write unless the store responds quickly to this daemon.
  result<std::uint64_t> TakeOver(const std::string& pool, std::uint64_t epoch,
                                 bool only_if_quick);
  // Records the owner of a pool as another daemon reported it; an older epoch
  // is ignored. `peer_address` is used if the owner is not a known member.
  void RecordOwner(const std::string& pool, const pool_ownership& owner,
                   const std::string& peer_address = {});
  // Returns what is known here about a move of an own pool: the owner, the best
  // other member and which members are overloaded.
  move_inputs PrepareMove(std::string_view pool) const;
  // Publishes for a time that this member was overloaded, so that it gets no
  // pool while others are as good.
  void MarkOverloaded();
  // Returns the peer address of a member, or an empty string if it is not
  // known.
  std::string AddressOf(std::string_view member_id) const;

 private:
  member_support SupportOf(bool member_capacity::*feature) const;
  struct stored_owner {
    pool_ownership ownership;  // The member id is empty if the key was deleted.
    std::uint64_t revision = 0;
    std::string previous_member;  // The owner before; empty if not known.
  };
  struct stored_member {
    std::optional<member> record;  // Absent if the key was deleted.
    std::uint64_t revision = 0;
    // Revision of the first record of this member.
    std::uint64_t joined_revision = 0;
    time_point joined_at{};      // When that record was seen here.
    time_point first_seen_at{};  // Also if it has lost its lease since.
    time_point deleted_at{};  // When its deletion was seen, if it is deleted.
    member last_record;       // The record, or what it was.
  };

  struct stored_capacity {
    std::optional<member_capacity> record;  // Absent if the key was deleted.
    std::uint64_t revision = 0;
  };

  void RunLease();
  void RunElection();
  void HandleBatch(bool is_listing);
  void ApplyEvent(const kv_event& event);
  // Applies an event of the watch, which delivers all changes in their order.
  void ApplyWatchedEvent(const kv_event& event);
  void ApplyOwner(const std::string& pool, const kv_event& event);
  void ApplyMember(const std::string& id, const kv_event& event);
  // Marks the members that a member with a record has replaced. Called with
  // mutex_ held.
  void FindReplaced(const std::string& id, const stored_member& joined);
  void ApplyCapacity(const std::string& id, const kv_event& event);
  void ApplyPartitions(const kv_event& event);
  void PublishCapacity();
  // Calls the callbacks for pools that were acquired or lost.
  void NotifyOwnership();
  // Passes the addresses of the members to the peer node.
  void UpdatePeers();
  void TryAcquire(const std::string& pool);
  // Probes the address of a member, and takes note if it is alive.
  listener_state ProbeMember(const std::string& id, const std::string& address);
  // Probes members that could not be reached, to take their pools over early,
  // and those that count as exited, which may be alive after all.
  void ProbeMembers();
  // Returns their addresses by id.
  std::map<std::string, std::string> MembersToProbe();
  // Called with mutex_ held.
  void OnMemberAlive(const std::string& id);
  // Returns true if the pool has no owner or the process of its owner has
  // exited. Called with mutex_ held.
  bool IsVacant(std::string_view pool) const;
  // Returns when this member tries to acquire a pool that is vacant since
  // `since`. Called with mutex_ held.
  time_point AcquireAt(const std::string& pool, time_point since) const;
  // Returns the members that stay, this one included, as owners of the pool.
  // Called with mutex_ held.
  std::vector<owner_candidate> Candidates(std::string_view pool) const;
  owner_candidate MakeCandidate(const std::string& id,
                                std::string_view pool) const;

  const pool_directory_options options_;
  member_lease lease_;
  ownership_callback on_acquired_;
  ownership_callback on_lost_;
  std::function<void()> on_partitions_changed_;
  partition_directory partitions_;

  mutable std::mutex mutex_;
  std::map<std::string, stored_member, std::less<>> members_;
  std::map<std::string, stored_owner, std::less<>> owners_;
  std::map<std::string, stored_capacity, std::less<>> capacities_;
  // The last revision of each owner key that the watch has delivered, by pool.
  std::map<std::string, std::uint64_t, std::less<>> watched_epochs_;
  time_point last_joined_at_{};  // When the newest member was first seen.
  time_point overloaded_until_{};
  int overload_count_ = 0;
  std::vector<std::string> pools_;
  // When this member first saw that a pool is vacant, by pool.
  std::map<std::string, time_point> vacant_since_;
  exit_tracker exits_;
  time_point refusing_probed_at_{};
  std::set<std::string> linked_peers_;  // Members with a peer address.
  bool is_synced_ = false;
  bool is_leaving_ = false;

  std::mutex notify_mutex_;  // Orders the calls of the callbacks.
  // Epochs of own pools, as passed to the callbacks.
  std::map<std::string, std::uint64_t> notified_epochs_;

  stop_signal lease_signal_;
  stop_signal election_signal_;
  thread_group threads_;
  kv_watcher watcher_;
};

}  // namespace apricotwheel

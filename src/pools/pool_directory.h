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
#include "peer/peer_node.h"
#include "pools/kv_follower.h"

namespace apricotwheel {

// Who owns a pool. The epoch is the revision of the write that made it so;
// revisions only rise, and so do epochs.
struct pool_ownership {
  std::string member_id;
  std::uint64_t epoch = 0;

  friend bool operator==(const pool_ownership&,
                         const pool_ownership&) = default;
};

struct pool_directory_options {
  daemon_settings settings;
  member self;
  kv_client* kv = nullptr;  // These outlive the directory.
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
};

// Membership of daemons and ownership of pools, both as keys under the lease of
// a member. A pool without an owner is taken by the first member that creates
// its key; the owner keeps it until its lease ends, it gives it up or its
// process is gone, so a member that joins moves nothing. Taking a pool is safe
// at any time, since its epoch rises. Thread-safe.
class pool_directory {
 public:
  // Called from the directory's threads, in the order of epochs of a pool.
  using ownership_callback =
      std::function<void(const std::string& pool, std::uint64_t epoch)>;

  explicit pool_directory(pool_directory_options options);
  ~pool_directory() { Stop(); }

  // Set before `Start`.
  void SetAcquiredCallback(ownership_callback callback) {
    on_acquired_ = std::move(callback);
  }
  void SetLostCallback(ownership_callback callback) {
    on_lost_ = std::move(callback);
  }

  result<void> Start();
  void Stop();

  // The pools that must have an owner.
  void SetPools(std::vector<std::string> pools);

  std::optional<pool_ownership> OwnerOf(std::string_view pool) const;
  std::vector<member> Members() const;
  std::vector<std::string> Pools() const;
  const std::string& SelfId() const { return options_.self.id; }
  bool IsSynced() const;
  static std::string OwnerKey(std::string_view pool);

  // A call to the member could not be sent. If no process listens at its
  // address, its pools are taken without waiting for its lease.
  void ReportUnreachable(const std::string& member_id);
  // The owner found out, other than by this directory, that it was succeeded.
  void RefreshOwner(const std::string& pool);

  // Planned stop, in this order: other members stop counting on this one, and
  // it takes no more pools;
  void MarkLeaving();
  // each pool is taken by one of its successors, which the owner asks, best
  // first;
  std::vector<std::string> Successors(std::string_view pool) const;
  // what nobody has taken becomes vacant;
  void ReleasePools(time_point deadline);
  // and the membership ends.
  void Resign(time_point deadline) { lease_.Resign(deadline); }

  // Takes the pool from its owner of `epoch`, which asked for it. Returns the
  // new epoch. Fails with `conflict` if the owner has changed since, with
  // `timeout` if that is unknown. With `only_if_quick`, it fails without a
  // write unless the store answers this daemon at once.
  result<std::uint64_t> TakeOver(const std::string& pool, std::uint64_t epoch,
                                 bool only_if_quick);
  // What another daemon knows of a pool's owner; older news change nothing. The
  // address is used if this daemon does not know the owner as a member.
  void RecordOwner(const std::string& pool, const pool_ownership& owner,
                   const std::string& peer_address = {});
  // Empty if it is not known.
  std::string AddressOf(std::string_view member_id) const;

 private:
  struct stored_owner {
    pool_ownership ownership;  // No member id: the key was deleted.
    std::uint64_t revision = 0;
  };
  struct stored_member {
    std::optional<member> record;  // Absent: the key was deleted.
    std::uint64_t revision = 0;
    std::uint64_t joined_revision = 0;  // Of the first of its records.
  };

  void RunLease();
  void RunElection();
  void HandleBatch(bool is_listing);
  void ApplyEvent(const kv_event& event);
  void ApplyOwner(const std::string& pool, const kv_event& event);
  void ApplyMember(const std::string& id, const kv_event& event);
  void NotifyOwnership();
  void UpdatePeers();
  void TryAcquire(const std::string& pool);
  void ProbeUnreachableMembers();
  // Called with mutex_ held: nobody owns the pool, or its owner is dead.
  bool IsVacant(std::string_view pool) const;
  int ElectionRank(std::string_view pool) const;
  bool OwnsAnyPool(std::string_view member_id) const;

  const pool_directory_options options_;
  member_lease lease_;
  ownership_callback on_acquired_;
  ownership_callback on_lost_;

  mutable std::mutex mutex_;
  std::map<std::string, stored_member, std::less<>> members_;
  std::map<std::string, stored_owner, std::less<>> owners_;
  std::vector<std::string> pools_;
  std::map<std::string, time_point> vacant_since_;
  std::set<std::string> unreachable_members_;  // To be probed.
  std::set<std::string> dead_members_;         // Members whose process is gone.
  std::set<std::string> linked_peers_;
  bool is_synced_ = false;
  bool is_leaving_ = false;

  std::mutex notify_mutex_;  // Orders the listeners' calls.
  std::map<std::string, std::uint64_t>
      notified_epochs_;  // Epochs owned by self.

  stop_signal lease_signal_;
  stop_signal election_signal_;
  thread_group threads_;
  kv_watcher watcher_;
};

}  // namespace apricotwheel

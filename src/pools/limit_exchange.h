#pragma once

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "clients/kv_client.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"
#include "peer/peer_node.h"
#include "pools/limit_record.h"
#include "pools/partition_balancer.h"
#include "pools/pool_directory.h"
#include "pools/pool_metrics.h"

namespace apricotwheel {

struct limit_exchange_options {
  kv_client* kv = nullptr;  // Like the next three, outlives the exchange.
  peer_node* peers = nullptr;
  pool_directory* directory = nullptr;
  pool_metrics* metrics = nullptr;
  std::function<owner_map()> owners;  // In this daemon, by partition.
  clock_ptr clock;
  log_sink log;
};

// Divides the limits of organisations among the partitions: keeps the rows of
// the owners in this daemon in the stored records, passes the portions on to
// them, and exchanges parts with other owners for steps that a portion holds
// up. Makes no call while no organisation has a limit. Thread-safe.
class limit_exchange {
 public:
  explicit limit_exchange(limit_exchange_options options);
  ~limit_exchange() { Stop(); }

  result<void> Start();
  void Stop();

  // Gives up what the owner of the target does not need, if it is here.
  void HandleRequest(const limit_request& request);

  static std::string KeyOf(const std::string& organisation);

 private:
  // The share that one owner here has of one organisation's limit.
  struct owner_share {
    limit_share share;
    resource_amounts limit{};       // As seen last.
    time_point limit_changed_at{};  // When it was seen first.
    std::uint64_t revision = 0;     // Of the record, as seen last.
    time_point changed_at{};        // When it was seen first.
    // Of the last writes, the earlier one first.
    std::array<time_point, 2> written_at{};
    time_point requested_at{};
  };
  // The shares of the owner of one epoch, by organisation.
  struct owner_shares {
    std::uint64_t epoch = 0;
    std::map<std::string, owner_share> by_organisation;
  };
  // An owner here and what it knows in this round.
  struct known_owner_state {
    std::string partition;
    std::shared_ptr<pool_owner> owner;
    pool_owner::limit_states states;
  };

  void Run();
  std::vector<known_owner_state> CollectOwners() const;
  // The next functions are called with `mutex_` held.
  // Reads the records if that is due. Returns false if that failed.
  bool ReadIfDue(const std::vector<known_owner_state>& owners);
  void ApplyListing(const kv_listing& listing,
                    const std::vector<known_owner_state>& owners);
  void ApplyRead(owner_share& known, const std::string& partition,
                 const limit_record& record, std::uint64_t revision);
  // Reads one record again. Returns false if that failed.
  bool ReadRecordAgain(const std::string& organisation,
                       const std::string& partition, owner_share& known);
  // Writes the row of the owner if it has to change, and sets the portion.
  void UpdateRow(const known_owner_state& owner,
                 const std::string& organisation,
                 const organisation_state& state, owner_share& known);
  // Writes the record with a new row of the owner.
  void Write(const known_owner_state& owner, const std::string& organisation,
             const organisation_state& state, owner_share& known,
             const limit_record& record);
  bool MayWrite(const owner_share& known) const;
  void PassPortion(const known_owner_state& owner,
                   const std::string& organisation,
                   const organisation_state& state, const owner_share& known);
  limit_portion PortionOf(const std::string& partition,
                          const organisation_state& state,
                          const owner_share& known) const;
  limit_inputs InputsOf(const known_owner_state& owner,
                        const organisation_state& state,
                        const owner_share& known) const;
  // Removes the rows of partitions that have not existed for a while.
  void RemoveOldRows(limit_record& record);
  void NotePartitions();

  // Called without `mutex_`.
  void RequestParts(const known_owner_state& owner,
                    const std::string& organisation,
                    const organisation_state& state);
  bool SendRequest(const limit_request& request);

  const limit_exchange_options options_;
  std::mutex mutex_;  // Guards all below; held during calls to the store.
  std::map<std::string, owner_shares> shares_;  // By partition.
  std::vector<std::string> partitions_;         // That exist now.
  // Partitions in records that do not exist, and since when.
  std::map<std::string, time_point> missing_since_;
  time_point read_at_{};
  time_point retry_at_{};  // After a failed read.
  // Used by the thread only: members that did not answer, and until when they
  // are not asked.
  std::map<std::string, time_point> silent_until_;
  stop_signal signal_;
  thread_group threads_;
};

}  // namespace apricotwheel

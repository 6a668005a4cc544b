#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cluster/cluster_view.h"
#include "dispatch/dispatcher.h"

namespace apricotwheel {

struct key_registry_options {
  duration retention = std::chrono::seconds(60);
  std::size_t max_recorded_body_bytes = 64 << 10;  // Of one response.
  // Bounds of one shard. So many records with the longest keys and without
  // bodies fit into one hand-over frame of 8 MiB.
  std::size_t max_records = 16384;
  std::size_t max_body_bytes = 4 << 20;
  clock_ptr clock;
  // Whether this daemon's own key-value lease is valid.
  std::function<bool()> holds_lease;
};

// Names the shard and the epoch under which a ticket was made, the time by the
// maker's clock and a random part.
struct ticket {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::int64_t issued_at_ms = 0;
  std::string random;
};
std::string EncodeTicket(const ticket& issued);
std::optional<ticket> DecodeTicket(std::string_view text);

// The shard whose owner records a request; absent for a malformed ticket. The
// ticket counts if there is both a ticket and a key.
std::optional<std::uint32_t> ShardOfRequest(const service_request& request);

// A digest of what makes two requests the same.
std::uint64_t DigestOf(const service_request& request);

// The records of idempotency keys and tickets of the shards that this daemon
// owns (docs/design.md, 6.3). Thread-safe.
class key_registry {
 public:
  explicit key_registry(key_registry_options options);

  // Follows the assignment: `epoch` is that of the shard, `owned` tells if this
  // daemon owns it. Records of shards that are no longer owned are dropped.
  void SetOwnership(std::uint32_t shard, std::uint64_t epoch, bool owned);

  using runner = std::function<service_response()>;
  // Calls `run` if the request was not seen before, and records its response.
  // Answers `not_run` only if no attempt with this key or ticket can have been
  // sent by this or another owner, else `unknown`.
  // Waits for the first one until `deadline` if the request is a repeat.
  service_response RunOnce(const service_request& request, time_point deadline,
                           const runner& run);

  // Fails with `unavailable` if this daemon does not own the shard.
  result<std::string> IssueTicket(std::uint32_t shard);

  // Ends the admission to a shard and returns all of its records, with bodies
  // while their sum is within `max_bytes`. Absent if it is not owned.
  std::optional<wire::key_handoverT> StartHandover(std::uint32_t shard,
                                                   std::size_t max_bytes);
  // Keeps the records of a predecessor until this daemon becomes the owner.
  wire::acknowledgementT AcceptHandover(const wire::key_handoverT& handover);

  // Drops records past their retention.
  void RemoveExpiredRecords();
  std::size_t CountRecords() const;

 private:
  struct record {
    std::uint64_t digest = 0;
    bool finished = false;
    service_response response;
    time_point finished_at;
    std::condition_variable finish_condition;
  };
  using record_ptr = std::shared_ptr<record>;
  struct shard_state {
    std::uint64_t epoch = 0;
    bool owned = false;
    bool was_owned = false;  // At any time under this epoch.
    bool handed_over = false;
    bool history_complete = false;
    time_point owner_since;
    // Epochs of predecessors whose hand-over was complete, with the clock of
    // the maker of the tickets less the own clock.
    std::map<std::uint64_t, duration> accepted_epochs;
    std::unordered_map<std::string, record_ptr> records;
    std::size_t body_bytes = 0;
    std::unique_ptr<wire::key_handoverT> received_handover;
    time_point handover_received_at;
  };

  // All need the lock.
  std::optional<service_response> CheckTicket(const shard_state& shard,
                                              const ticket& used) const;
  std::optional<service_response> CheckKey(const shard_state& shard) const;
  bool HistoryComplete(const shard_state& shard) const;
  service_response WaitForResponse(std::unique_lock<std::mutex>& lock,
                                   const record_ptr& found,
                                   std::uint64_t digest, time_point deadline);
  void FinishRecord(shard_state& shard, const std::string& key,
                    const record_ptr& new_record,
                    const service_response& response);
  void RecordResponse(shard_state& shard, record& target,
                      service_response response) const;
  void ApplyHandover(shard_state& shard);
  void RemoveExpiredRecords(shard_state& shard) const;

  const key_registry_options options_;
  mutable std::mutex mutex_;
  std::array<shard_state, kShardCount> shards_;
};

}  // namespace apricotwheel

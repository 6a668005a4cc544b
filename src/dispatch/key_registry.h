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
  std::size_t max_recorded_body_bytes = 64 << 10;  // Limit for one response.
  // Limits for one shard. This number of records with the longest keys and
  // without bodies fits into one hand-over frame of 8 MiB.
  std::size_t max_records = 16384;
  std::size_t max_body_bytes = 4 << 20;
  clock_ptr clock;
  // Returns whether the key-value lease of this daemon is valid.
  std::function<bool()> holds_lease;
};

// Allows one run of a non-repeatable request. Holds the shard and the epoch
// under which it was issued, the time by the issuer's clock and a random part.
struct ticket {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::int64_t issued_at_ms = 0;
  std::string random;
};
std::string EncodeTicket(const ticket& issued);
std::optional<ticket> DecodeTicket(std::string_view text);

// Returns the shard whose owner records a request; absent for a malformed
// ticket. If a request has both a ticket and a key, the ticket decides.
std::optional<std::uint32_t> ShardOfRequest(const service_request& request);

// Returns a digest of the service, the method, the path and the body. Requests
// with one key must have the same digest.
std::uint64_t DigestOf(const service_request& request);

// Holds the records of idempotency keys and tickets of the shards that this
// daemon owns (docs/design.md, 6.3). Thread-safe.
class key_registry {
 public:
  explicit key_registry(key_registry_options options);

  // Applies the assignment of one shard: its epoch and whether this daemon owns
  // it. A higher epoch drops the records, except those of an accepted
  // hand-over.
  void SetOwnership(std::uint32_t shard, std::uint64_t epoch, bool owned);

  using runner = std::function<service_response()>;
  // Calls `run` if the key or ticket of the request is new, and records the
  // response. Waits for the response of the first request until `deadline` if
  // the request is a repeat. Returns `not_run` only if neither this nor another
  // owner can have sent an attempt with this key or ticket, else `unknown`.
  service_response RunOnce(const service_request& request, time_point deadline,
                           const runner& run);

  // Returns a new ticket. Fails with `unavailable` if this daemon does not own
  // the shard.
  result<std::string> IssueTicket(std::uint32_t shard);

  // Stops the admission of new keys and tickets of a shard and returns all of
  // its records. Omits response bodies that would exceed `max_bytes` in sum.
  // Absent if this daemon does not own the shard.
  std::optional<wire::key_handoverT> StartHandover(std::uint32_t shard,
                                                   std::size_t max_bytes);
  // Keeps the records of a predecessor until this daemon becomes the owner.
  wire::acknowledgementT AcceptHandover(const wire::key_handoverT& handover);

  // Removes records that are older than the retention.
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
    bool was_owned = false;  // Owned at any time under this epoch.
    bool handed_over = false;
    // All requests with keys of this shard that may have run have a record.
    bool history_complete = false;
    time_point owner_since;
    // Epochs of predecessors whose records were handed over, with the
    // difference of the issuer's clock of their tickets to the own clock.
    std::map<std::uint64_t, duration> accepted_epochs;
    std::unordered_map<std::string, record_ptr> records;
    std::size_t body_bytes = 0;
    std::unique_ptr<wire::key_handoverT> received_handover;
    time_point handover_received_at;
  };

  // The functions below need the lock. The `Check` functions return the
  // response if the request must not run.
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

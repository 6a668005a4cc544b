#pragma once

#include <atomic>
#include <mutex>
#include <string>

#include "clients/kv_client.h"
#include "cluster/cluster_view.h"
#include "config/settings.h"
#include "kernel/clock.h"
#include "kernel/log.h"

namespace apricotwheel {

// The key prefix of member records in the key-value service.
inline constexpr std::string_view kMembersPrefix =
    "apricotwheel/cluster/members/";

// Keeps this daemon's lease and its member record in the key-value service.
// `RenewIfDue` is called from one thread; the other functions are thread-safe.
class member_lease {
 public:
  member_lease(kv_client* kv, clock_ptr clock, const daemon_settings& settings,
               member record, log_sink log);

  // Renews the lease or acquires a new one, and writes the record if it has
  // changed or is missing. Returns how long to wait before the next call.
  duration RenewIfDue();

  // Returns true while the lease is valid and the record is written under it.
  // The time of validity is reduced by the clock margin.
  bool IsHeld() const;
  std::string RecordKey() const {
    return std::string(kMembersPrefix) + record_.id;
  }
  // Returns an empty id if there is no lease. Other managers write keys of
  // their own under this lease.
  std::string LeaseId() const;

  // Also keeps this entry under the lease. It is written before the member
  // record, so that others know it when they learn of the member.
  void SetAttribute(std::string key, std::string value);

  void MarkLeaving();
  bool IsLeaving() const { return leaving_; }
  // Handles the deletion of the record by the write `revision`: the record is
  // written again.
  void OnRecordDeleted(std::uint64_t revision);
  // Removes the record and revokes the lease. Later calls of `RenewIfDue` do
  // nothing. Returns by `deadline`; a record that could not be removed
  // disappears when the lease expires.
  void Resign(time_point deadline);

 private:
  bool Renew();
  bool WriteRecord();
  // Writes the attribute if it has changed or belongs to an earlier lease.
  bool WriteAttribute();
  void SetLeaseId(std::string id);

  kv_client* const kv_;
  const clock_ptr clock_;
  const duration time_to_live_;
  const duration renew_interval_;
  const duration clock_margin_;
  const log_sink log_;
  member record_;
  std::mutex renewal_mutex_;  // Excludes `RenewIfDue` and `Resign`.
  mutable std::mutex lease_id_mutex_;
  std::string lease_id_;  // Written with both mutexes held.
  std::mutex attribute_mutex_;
  std::string attribute_key_;  // Empty if there is none.
  std::string attribute_value_;
  // As last written; used with renewal_mutex_ held.
  std::string written_attribute_value_;
  std::string written_attribute_lease_id_;
  time_point last_renewal_{};
  std::atomic<bool> resigned_ = false;
  std::atomic<bool> leaving_ = false;
  // The next `RenewIfDue` writes the record.
  std::atomic<bool> record_write_pending_ = true;
  std::atomic<bool> record_written_ = false;
  std::atomic<std::uint64_t> record_revision_ = 0;
  std::atomic<time_point::rep> valid_until_ = 0;
};

}  // namespace apricotwheel

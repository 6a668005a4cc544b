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

// Key prefix of member records.
inline constexpr std::string_view kMembersPrefix =
    "apricotwheel/cluster/members/";

// This daemon's lease and its member record. `Tick` runs on one thread; the
// other functions are thread-safe.
class member_lease {
 public:
  member_lease(kv_client* kv, clock_ptr clock, const daemon_settings& settings,
               member record, log_sink log);

  // Renews or takes the lease and writes the record if it is due. Returns how
  // long to wait until the next call.
  duration RenewIfDue();

  // True while the lease is certainly valid and the record is written under it.
  bool IsHeld() const;
  std::string RecordKey() const {
    return std::string(kMembersPrefix) + record_.id;
  }
  // Empty while there is none. Keys of other managers may be written under it.
  std::string LeaseId() const;

  void MarkLeaving();
  bool IsLeaving() const { return leaving_; }
  // The record was deleted by the write `revision`.
  void OnRecordDeleted(std::uint64_t revision);
  // Ends the lease and removes the record; later ticks do nothing. Returns by
  // `deadline`; what is then left disappears when the lease expires.
  void Resign(time_point deadline);

 private:
  bool Renew();
  bool WriteRecord();
  void SetLeaseId(std::string id);

  kv_client* const kv_;
  const clock_ptr clock_;
  const duration time_to_live_;
  const duration renew_interval_;
  const duration clock_margin_;
  const log_sink log_;
  member record_;
  std::mutex renewal_mutex_;  // Held over a tick; keeps it apart from `Resign`.
  mutable std::mutex lease_id_mutex_;
  std::string lease_id_;  // Changed with both mutexes held.
  time_point last_renewal_{};
  std::atomic<bool> resigned_ = false;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> record_write_pending_ =
      true;  // To be written at the next tick.
  std::atomic<bool> record_written_ = false;
  std::atomic<std::uint64_t> record_revision_ = 0;
  std::atomic<time_point::rep> valid_until_ = 0;
};

}  // namespace apricotwheel

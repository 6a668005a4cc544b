#include "cluster/member_lease.h"

#include "cluster/cluster_events.h"

namespace apricotwheel {

namespace {

// A failed call is retried after a quarter of the renewal interval, several
// times before the lease expires.
constexpr int kRetriesPerInterval = 4;
// The mutex is polled, because the thread sanitizer of GCC 12 does not support
// timed locks of std::timed_mutex.
constexpr auto kResignPollInterval = milliseconds(10);

}  // namespace

member_lease::member_lease(kv_client* kv, clock_ptr clock,
                           const daemon_settings& settings, member record,
                           log_sink log)
    : kv_(kv),
      clock_(std::move(clock)),
      time_to_live_(settings.lease_ttl),
      renew_interval_(settings.lease_renew_interval),
      clock_margin_(settings.clock_margin),
      log_(std::move(log)),
      record_(std::move(record)) {}

duration member_lease::RenewIfDue() {
  std::lock_guard guard(renewal_mutex_);
  if (resigned_) return renew_interval_;
  const auto now = clock_->Now();
  const bool is_due =
      lease_id_.empty() || now - last_renewal_ >= renew_interval_;
  if (is_due && !Renew()) return renew_interval_ / kRetriesPerInterval;
  if (resigned_) return renew_interval_;
  if (!WriteAttribute()) return renew_interval_ / kRetriesPerInterval;
  if (record_write_pending_.exchange(false) && !WriteRecord()) {
    record_write_pending_ = true;
    return renew_interval_ / kRetriesPerInterval;
  }
  return std::max(duration::zero(),
                  last_renewal_ + renew_interval_ - clock_->Now());
}

bool member_lease::Renew() {
  // The service measures the time to live from when it receives the call, which
  // is not before `sent_at`. The lease does not expire there before it does
  // here.
  const auto sent_at = clock_->Now();
  const auto extend = [&] {
    last_renewal_ = sent_at;
    if (resigned_) return;
    valid_until_ =
        (sent_at + time_to_live_ - clock_margin_).time_since_epoch().count();
  };
  if (!lease_id_.empty()) {
    const auto renewed = Attempt([&] { return kv_->RenewLease(lease_id_); });
    if (renewed) {
      extend();
      return true;
    }
    if (renewed.failure.kind != error_kind::kNotFound) return false;
    SetLeaseId({});
    record_written_ = false;
    record_write_pending_ = true;
    valid_until_ = 0;
    Emit(log_, cluster_events::kLeaseLost,
         {Field("member", record_.id),
          Field("reason", Describe(renewed.failure))});
  }
  const auto granted = Attempt([&] { return kv_->GrantLease(time_to_live_); });
  if (!granted) return false;
  SetLeaseId(*granted);
  extend();
  Emit(log_, cluster_events::kLeaseAcquired, {Field("member", record_.id)});
  return true;
}

void member_lease::SetAttribute(std::string key, std::string value) {
  const std::lock_guard lock(attribute_mutex_);
  attribute_key_ = std::move(key);
  attribute_value_ = std::move(value);
}

bool member_lease::WriteAttribute() {
  std::string key;
  std::string value;
  {
    const std::lock_guard lock(attribute_mutex_);
    key = attribute_key_;
    value = attribute_value_;
  }
  const bool is_written = value == written_attribute_value_ &&
                          lease_id_ == written_attribute_lease_id_;
  if (key.empty() || is_written) return true;
  kv_put_options options;
  options.lease_id = lease_id_;
  const auto written = Attempt([&] { return kv_->Put(key, value, options); });
  if (!written) {
    // As for the record: the lease may have expired.
    if (written.failure.kind != error_kind::kTimeout) last_renewal_ = {};
    return false;
  }
  written_attribute_value_ = std::move(value);
  written_attribute_lease_id_ = lease_id_;
  return true;
}

bool member_lease::WriteRecord() {
  // No other process writes this key, so a write without an expected revision
  // is safe to retry.
  kv_put_options options;
  options.lease_id = lease_id_;
  record_.leaving = leaving_;
  const auto written = Attempt(
      [&] { return kv_->Put(RecordKey(), EncodeMember(record_), options); });
  if (written) {
    record_revision_ = *written;
    record_written_ = true;
    return true;
  }
  // The lease may have expired since its last renewal. The next `RenewIfDue`
  // renews it to find out.
  if (written.failure.kind != error_kind::kTimeout) last_renewal_ = {};
  return false;
}

std::string member_lease::LeaseId() const {
  const std::lock_guard lock(lease_id_mutex_);
  return lease_id_;
}

void member_lease::SetLeaseId(std::string id) {
  const std::lock_guard lock(lease_id_mutex_);
  lease_id_ = std::move(id);
}

bool member_lease::IsHeld() const {
  return record_written_ && !resigned_ &&
         clock_->Now().time_since_epoch().count() < valid_until_;
}

void member_lease::MarkLeaving() {
  leaving_ = true;
  record_write_pending_ = true;
}

void member_lease::OnRecordDeleted(std::uint64_t revision) {
  if (revision <= record_revision_) return;  // The record was written since.
  record_written_ = false;
  record_write_pending_ = true;
}

void member_lease::Resign(time_point deadline) {
  if (resigned_.exchange(true)) return;
  // `RenewIfDue` can hold the mutex while the service does not respond.
  std::unique_lock guard(renewal_mutex_, std::try_to_lock);
  while (!guard && clock_->Now() < deadline) {
    clock_->SleepFor(kResignPollInterval);
    (void)guard.try_lock();
  }
  valid_until_ = 0;
  if (!guard) return;
  Attempt(
      [&] { return kv_->Remove(RecordKey(), {}, deadline - clock_->Now()); });
  if (lease_id_.empty()) return;
  Attempt(
      [&] { return kv_->RevokeLease(lease_id_, deadline - clock_->Now()); });
}

}  // namespace apricotwheel

#pragma once

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clients/kv_client.h"

namespace apricotwheel::testing {

// Faults of commits.
enum class commit_fault {
  kNone,
  kUnavailable,   // Not applied, and the caller gets an error.
  kResponseLost,  // Applied, and the caller gets a timeout.
  kDelayed,       // Kept for `ApplyLate`; the caller gets a timeout.
};

// An in-memory key-value service with fault injection.
class fake_store {
 public:
  // Returns a client. While `is_cut_off` is set, the store rejects its calls
  // and no others.
  std::unique_ptr<kv_client> Client(
      std::shared_ptr<std::atomic<bool>> is_cut_off = nullptr) {
    const auto rejects = [is_cut_off] { return is_cut_off && *is_cut_off; };
    const auto reject = [] {
      return Fail(error_kind::kUnavailable, "rejected", "wait");
    };
    kv_protocol calls;
    calls.get = [=, this](std::string_view key,
                          duration) -> result<std::optional<kv_entry>> {
      if (rejects()) return reject();
      std::optional<kv_entry> entry;
      std::function<void()> after_get;
      {
        const std::lock_guard lock(mutex_);
        if (is_unresponsive_)
          return Fail(error_kind::kTimeout, "no response", "wait");
        const auto found = entries_.find(std::string(key));
        if (found != entries_.end()) entry = found->second;
        if (after_next_get_key_.empty() || after_next_get_key_ == key) {
          after_get = std::exchange(after_next_get_, nullptr);
        }
      }
      if (after_get) after_get();
      return entry;
    };
    calls.list = [=, this](std::string_view prefix) -> result<kv_listing> {
      if (rejects()) return reject();
      const std::lock_guard lock(mutex_);
      kv_listing all;
      all.revision = revision_;
      for (const auto& [key, entry] : entries_) {
        if (key.starts_with(prefix)) all.entries.push_back(entry);
      }
      return all;
    };
    calls.commit = [=, this](const kv_transaction& writes,
                             duration timeout) -> result<std::uint64_t> {
      if (rejects()) return reject();
      return CommitWithDelay(writes, timeout);
    };
    const auto is_interrupted = std::make_shared<std::atomic<bool>>(false);
    calls.watch = [=, this](std::string_view prefix, std::uint64_t revision,
                            duration wait) -> result<kv_watch_result> {
      const auto until = clock_->Now() + wait;
      while (true) {
        if (rejects()) return reject();
        auto seen = EventsAfter(prefix, revision);
        if (!seen.events.empty() || *is_interrupted || clock_->Now() >= until) {
          return seen;
        }
        clock_->SleepFor(milliseconds(2));
      }
    };
    calls.interrupt_watches = [is_interrupted] { *is_interrupted = true; };
    BindLeases(calls, rejects);
    return kv_client::Create(std::move(calls), milliseconds(3000));
  }

  // Queues a fault for each of the next commits.
  void FailNext(commit_fault fault, int times = 1) {
    const std::lock_guard lock(mutex_);
    for (int i = 0; i < times; ++i) faults_.push_back(fault);
  }

  // Calls `action` once, after the next get has read its value.
  void AfterNextGet(std::function<void()> action) {
    AfterNextGetOf({}, std::move(action));
  }
  // The same for the next get of `key`.
  void AfterNextGetOf(const std::string& key, std::function<void()> action) {
    const std::lock_guard lock(mutex_);
    after_next_get_key_ = key;
    after_next_get_ = std::move(action);
  }

  // Sets the duration of commits.
  void SetDelay(duration delay) {
    const std::lock_guard lock(mutex_);
    delay_ = delay;
  }

  // While unresponsive, gets and commits have no effect and time out.
  void SetUnresponsive(bool is_unresponsive) {
    const std::lock_guard lock(mutex_);
    is_unresponsive_ = is_unresponsive;
  }

  // Applies the commits that `kDelayed` has kept, if their conditions hold;
  // returns how many took effect.
  int ApplyDelayed() {
    const std::lock_guard lock(mutex_);
    int applied = 0;
    for (const auto& writes : delayed_)
      applied += ApplyTransaction(writes) ? 1 : 0;
    delayed_.clear();
    return applied;
  }

  // Ends all leases, as an outage may.
  void EndLeases() {
    const std::lock_guard lock(mutex_);
    for (const std::string& id : std::set<std::string>(granted_leases_)) {
      EndLease(id);
    }
  }

  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Write({key, value, {}}, ++revision_);
    return revision_;
  }
  bool Has(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    return entries_.contains(key);
  }
  std::string Value(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(key);
    return found == entries_.end() ? "" : found->second.value;
  }

 private:
  void EndLease(const std::string& id) {
    granted_leases_.erase(id);
    kv_transaction ended;
    for (const auto& [key, lease] : leases_) {
      if (lease == id) ended.removals.push_back(key);
    }
    ApplyTransaction(ended);
  }

  // Adds the lease calls. Leases do not expire; they end when they are revoked.
  void BindLeases(kv_protocol& calls, const std::function<bool()>& rejects) {
    calls.grant_lease = [this](duration) -> result<std::string> {
      const std::lock_guard lock(mutex_);
      const std::string id = "lease-" + std::to_string(++last_lease_);
      granted_leases_.insert(id);
      return id;
    };
    calls.renew_lease = [rejects](std::string_view) -> result<void> {
      if (rejects()) return Fail(error_kind::kUnavailable, "rejected", "");
      return {};
    };
    calls.revoke_lease = [this](std::string_view lease_id,
                                duration) -> result<void> {
      const std::lock_guard lock(mutex_);
      EndLease(std::string(lease_id));
      return {};
    };
  }

  result<std::uint64_t> CommitWithDelay(const kv_transaction& writes,
                                        duration timeout) {
    duration delay{};
    {
      const std::lock_guard lock(mutex_);
      delay = delay_;
    }
    clock_->SleepFor(std::min(delay, timeout));
    if (delay > timeout) return Fail(error_kind::kTimeout, "slow", "wait");
    return Commit(writes);
  }

  result<std::uint64_t> Commit(const kv_transaction& writes) {
    const std::lock_guard lock(mutex_);
    if (is_unresponsive_)
      return Fail(error_kind::kTimeout, "no response", "wait");
    commit_fault fault = commit_fault::kNone;
    if (!faults_.empty()) {
      fault = faults_.front();
      faults_.pop_front();
    }
    if (fault == commit_fault::kUnavailable) {
      return Fail(error_kind::kUnavailable, "down", "wait");
    }
    if (fault == commit_fault::kDelayed) {
      delayed_.push_back(writes);
      return Fail(error_kind::kTimeout, "late", "wait");
    }
    for (const kv_write& put : writes.puts) {
      if (!put.lease_id.empty() && !granted_leases_.contains(put.lease_id)) {
        return Fail(error_kind::kNotFound, "no such lease", "grant a new one");
      }
    }
    const bool is_applied = ApplyTransaction(writes);
    if (fault == commit_fault::kResponseLost) {
      return Fail(error_kind::kTimeout, "lost", "wait");
    }
    if (!is_applied) {
      return Fail(error_kind::kConflict, "a condition fails", "read");
    }
    return revision_;
  }

  bool ApplyTransaction(const kv_transaction& writes) {
    for (const kv_condition& one : writes.conditions) {
      const auto found = entries_.find(one.key);
      const std::uint64_t current =
          found == entries_.end() ? 0 : found->second.revision;
      if (current != one.revision) return false;
    }
    ++revision_;
    for (const kv_write& put : writes.puts) Write(put, revision_);
    for (const std::string& key : writes.removals) {
      if (entries_.erase(key) == 0) continue;
      leases_.erase(key);
      events_.push_back({{key, "", revision_}, true});
    }
    return true;
  }

  void Write(const kv_write& put, std::uint64_t revision) {
    entries_[put.key] = {put.key, put.value, revision};
    leases_[put.key] = put.lease_id;
    events_.push_back({entries_[put.key], false});
  }

  kv_watch_result EventsAfter(std::string_view prefix,
                              std::uint64_t revision) const {
    const std::lock_guard lock(mutex_);
    kv_watch_result seen;
    seen.revision = revision_;
    for (const kv_event& event : events_) {
      if (event.entry.revision > revision &&
          event.entry.key.starts_with(prefix)) {
        seen.events.push_back(event);
      }
    }
    return seen;
  }

  mutable std::mutex mutex_;
  const clock_ptr clock_ = runtime_clock::Running();
  duration delay_{};
  std::string after_next_get_key_;  // Empty for any.
  std::function<void()> after_next_get_;
  bool is_unresponsive_ = false;
  std::map<std::string, kv_entry> entries_;
  // Lease ids by key; empty for none.
  std::map<std::string, std::string> leases_;
  std::vector<kv_event> events_;
  std::set<std::string> granted_leases_;
  int last_lease_ = 0;
  std::deque<commit_fault> faults_;
  std::deque<kv_transaction> delayed_;
  std::uint64_t revision_ = 10;
};

}  // namespace apricotwheel::testing

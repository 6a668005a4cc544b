#pragma once

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "pools/job_journal.h"
#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_store.h"

namespace apricotwheel::testing {

inline constexpr auto kJournalTimeout = std::chrono::seconds(5);

inline std::string OwnerKeyOf(const std::string& pool) {
  return "owners/" + pool;
}

// The journal of an owner, with a record of its callbacks.
struct journal_rig {
  fake_store& store;
  std::unique_ptr<kv_client> kv = store.Client();
  clock_ptr clock = runtime_clock::Running();
  std::mutex mutex;
  std::vector<std::string> accepted;
  progress_batch next_progress;
  // Adds to the progress each time that it is taken.
  std::function<void(progress_batch&)> refill;
  int stored_batches = 0;
  std::map<std::string, std::uint64_t> acknowledged_ends;
  std::atomic<bool> is_superseded = false;
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::unique_ptr<job_journal> journal;

  // `customise` changes the options of the journal.
  journal_rig(fake_store& service, std::uint64_t epoch,
              const std::string& pool = "pool",
              const std::function<void(job_journal_options&)>& customise = {})
      : store(service) {
    job_journal_options options;
    options.pool = pool;
    options.owner_key = OwnerKeyOf(pool);
    options.epoch = epoch;
    options.writer = "member-" + std::to_string(epoch);
    options.kv = kv.get();
    options.metrics = &metrics;
    options.clock = clock;
    if (customise) customise(options);
    job_journal::callbacks callbacks;
    callbacks.take_progress = [this] {
      const std::lock_guard lock(mutex);
      if (refill) refill(next_progress);
      return std::exchange(next_progress, {});
    };
    callbacks.on_progress_stored = [this](const progress_batch& batch) {
      const std::lock_guard lock(mutex);
      ++stored_batches;
      for (const auto& [worker, position] : batch.ends_by_worker) {
        acknowledged_ends[worker] = position.sequence;
      }
    };
    callbacks.on_progress_failed = [this](const progress_batch& batch) {
      const std::lock_guard lock(mutex);
      next_progress = batch;
    };
    callbacks.on_job_accepted = [this](const job_submission& job) {
      const std::lock_guard lock(mutex);
      accepted.push_back(job.id);
    };
    callbacks.on_jobs_moved = [](const std::vector<job_move>&) {};
    callbacks.on_moves_rejected = [](const std::vector<job_move>&) {};
    callbacks.on_superseded = [this] { is_superseded = true; };
    journal = std::make_unique<job_journal>(options, callbacks);
  }
  ~journal_rig() { journal->Stop(); }

  journal_contents LoadAndStart() {
    const auto contents = Attempt([&] { return journal->Load(); });
    BOOST_REQUIRE(contents);
    BOOST_REQUIRE(Attempt([&] { return journal->Start(); }));
    return *contents;
  }
  submit_outcome Submit(const std::string& id,
                        duration timeout = kJournalTimeout) {
    return journal->Submit(
        MakeJob(id, {MakeStep(1, resource_vector{1000, 1024, 0})}),
        clock->Now() + timeout);
  }
  id_cancellation_outcome CancelId(const std::string& id,
                                   const caller_identity& caller = {},
                                   duration timeout = kJournalTimeout) {
    const auto lease = Attempt([&] { return kv->GrantLease(kJournalTimeout); });
    BOOST_REQUIRE(lease);
    return journal->CancelId(id, caller, *lease, clock->Now() + timeout)
        .outcome;
  }
  bool Eventually(const std::function<bool()>& condition) const {
    const auto until = clock->Now() + kJournalTimeout;
    while (clock->Now() < until) {
      if (condition()) return true;
      clock->SleepFor(milliseconds(5));
    }
    return false;
  }
  std::uint64_t AcknowledgedEnd(const std::string& worker) {
    const std::lock_guard lock(mutex);
    return acknowledged_ends[worker];
  }
  std::size_t AcceptedCount() {
    const std::lock_guard lock(mutex);
    return accepted.size();
  }
};

}  // namespace apricotwheel::testing

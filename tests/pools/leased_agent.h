#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/clock.h"
#include "pools/platform_services.h"

namespace apricotwheel::testing {

// A run on a worker, from its start to its end.
struct run_record {
  task_key task;
  std::uint64_t run = 0;
  std::uint64_t epoch = 0;  // Of the owner that started it.
  time_point begun_at{};
  std::optional<time_point> ended_at;
  run_outcome outcome = run_outcome::kDone;
};

// An in-memory agent of a worker that ends its runs when their lease expires,
// and to which the owners can lose their connections one by one. Runs last
// until then.
class leased_agent {
 public:
  explicit leased_agent(clock_ptr clock) : clock_(std::move(clock)) {}

  // Calls on the link fail with the kind that `failure` returns.
  std::unique_ptr<agent_link> Link(
      std::function<std::optional<error_kind>()> failure) {
    auto link = std::make_unique<agent_link>();
    link->poll =
        [this, failure](const poll_request& request) -> result<worker_report> {
      const auto until = clock_->Now() + request.wait;
      do {
        if (const auto kind = failure()) return Fail(*kind, "cut off", "wait");
        if (auto report = Attempt([&] { return Poll(request); }); !report) {
          return Fail(report.failure);
        } else if (!report->ended.empty() || clock_->Now() >= until) {
          return *report;
        }
        clock_->SleepFor(milliseconds(5));
      } while (true);
    };
    link->start = [this, failure](const start_order& order,
                                  const run_lease& lease) {
      if (failure()) return start_response{start_result::kUnreachable, {}};
      return Start(order, lease);
    };
    link->stop = [this, failure](const stop_order& order, std::uint64_t epoch) {
      return !failure() && Stop(order, epoch);
    };
    link->throttle = [](const throttle_order&, std::uint64_t) { return true; };
    link->interrupt = [] {};
    return link;
  }

  std::vector<run_record> Runs() {
    const std::lock_guard lock(mutex_);
    ExpireRuns();
    return runs_;
  }
  bool IsRunning() {
    const std::lock_guard lock(mutex_);
    ExpireRuns();
    return std::any_of(runs_.begin(), runs_.end(),
                       [](const run_record& run) { return !run.ended_at; });
  }
  void EndAllRuns(run_outcome how) {
    const std::lock_guard lock(mutex_);
    ExpireRuns();
    for (run_record& run : runs_) {
      if (!run.ended_at) End(run, how, clock_->Now());
    }
  }

 private:
  // The functions below are called with mutex_ held, but for the next three.
  result<worker_report> Poll(const poll_request& request) {
    const std::lock_guard lock(mutex_);
    ExpireRuns();
    if (request.epoch < epoch_) return Fail(error_kind::kStaleEpoch, "", "");
    epoch_ = request.epoch;
    if (request.lease_until_ms) Renew(*request.lease_until_ms);
    std::erase_if(ends_, [&](const reported_end& end) {
      return end.sequence <= request.acknowledged_end;
    });
    worker_report report;
    report.clock_ms = ToMs(clock_->Now() - begun_at_);
    report.incarnation = 1;
    report.ended = ends_;
    for (const run_record& run : runs_) {
      if (run.ended_at) continue;
      reported_run row;
      row.task = run.task;
      row.run = run.run;
      report.running.push_back(std::move(row));
    }
    return report;
  }
  start_response Start(const start_order& order, const run_lease& lease) {
    const std::lock_guard lock(mutex_);
    ExpireRuns();
    const auto now = clock_->Now();
    const std::int64_t now_ms = ToMs(now - begun_at_);
    if (lease.epoch < epoch_) return {start_result::kStaleEpoch, now_ms};
    epoch_ = lease.epoch;
    if (lease.until_ms <= now_ms) return {start_result::kExpired, now_ms};
    Renew(lease.until_ms);
    const bool is_there =
        std::any_of(runs_.begin(), runs_.end(), [&](const run_record& run) {
          return run.task == order.task && run.run == order.run;
        });
    if (!is_there) {
      runs_.push_back({order.task, order.run, lease.epoch, now, {}, {}});
    }
    return {start_result::kStarted, now_ms};
  }
  bool Stop(const stop_order& order, std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    ExpireRuns();
    if (epoch < epoch_) return false;
    for (run_record& run : runs_) {
      if (!run.ended_at && run.task == order.task) {
        End(run, run_outcome::kStopped, clock_->Now());
      }
    }
    return true;
  }

  void Renew(std::int64_t until_ms) {
    lease_end_ = std::max(lease_end_, begun_at_ + milliseconds(until_ms));
  }
  void ExpireRuns() {
    if (clock_->Now() < lease_end_) return;
    for (run_record& run : runs_) {
      if (!run.ended_at) End(run, run_outcome::kLeaseExpired, lease_end_);
    }
  }
  void End(run_record& run, run_outcome how, time_point at) {
    run.ended_at = at;
    run.outcome = how;
    reported_end end;
    end.sequence = ++last_end_;
    end.task = run.task;
    end.run = run.run;
    end.outcome = how;
    ends_.push_back(std::move(end));
  }

  const clock_ptr clock_;
  const time_point begun_at_ = clock_->Now();
  std::mutex mutex_;
  std::uint64_t epoch_ = 0;
  time_point lease_end_{};
  std::vector<run_record> runs_;
  std::vector<reported_end> ends_;  // Not acknowledged.
  std::uint64_t last_end_ = 0;
};

// Returns the pairs of runs of one task that overlap in time.
inline std::vector<std::pair<run_record, run_record>> FindOverlaps(
    const std::vector<run_record>& runs) {
  std::vector<std::pair<run_record, run_record>> overlaps;
  for (const run_record& one : runs) {
    for (const run_record& other : runs) {
      const bool is_later = std::pair(one.begun_at, one.run) <
                            std::pair(other.begun_at, other.run);
      if (is_later && one.task == other.task &&
          (!one.ended_at || *one.ended_at > other.begun_at)) {
        overlaps.emplace_back(one, other);
      }
    }
  }
  return overlaps;
}

}  // namespace apricotwheel::testing

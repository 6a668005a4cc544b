#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "kernel/clock.h"
#include "pools/platform_services.h"

namespace apricotwheel::testing {

// An in-memory agent of a worker. Runs last until the test ends them.
class fake_agent {
 public:
  explicit fake_agent(clock_ptr clock) : clock_(std::move(clock)) {}

  std::unique_ptr<agent_link> Link() {
    auto link = std::make_unique<agent_link>();
    link->poll = [this](const poll_request& request) { return Hold(request); };
    link->start = [this](const start_order& order, const run_lease& lease) {
      return Start(order, lease);
    };
    link->stop = [this](const stop_order& order, std::uint64_t epoch) {
      return Stop(order, epoch);
    };
    link->throttle = [](const throttle_order&, std::uint64_t) { return true; };
    link->interrupt = [] {};
    return link;
  }

  void EndAllRuns(run_outcome how) {
    const std::lock_guard lock(mutex_);
    while (!running_.empty()) End(running_.begin()->first, how);
  }
  void EndOneRun(run_outcome how) {
    const std::lock_guard lock(mutex_);
    End(running_.begin()->first, how);
  }
  std::size_t RunCount() const {
    const std::lock_guard lock(mutex_);
    return running_.size();
  }
  // While its calls fail with this kind, the agent runs on.
  void RejectCalls(std::optional<error_kind> failure) {
    const std::lock_guard lock(mutex_);
    failure_ = failure;
  }
  // Returns the highest run number that was started.
  std::uint64_t LastRunNumber() const {
    const std::lock_guard lock(mutex_);
    return last_run_number_;
  }
  std::uint64_t AcknowledgedEnd() const {
    const std::lock_guard lock(mutex_);
    return acknowledged_;
  }
  void ObeyEpoch(std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    epoch_ = std::max(epoch_, epoch);
  }

 private:
  result<worker_report> Hold(const poll_request& request) {
    const auto until = clock_->Now() + request.wait;
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (failure_) return Fail(*failure_, "rejected", "wait");
        if (request.epoch < epoch_) {
          return Fail(error_kind::kStaleEpoch, "stale", "stop");
        }
        epoch_ = request.epoch;
        acknowledged_ = std::max(acknowledged_, request.acknowledged_end);
        std::erase_if(ended_, [&](const reported_end& end) {
          return end.sequence <= acknowledged_;
        });
        if (!ended_.empty() || clock_->Now() >= until) {
          worker_report report;
          report.incarnation = 1;
          report.clock_ms = 1000;
          for (const auto& [task, run] : running_) {
            report.running.push_back(run);
          }
          report.ended = ended_;
          return report;
        }
      }
      clock_->SleepFor(milliseconds(2));
    }
  }
  start_response Start(const start_order& order, const run_lease& lease) {
    const std::lock_guard lock(mutex_);
    if (failure_) return {start_result::kUnreachable, {}};
    if (lease.epoch < epoch_) return {start_result::kStaleEpoch, 1000};
    last_run_number_ = std::max(last_run_number_, order.run);
    reported_run run;
    run.task = order.task;
    run.run = order.run;
    running_[order.task] = run;
    return {start_result::kStarted, 1000};
  }
  bool Stop(const stop_order& order, std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    if (epoch < epoch_) return false;
    if (running_.contains(order.task)) End(order.task, run_outcome::kStopped);
    return true;
  }
  void End(task_key task, run_outcome how) {
    reported_end end;
    end.sequence = ++last_end_;
    end.task = task;
    end.run = running_.at(task).run;
    end.outcome = how;
    running_.erase(task);
    ended_.push_back(end);
  }

  clock_ptr clock_;
  mutable std::mutex mutex_;
  std::optional<error_kind> failure_;
  std::uint64_t last_run_number_ = 0;
  std::uint64_t epoch_ = 0;
  std::map<task_key, reported_run> running_;
  std::vector<reported_end> ended_;
  std::uint64_t last_end_ = 0;
  std::uint64_t acknowledged_ = 0;
};

}  // namespace apricotwheel::testing

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "clients/vm_list_client.h"
#include "kernel/clock.h"
#include "testing/journal.h"

namespace apricotwheel::standins {

struct worker_agent_options {
  vm_record vm;
  bool refuse_over_capacity = false;
  // A broken worker that takes every epoch, to show that the checks see it.
  bool ignore_epochs = false;
  duration usage_lag = std::chrono::seconds(2);
  std::shared_ptr<journal> event_journal = std::make_shared<journal>();
  clock_ptr clock = runtime_clock::Running();
};

struct worker_faults {
  bool fail_tasks = false;
  bool frozen = false;  // Accepts calls and serves them only when thawed.
  bool dead = false;    // All tasks end, and every connection is closed.
  std::int64_t report_percent = 100;  // Of the use that it should report.
  std::int64_t actual_percent = 100;  // Actual use over the declared size.
  std::int64_t delay_ms = 0;          // Between a call's effect and its answer.
  std::int64_t lose_replies = 0;      // Calls with effect but without answer.
};

// Stand-in of one worker agent, as docs/contracts/worker.md describes it.
class worker_agent {
 public:
  static result<std::unique_ptr<worker_agent>> Start(
      worker_agent_options options);
  ~worker_agent();

  const std::string& Address() const;
  void SetFaults(const worker_faults& faults);
  // Ends tasks whose time or lease is over. The owner calls it every few
  // milliseconds; it works while the agent is frozen.
  void AdvanceTasks();
  std::uint64_t CapacityBreachCount() const;

 private:
  struct state;
  explicit worker_agent(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel::standins

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
  // Simulates a faulty worker that accepts stale epochs; tests use it to verify
  // that their checks detect this.
  bool ignore_epochs = false;
  duration usage_lag = std::chrono::seconds(2);
  std::shared_ptr<journal> event_journal = std::make_shared<journal>();
  clock_ptr clock = runtime_clock::Running();
};

struct worker_faults {
  bool fail_tasks = false;
  bool frozen = false;                // Calls wait until it ends.
  bool dead = false;                  // Tasks end; connections are dropped.
  std::int64_t report_percent = 100;  // Of the actual use.
  std::int64_t actual_percent = 100;  // Of the declared resources.
  std::int64_t delay_ms = 0;          // Between effect and response.
  std::int64_t lose_replies = 0;      // Next calls without a response.
};

// Stand-in of a worker agent, which docs/contracts/worker.md describes.
class worker_agent {
 public:
  static result<std::unique_ptr<worker_agent>> Start(
      worker_agent_options options);
  ~worker_agent();

  const std::string& Address() const;
  void SetFaults(const worker_faults& faults);
  // Ends tasks that have finished or whose lease has expired, also while the
  // agent is frozen. Must be called every few milliseconds.
  void AdvanceTasks();
  // Returns the number of starts that exceeded the capacity of the VM.
  std::uint64_t CapacityBreachCount() const;

 private:
  struct state;
  explicit worker_agent(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel::standins

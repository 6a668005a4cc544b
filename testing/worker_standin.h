#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testing/worker_agent.h"

namespace apricotwheel::standins {

struct worker_standin_options {
  vm_list cell;
  std::vector<std::string> vm_ids;  // Empty: all VMs of the cell.
  std::string journal_path;         // Empty: no journal.
  // Template for each agent; `vm` and `event_journal` are set by `Start`.
  worker_agent_options agent_options;
};

// Runs the worker agents of a cell in one process. One thread advances the
// tasks of all agents.
class worker_standin {
 public:
  static result<std::unique_ptr<worker_standin>> Start(
      worker_standin_options options);
  ~worker_standin();

  std::size_t AgentCount() const;
  worker_agent& Agent(std::size_t index);

 private:
  struct state;
  explicit worker_standin(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel::standins

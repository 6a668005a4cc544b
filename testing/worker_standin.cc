#include "testing/worker_standin.h"

#include <algorithm>

#include "kernel/thread_group.h"

namespace apricotwheel::standins {

namespace {

// Maximum delay between the due end of a task and its end.
constexpr auto kTickInterval = milliseconds(10);

}  // namespace

struct worker_standin::state {
  explicit state(const clock_ptr& clock) : stop(clock) {}
  std::vector<std::unique_ptr<worker_agent>> agents;
  stop_signal stop;
  thread_group threads;
};

worker_standin::worker_standin(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

worker_standin::~worker_standin() {
  state_->stop.RequestStop();
  state_->threads.JoinAll();
}

result<std::unique_ptr<worker_standin>> worker_standin::Start(
    worker_standin_options options) {
  auto initial = std::make_unique<state>(options.agent_options.clock);
  auto events = std::make_shared<journal>();
  if (!options.journal_path.empty()) {
    BOOST_LEAF_CHECK(events->Open(options.journal_path));
  }
  for (const auto& vm : options.cell.vms) {
    if (!options.vm_ids.empty() &&
        std::find(options.vm_ids.begin(), options.vm_ids.end(), vm.id) ==
            options.vm_ids.end()) {
      continue;
    }
    auto agent = options.agent_options;
    agent.vm = vm;
    agent.event_journal = events;
    BOOST_LEAF_AUTO(started, worker_agent::Start(std::move(agent)));
    initial->agents.push_back(std::move(started));
  }
  state* const running = initial.get();
  BOOST_LEAF_CHECK(initial->threads.Spawn("worker-tick", [running] {
    while (!running->stop.WaitFor(kTickInterval)) {
      for (const auto& agent : running->agents) agent->AdvanceTasks();
    }
  }));
  return std::unique_ptr<worker_standin>(
      new worker_standin(std::move(initial)));
}

std::size_t worker_standin::AgentCount() const { return state_->agents.size(); }
worker_agent& worker_standin::Agent(std::size_t index) {
  return *state_->agents.at(index);
}

}  // namespace apricotwheel::standins

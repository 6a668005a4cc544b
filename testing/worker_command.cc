#include <unistd.h>

#include <sstream>

#include "testing/arguments.h"
#include "testing/cell_file.h"
#include "testing/worker_standin.h"

namespace apricotwheel::standins {

result<void> RunWorkerCommand(const arguments& flags) {
  worker_standin_options options;
  BOOST_LEAF_ASSIGN(options.cell, ReadCellFile(FlagValueOr(flags, "cell", "")));
  std::istringstream only(FlagValueOr(flags, "only", ""));
  for (std::string id; std::getline(only, id, ',');) {
    options.vm_ids.push_back(id);
  }
  options.journal_path = FlagValueOr(flags, "journal", "");
  options.agent_options.refuse_over_capacity =
      flags.contains("refuse-over-capacity");
  options.agent_options.ignore_epochs = flags.contains("ignore-epochs");
  BOOST_LEAF_AUTO(lag, IntFlagOr(flags, "usage-lag-ms", 2000));
  options.agent_options.usage_lag = milliseconds(lag);
  BOOST_LEAF_AUTO(workers, worker_standin::Start(options));
  if (workers->AgentCount() == 0) {
    return Fail(error_kind::kInvalidArgument,
                "the cell file contains none of the selected VMs",
                "check --cell and --only");
  }
  // Prints the first agent's address; the cell file lists all of them.
  ServeUntilSignal(workers->Agent(0).Address());
  // Skips destructors, which would wait for open long polls. No state is saved.
  _exit(0);
}

}  // namespace apricotwheel::standins

#include <unistd.h>

#include <sstream>

#include "testing/arguments.h"
#include "testing/cell_file.h"
#include "testing/worker_standin.h"

namespace apricotwheel::standins {

result<void> RunWorker(const arguments& flags) {
  worker_standin_options options;
  BOOST_LEAF_ASSIGN(options.cell, ReadCellFile(FlagOr(flags, "cell", "")));
  std::istringstream only(FlagOr(flags, "only", ""));
  for (std::string id; std::getline(only, id, ',');) {
    options.only.push_back(id);
  }
  options.journal_path = FlagOr(flags, "journal", "");
  options.agent.refuse_over_capacity = flags.contains("refuse-over-capacity");
  options.agent.ignore_epochs = flags.contains("ignore-epochs");
  BOOST_LEAF_AUTO(lag, NumberOr(flags, "usage-lag-ms", 2000));
  options.agent.usage_lag = milliseconds(lag);
  BOOST_LEAF_AUTO(workers, worker_standin::Start(options));
  if (workers->Size() == 0) {
    return Fail(error_kind::kInvalidArgument, "the cell has none of these VMs",
                "check --cell and --only");
  }
  // The first address; the others are in the cell file.
  ServeUntilSignal(workers->Agent(0).Address());
  // Nothing is kept that needs an orderly end, which open calls would delay.
  _exit(0);
}

}  // namespace apricotwheel::standins

#include <unistd.h>

#include "testing/arguments.h"
#include "testing/cell_file.h"
#include "testing/vmlist_standin.h"

namespace apricotwheel::standins {

result<void> RunVmListCommand(const arguments& flags) {
  vmlist_standin_options options;
  options.listen = FlagValueOr(flags, "listen", options.listen);
  BOOST_LEAF_ASSIGN(options.cell, ReadCellFile(FlagValueOr(flags, "cell", "")));
  BOOST_LEAF_AUTO(service, vmlist_standin::Start(options));
  ServeUntilSignal(service->Address());
  // Skips destructors, which would wait for open long polls. No state is saved.
  _exit(0);
}

}  // namespace apricotwheel::standins

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
  // Nothing is kept that needs an orderly end, which open calls would delay.
  _exit(0);
}

}  // namespace apricotwheel::standins

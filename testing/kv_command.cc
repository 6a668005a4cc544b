#include <unistd.h>

#include "testing/arguments.h"
#include "testing/kv_standin.h"

namespace apricotwheel::standins {

result<void> RunKvCommand(const arguments& flags) {
  kv_standin_options options;
  options.listen = FlagValueOr(flags, "listen", options.listen);
  BOOST_LEAF_AUTO(service, kv_standin::Start(options));
  ServeUntilSignal(service->Address());
  // Skips destructors, which would wait for open long polls. No state is saved.
  _exit(0);
}

}  // namespace apricotwheel::standins

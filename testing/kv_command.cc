#include <unistd.h>

#include "testing/arguments.h"
#include "testing/kv_standin.h"

namespace apricotwheel::standins {

result<void> RunKvCommand(const arguments& flags) {
  kv_standin_options options;
  options.listen = FlagValueOr(flags, "listen", options.listen);
  BOOST_LEAF_AUTO(service, kv_standin::Start(options));
  ServeUntilSignal(service->Address());
  // Nothing is kept that needs an orderly end, which open calls would delay.
  _exit(0);
}

}  // namespace apricotwheel::standins

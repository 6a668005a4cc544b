#include <algorithm>

#include "ctl/command.h"

namespace apricotwheel::ctl {

int RunHelp(const command_context& context, const argument_list&) {
  context.out << "usage: apricotwheelctl COMMAND [ARGUMENT...] [OPTION...]\n\n";
  for (const auto& entry : Commands()) {
    context.out << "  " << entry.name << " " << entry.arguments << "\n"
                << "      " << entry.help << "\n";
  }
  context.out
      << "\noptions:\n"
         "  --kv ip:port       key-value service, for apply, show, diff, drain "
         "and audit\n"
         "  --daemon ip:port   any daemon, for status, submit, job, why and "
         "cancel\n"
         "  --json             print JSON\n"
         "  --author NAME      author of a change; default: the user's name\n"
         "  --timeout-ms N     longest time of a call; default 10000\n"
         "\nexit codes:\n"
         "  0  done\n"
         "  1  failed\n"
         "  2  invalid input\n"
         "  3  conflict: another operator changed the document\n"
         "  4  a service cannot be reached; nothing was changed\n"
         "  5  unknown: the change may have taken effect\n";
  return kOk;
}

}  // namespace apricotwheel::ctl

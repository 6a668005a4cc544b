#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel::standins {

// Flags of a subcommand: `--name value`, or `--name` alone for a switch.
using arguments = std::multimap<std::string, std::string>;

arguments ParseArguments(int count, char** values);
std::string FlagValueOr(const arguments& flags, const std::string& name,
                        const std::string& otherwise);
result<int> IntFlagOr(const arguments& flags, const std::string& name,
                      int otherwise);

// Prints `ready <address>` and waits for SIGTERM or SIGINT, which `main` has
// blocked in all threads.
void ServeUntilSignal(const std::string& address);

result<void> RunKvCommand(const arguments& flags);
result<void> RunVmListCommand(const arguments& flags);
result<void> RunWorkerCommand(const arguments& flags);
result<void> RunCellCommand(const arguments& flags);

}  // namespace apricotwheel::standins

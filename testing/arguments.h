#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel::standins {

// Flags of a subcommand: `--name value`, or `--name` with an empty value.
using arguments = std::multimap<std::string, std::string>;

arguments ParseArguments(int count, char** values);
std::string FlagValueOr(const arguments& flags, const std::string& name,
                        const std::string& otherwise);
// Fails if the flag is set to something other than a whole number.
result<int> IntFlagOr(const arguments& flags, const std::string& name,
                      int otherwise);

// Prints `ready <address>`, which starters wait for, and blocks until SIGTERM
// or SIGINT. `main` blocks both signals in all threads.
void ServeUntilSignal(const std::string& address);

// The subcommands. All but `cell` serve until a signal ends the process.
result<void> RunKvCommand(const arguments& flags);
result<void> RunVmListCommand(const arguments& flags);
result<void> RunWorkerCommand(const arguments& flags);
result<void> RunCellCommand(const arguments& flags);

}  // namespace apricotwheel::standins

#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <iostream>
#include <map>

#include "testing/arguments.h"

int main(int count, char** values) {
  using apricotwheel::standins::arguments;
  namespace standins = apricotwheel::standins;
  using command = apricotwheel::result<void> (*)(const arguments&);
  const std::map<std::string, command> commands = {
      {"kv", standins::RunKvCommand},
      {"vmlist", standins::RunVmListCommand},
      {"worker", standins::RunWorkerCommand},
      {"cell", standins::RunCellCommand}};
  const auto found = commands.find(count > 1 ? values[1] : "");
  if (found == commands.end()) {
    std::cerr << "usage: apricotwheel_standin kv|vmlist|worker|cell [--flag "
                 "value]...\n";
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto flags = standins::ParseArguments(count - 2, values + 2);
  const auto done = apricotwheel::Attempt([&] { return found->second(flags); });
  if (!done) {
    std::cerr << apricotwheel::Describe(done.failure) << "\n";
    return 2;
  }
  return 0;
}

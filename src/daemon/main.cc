#include <gflags/gflags.h>
#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <string>

#include "config/settings.h"
#include "daemon/daemon.h"
#include "daemon/logging.h"
#include "daemon/pool_daemon.h"

DEFINE_string(settings, "", "path of the YAML settings file");
DEFINE_bool(check, false, "check the settings file and exit");
DEFINE_bool(describe_settings, false, "print the table of settings and exit");

namespace apricotwheel {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitInvalid = 2;

// Blocks the stop signals in this thread and in all that it starts, so that
// only `WaitForStopSignal` receives them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

void WaitForStopSignal(const sigset_t& signals) {
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
}

// Runs a daemon of the given kind until a stop signal.
template <class Daemon>
int Serve(const daemon_settings& settings, const sigset_t& signals,
          const log_sink& log) {
  auto process = Attempt(
      [&] { return Daemon::Start(settings, runtime_clock::Running(), log); });
  if (!process) {
    std::cerr << Describe(process.failure) << "\n";
    return kExitFailed;
  }
  WaitForStopSignal(signals);
  (*process)->DrainAndStop();
  return kExitOk;
}

int Run(const std::string& path) {
  const settings_check checked = LoadSettings(path);
  if (!checked.settings) {
    for (const config_fault& fault : checked.faults) {
      std::cerr << Describe(fault) << "\n";
    }
    return kExitInvalid;
  }
  if (FLAGS_check) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }
  const sigset_t signals = BlockStopSignals();
  const log_sink log = StartLogging(checked.settings->log_level);
  return checked.settings->service_adapter.empty()
             ? Serve<daemon_process>(*checked.settings, signals, log)
             : Serve<pool_daemon>(*checked.settings, signals, log);
}

}  // namespace
}  // namespace apricotwheel

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE [--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_describe_settings) {
    std::cout << apricotwheel::DescribeSettings();
    return apricotwheel::kExitOk;
  }
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr << "usage: apricotwheeld --settings FILE [--check]; "
                 "--help lists all options\n";
    return apricotwheel::kExitInvalid;
  }
  return apricotwheel::Run(FLAGS_settings);
}

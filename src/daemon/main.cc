#include <gflags/gflags.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <string>

#include "config/settings.h"
#include "daemon/daemon.h"
#include "daemon/daemon_events.h"
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
// Holds a few seconds of log output at the highest load, about 1 MB.
constexpr std::size_t kMaxPendingLogLines = 4096;

// By default glibc has 8 arenas for each core, and each keeps the most that its
// threads ever held; after a crowd of clients 731 MB stayed with 24 threads.
constexpr int kMaxArenas = 4;
// A fixed threshold. Otherwise glibc raises it to 32 MB with the largest block
// freed, and bodies come from the arenas.
constexpr int kMmapThresholdBytes = 128 << 10;

void BoundFreeMemory() {
  mallopt(M_ARENA_MAX, kMaxArenas);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
}

// Blocks the stop signals and SIGHUP in this thread and in the threads that it
// starts, so that only `WaitForStopSignal` receives them. Ignores SIGPIPE,
// which a write to a closed connection raises.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Validates the settings file on SIGHUP and logs the result. New values take
// effect only at the next start, so that a running daemon never mixes old and
// new settings.
void ValidateChangedSettings(const std::string& path, const log_sink& log) {
  const settings_check checked = LoadSettings(path);
  std::string faults;
  for (const config_fault& fault : checked.faults) {
    faults += Describe(fault) + "; ";
  }
  Emit(log, checked.settings ? kSettingsChecked : kSettingsInvalid,
       {Field("path", path), Field("faults", faults)});
}

void WaitForStopSignal(const sigset_t& signals, const std::string& path,
                       const log_sink& log) {
  while (true) {
    int received = 0;
    if (sigwait(&signals, &received) != 0) continue;
    if (received != SIGHUP) return;
    ValidateChangedSettings(path, log);
  }
}

// Runs a daemon until a stop signal arrives. Returns the exit code.
template <class Daemon>
int RunUntilStopSignal(const std::string& path, const daemon_settings& settings,
                       const sigset_t& signals, const log_sink& log) {
  auto process = Attempt(
      [&] { return Daemon::Start(settings, runtime_clock::Running(), log); });
  if (!process) {
    std::cerr << Describe(process.failure) << "\n";
    return kExitFailed;
  }
  WaitForStopSignal(signals, path, log);
  (*process)->DrainAndStop();
  return kExitOk;
}

int RunDaemon(const std::string& path) {
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
  log_queue logs({ParseSeverity(checked.settings->log_level),
                  kMaxPendingLogLines, runtime_clock::Running(),
                  MakeStandardOutputWriter()});
  const auto logging = Attempt([&] { return logs.Start(); });
  if (!logging) {
    std::cerr << Describe(logging.failure) << "\n";
    return kExitFailed;
  }
  const log_sink log = logs.Sink();
  return checked.settings->service_adapter.empty()
             ? RunUntilStopSignal<daemon_process>(path, *checked.settings,
                                                  signals, log)
             : RunUntilStopSignal<pool_daemon>(path, *checked.settings, signals,
                                               log);
}

}  // namespace
}  // namespace apricotwheel

int main(int argc, char** argv) {
  apricotwheel::BoundFreeMemory();
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
  return apricotwheel::RunDaemon(FLAGS_settings);
}

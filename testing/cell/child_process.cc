#include "testing/cell/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kernel/clock.h"

namespace apricotwheel::testing {

namespace {

constexpr auto kPollInterval = milliseconds(5);
// Exit codes as shells report them.
constexpr int kSignalExitBase = 128;
constexpr int kExecFailedExitCode = 127;

}  // namespace

result<std::unique_ptr<child_process>> child_process::Start(
    const child_process_options& options) {
  std::vector<char*> arguments;
  arguments.reserve(options.arguments.size() + 1);
  for (const std::string& argument : options.arguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int output = open(options.output_file.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (output < 0) {
    return Fail(error_kind::kIo, "cannot open " + options.output_file,
                "check the test's working folder");
  }
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(kExecFailedExitCode);
  }
  close(output);
  if (pid < 0) {
    return Fail(error_kind::kIo, "cannot start " + options.arguments.front(),
                "check the process limit");
  }
  return std::unique_ptr<child_process>(new child_process(pid));
}

child_process::~child_process() { Kill(); }

bool child_process::Reap(bool block) {
  if (exit_code_) return true;
  int status = 0;
  if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_) return false;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                 : kSignalExitBase + WTERMSIG(status);
  return true;
}

bool child_process::IsRunning() { return !Reap(false); }

void child_process::Kill() {
  if (Reap(false)) return;
  kill(pid_, SIGKILL);
  Reap(true);
}

void child_process::Freeze() {
  if (!Reap(false)) kill(pid_, SIGSTOP);
}

void child_process::Resume() {
  if (!Reap(false)) kill(pid_, SIGCONT);
}

void child_process::Terminate() {
  if (!Reap(false)) kill(pid_, SIGTERM);
}

std::optional<int> child_process::WaitForExit(int timeout_ms) {
  const auto clock = runtime_clock::Running();
  const auto deadline = clock->Now() + milliseconds(timeout_ms);
  while (!Reap(false) && clock->Now() < deadline) {
    clock->SleepFor(kPollInterval);
  }
  return exit_code_;
}

}  // namespace apricotwheel::testing

#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel::testing {

struct child_process_options {
  std::vector<std::string> arguments;  // The first is the program's path.
  std::string output_file;             // Receives both output streams.
};

// A process that a test started. The destructor kills and reaps it; the kernel
// kills it if the test's process dies first.
class child_process {
 public:
  // Must be called from the test's main thread: the kernel kills the child when
  // the thread that started it ends.
  static result<std::unique_ptr<child_process>> Start(
      const child_process_options& options);
  ~child_process();

  pid_t Pid() const { return pid_; }
  bool IsRunning();

  void Kill();       // SIGKILL; waits for the exit.
  void Freeze();     // SIGSTOP
  void Resume();     // SIGCONT
  void Terminate();  // SIGTERM; does not wait.
  // Waits for the exit. Returns the exit code, 128 + signal for a process that
  // a signal ended, or nothing if it still runs after `timeout_ms`.
  std::optional<int> WaitForExit(int timeout_ms);

 private:
  explicit child_process(pid_t pid) : pid_(pid) {}
  // Returns whether the process has exited, and stores its exit code. Waits for
  // the exit if `block` is set.
  bool Reap(bool block);

  pid_t pid_;
  std::optional<int> exit_code_;
};

}  // namespace apricotwheel::testing

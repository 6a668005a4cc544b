#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel::testing {

struct child_process_options {
  std::vector<std::string> arguments;  // The program's path first.
  std::string output_file;             // Receives both output streams.
};

// One process that a test started. It is killed and reaped when the object
// goes, and by the kernel if the test's own process dies first.
class child_process {
 public:
  // Call from the test's main thread: the kernel ties the child's life to the
  // thread that starts it.
  static result<std::unique_ptr<child_process>> Start(
      const child_process_options& options);
  ~child_process();

  pid_t Pid() const { return pid_; }
  bool IsRunning();

  void Kill();       // SIGKILL, and waits for the end.
  void Freeze();     // SIGSTOP
  void Resume();     // SIGCONT
  void Terminate();  // SIGTERM, without waiting.
  // Waits for the end; returns the exit code, 128 + signal for a killed
  // process, or nothing if it still runs after `timeout_ms`.
  std::optional<int> WaitForExit(int timeout_ms);

 private:
  explicit child_process(pid_t pid) : pid_(pid) {}
  bool Reap(bool block);

  pid_t pid_;
  std::optional<int> exit_code_;
};

}  // namespace apricotwheel::testing

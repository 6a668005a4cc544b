#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel::ctl {

enum exit_code : int {
  kOk = 0,
  kFailed = 1,
  kInvalidInput = 2,
  kConflict = 3,
  kUnavailable = 4,
  kUnknownEffect = 5,
};

// Options and output streams of one invocation.
struct command_context {
  std::ostream& out;
  std::ostream& err;
  clock_ptr clock = runtime_clock::Running();
  std::string kv_address{};      // ip:port of the key-value service.
  std::string daemon_address{};  // ip:port of a daemon.
  bool json = false;
  std::string author{};
  duration timeout = milliseconds(10'000);
  std::optional<std::uint64_t> expect_revision{};
  std::string base_file{};  // apply: file to compare with after a conflict.
  bool is_settings_file = false;  // check: validate a settings file.
  bool undo = false;              // drain: remove the VMs from the list.
  bool all_members = false;       // status: query every member.
  std::int64_t audit_limit = 20;  // audit: number of newest entries.
  std::int64_t task_count = 0;    // submit: 0 means that of the workload.
  // submit: declared run time; 0 means that of the workload.
  std::int64_t run_ms = 0;
  std::int64_t wait_ms = 0;  // job: long poll time.
  std::string priority{};    // submit: empty means that of the workload.
  std::string request_id{};
};

using argument_list = std::vector<std::string>;

struct command {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  int (*run)(const command_context& context, const argument_list& arguments);
};

std::span<const command> Commands();

// Runs the command that `arguments` starts with; returns the exit code.
int RunCommand(const command_context& context, const argument_list& arguments);

// Prints `failure` and returns its exit code.
int ReportError(const command_context& context, const error& failure);
// Prints a usage error and returns kInvalidInput.
int ReportUsageError(const command_context& context, std::string_view message,
                     std::string_view remedy);

int RunCheck(const command_context& context, const argument_list& arguments);
int RunApply(const command_context& context, const argument_list& arguments);
int RunShow(const command_context& context, const argument_list& arguments);
int RunDiff(const command_context& context, const argument_list& arguments);
int RunDrain(const command_context& context, const argument_list& arguments);
int RunAudit(const command_context& context, const argument_list& arguments);
int RunStatus(const command_context& context, const argument_list& arguments);
int RunSubmit(const command_context& context, const argument_list& arguments);
int RunJob(const command_context& context, const argument_list& arguments);
int RunWhy(const command_context& context, const argument_list& arguments);
int RunCancel(const command_context& context, const argument_list& arguments);
int RunHelp(const command_context& context, const argument_list& arguments);

}  // namespace apricotwheel::ctl

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "ctl/command.h"

DEFINE_string(kv, "", "ip:port of the key-value service");
DEFINE_string(daemon, "", "ip:port of any daemon");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(author, "", "author of a change; default: the user's name");
DEFINE_int32(timeout_ms, 10'000, "longest time of a call");
DEFINE_int64(expect_revision, -1,
             "apply: fail with a conflict unless this revision is stored");
DEFINE_string(base, "", "apply: file to compare with after a conflict");
DEFINE_bool(settings, false, "check: the file holds a daemon's settings");
DEFINE_bool(undo, false, "drain: remove the VMs from the list");
DEFINE_bool(all, false, "status: query every member");
DEFINE_int64(limit, 20, "audit: number of newest entries");
DEFINE_int64(count, 0, "submit: number of tasks; 0: the workload's");
DEFINE_int64(run_ms, 0, "submit: declared run time; 0: the workload's");
DEFINE_int64(wait_ms, 0, "job: longest wait for its end, in milliseconds");
DEFINE_string(class, "", "submit: urgent, service or batch");
DEFINE_string(request_id, "", "submit: requests with the same id are one job");

namespace apricotwheel::ctl {
namespace {

std::string UserName() {
  for (const char* variable : {"USER", "LOGNAME"}) {
    const char* name = std::getenv(variable);
    if (name != nullptr && *name != '\0') return name;
  }
  return "unknown";
}

// Sets the flags in `words` and appends the other arguments to `arguments`.
// Replaces the parser of gflags, which exits with code 1 (kFailed) on an
// invalid flag.
result<void> ParseFlags(std::span<char*> words, argument_list& arguments) {
  for (std::size_t index = 0; index < words.size(); ++index) {
    const std::string_view argument = words[index];
    if (argument.size() < 3 || argument.substr(0, 2) != "--") {
      arguments.emplace_back(argument);
      continue;
    }
    const auto equals = argument.find('=');
    std::string name(argument.substr(2, equals - 2));
    std::replace(name.begin(), name.end(), '-', '_');
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
      return Fail(error_kind::kInvalidArgument,
                  "'" + std::string(argument) + "' is not an option",
                  "run `apricotwheelctl help`");
    }
    std::string value = "true";
    if (equals != std::string_view::npos) {
      value = argument.substr(equals + 1);
    } else if (info.type != "bool" && ++index < words.size()) {
      value = words[index];
    }
    if (index >= words.size() ||
        gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return Fail(error_kind::kInvalidArgument,
                  "option --" + name + " lacks a valid value",
                  "write a value of type " + info.type);
    }
  }
  return {};
}

int Main(std::span<char*> words) {
  command_context context{std::cout, std::cerr};
  argument_list arguments;
  const auto parsed = Attempt([&] { return ParseFlags(words, arguments); });
  if (!parsed) return ReportError(context, parsed.failure);
  std::string help;
  if (gflags::GetCommandLineOption("help", &help) && help == "true") {
    return RunHelp(context, {});
  }
  if (FLAGS_timeout_ms < 1) {
    return ReportUsageError(context, "the timeout is out of range",
                            "write --timeout-ms above 0");
  }
  context.kv_address = FLAGS_kv;
  context.daemon_address = FLAGS_daemon;
  context.json = FLAGS_json;
  context.author = FLAGS_author.empty() ? UserName() : FLAGS_author;
  context.author.resize(std::min<std::size_t>(context.author.size(), 200));
  context.timeout = milliseconds(FLAGS_timeout_ms);
  if (FLAGS_expect_revision >= 0) {
    context.expect_revision = static_cast<std::uint64_t>(FLAGS_expect_revision);
  }
  context.base_file = FLAGS_base;
  context.is_settings_file = FLAGS_settings;
  context.undo = FLAGS_undo;
  context.all_members = FLAGS_all;
  context.audit_limit = FLAGS_limit;
  context.task_count = FLAGS_count;
  context.run_ms = FLAGS_run_ms;
  context.wait_ms = FLAGS_wait_ms;
  context.priority = FLAGS_class;
  context.request_id = FLAGS_request_id;
  return RunCommand(context, arguments);
}

}  // namespace
}  // namespace apricotwheel::ctl

int main(int argc, char** argv) {
  return apricotwheel::ctl::Main({argv + 1, argv + argc});
}

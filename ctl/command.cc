#include "ctl/command.h"

#include <array>

namespace apricotwheel::ctl {
namespace {

constexpr std::array<command, 12> kCommands = {{
    {"check", "FILE [--settings]",
     "validate a document, or a daemon's settings file", RunCheck},
    {"apply", "FILE [--expect-revision N] [--base FILE]",
     "validate and store a document as the next revision", RunApply},
    {"show", "", "print the stored document", RunShow},
    {"diff", "FILE", "print what applying a file would change", RunDiff},
    {"drain", "VM... [--undo]", "add VMs to, or remove from, the drain list",
     RunDrain},
    {"audit", "[--limit N]", "print who changed the document and when",
     RunAudit},
    {"status", "[--all]", "print members, ownership, workers and instances",
     RunStatus},
    {"submit", "WORKLOAD [--count N] [--run-ms N] [--class C] [--request-id R]",
     "submit a job", RunSubmit},
    {"job", "[ID] [--wait-ms N]", "print one job, or all jobs", RunJob},
    {"why", "ID", "print why a job waits", RunWhy},
    {"cancel", "ID...", "cancel jobs", RunCancel},
    {"help", "", "print this text", RunHelp},
}};

int ExitCodeFor(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidArgument:
      return kInvalidInput;
    case error_kind::kConflict:
      return kConflict;
    case error_kind::kUnavailable:
      return kUnavailable;
    case error_kind::kTimeout:
      return kUnknownEffect;
    default:
      return kFailed;
  }
}

}  // namespace

std::span<const command> Commands() { return kCommands; }

int RunCommand(const command_context& context, const argument_list& arguments) {
  if (arguments.empty()) {
    RunHelp(context, {});
    return kInvalidInput;
  }
  for (const auto& entry : kCommands) {
    if (entry.name != arguments.front()) continue;
    return entry.run(context, {arguments.begin() + 1, arguments.end()});
  }
  return ReportUsageError(context,
                          "'" + arguments.front() + "' is not a command",
                          "run `apricotwheelctl help`");
}

int ReportError(const command_context& context, const error& failure) {
  context.err << "apricotwheelctl: " << Describe(failure) << "\n";
  return ExitCodeFor(failure.kind);
}

int ReportUsageError(const command_context& context, std::string_view message,
                     std::string_view remedy) {
  return ReportError(context, {error_kind::kInvalidArgument,
                               std::string(message), std::string(remedy)});
}

}  // namespace apricotwheel::ctl

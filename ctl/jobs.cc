#include <algorithm>

#include "config/fields.h"
#include "ctl/daemon_client.h"
#include "ctl/files.h"
#include "kernel/random.h"

namespace apricotwheel::ctl {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxWaitMs = 60'000;
constexpr int kMaxSubmitAttempts = 3;

// Job ids become part of a URL, so only characters without an escape are valid.
bool IsJobId(std::string_view text) {
  return !text.empty() && text.size() <= 128 &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= 'a' && character <= 'z') ||
                  (character >= '0' && character <= '9') || character == '-';
         });
}

int ReportInvalidJobId(const command_context& context) {
  return ReportUsageError(context, "one valid job id is expected",
                          "take the id that submit printed");
}

void PrintJobs(const command_context& context, const json& jobs) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& job : jobs) {
    rows.push_back({FieldText(job, "job_id"), FieldText(job, "workload"),
                    FieldText(job, "team"), FieldText(job, "class"),
                    FieldText(job, "state"), FieldText(job, "waited_ms")});
  }
  PrintTable(context.out,
             {"job", "workload", "team", "class", "state", "waited_ms"}, rows);
}

int PrintAllJobs(const command_context& context) {
  const auto response = Attempt([&] {
    return SendCheckedRequest(context, {"GET", "/v1/jobs", "", false, {}});
  });
  if (!response) return ReportError(context, response.failure);
  if (context.json) {
    PrintJson(context, response->body);
    return kOk;
  }
  PrintJobs(context, response->body.value("jobs", json::array()));
  const json missing = response->body.value("missing_shards", json::array());
  if (!missing.empty()) {
    context.err << "warning: these shards cannot be reached, their jobs are "
                   "missing here: "
                << missing.dump() << "\n";
  }
  return kOk;
}

}  // namespace

int RunSubmit(const command_context& context, const argument_list& arguments) {
  if (arguments.size() != 1 || !IsName(arguments[0])) {
    return ReportUsageError(context, "one workload's name is expected",
                            "write submit WORKLOAD");
  }
  json request = {{"workload", arguments[0]}};
  if (context.task_count > 0) request["count"] = context.task_count;
  if (context.run_ms > 0) request["run_ms"] = context.run_ms;
  if (!context.priority.empty()) request["class"] = context.priority;
  // The daemon returns the same job for a repeated request id, so that a retry
  // after a lost response submits no second job.
  const std::string id =
      context.request_id.empty() ? RandomHex(16) : context.request_id;
  request["request_id"] = id;
  const std::string body =
      request.dump(-1, ' ', false, json::error_handler_t::replace);
  for (int attempt = 1;; ++attempt) {
    auto response = Attempt([&] {
      return SendCheckedRequest(context, {"POST", "/v1/jobs", body, true, {}});
    });
    if (response) {
      if (context.json) {
        PrintJson(context, response->body);
      } else {
        context.out << FieldText(response->body, "job_id") << "\n";
      }
      return kOk;
    }
    if (response.failure.kind != error_kind::kTimeout ||
        attempt == kMaxSubmitAttempts) {
      if (response.failure.kind == error_kind::kTimeout) {
        response.failure.remedy = "repeat with --request-id " + id;
      }
      return ReportError(context, response.failure);
    }
  }
}

int RunJob(const command_context& context, const argument_list& arguments) {
  if (arguments.empty()) return PrintAllJobs(context);
  if (arguments.size() != 1 || !IsJobId(arguments[0])) {
    return ReportInvalidJobId(context);
  }
  if (context.wait_ms < 0 || context.wait_ms > kMaxWaitMs) {
    return ReportUsageError(context, "the wait is out of range",
                            "write --wait-ms from 0 to 60000");
  }
  const std::string path = "/v1/jobs/" + arguments[0] +
                           "?wait_ms=" + std::to_string(context.wait_ms);
  const auto response = Attempt([&] {
    return SendCheckedRequest(
        context, {"GET", path, "", false, milliseconds(context.wait_ms)});
  });
  if (!response) return ReportError(context, response.failure);
  if (context.json) {
    PrintJson(context, response->body);
    return kOk;
  }
  PrintJobs(context, json::array({response->body}));
  std::vector<std::vector<std::string>> rows;
  for (const auto& task : response->body.value("tasks", json::array())) {
    rows.push_back({FieldText(task, "task_id"), FieldText(task, "state"),
                    FieldText(task, "worker"), FieldText(task, "attempts"),
                    FieldText(task, "waited_ms"), FieldText(task, "ran_ms"),
                    FieldText(task, "message")});
  }
  context.out << "\n";
  PrintTable(
      context.out,
      {"task", "state", "worker", "attempts", "waited_ms", "ran_ms", "message"},
      rows);
  return kOk;
}

int RunWhy(const command_context& context, const argument_list& arguments) {
  if (arguments.size() != 1 || !IsJobId(arguments[0])) {
    return ReportInvalidJobId(context);
  }
  const auto response = Attempt([&] {
    return SendCheckedRequest(
        context, {"GET", "/v1/jobs/" + arguments[0] + "/why", "", false, {}});
  });
  if (!response) return ReportError(context, response.failure);
  if (context.json) {
    PrintJson(context, response->body);
    return kOk;
  }
  context.out << FieldText(response->body, "job_id") << " is "
              << FieldText(response->body, "state") << "\n";
  for (const auto& reason : response->body.value("reasons", json::array())) {
    context.out << "  "
                << (reason.is_string() ? reason.get<std::string>()
                                       : reason.dump())
                << "\n";
  }
  return kOk;
}

int RunCancel(const command_context& context, const argument_list& arguments) {
  if (arguments.empty() ||
      !std::all_of(arguments.begin(), arguments.end(), IsJobId)) {
    return ReportUsageError(context, "valid job ids are expected",
                            "write cancel ID...");
  }
  int code = kOk;
  json all = json::array();
  for (const auto& id : arguments) {
    const auto response = Attempt([&] {
      return SendCheckedRequest(context,
                                {"DELETE", "/v1/jobs/" + id, "", true, {}});
    });
    if (!response) {
      // The other jobs are still cancelled. The exit code is that of the last
      // failure.
      code = ReportError(context, response.failure);
      continue;
    }
    all.push_back(response->body);
    if (context.json) continue;
    context.out << id << " is " << FieldText(response->body, "state")
                << (FieldText(response->body, "had_run") == "true"
                        ? ", it had run"
                        : ", it had not run")
                << "\n";
  }
  if (context.json) PrintJson(context, all);
  return code;
}

}  // namespace apricotwheel::ctl

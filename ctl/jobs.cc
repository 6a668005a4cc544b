#include <algorithm>

#include "config/fields.h"
#include "ctl/daemon_client.h"
#include "ctl/files.h"
#include "kernel/random.h"

namespace apricotwheel::ctl {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxWaitMs = 60'000;
constexpr int kSubmitAttempts = 3;

// Ids become parts of a URL.
bool IsJobId(std::string_view text) {
  return !text.empty() && text.size() <= 128 &&
         std::all_of(text.begin(), text.end(), [](char letter) {
           return (letter >= 'a' && letter <= 'z') ||
                  (letter >= '0' && letter <= '9') || letter == '-';
         });
}

int WrongId(const command_context& context) {
  return Usage(context, "one valid job id is expected",
               "take the id that submit printed");
}

void PrintJobs(const command_context& context, const json& jobs) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& job : jobs) {
    rows.push_back({TextOf(job, "job_id"), TextOf(job, "workload"),
                    TextOf(job, "team"), TextOf(job, "class"),
                    TextOf(job, "state"), TextOf(job, "waited_ms")});
  }
  PrintTable(context.out,
             {"job", "workload", "team", "class", "state", "waited_ms"}, rows);
}

int PrintAllJobs(const command_context& context) {
  const auto answer = Attempt([&] {
    return CallForSuccess(context, {"GET", "/v1/jobs", "", false, {}});
  });
  if (!answer) return Report(context, answer.failure);
  if (context.json) {
    PrintJson(context, answer->body);
    return kOk;
  }
  PrintJobs(context, answer->body.value("jobs", json::array()));
  const json missing = answer->body.value("missing_shards", json::array());
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
    return Usage(context, "one workload's name is expected",
                 "write submit WORKLOAD");
  }
  json request = {{"workload", arguments[0]}};
  if (context.count > 0) request["count"] = context.count;
  if (context.run_ms > 0) request["run_ms"] = context.run_ms;
  if (!context.priority.empty()) request["class"] = context.priority;
  // With a request id a repeat after a lost reply returns the same job.
  const std::string id =
      context.request_id.empty() ? RandomHex(16) : context.request_id;
  request["request_id"] = id;
  const std::string body =
      request.dump(-1, ' ', false, json::error_handler_t::replace);
  for (int attempt = 1;; ++attempt) {
    auto answer = Attempt([&] {
      return CallForSuccess(context, {"POST", "/v1/jobs", body, true, {}});
    });
    if (answer) {
      if (context.json) {
        PrintJson(context, answer->body);
      } else {
        context.out << TextOf(answer->body, "job_id") << "\n";
      }
      return kOk;
    }
    if (answer.failure.kind != error_kind::kTimeout ||
        attempt == kSubmitAttempts) {
      if (answer.failure.kind == error_kind::kTimeout) {
        answer.failure.remedy = "repeat with --request-id " + id;
      }
      return Report(context, answer.failure);
    }
  }
}

int RunJob(const command_context& context, const argument_list& arguments) {
  if (arguments.empty()) return PrintAllJobs(context);
  if (arguments.size() != 1 || !IsJobId(arguments[0])) {
    return WrongId(context);
  }
  if (context.wait_ms < 0 || context.wait_ms > kMaxWaitMs) {
    return Usage(context, "the wait is out of range",
                 "write --wait-ms from 0 to 60000");
  }
  const std::string path = "/v1/jobs/" + arguments[0] +
                           "?wait_ms=" + std::to_string(context.wait_ms);
  const auto answer = Attempt([&] {
    return CallForSuccess(
        context, {"GET", path, "", false, milliseconds(context.wait_ms)});
  });
  if (!answer) return Report(context, answer.failure);
  if (context.json) {
    PrintJson(context, answer->body);
    return kOk;
  }
  PrintJobs(context, json::array({answer->body}));
  std::vector<std::vector<std::string>> rows;
  for (const auto& task : answer->body.value("tasks", json::array())) {
    rows.push_back({TextOf(task, "task_id"), TextOf(task, "state"),
                    TextOf(task, "worker"), TextOf(task, "attempts"),
                    TextOf(task, "waited_ms"), TextOf(task, "ran_ms"),
                    TextOf(task, "message")});
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
    return WrongId(context);
  }
  const auto answer = Attempt([&] {
    return CallForSuccess(
        context, {"GET", "/v1/jobs/" + arguments[0] + "/why", "", false, {}});
  });
  if (!answer) return Report(context, answer.failure);
  if (context.json) {
    PrintJson(context, answer->body);
    return kOk;
  }
  context.out << TextOf(answer->body, "job_id") << " is "
              << TextOf(answer->body, "state") << "\n";
  for (const auto& reason : answer->body.value("reasons", json::array())) {
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
    return Usage(context, "valid job ids are expected", "write cancel ID...");
  }
  int code = kOk;
  json all = json::array();
  for (const auto& id : arguments) {
    const auto answer = Attempt([&] {
      return CallForSuccess(context,
                            {"DELETE", "/v1/jobs/" + id, "", true, {}});
    });
    if (!answer) {
      // Goes on with the others; the last failure's code is returned.
      code = Report(context, answer.failure);
      continue;
    }
    all.push_back(answer->body);
    if (context.json) continue;
    context.out << id << " is " << TextOf(answer->body, "state")
                << (TextOf(answer->body, "had_run") == "true"
                        ? ", it had run"
                        : ", it had not run")
                << "\n";
  }
  if (context.json) PrintJson(context, all);
  return code;
}

}  // namespace apricotwheel::ctl

#include "graph/graph_codec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "graph/record_reading.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

constexpr std::array<std::pair<job_state, std::string_view>, 5> kStateNames = {{
    {job_state::kQueued, "queued"},
    {job_state::kActive, "active"},
    {job_state::kCompleted, "completed"},
    {job_state::kFailed, "failed"},
    {job_state::kCancelled, "cancelled"},
}};

// Writes a field only if it differs from its default, since most steps set few
// fields.
template <class Value>
void PutUnlessDefault(json& out, const char* key, const Value& value,
                      const Value& default_value) {
  if (value != default_value) out[key] = value;
}

json ToJson(const graph_step& step) {
  const graph_step defaults;
  json out = {{"tasks", step.task_count}, {"estimate_ms", step.estimate_ms}};
  PutUnlessDefault(out, "cpu_milli", step.need.cpu_milli,
                   defaults.need.cpu_milli);
  PutUnlessDefault(out, "memory_mib", step.need.memory_mib,
                   defaults.need.memory_mib);
  PutUnlessDefault(out, "accelerators", step.need.accelerators,
                   defaults.need.accelerators);
  PutUnlessDefault(out, "after", step.after, defaults.after);
  PutUnlessDefault(out, "required_label", step.required_label,
                   defaults.required_label);
  PutUnlessDefault(out, "data_rack", step.data_rack, defaults.data_rack);
  PutUnlessDefault(out, "max_per_worker", step.max_per_worker,
                   defaults.max_per_worker);
  PutUnlessDefault(out, "image", step.image, defaults.image);
  PutUnlessDefault(out, "latency_target_ms", step.latency_target_ms,
                   defaults.latency_target_ms);
  if (step.has_disruption_budget) {
    out["disruption_budget"] = step.disruption_budget;
  }
  PutUnlessDefault(out, "checkpoints", step.checkpoints, false);
  PutUnlessDefault(out, "gang", step.is_gang, false);
  PutUnlessDefault(out, "one_rack", step.one_rack, false);
  PutUnlessDefault(out, "may_duplicate", step.may_duplicate, false);
  PutUnlessDefault(out, "service", step.is_service, false);
  PutUnlessDefault(out, "uses_leftover", step.uses_leftover, false);
  return out;
}

graph_step StepFromJson(const json& in) {
  graph_step step;
  in.at("tasks").get_to(step.task_count);
  in.at("estimate_ms").get_to(step.estimate_ms);
  step.need.cpu_milli = in.value("cpu_milli", std::int64_t{0});
  step.need.memory_mib = in.value("memory_mib", std::int64_t{0});
  step.need.accelerators = in.value("accelerators", std::int64_t{0});
  if (in.contains("after")) in.at("after").get_to(step.after);
  step.required_label = in.value("required_label", "");
  step.data_rack = in.value("data_rack", "");
  step.max_per_worker = in.value("max_per_worker", std::uint32_t{0});
  step.image = in.value("image", "");
  step.latency_target_ms = in.value("latency_target_ms", std::int64_t{0});
  step.has_disruption_budget = in.contains("disruption_budget");
  step.disruption_budget = in.value("disruption_budget", std::uint32_t{0});
  step.checkpoints = in.value("checkpoints", false);
  step.is_gang = in.value("gang", false);
  step.one_rack = in.value("one_rack", false);
  step.may_duplicate = in.value("may_duplicate", false);
  step.is_service = in.value("service", false);
  step.uses_leftover = in.value("uses_leftover", false);
  return step;
}

json ToJson(const queue_rules& queue) {
  json out = {{"name", queue.name},
              {"pool", queue.pool},
              {"priority", queue.priority},
              {"max_attempts", queue.max_attempts},
              {"slowdown_limit", queue.slowdown_limit},
              {"target_ms", ToMs(queue.target)}};
  if (queue.advisor) {
    out["advisor"] = {
        {"decision_us", queue.advisor->decision_us},
        {"per_worker_us", queue.advisor->per_worker_us},
        {"ticket_lifetime_ms", ToMs(queue.advisor->ticket_lifetime)}};
  }
  return out;
}

queue_rules QueueFromJson(const json& in) {
  queue_rules queue;
  in.at("name").get_to(queue.name);
  in.at("pool").get_to(queue.pool);
  in.at("priority").get_to(queue.priority);
  in.at("max_attempts").get_to(queue.max_attempts);
  in.at("slowdown_limit").get_to(queue.slowdown_limit);
  queue.target = milliseconds(in.at("target_ms").get<std::int64_t>());
  if (in.contains("advisor")) {
    const json& terms = in.at("advisor");
    advisor_settings advisor;
    terms.at("decision_us").get_to(advisor.decision_us);
    terms.at("per_worker_us").get_to(advisor.per_worker_us);
    advisor.ticket_lifetime =
        milliseconds(terms.at("ticket_lifetime_ms").get<std::int64_t>());
    queue.advisor = advisor;
  }
  return queue;
}

result<guest_tasks> ReadGuest(const json& in, const job_graph& graph) {
  guest_tasks guest;
  in.at("home").get_to(guest.home);
  for (const json& row : in.at("tasks")) {
    guest_tasks::entry task;
    row.at(0).get_to(task.occurrence);
    row.at(1).get_to(task.step);
    row.at(2).get_to(task.index);
    row.at(3).get_to(task.last_run);
    if (task.occurrence >= std::max(1U, graph.schedule.repetitions) ||
        task.step >= graph.steps.size() ||
        task.index >= graph.steps[task.step].task_count) {
      return CorruptRecord("`guest` names a task that the job does not have");
    }
    guest.tasks.push_back(task);
  }
  return guest;
}

// Returns one character for each task: '1' if it is done, otherwise '0'.
std::string EncodeDone(const std::vector<bool>& done) {
  std::string text(done.size(), '0');
  for (std::size_t i = 0; i < done.size(); ++i) {
    if (done[i]) text[i] = '1';
  }
  return text;
}

// Each row of such a field is [task index, [run numbers]]. Records of earlier
// versions lack some of the fields.
result<void> ReadRuns(const json& in, const char* field, std::size_t task_count,
                      run_numbers& runs) {
  for (const json& row : in.value(field, json::array())) {
    const auto index = row.at(0).get<std::uint32_t>();
    if (index >= task_count) {
      return CorruptRecord("`" + std::string(field) +
                           "` names a task that the step does not have");
    }
    row.at(1).get_to(runs[index]);
  }
  return {};
}

void PutRuns(json& out, const char* field, const run_numbers& runs) {
  for (const auto& [index, numbers] : runs) {
    if (!numbers.empty()) out[field].push_back({index, numbers});
  }
}

result<void> ReadStep(const json& in, step_progress& step) {
  const auto& text = in.at("done").get_ref<const std::string&>();
  if (text.size() != step.done.size()) {
    return CorruptRecord(
        "the stored progress of a step does not match its number of tasks");
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    step.done[i] = text[i] == '1';
  }
  const std::size_t count = step.done.size();
  BOOST_LEAF_CHECK(ReadRuns(in, "failed_runs", count, step.failed_runs));
  BOOST_LEAF_CHECK(ReadRuns(in, "crashed_runs", count, step.crashed_runs));
  for (const json& row : in.value("lent", json::array())) {
    const auto index = row.at(0).get<std::uint32_t>();
    if (index >= count) {
      return CorruptRecord("`lent` names a task that the step does not have");
    }
    row.at(1).get_to(step.lent[index]);
  }
  return ReadRuns(in, "excused_runs", count, step.excused_runs);
}

}  // namespace

std::string_view ToString(job_state state) {
  const auto* found =
      std::find_if(kStateNames.begin(), kStateNames.end(),
                   [&](const auto& row) { return row.first == state; });
  return found->second;
}

result<job_state> ParseJobState(std::string_view name) {
  const auto* found =
      std::find_if(kStateNames.begin(), kStateNames.end(),
                   [&](const auto& row) { return row.second == name; });
  if (found == kStateNames.end()) {
    return CorruptRecord("'" + std::string(name) + "' is not a job state");
  }
  return found->first;
}

std::string EncodeSubmission(const job_submission& job) {
  json steps = json::array();
  for (const graph_step& step : job.graph.steps) steps.push_back(ToJson(step));
  json out = {{"id", job.id},
              {"queue", ToJson(job.queue)},
              {"payload", job.graph.payload},
              {"steps", std::move(steps)},
              {"accepted_at_ms", job.accepted_at_ms}};
  if (!job.organisation.empty()) out["organisation"] = job.organisation;
  const run_schedule& schedule = job.graph.schedule;
  if (schedule.repetitions > 0) {
    out["schedule"] = {{"repetitions", schedule.repetitions},
                       {"first_run_ms", schedule.first_run_ms},
                       {"interval_ms", schedule.interval_ms}};
  }
  if (job.guest) {
    json tasks = json::array();
    for (const guest_tasks::entry& task : job.guest->tasks) {
      tasks.push_back({task.occurrence, task.step, task.index, task.last_run});
    }
    out["guest"] = {{"home", job.guest->home}, {"tasks", std::move(tasks)}};
  }
  return out.dump();
}

result<job_submission> DecodeSubmission(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<job_submission> {
    job_submission job;
    in.at("id").get_to(job.id);
    job.queue = QueueFromJson(in.at("queue"));
    in.at("payload").get_to(job.graph.payload);
    in.at("accepted_at_ms").get_to(job.accepted_at_ms);
    job.organisation = in.value("organisation", "");
    for (const json& step : in.at("steps")) {
      job.graph.steps.push_back(StepFromJson(step));
    }
    if (in.contains("schedule")) {
      const json& schedule = in.at("schedule");
      schedule.at("repetitions").get_to(job.graph.schedule.repetitions);
      schedule.at("first_run_ms").get_to(job.graph.schedule.first_run_ms);
      schedule.at("interval_ms").get_to(job.graph.schedule.interval_ms);
    }
    if (const auto fault = FindGraphError(job.graph))
      return CorruptRecord(*fault);
    if (in.contains("guest")) {
      BOOST_LEAF_ASSIGN(job.guest, ReadGuest(in.at("guest"), job.graph));
    }
    return job;
  });
}

job_progress InitialProgress(const job_graph& graph) {
  job_progress progress;
  const std::size_t count = std::max(1U, graph.schedule.repetitions);
  std::vector<step_progress> steps;
  for (const graph_step& step : graph.steps) {
    steps.push_back({std::vector<bool>(step.task_count), {}, {}, {}, {}});
  }
  progress.occurrences.assign(count, steps);
  return progress;
}

job_progress InitialProgress(const job_submission& job) {
  job_progress progress = InitialProgress(job.graph);
  progress.organisation = job.organisation;
  if (!job.guest) return progress;
  progress.is_guest = true;
  for (auto& steps : progress.occurrences) {
    for (step_progress& step : steps) step.done.flip();
  }
  for (const guest_tasks::entry& task : job.guest->tasks) {
    progress.occurrences[task.occurrence][task.step].done[task.index] = false;
  }
  return progress;
}

std::string EncodeProgress(const job_progress& progress) {
  json occurrences = json::array();
  // Only the state of a finished job is read again.
  if (!IsFinal(progress.state)) {
    for (const auto& steps : progress.occurrences) {
      json rows = json::array();
      for (const step_progress& step : steps) {
        json row = {{"done", EncodeDone(step.done)}};
        PutRuns(row, "failed_runs", step.failed_runs);
        PutRuns(row, "crashed_runs", step.crashed_runs);
        PutRuns(row, "excused_runs", step.excused_runs);
        for (const auto& [index, partition] : step.lent) {
          row["lent"].push_back({index, partition});
        }
        rows.push_back(std::move(row));
      }
      occurrences.push_back(std::move(rows));
    }
  }
  json out = {{"state", ToString(progress.state)},
              {"started", progress.has_started},
              {"occurrences", std::move(occurrences)}};
  if (!progress.organisation.empty()) {
    out["organisation"] = progress.organisation;
  }
  if (progress.is_guest) out["guest"] = true;
  return out.dump();
}

result<job_state> DecodeProgressState(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<job_state> {
    return ParseJobState(in.at("state").get_ref<const std::string&>());
  });
}

result<progress_summary> DecodeProgressSummary(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<progress_summary> {
    progress_summary summary;
    BOOST_LEAF_ASSIGN(
        summary.state,
        ParseJobState(in.at("state").get_ref<const std::string&>()));
    summary.organisation = in.value("organisation", "");
    summary.is_guest = in.value("guest", false);
    return summary;
  });
}

result<job_progress> DecodeProgress(std::string_view text,
                                    const job_graph& graph) {
  return ReadRecord(text, [&](const json& in) -> result<job_progress> {
    job_progress progress = InitialProgress(graph);
    BOOST_LEAF_ASSIGN(
        progress.state,
        ParseJobState(in.at("state").get_ref<const std::string&>()));
    in.at("started").get_to(progress.has_started);
    progress.organisation = in.value("organisation", "");
    progress.is_guest = in.value("guest", false);
    const json& occurrences = in.at("occurrences");
    if (IsFinal(progress.state)) return progress;
    if (occurrences.size() != progress.occurrences.size()) {
      return CorruptRecord(
          "the stored progress does not match the number of occurrences");
    }
    for (std::size_t n = 0; n < occurrences.size(); ++n) {
      if (occurrences[n].size() != graph.steps.size()) {
        return CorruptRecord(
            "the stored progress does not match the number of steps");
      }
      for (std::size_t i = 0; i < graph.steps.size(); ++i) {
        BOOST_LEAF_CHECK(
            ReadStep(occurrences[n][i], progress.occurrences[n][i]));
      }
    }
    return progress;
  });
}

}  // namespace apricotwheel

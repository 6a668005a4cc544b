#include "testing/cell/task_journal.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace apricotwheel::testing {

std::vector<journal_entry> ReadJournal(const std::string& path) {
  std::vector<journal_entry> entries;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const auto body = nlohmann::json::parse(line, nullptr, false);
    if (!body.is_object()) continue;
    entries.push_back({body.value("at_ms", std::int64_t{0}),
                       body.value("event", ""), body.value("task", ""),
                       body.value("worker", "")});
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const journal_entry& left, const journal_entry& right) {
                     return left.at_ms < right.at_ms;
                   });
  return entries;
}

journal_report CheckJournal(const std::vector<journal_entry>& entries) {
  journal_report report;
  std::map<std::string, std::string> running;  // Task id to worker.
  for (const journal_entry& entry : entries) {
    const std::string time = std::to_string(entry.at_ms) + " ms";
    if (entry.event == "task_started") {
      ++report.starts;
      const auto [running_task, added] =
          running.emplace(entry.task_id, entry.worker);
      if (added) continue;
      report.overlaps.push_back(entry.task_id + " started on " + entry.worker +
                                " while on " + running_task->second + " at " +
                                time);
      running_task->second = entry.worker;
    } else if (entry.event == "task_finished" || entry.event == "task_ended") {
      ++report.ends;
      const auto running_task = running.find(entry.task_id);
      if (running_task != running.end() &&
          running_task->second == entry.worker) {
        running.erase(running_task);
      }
    } else if (entry.event.ends_with("_breach")) {
      report.breaches.push_back(entry.event + " on " + entry.worker + " by " +
                                entry.task_id + " at " + time);
    }
  }
  return report;
}

}  // namespace apricotwheel::testing

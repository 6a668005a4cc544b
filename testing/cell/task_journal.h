#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwheel::testing {

// One line of the journal that the worker stand-ins write.
struct journal_entry {
  std::int64_t at_ms = 0;  // Monotonic clock, shared by all processes.
  std::string event;       // For example task_started or slot_breach.
  std::string task_id;
  std::string worker;
};

// Counts and violations found in a journal.
struct journal_report {
  std::size_t starts = 0;
  std::size_t ends = 0;
  std::vector<std::string> overlaps;  // A task ran on two workers at once.
  std::vector<std::string> breaches;  // Exceeded limits.
};

// Returns the entries by time. Skips lines that are not JSON objects, such as a
// line that a killed process left incomplete.
std::vector<journal_entry> ReadJournal(const std::string& path);
journal_report CheckJournal(const std::vector<journal_entry>& entries);

}  // namespace apricotwheel::testing

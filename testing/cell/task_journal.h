#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwheel::testing {

// One line of the worker stand-ins' journal.
struct journal_entry {
  std::int64_t at_ms = 0;  // Monotonic clock, shared by all processes.
  std::string event;       // start, end or a breach
  std::string task_id;
  std::string worker;
};

// What the journal of a run shows.
struct journal_report {
  std::size_t starts = 0;
  std::size_t ends = 0;
  std::vector<std::string> overlaps;  // One task on two workers at once.
  std::vector<std::string> breaches;  // Capacity, slots or connections.
};

std::vector<journal_entry> ReadJournal(const std::string& path);
journal_report CheckJournal(const std::vector<journal_entry>& entries);

}  // namespace apricotwheel::testing

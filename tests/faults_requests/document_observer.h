#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/cell/process_cell.h"

namespace apricotwheel::testing {

// What the observers saw of the document in force.
struct observer_report {
  std::uint64_t observations = 0;
  std::vector<std::string>
      reverted_revisions;  // Lower after higher from one name.
  std::vector<std::string>
      late_revisions;           // Lower than another's for over 5 s.
  milliseconds longest_lag{0};  // Of an observation behind another one.
};

// Threads that read the revision in force from all daemons all the time.
class document_observer {
 public:
  document_observer(const process_cell& cell, std::size_t observers);
  ~document_observer();

  observer_report Stop();

 private:
  void PollRevisions();
  void RecordRevision(const std::string& name, std::uint64_t revision,
                      time_point sent_at);

  std::vector<std::string> addresses_;
  clock_ptr clock_ = runtime_clock::Running();
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::map<std::uint64_t, time_point> first_seen_;  // By revision.
  observer_report report_;
  std::vector<std::thread> threads_;
};

}  // namespace apricotwheel::testing

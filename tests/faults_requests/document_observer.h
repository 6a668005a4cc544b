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

// Revisions of the active document that the observers read, and violations of
// guarantee 8 among them.
struct observer_report {
  std::uint64_t observations = 0;
  // Daemons that returned to an older revision.
  std::vector<std::string> reverted_revisions;
  // Daemons that were behind another one for more than 5 s.
  std::vector<std::string> late_revisions;
  milliseconds longest_lag{0};  // Of any daemon behind another one.
};

// Polls the revision of the active document on all daemons, in several threads,
// from the construction until Stop().
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
  std::map<std::uint64_t, time_point> first_seen_;  // Keyed by revision.
  observer_report report_;
  std::vector<std::thread> threads_;
};

}  // namespace apricotwheel::testing

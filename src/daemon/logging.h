#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

struct log_queue_options {
  severity min_level = severity::kInfo;
  std::size_t max_pending_lines = 4096;  // Further lines are dropped.
  clock_ptr clock;
  std::function<void(const std::string& line)> write_line;
};

// Writes log lines on one thread from a bounded queue, so that a blocked reader
// of the output does not block the threads that log. Lines are dropped while
// the queue is full; the writer logs their count after its next batch.
class log_queue {
 public:
  explicit log_queue(log_queue_options options);
  ~log_queue() { Stop(); }

  result<void> Start();
  // Writes the pending lines and ends the writer thread.
  void Stop();
  void Enqueue(const log_event& event);
  log_sink Sink() {
    return [this](const log_event& event) { Enqueue(event); };
  }

 private:
  void WriteQueuedLines();

  const log_queue_options options_;
  std::mutex mutex_;
  std::condition_variable writer_wakeup_;
  std::deque<std::string> lines_;
  std::uint64_t dropped_ = 0;
  bool is_stopped_ = false;
  thread_group threads_;
};

// Returns the severity with the name `level` (debug, info, warning or error),
// kInfo for any other name.
severity ParseSeverity(std::string_view level);

// Configures easylogging++ to write to standard output only, because the VMs
// have no disks. Returns a function that writes one line.
std::function<void(const std::string& line)> MakeStandardOutputWriter();

}  // namespace apricotwheel

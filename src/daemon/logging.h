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
  std::size_t max_pending_lines =
      4096;  // Waiting to be written; more are dropped.
  clock_ptr clock;
  std::function<void(const std::string& line)> write_line;
};

// Lines wait in a bounded queue for one writer, so that a reader of the output
// that stalls holds up no decision. Lines that find it full are dropped, and
// their count is written once there is room again.
class log_queue {
 public:
  explicit log_queue(log_queue_options options);
  ~log_queue() { Stop(); }

  result<void> Start();
  // Writes what waits and ends the writer.
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

// The lowest level that a settings file names: debug, info, warning or error.
severity ParseSeverity(std::string_view level);

// Sets easylogging++ up for standard output, since the VMs have no disks, and
// returns a function that writes a line there.
std::function<void(const std::string& line)> MakeStandardOutputWriter();

}  // namespace apricotwheel

#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "kernel/error.h"

namespace apricotwheel::standins {

// Returns the time of CLOCK_MONOTONIC, which is the same in all processes of a
// machine.
std::int64_t MonotonicMs();

// Appends one JSON line per event to a file, which several processes may share.
class journal {
 public:
  journal() = default;
  ~journal();
  journal(const journal&) = delete;
  journal& operator=(const journal&) = delete;

  result<void> Open(const std::string& path);
  // Adds `at_ms` and writes the line. Does nothing if no file is open.
  void Append(nlohmann::json event);

 private:
  std::mutex mutex_;
  int file_ = -1;
};

}  // namespace apricotwheel::standins

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testing/load/load_report.h"

namespace apricotwheel::load {

struct load_options {
  std::vector<std::string> urls;  // Base URLs; connections take them in turn.
  std::string service;
  // The URLs are those of instances, which serve the paths themselves and give
  // no outcome.
  bool direct = false;
  std::string method = "POST";
  std::int64_t requests = 1000;
  int connections = 8;
  double rate = 0;  // Requests a second over all connections; 0: closed loop.
  std::int64_t body_bytes = 64;
  std::int64_t service_ms = 0;  // Asked from the instance; below 0: not asked.
  std::int64_t deadline_ms = 10'000;
  duration max_duration = std::chrono::seconds(60);
};

// Sends the requests and waits for all responses. Bounded by the number of
// requests and by `max_duration` plus one deadline.
load_report RunLoad(const load_options& options);

}  // namespace apricotwheel::load

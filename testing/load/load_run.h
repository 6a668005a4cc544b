#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testing/load/load_report.h"

namespace apricotwheel::load {

struct load_options {
  std::vector<std::string> urls;  // Base URLs, assigned to connections in turn.
  std::string service;
  // Requests go to instances instead of daemons: without the service prefix,
  // and responses have no outcome header.
  bool direct = false;
  std::string method = "POST";
  std::int64_t requests = 1000;
  int connections = 8;
  double rate = 0;  // Requests per second in total; 0 runs a closed loop.
  std::int64_t body_bytes = 64;
  std::int64_t service_ms = 0;  // Requested work time; below 0: the default.
  std::int64_t deadline_ms = 10'000;
  duration max_duration = std::chrono::seconds(60);
};

// Sends the requests and waits for all responses. Sends no request after
// `max_duration`, which bounds the run to `max_duration` plus one deadline.
load_report RunLoad(const load_options& options);

}  // namespace apricotwheel::load

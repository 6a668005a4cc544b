#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "kernel/clock.h"

namespace apricotwheel::load {

// Measurements of one or more connections.
struct load_report {
  std::vector<duration> latencies;                // Of completed requests.
  std::map<std::string, std::uint64_t> outcomes;  // By outcome and reason.
  std::uint64_t mismatches = 0;  // Responses to another request.
  duration elapsed{0};
};

// Adds everything but `elapsed`.
void MergeReport(load_report& total, load_report part);

// Prints one line `name value unit` per figure.
void PrintReport(std::ostream& out, load_report report);

}  // namespace apricotwheel::load

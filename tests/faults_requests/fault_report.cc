#include "tests/faults_requests/fault_report.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace apricotwheel::testing {

std::uint64_t TestSeed() {
  static const std::uint64_t seed = [] {
    const char* text = std::getenv("APRICOTWHEEL_SEED");
    const std::uint64_t chosen = text != nullptr
                                     ? std::strtoull(text, nullptr, 10)
                                     : std::random_device{}();
    std::cout << "APRICOTWHEEL_SEED=" << chosen << std::endl;
    return chosen;
  }();
  return seed;
}

void Report(const std::string& name, double value) {
  std::ostringstream line;
  line << name << " " << value << "\n";
  std::cout << line.str() << std::flush;
  const char* path = std::getenv("APRICOTWHEEL_REPORT");
  if (path == nullptr) return;
  std::ofstream file(path, std::ios::app);
  file << line.str();
}

void ReportGuarantee(int guarantee, std::uint64_t trials,
                     std::uint64_t violations) {
  const std::string prefix = "guarantee_" + std::to_string(guarantee);
  Report(prefix + "_trials", static_cast<double>(trials));
  Report(prefix + "_violations", static_cast<double>(violations));
}

}  // namespace apricotwheel::testing

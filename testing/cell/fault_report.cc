#include "testing/cell/fault_report.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

namespace apricotwheel::testing {

std::uint64_t TestSeed() {
  static const std::uint64_t seed = [] {
    const char* text = std::getenv("APRICOTWHEEL_SEED");
    const std::uint64_t value = text != nullptr
                                    ? std::strtoull(text, nullptr, 10)
                                    : std::random_device{}();
    std::cout << "APRICOTWHEEL_SEED=" << value << std::endl;
    return value;
  }();
  return seed;
}

void ReportMeasurement(const std::string& name, std::int64_t value,
                       const std::string& unit) {
  const std::string line =
      name + " " + std::to_string(value) + " " + unit + "\n";
  std::cout << line << std::flush;
  const char* path = std::getenv("APRICOTWHEEL_REPORT");
  if (path == nullptr) return;
  std::ofstream(path, std::ios::app) << line;
}

void ReportGuarantee(int guarantee, std::uint64_t trials,
                     std::uint64_t violations, const std::string& unit) {
  const std::string prefix = "guarantee_" + std::to_string(guarantee);
  ReportMeasurement(prefix + "_trials", static_cast<std::int64_t>(trials),
                    unit);
  ReportMeasurement(prefix + "_violations",
                    static_cast<std::int64_t>(violations), unit);
}

}  // namespace apricotwheel::testing

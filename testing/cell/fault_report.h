#pragma once

#include <cstdint>
#include <string>

namespace apricotwheel::testing {

// Seed of the environment variable APRICOTWHEEL_SEED, or a random one. Printed
// at the first call, so that a failed run can be repeated.
std::uint64_t TestSeed();

// Appends `name value unit` to the file of APRICOTWHEEL_REPORT, if it is set,
// and prints the line.
void ReportMeasurement(const std::string& name, std::int64_t value,
                       const std::string& unit);
void ReportGuarantee(int guarantee, std::uint64_t trials,
                     std::uint64_t violations,
                     const std::string& unit = "checks");

}  // namespace apricotwheel::testing

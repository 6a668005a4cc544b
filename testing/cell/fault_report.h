#pragma once

#include <cstdint>
#include <string>

namespace apricotwheel::testing {

// Returns the seed from the environment variable APRICOTWHEEL_SEED, or a random
// one. The first call prints it so that a failed run can be repeated.
std::uint64_t TestSeed();

// Prints `name value unit` and appends the line to the file that the
// environment variable APRICOTWHEEL_REPORT names, if it is set.
void ReportMeasurement(const std::string& name, std::int64_t value,
                       const std::string& unit);
// Reports how often a guarantee was checked and how often it was violated.
void ReportGuarantee(int guarantee, std::uint64_t trials,
                     std::uint64_t violations,
                     const std::string& unit = "checks");

}  // namespace apricotwheel::testing

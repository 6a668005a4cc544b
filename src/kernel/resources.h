#pragma once

#include <cstdint>

namespace apricotwheel {

// Amounts of the three resources of a VM in exact integer units.
struct resource_vector {
  std::int64_t cpu_milli = 0;     // Thousandths of a processor core.
  std::int64_t memory_mib = 0;    // Mebibytes.
  std::int64_t accelerators = 0;  // Whole devices.

  friend bool operator==(const resource_vector&,
                         const resource_vector&) = default;
};

constexpr resource_vector operator+(const resource_vector& left,
                                    const resource_vector& right) {
  return {left.cpu_milli + right.cpu_milli, left.memory_mib + right.memory_mib,
          left.accelerators + right.accelerators};
}

constexpr resource_vector operator-(const resource_vector& left,
                                    const resource_vector& right) {
  return {left.cpu_milli - right.cpu_milli, left.memory_mib - right.memory_mib,
          left.accelerators - right.accelerators};
}

// Returns true if `requested` is at most `available` in every resource.
constexpr bool Fits(const resource_vector& requested,
                    const resource_vector& available) {
  return requested.cpu_milli <= available.cpu_milli &&
         requested.memory_mib <= available.memory_mib &&
         requested.accelerators <= available.accelerators;
}

// Returns the larger amount of each resource.
constexpr resource_vector ElementwiseMax(const resource_vector& left,
                                         const resource_vector& right) {
  return {
      left.cpu_milli > right.cpu_milli ? left.cpu_milli : right.cpu_milli,
      left.memory_mib > right.memory_mib ? left.memory_mib : right.memory_mib,
      left.accelerators > right.accelerators ? left.accelerators
                                             : right.accelerators};
}

// Returns the smaller amount of each resource.
constexpr resource_vector ElementwiseMin(const resource_vector& left,
                                         const resource_vector& right) {
  return {
      left.cpu_milli < right.cpu_milli ? left.cpu_milli : right.cpu_milli,
      left.memory_mib < right.memory_mib ? left.memory_mib : right.memory_mib,
      left.accelerators < right.accelerators ? left.accelerators
                                             : right.accelerators};
}

// Priority of a task or a request, highest first.
enum class priority_class : std::uint8_t { kUrgent, kService, kBatch };

}  // namespace apricotwheel

#include "bench/bench_report.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <new>

namespace {
std::atomic<std::uint64_t> allocations{0};
}  // namespace

// Counts allocations, because placement decisions must not allocate memory.
void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace apricotwheel::bench {

void figure_printer::PrintFigure(const std::string& name, double value,
                                 const std::string& unit) const {
  std::printf("%s %.6g %s", name.c_str(), value, unit.c_str());
  const auto target = targets_.find(name);
  if (target != targets_.end()) {
    const auto [key, bound] = *target->items().begin();
    const double limit = target->begin().value().get<double>();
    const bool met = key == "min"     ? value >= limit
                     : key == "below" ? value < limit
                                      : value <= limit;
    std::printf(" target%s%g %s",
                key == "min"     ? ">="
                : key == "below" ? "<"
                                 : "<=",
                limit, met ? "met" : "not met");
  }
  std::printf("\n");
  std::fflush(stdout);
}

double Quantile(std::vector<double>& samples, double quantile) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(samples.size() - 1));
  return samples[rank];
}

double Exponential(random_source& random, double mean) {
  constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
  const double uniform =
      (static_cast<double>(NextU64(random) >> 11) + 0.5) * kTwoToMinus53;
  return -mean * std::log(uniform);
}

std::size_t PickWeighted(const json& elements, random_source& random) {
  std::uint64_t total = 0;
  for (const json& element : elements) {
    total += element.at("weight").get<std::uint64_t>();
  }
  std::uint64_t remaining = NextBelow(random, total);
  for (std::size_t i = 0; i < elements.size(); ++i) {
    const auto weight = elements[i].at("weight").get<std::uint64_t>();
    if (remaining < weight) return i;
    remaining -= weight;
  }
  return elements.size() - 1;
}

resource_vector ReadResources(const json& element) {
  return {element.at("cpu_milli").get<std::int64_t>(),
          element.at("memory_mib").get<std::int64_t>(),
          element.at("accelerators").get<std::int64_t>()};
}

std::uint64_t AllocationCount() {
  return allocations.load(std::memory_order_relaxed);
}

}  // namespace apricotwheel::bench

#include "testing/load/load_report.h"

#include <algorithm>
#include <cmath>

namespace apricotwheel::load {

namespace {

double ToMilliseconds(duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

// Returns the value with the nearest rank; `quantile` is between 0 and 1.
double Percentile(const std::vector<duration>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      std::lround(quantile * static_cast<double>(sorted.size() - 1)));
  return ToMilliseconds(sorted[rank]);
}

}  // namespace

void MergeReport(load_report& total, load_report part) {
  total.latencies.insert(total.latencies.end(), part.latencies.begin(),
                         part.latencies.end());
  for (const auto& [kind, count] : part.outcomes) {
    total.outcomes[kind] += count;
  }
  total.mismatches += part.mismatches;
}

void PrintReport(std::ostream& out, load_report report) {
  std::sort(report.latencies.begin(), report.latencies.end());
  std::uint64_t requests = 0;
  for (const auto& [kind, count] : report.outcomes) requests += count;
  const double seconds = std::chrono::duration<double>(report.elapsed).count();
  out << "requests " << requests << " requests\n"
      << "requests_per_second "
      << (seconds > 0 ? static_cast<double>(requests) / seconds : 0)
      << " requests/s\n"
      << "latency_p50 " << Percentile(report.latencies, 0.5) << " ms\n"
      << "latency_p99 " << Percentile(report.latencies, 0.99) << " ms\n"
      << "latency_p99.9 " << Percentile(report.latencies, 0.999) << " ms\n";
  for (const auto& [kind, count] : report.outcomes) {
    out << "outcome_" << kind << ' ' << count << " requests\n";
  }
  out << "mismatches " << report.mismatches << " responses\n";
}

}  // namespace apricotwheel::load

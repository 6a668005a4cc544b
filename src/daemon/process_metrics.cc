#include "daemon/process_metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace apricotwheel {

namespace {

prometheus::Gauge& MakeGauge(prometheus::Registry& registry, const char* name,
                             const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

double ToSeconds(const timeval& time) {
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) * kMicrosecond;
}

double ProcessCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages * sysconf(_SC_PAGESIZE));
}

}  // namespace

process_metrics::process_metrics(prometheus::Registry& registry)
    : cpu_seconds_(MakeGauge(registry, "apricotwheel_process_cpu_seconds",
                             "Processor time used since the start")),
      resident_bytes_(MakeGauge(registry, "apricotwheel_process_resident_bytes",
                                "Resident memory")),
      peer_bytes_sent_(MakeGauge(registry, "apricotwheel_peer_bytes_sent",
                                 "Bytes sent to other daemons")),
      peer_bytes_received_(MakeGauge(registry,
                                     "apricotwheel_peer_bytes_received",
                                     "Bytes received from other daemons")),
      peer_messages_sent_(MakeGauge(registry, "apricotwheel_peer_messages_sent",
                                    "Messages sent to other daemons")),
      kv_calls_(MakeGauge(registry, "apricotwheel_kv_calls",
                          "Calls to the key-value service")) {}

void process_metrics::Update(const control_cost_totals& totals) {
  cpu_seconds_.Set(ProcessCpuSeconds());
  resident_bytes_.Set(ResidentBytes());
  peer_bytes_sent_.Set(static_cast<double>(totals.peer_bytes_sent));
  peer_bytes_received_.Set(static_cast<double>(totals.peer_bytes_received));
  peer_messages_sent_.Set(static_cast<double>(totals.peer_messages_sent));
  kv_calls_.Set(static_cast<double>(totals.kv_calls));
}

}  // namespace apricotwheel

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

#include "testing/load/load_run.h"

DEFINE_string(urls, "", "Base URLs of daemons on loopback, comma-separated");
DEFINE_string(service, "", "Service that the requests are for");
DEFINE_bool(direct, false, "The URLs are those of instances, not of daemons");
DEFINE_string(method, "POST", "HTTP method");
DEFINE_int64(requests, 1000, "Number of requests, at most 10000000");
DEFINE_int32(connections, 8, "Connections, one thread each, 1 to 512");
DEFINE_double(rate, 0, "Requests per second; 0 sends in a closed loop");
DEFINE_int64(body_bytes, 64, "Size of each body");
DEFINE_int64(service_ms, 0,
             "Work time that requests ask of the instance; -1: its default");
DEFINE_int64(deadline_ms, 10'000, "Deadline of each request");
DEFINE_int64(max_seconds, 60, "Stops sending after this time, 1 to 3600");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "apricotwheel_load --urls=http://127.0.0.1:8080 --service=listings");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  apricotwheel::load::load_options options;
  std::istringstream urls(FLAGS_urls);
  for (std::string url; std::getline(urls, url, ',');) {
    if (!url.empty()) options.urls.push_back(url);
  }
  options.service = FLAGS_service;
  options.direct = FLAGS_direct;
  options.method = FLAGS_method;
  options.requests = FLAGS_requests;
  options.connections = FLAGS_connections;
  options.rate = FLAGS_rate;
  options.body_bytes = FLAGS_body_bytes;
  options.service_ms = FLAGS_service_ms;
  options.deadline_ms = FLAGS_deadline_ms;
  options.max_duration = std::chrono::seconds(FLAGS_max_seconds);
  if (options.urls.empty() || options.service.empty() || options.requests < 1 ||
      options.requests > 10'000'000 || options.connections < 1 ||
      options.connections > 512 || options.rate < 0 || options.body_bytes < 0 ||
      options.deadline_ms < 1 || FLAGS_max_seconds < 1 ||
      FLAGS_max_seconds > 3600) {
    std::cerr << "a flag is missing or out of range; see --help\n";
    return 2;
  }
  const auto report = apricotwheel::load::RunLoad(options);
  apricotwheel::load::PrintReport(std::cout, report);
  return report.mismatches == 0 ? 0 : 1;
}

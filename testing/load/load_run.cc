#include "testing/load/load_run.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "testing/instance_standin.h"

namespace apricotwheel::load {

namespace {

struct shared_progress {
  const load_options& options;
  clock_ptr clock = runtime_clock::Running();
  time_point start = clock->Now();
  std::atomic<std::int64_t> next = 0;
};

// True if the instance's answer carries the digest of this request.
bool Belongs(const httplib::Response& response, const std::string& path,
             const std::string& body) {
  const auto answer = nlohmann::json::parse(response.body, nullptr, false);
  return answer.is_object() &&
         answer.value("digest", "") == standins::RequestDigest(path, body);
}

void Record(const httplib::Result& result, const std::string& path,
            const std::string& body, duration spent, bool direct,
            load_report& report) {
  if (!result) {
    ++report.outcomes["connection_failed"];
    return;
  }
  std::string kind = result->get_header_value("Apricotwheel-Outcome");
  if (direct && result->status == 200) kind = "completed";
  if (kind.empty()) kind = "none";
  if (kind == "completed") {
    report.latencies.push_back(spent);
    if (!Belongs(*result, path, body)) ++report.mismatches;
  } else {
    kind += "_" + result->get_header_value("Apricotwheel-Reason");
  }
  ++report.outcomes[kind];
}

void RunConnection(shared_progress& progress, int index, load_report& report) {
  const load_options& options = progress.options;
  httplib::Client client(
      options.urls[static_cast<std::size_t>(index) % options.urls.size()]);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(std::chrono::seconds(2));
  // The daemon answers at the deadline; the rest is for its answer to arrive.
  client.set_read_timeout(milliseconds(options.deadline_ms + 2000));
  const httplib::Headers headers = {
      {"Apricotwheel-Deadline-Ms", std::to_string(options.deadline_ms)}};
  for (;;) {
    const std::int64_t number = progress.next++;
    if (number >= options.requests) return;
    // At a fixed rate, latency counts from the planned time, so that a stalled
    // system is not measured less often.
    time_point due = progress.clock->Now();
    if (options.rate > 0) {
      due = progress.start +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                static_cast<double>(number) / options.rate));
      progress.clock->SleepUntil(due);
    }
    if (progress.clock->Now() - progress.start >= options.max_duration) return;
    std::string path = "/load/" + std::to_string(number);
    if (options.service_ms >= 0) {
      path += "?service_ms=" + std::to_string(options.service_ms);
    }
    std::string body = std::to_string(number) + ":";
    body.resize(
        std::max(body.size(), static_cast<std::size_t>(options.body_bytes)),
        'x');
    httplib::Request request;
    request.method = options.method;
    request.path =
        options.direct ? path : "/v1/services/" + options.service + path;
    request.headers = headers;
    if (options.method != "GET") {
      request.body = body;
      request.headers.emplace("Content-Type", "application/octet-stream");
    } else {
      body.clear();
    }
    const auto result = client.send(request);
    Record(result, path, body, progress.clock->Now() - due, options.direct,
           report);
  }
}

}  // namespace

load_report Run(const load_options& options) {
  shared_progress progress{options};
  const auto count = static_cast<std::size_t>(options.connections);
  std::vector<load_report> parts(count);
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < count; ++index) {
    threads.emplace_back([&progress, &parts, index] {
      RunConnection(progress, static_cast<int>(index), parts[index]);
    });
  }
  for (auto& thread : threads) thread.join();
  load_report total;
  for (auto& part : parts) Merge(total, std::move(part));
  total.elapsed = progress.clock->Now() - progress.start;
  return total;
}

}  // namespace apricotwheel::load

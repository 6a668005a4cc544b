#include "testing/load/load_run.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "testing/instance_standin.h"

namespace apricotwheel::load {

namespace {

struct shared_run_state {
  const load_options& options;
  clock_ptr clock = runtime_clock::Running();
  time_point start = clock->Now();
  std::atomic<std::int64_t> next_request = 0;
};

// Returns whether the response has the digest of this request.
bool MatchesRequest(const httplib::Response& response, const std::string& path,
                    const std::string& body) {
  const auto parsed = nlohmann::json::parse(response.body, nullptr, false);
  return parsed.is_object() &&
         parsed.value("digest", "") == standins::RequestDigest(path, body);
}

void RecordResult(const httplib::Result& result, const std::string& path,
                  const std::string& body, duration latency, bool direct,
                  load_report& report) {
  if (!result) {
    ++report.outcomes["connection_failed"];
    return;
  }
  std::string kind = result->get_header_value("Apricotwheel-Outcome");
  if (direct && result->status == 200) kind = "completed";
  if (kind.empty()) kind = "none";
  if (kind == "completed") {
    report.latencies.push_back(latency);
    if (!MatchesRequest(*result, path, body)) ++report.mismatches;
  } else {
    kind += "_" + result->get_header_value("Apricotwheel-Reason");
  }
  ++report.outcomes[kind];
}

void RunConnection(shared_run_state& run_state, int index,
                   load_report& report) {
  const load_options& options = run_state.options;
  httplib::Client client(
      options.urls[static_cast<std::size_t>(index) % options.urls.size()]);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(std::chrono::seconds(2));
  // The daemon responds at the deadline at the latest. The rest of the timeout
  // allows for the response to arrive.
  client.set_read_timeout(milliseconds(options.deadline_ms + 2000));
  const httplib::Headers headers = {
      {"Apricotwheel-Deadline-Ms", std::to_string(options.deadline_ms)}};
  for (;;) {
    const std::int64_t number = run_state.next_request++;
    if (number >= options.requests) return;
    // At a fixed rate, latency is measured from the scheduled send time, so
    // that a delayed send does not hide a stall (coordinated omission).
    time_point scheduled_at = run_state.clock->Now();
    if (options.rate > 0) {
      scheduled_at =
          run_state.start +
          std::chrono::duration_cast<duration>(std::chrono::duration<double>(
              static_cast<double>(number) / options.rate));
      run_state.clock->SleepUntil(scheduled_at);
    }
    if (run_state.clock->Now() - run_state.start >= options.max_duration)
      return;
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
    RecordResult(result, path, body, run_state.clock->Now() - scheduled_at,
                 options.direct, report);
  }
}

}  // namespace

load_report RunLoad(const load_options& options) {
  shared_run_state run_state{options};
  const auto count = static_cast<std::size_t>(options.connections);
  std::vector<load_report> parts(count);
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < count; ++index) {
    threads.emplace_back([&run_state, &parts, index] {
      RunConnection(run_state, static_cast<int>(index), parts[index]);
    });
  }
  for (auto& thread : threads) thread.join();
  load_report total;
  for (auto& part : parts) MergeReport(total, std::move(part));
  total.elapsed = run_state.clock->Now() - run_state.start;
  return total;
}

}  // namespace apricotwheel::load
